#include "Timeline/ClockAligner.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace hickory {

namespace {

using std::chrono::microseconds;

// The peer's clock reading in a hello event may lie slightly outside the time
// range of the peer's retained events.
constexpr microseconds RunRangeMargin = std::chrono::seconds(60);

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
  estimateFromMessages();
  estimateFromWallClocks(Events);
}

void ClockAligner::collectMessages(const std::vector<TimelineEvent> &Events) {
  struct Call {
    const TimelineEvent *Sent = nullptr;
    const TimelineEvent *Received = nullptr;
    std::vector<const TimelineEvent *> Replied;
    bool Ambiguous = false;
  };
  std::map<std::string, Call> Calls;
  struct RunRange {
    std::string Run;
    microseconds First;
    microseconds Last;
  };
  std::map<std::string, std::vector<RunRange>> RunRanges;
  for (const TimelineEvent &Event : Events) {
    std::vector<RunRange> &ProcessRuns = RunRanges[Event.Process];
    const auto RunIt = std::find_if(
        ProcessRuns.begin(), ProcessRuns.end(),
        [&](const RunRange &Range) { return Range.Run == Event.Run; });
    if (RunIt == ProcessRuns.end())
      ProcessRuns.push_back(
          {Event.Run, Event.MonotonicTime, Event.MonotonicTime});
    else {
      RunIt->First = std::min(RunIt->First, Event.MonotonicTime);
      RunIt->Last = std::max(RunIt->Last, Event.MonotonicTime);
    }
    const std::string Id = Event.field("call");
    if (Id.empty())
      continue;
    // A call that was sent or received more than once gives no bound, because
    // its events cannot be matched to each other.
    if (Event.Name == "rpc_sent") {
      Call &Current = Calls[Id];
      Current.Ambiguous = Current.Ambiguous || Current.Sent != nullptr;
      Current.Sent = &Event;
    } else if (Event.Name == "rpc_received") {
      Call &Current = Calls[Id];
      Current.Ambiguous = Current.Ambiguous || Current.Received != nullptr;
      Current.Received = &Event;
    } else if (Event.Name == "rpc_replied")
      Calls[Id].Replied.push_back(&Event);
  }
  for (const auto &[Id, Current] : Calls) {
    if (Current.Ambiguous || Current.Sent == nullptr ||
        Current.Received == nullptr ||
        Current.Sent->Run == Current.Received->Run)
      continue;
    Messages_.push_back({Current.Sent->Run, Current.Received->Run,
                         Current.Sent->MonotonicTime,
                         Current.Received->MonotonicTime});
    const TimelineEvent *ReplySent = Current.Received;
    const TimelineEvent *ReplyReceived = nullptr;
    for (const TimelineEvent *Event : Current.Replied)
      if (Event->Run == Current.Received->Run)
        ReplySent = Event;
      else if (Event->Run == Current.Sent->Run)
        ReplyReceived = Event;
    if (ReplyReceived != nullptr)
      Messages_.push_back({ReplySent->Run, ReplyReceived->Run,
                           ReplySent->MonotonicTime,
                           ReplyReceived->MonotonicTime});
  }
  for (const TimelineEvent &Event : Events) {
    if (Event.Name != "hello" || !Event.Fields.contains("clock_us") ||
        !Event.Fields.at("clock_us").is_number_integer())
      continue;
    const microseconds Sent(Event.Fields.at("clock_us").get<std::int64_t>());
    const auto Peer = RunRanges.find(Event.field("peer"));
    if (Peer == RunRanges.end())
      continue;
    const RunRange *Match = nullptr;
    int Matches = 0;
    for (const RunRange &Candidate : Peer->second)
      if (Sent >= Candidate.First - RunRangeMargin &&
          Sent <= Candidate.Last + RunRangeMargin) {
        Match = &Candidate;
        ++Matches;
      }
    if (Matches == 1 && Match->Run != Event.Run)
      Messages_.push_back({Match->Run, Event.Run, Sent, Event.MonotonicTime});
  }
}

void ClockAligner::chooseReference() {
  if (Index_.contains(Reference_))
    return;
  std::vector<std::size_t> Counts(Runs_.size());
  for (const Message &Sample : Messages_) {
    ++Counts[Index_.at(Sample.From)];
    ++Counts[Index_.at(Sample.To)];
  }
  Reference_ = Runs_[static_cast<std::size_t>(
      std::max_element(Counts.begin(), Counts.end()) - Counts.begin())];
}

ClockAligner::Bounds
ClockAligner::computeDirectBounds(std::int64_t Slack) const {
  Bounds Limits(Runs_.size(),
                std::vector<std::optional<std::int64_t>>(Runs_.size()));
  for (std::size_t I = 0; I < Runs_.size(); ++I)
    Limits[I][I] = 0;
  for (const Message &Sample : Messages_) {
    auto &Limit = Limits[Index_.at(Sample.From)][Index_.at(Sample.To)];
    const std::int64_t Value = (Sample.Received - Sample.Sent).count() + Slack;
    Limit = std::min(Limit.value_or(Value), Value);
  }
  return Limits;
}

