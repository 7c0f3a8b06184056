#include "Timeline/ClockAligner.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace hickory {

namespace {

using std::chrono::microseconds;

// A hello event of a run may name a peer's clock reading that is a little
// outside the events kept of that peer.
constexpr microseconds RunMargin = std::chrono::seconds(60);

std::int64_t median(std::vector<std::int64_t> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

ClockAligner::ClockAligner(const std::vector<TimelineEvent> &Events,
                           std::string Reference)
    : Reference_(std::move(Reference)) {
  std::set<std::string> Names;
  for (const TimelineEvent &Event : Events)
    Names.insert(Event.Run);
  Runs_.assign(Names.begin(), Names.end());
  for (std::size_t I = 0; I < Runs_.size(); ++I)
    Index_.emplace(Runs_[I], I);
  if (Runs_.empty())
    return;
  collectMessages(Events);
  chooseReference();
  solve();
  placeByWallClock(Events);
}

void ClockAligner::collectMessages(const std::vector<TimelineEvent> &Events) {
  struct Call {
    const TimelineEvent *Sent = nullptr;
    const TimelineEvent *Received = nullptr;
    std::vector<const TimelineEvent *> Replied;
    bool Ambiguous = false;
  };
  std::map<std::string, Call> Calls;
  struct Span {
    std::string Run;
    microseconds First;
    microseconds Last;
  };
  std::map<std::string, std::vector<Span>> Spans;
  for (const TimelineEvent &Event : Events) {
    std::vector<Span> &Known = Spans[Event.Process];
    const auto Same =
        std::find_if(Known.begin(), Known.end(),
                     [&](const Span &Item) { return Item.Run == Event.Run; });
    if (Same == Known.end())
      Known.push_back({Event.Run, Event.Monotonic, Event.Monotonic});
    else {
      Same->First = std::min(Same->First, Event.Monotonic);
      Same->Last = std::max(Same->Last, Event.Monotonic);
    }
    const std::string Id = Event.field("call");
    if (Id.empty())
      continue;
    // A call that was sent or received twice says nothing about clocks.
    if (Event.Name == "rpc_sent") {
      Call &Item = Calls[Id];
      Item.Ambiguous = Item.Ambiguous || Item.Sent != nullptr;
      Item.Sent = &Event;
    } else if (Event.Name == "rpc_received") {
      Call &Item = Calls[Id];
      Item.Ambiguous = Item.Ambiguous || Item.Received != nullptr;
      Item.Received = &Event;
    } else if (Event.Name == "rpc_replied")
      Calls[Id].Replied.push_back(&Event);
  }
  for (const auto &[Id, Item] : Calls) {
    if (Item.Ambiguous || Item.Sent == nullptr || Item.Received == nullptr ||
        Item.Sent->Run == Item.Received->Run)
      continue;
    Messages_.push_back({Item.Sent->Run, Item.Received->Run,
                         Item.Sent->Monotonic, Item.Received->Monotonic});
    const TimelineEvent *Back = Item.Received;
    const TimelineEvent *Arrived = nullptr;
    for (const TimelineEvent *Event : Item.Replied)
      if (Event->Run == Item.Received->Run)
        Back = Event;
      else if (Event->Run == Item.Sent->Run)
        Arrived = Event;
    if (Arrived != nullptr)
      Messages_.push_back(
          {Back->Run, Arrived->Run, Back->Monotonic, Arrived->Monotonic});
  }
  for (const TimelineEvent &Event : Events) {
    if (Event.Name != "hello" || !Event.Fields.contains("clock_us") ||
        !Event.Fields.at("clock_us").is_number_integer())
      continue;
    const microseconds Sent(Event.Fields.at("clock_us").get<std::int64_t>());
    const auto Peer = Spans.find(Event.field("peer"));
    if (Peer == Spans.end())
      continue;
    const Span *Match = nullptr;
    int Matches = 0;
    for (const Span &Candidate : Peer->second)
      if (Sent >= Candidate.First - RunMargin &&
          Sent <= Candidate.Last + RunMargin) {
        Match = &Candidate;
        ++Matches;
      }
    if (Matches == 1 && Match->Run != Event.Run)
      Messages_.push_back({Match->Run, Event.Run, Sent, Event.Monotonic});
  }
}

void ClockAligner::chooseReference() {
  if (Index_.contains(Reference_))
    return;
  std::vector<std::size_t> Counts(Runs_.size());
  for (const Message &Item : Messages_) {
    ++Counts[Index_.at(Item.From)];
    ++Counts[Index_.at(Item.To)];
  }
  Reference_ = Runs_[static_cast<std::size_t>(
      std::max_element(Counts.begin(), Counts.end()) - Counts.begin())];
}

ClockAligner::Bounds ClockAligner::directBounds(std::int64_t Slack) const {
  Bounds Limits(Runs_.size(),
                std::vector<std::optional<std::int64_t>>(Runs_.size()));
  for (std::size_t I = 0; I < Runs_.size(); ++I)
    Limits[I][I] = 0;
  for (const Message &Item : Messages_) {
    auto &Limit = Limits[Index_.at(Item.From)][Index_.at(Item.To)];
    const std::int64_t Value = (Item.Received - Item.Sent).count() + Slack;
    Limit = std::min(Limit.value_or(Value), Value);
  }
  return Limits;
}

bool ClockAligner::close(Bounds &Limits) {
  const std::size_t Count = Limits.size();
  for (std::size_t K = 0; K < Count; ++K)
    for (std::size_t I = 0; I < Count; ++I) {
      if (!Limits[I][K])
        continue;
      for (std::size_t J = 0; J < Count; ++J) {
        if (!Limits[K][J])
          continue;
        const std::int64_t Through = *Limits[I][K] + *Limits[K][J];
        if (!Limits[I][J] || Through < *Limits[I][J])
          Limits[I][J] = Through;
      }
      if (*Limits[I][I] < 0)
        return false;
    }
  return true;
}

void ClockAligner::fix(Bounds &Limits, std::size_t R, std::size_t J,
                       std::int64_t Value) {
  Limits[R][J] = Value;
  Limits[J][R] = -Value;
  const std::size_t Count = Limits.size();
  for (const std::size_t K : {J, R})
    for (std::size_t A = 0; A < Count; ++A)
      for (std::size_t B = 0; B < Count; ++B)
        if (Limits[A][K] && Limits[K][B]) {
          const std::int64_t Through = *Limits[A][K] + *Limits[K][B];
          if (!Limits[A][B] || Through < *Limits[A][B])
            Limits[A][B] = Through;
        }
}

void ClockAligner::solve() {
  Bounds Limits = directBounds(0);
  if (!close(Limits)) {
    // A negative cycle has at least two messages, so the largest violation of
    // one of them is enough slack for each.
    std::int64_t Low = 0;
    std::int64_t High = 1;
    while (Limits = directBounds(High), !close(Limits))
      High *= 2;
    while (High - Low > 1) {
      const std::int64_t Middle = Low + (High - Low) / 2;
      Limits = directBounds(Middle);
      (close(Limits) ? High : Low) = Middle;
    }
    Limits = directBounds(High);
    close(Limits);
    Inconsistency_ = microseconds(High);
  }
  const std::size_t R = Index_.at(Reference_);
  Offsets_[Reference_] = {microseconds(0), microseconds(0), Source::Reference};
  std::vector<bool> Placed(Runs_.size());
  Placed[R] = true;
  const Bounds Original = Limits;
  while (true) {
    // The narrowest first; those bounded from one side only come last.
    std::optional<std::size_t> Next;
    std::int64_t NextWidth = INT64_MAX;
    bool NextTwoSided = false;
    for (std::size_t J = 0; J < Runs_.size(); ++J) {
      if (Placed[J] || (!Limits[R][J] && !Limits[J][R]))
        continue;
      const bool TwoSided = Limits[R][J] && Limits[J][R];
      const std::int64_t Width =
          TwoSided ? *Limits[R][J] + *Limits[J][R] : INT64_MAX;
      if (!Next || (TwoSided && (!NextTwoSided || Width < NextWidth))) {
        Next = J;
        NextWidth = Width;
        NextTwoSided = TwoSided;
      }
    }
    if (!Next)
      return;
    const std::size_t J = *Next;
    Placed[J] = true;
    std::int64_t Value = 0;
    if (NextTwoSided)
      Value = -*Limits[J][R] + NextWidth / 2;
    else
      Value = Limits[R][J] ? *Limits[R][J] : -*Limits[J][R];
    Offset Found{microseconds(Value), microseconds(0), Source::OneWay};
    if (Original[R][J] && Original[J][R]) {
      Found.From = Source::Messages;
      Found.Uncertainty = microseconds(
          std::max(*Original[R][J] - Value, Value + *Original[J][R]));
    }
    Offsets_[Runs_[J]] = Found;
    fix(Limits, R, J, Value);
  }
}

void ClockAligner::placeByWallClock(const std::vector<TimelineEvent> &Events) {
  std::map<std::string, std::vector<std::int64_t>> Differences;
  for (const TimelineEvent &Event : Events)
    Differences[Event.Run].push_back((Event.Wall - Event.Monotonic).count());
  std::map<std::string, std::int64_t> Bases;
  for (auto &[Run, Values] : Differences)
    Bases[Run] = median(std::move(Values));
  WallBase_ = microseconds(Bases.at(Reference_));
  for (const std::string &Run : Runs_)
    if (!Offsets_.contains(Run))
      Offsets_[Run] = {WallBase_ - microseconds(Bases.at(Run)), microseconds(0),
                       Source::WallClock};
}

void ClockAligner::align(std::vector<TimelineEvent> &Events) const {
  for (TimelineEvent &Event : Events)
    Event.Aligned = Event.Monotonic - Offsets_.at(Event.Run).Value;
  std::stable_sort(Events.begin(), Events.end(),
                   [](const TimelineEvent &A, const TimelineEvent &B) {
                     return std::tie(A.Aligned, A.Run, A.Sequence) <
                            std::tie(B.Aligned, B.Run, B.Sequence);
                   });
}

} // namespace hickory