bool ClockAligner::tightenTransitively(Bounds &Limits) {
  const std::size_t Count = Limits.size();
  for (std::size_t K = 0; K < Count; ++K)
    for (std::size_t I = 0; I < Count; ++I) {
      if (!Limits[I][K])
        continue;
      for (std::size_t J = 0; J < Count; ++J) {
        if (!Limits[K][J])
          continue;
        const std::int64_t ChainLimit = *Limits[I][K] + *Limits[K][J];
        if (!Limits[I][J] || ChainLimit < *Limits[I][J])
          Limits[I][J] = ChainLimit;
      }
      if (*Limits[I][I] < 0)
        return false;
    }
  return true;
}

void ClockAligner::fixOffset(Bounds &Limits, std::size_t R, std::size_t J,
                             std::int64_t Value) {
  Limits[R][J] = Value;
  Limits[J][R] = -Value;
  const std::size_t Count = Limits.size();
  for (const std::size_t K : {J, R})
    for (std::size_t A = 0; A < Count; ++A)
      for (std::size_t B = 0; B < Count; ++B)
        if (Limits[A][K] && Limits[K][B]) {
          const std::int64_t ChainLimit = *Limits[A][K] + *Limits[K][B];
          if (!Limits[A][B] || ChainLimit < *Limits[A][B])
            Limits[A][B] = ChainLimit;
        }
}

void ClockAligner::estimateFromMessages() {
  Bounds Limits = computeDirectBounds(0);
  if (!tightenTransitively(Limits)) {
    // The slack is added to the bound of every message, so the sum of each
    // contradictory (negative) cycle grows by the slack once per message. The
    // slack is doubled until no cycle is negative; binary search then finds the
    // smallest such slack. With it, offsets exist that contradict no message by
    // more than the slack.
    std::int64_t Low = 0;
    std::int64_t High = 1;
    while (Limits = computeDirectBounds(High), !tightenTransitively(Limits))
      High *= 2;
    while (High - Low > 1) {
      const std::int64_t Middle = Low + (High - Low) / 2;
      Limits = computeDirectBounds(Middle);
      (tightenTransitively(Limits) ? High : Low) = Middle;
    }
    Limits = computeDirectBounds(High);
    tightenTransitively(Limits);
    Inconsistency_ = microseconds(High);
  }
  const std::size_t R = Index_.at(Reference_);
  Offsets_[Reference_] = {microseconds(0), microseconds(0),
                          OffsetSource::Reference};
  std::vector<bool> Placed(Runs_.size());
  Placed[R] = true;
  const Bounds Original = Limits;
  while (true) {
    // The clock with the narrowest interval is placed next; clocks bounded from
    // one side only come last.
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
    Offset Estimate{microseconds(Value), microseconds(0), OffsetSource::OneWay};
    if (Original[R][J] && Original[J][R]) {
      Estimate.Source = OffsetSource::Messages;
      Estimate.Uncertainty = microseconds(
          std::max(*Original[R][J] - Value, Value + *Original[J][R]));
    }
    Offsets_[Runs_[J]] = Estimate;
    fixOffset(Limits, R, J, Value);
  }
}

void ClockAligner::estimateFromWallClocks(
    const std::vector<TimelineEvent> &Events) {
  std::map<std::string, std::vector<std::int64_t>> Differences;
  for (const TimelineEvent &Event : Events)
    Differences[Event.Run].push_back(
        (Event.WallTime - Event.MonotonicTime).count());
  std::map<std::string, std::int64_t> MedianDifferences;
  for (auto &[Run, Values] : Differences)
    MedianDifferences[Run] = median(std::move(Values));
  WallClockOffset_ = microseconds(MedianDifferences.at(Reference_));
  for (const std::string &Run : Runs_)
    if (!Offsets_.contains(Run))
      Offsets_[Run] = {WallClockOffset_ -
                           microseconds(MedianDifferences.at(Run)),
                       microseconds(0), OffsetSource::WallClock};
}

void ClockAligner::align(std::vector<TimelineEvent> &Events) const {
  for (TimelineEvent &Event : Events)
    Event.AlignedTime = Event.MonotonicTime - Offsets_.at(Event.Run).Value;
  std::stable_sort(Events.begin(), Events.end(),
                   [](const TimelineEvent &A, const TimelineEvent &B) {
                     return std::tie(A.AlignedTime, A.Run, A.Sequence) <
                            std::tie(B.AlignedTime, B.Run, B.Sequence);
                   });
}

} // namespace hickory
