#include "Scheduling/JobQueue.h"

#include <algorithm>
#include <fmt/format.h>
#include <glog/logging.h>

namespace hickory {

namespace {

std::int64_t ticks(Clock::time_point Time) {
  return Time.time_since_epoch().count();
}

} // namespace

JobQueue::JobQueue(TimerService &Timers, const ShareRatios &Shares,
                   JobQueueOptions Options)
    : Timers_(Timers), Shares_(Shares), Options_(Options) {
  CHECK_GT(Options_.LevelWidth, 0U);
}

Result<std::optional<PendingWork>> JobQueue::enqueue(PendingWork Work) {
  if (Entries_.contains(Work.Key))
    return fail(ErrorCode::Conflict,
                fmt::format("key {} waits already", Work.Key));
  if (Work.Tasks == 0)
    return fail(
        ErrorCode::InvalidArgument,
        fmt::format("key {} asks for no task; ask for at least one", Work.Key));
  if (Work.Arrived == Clock::time_point{})
    Work.Arrived = Timers_.now();
  const std::uint64_t Sequence = NextSequence_++;
  const std::tuple Urgency(Work.Priority, -ticks(Work.Arrived), Sequence);
  std::optional<PendingWork> Evicted;
  if (Entries_.size() >= Options_.MaximumSize) {
    // Work of equal priority that came earlier stays.
    if (Evictable_.empty() ||
        std::get<0>(Evictable_.begin()->first) >= Work.Priority)
      return fail(ErrorCode::Overloaded,
                  fmt::format("queue holds {} entries of at least priority {}",
                              Entries_.size(), Work.Priority),
                  Options_.RetryAfter);
    Evicted = take(*Evictable_.begin()->second);
  }

  const std::pair TeamKey(Work.Member, Work.Team);
  Team &Owner = Teams_[TeamKey];
  Owner.Member = Work.Member;
  Owner.Name = Work.Team;
  LaneKey Key{.Member = Work.Member,
              .Team = Work.Team,
              .CpusMilli = Work.PerTask.CpusMilli,
              .MemoryMb = Work.PerTask.MemoryMb,
              .Accelerators = Work.PerTask.Accelerators,
              .Tasks = Work.Tasks,
              .Urgent = Work.Priority >= Options_.UrgentPriority};
  auto [LaneAt, NewLane] = Lanes_.try_emplace(Key);
  Lane &Home = LaneAt->second;
  if (NewLane) {
    Home.Key = std::move(Key);
    Home.Owner = &Owner;
    ++Owner.Lanes;
  }
  const std::string Name = Work.Key;
  Entry &Waiting = Entries_[Name];
  Waiting.Rank = rank(Work);
  Waiting.Sequence = Sequence;
  Waiting.Home = &Home;
  Waiting.Hold = Options_.Hold;
  Waiting.Work = std::move(Work);
  Home.Waiting.emplace(Position(Waiting.Rank, Sequence), &Waiting);
  if (Waiting.Work.Evictable)
    Evictable_.emplace(Urgency, &Waiting);
  if (Waiting.Work.Deadline)
    Deadlines_.emplace(std::pair(*Waiting.Work.Deadline, Sequence), &Waiting);
  return Evicted;
}

const PendingWork *JobQueue::next() const {
  const Clock::time_point Now = Timers_.now();
  ++Round_;
  const Entry *Best = nullptr;
  Standing BestRating;
  for (const auto &[Key, From] : Lanes_)
    for (const auto &[Place, Waiting] : From.Waiting) {
      if (!placeable(*Waiting, Now))
        continue;
      const Standing Rating = standing(*Waiting, Now);
      if (Best == nullptr || Rating < BestRating) {
        Best = Waiting;
        BestRating = Rating;
      }
      break;
    }
  return Best == nullptr ? nullptr : &Best->Work;
}

std::size_t JobQueue::dispatch(const TryPlace &Try, std::size_t Maximum) {
  const Clock::time_point Now = Timers_.now();
  ++Round_;
  const auto Later = [](const Candidate &A, const Candidate &B) {
    return B.Rating < A.Rating;
  };
  std::vector<Candidate> Heap;
  Heap.reserve(Lanes_.size());
  for (auto &[Key, From] : Lanes_) {
    Candidate Next{.Rating = {}, .From = &From, .At = From.Waiting.begin()};
    if (!settle(*this, From, Next.At, Now))
      continue;
    Next.Rating = standing(*Next.At->second, Now);
    Heap.push_back(Next);
  }
  std::make_heap(Heap.begin(), Heap.end(), Later);

  std::set<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t,
                      std::uint32_t, bool>>
      Refused;
  std::optional<Clock::time_point> HoldEnd;
  std::size_t Placed = 0;
  while (!Heap.empty() && Placed < Maximum) {
    std::pop_heap(Heap.begin(), Heap.end(), Later);
    Candidate Next = Heap.back();
    Heap.pop_back();
    Entry &Waiting = *Next.At->second;
    // Placing work of this team earlier in the round may have worsened its
    // standing since it was computed.
    const Standing Current = standing(Waiting, Now);
    if (Next.Rating < Current && !Heap.empty() &&
        Heap.front().Rating < Current) {
      Next.Rating = Current;
      Heap.push_back(Next);
      std::push_heap(Heap.begin(), Heap.end(), Later);
      continue;
    }
    const LaneKey &Size = Next.From->Key;
    if (HoldEnd && !Size.Urgent) {
      const Clock::duration Run =
          Waiting.Work.EstimatedRun == Clock::duration::zero()
              ? Options_.UnknownRun
              : Waiting.Work.EstimatedRun;
      if (Run > *HoldEnd - Now)
        continue;
    }
    const std::tuple Shape(Size.CpusMilli, Size.MemoryMb, Size.Accelerators,
                           Size.Tasks, Size.Urgent);
    const PlacementOutcome Verdict = Refused.contains(Shape)
                                         ? PlacementOutcome::NoCapacity
                                         : Try(Waiting.Work);
    if (Verdict == PlacementOutcome::EndRound)
      break;
    if (Verdict == PlacementOutcome::NoCapacity) {
      Refused.insert(Shape);
      const auto End = noteBlocked(Waiting, Now);
      if (End && !HoldEnd)
        HoldEnd = End;
      continue;
    }
    ++Next.At;
    if (Verdict == PlacementOutcome::Placed) {
      ++Placed;
      Next.From->Owner->LastServed = Now;
      forgetRatios(Next.From->Owner->Member);
      const bool LaneEnds = Next.From->Waiting.size() == 1;
      take(Waiting);
      if (LaneEnds)
        continue;
    }
    if (!settle(*this, *Next.From, Next.At, Now))
      continue;
    Next.Rating = standing(*Next.At->second, Now);
    Heap.push_back(Next);
    std::push_heap(Heap.begin(), Heap.end(), Later);
  }
  return Placed;
}

std::optional<PendingWork> JobQueue::remove(const std::string &Key) {
  const auto It = Entries_.find(Key);
  if (It == Entries_.end())
    return std::nullopt;
  return take(It->second);
}

void JobQueue::cancel(const std::vector<std::string> &Keys) {
  for (const std::string &Key : Keys) {
    const auto It = Entries_.find(Key);
    if (It == Entries_.end() || It->second.Cancelled)
      continue;
    It->second.Cancelled = true;
    Cancelled_.push_back(Key);
  }
}

std::vector<PendingWork> JobQueue::takeCancelled(std::size_t Maximum) {
  std::vector<PendingWork> Taken;
  while (!Cancelled_.empty() && Taken.size() < Maximum) {
    const auto It = Entries_.find(Cancelled_.front());
    Cancelled_.pop_front();
    // The key may have left otherwise and come back since.
    if (It != Entries_.end() && It->second.Cancelled)
      Taken.push_back(take(It->second));
  }
  return Taken;
}

std::vector<PendingWork> JobQueue::takeExpired(std::size_t Maximum) {
  const Clock::time_point Now = Timers_.now();
  std::vector<PendingWork> Taken;
  while (!Deadlines_.empty() && Taken.size() < Maximum &&
         Deadlines_.begin()->first.first <= Now)
    Taken.push_back(take(*Deadlines_.begin()->second));
  return Taken;
}

const PendingWork *JobQueue::find(const std::string &Key) const {
  const auto It = Entries_.find(Key);
  return It == Entries_.end() ? nullptr : &It->second.Work;
}

Clock::duration JobQueue::longestWait() const {
  Clock::duration Longest{0};
  for (const auto &[Key, From] : Lanes_)
    if (!From.Waiting.empty())
      Longest = std::max(
          Longest, Timers_.now() - From.Waiting.begin()->second->Work.Arrived);
  return Longest;
}

std::int64_t JobQueue::rank(const PendingWork &Work) const {
  Clock::time_point From = Work.Arrived;
  if (Work.Deadline)
    From = std::min(From, *Work.Deadline - Options_.DeadlineLead);
  // All work ages at the same rate, so the order of two entries never changes
  // with time. Without ageing, one point outweighs any wait (about 11 days at
  // the highest usual priority).
  const Clock::duration PerPoint =
      Options_.AgeingPerPoint > Clock::duration::zero()
          ? Options_.AgeingPerPoint
          : Clock::duration(std::chrono::hours(24 * 11));
  return ticks(From) -
         static_cast<std::int64_t>(std::min(Work.Priority, 5000U)) *
             PerPoint.count();
}

JobQueue::Standing JobQueue::standing(const Entry &Waiting,
                                      Clock::time_point Now) const {
  Team &Owner = *Waiting.Home->Owner;
  if (Owner.RatiosAsOf != Round_) {
    Owner.MemberRatio = Shares_.memberRatio(Owner.Member);
    Owner.TeamRatio = Shares_.teamRatio(Owner.Member, Owner.Name);
    Owner.RatiosAsOf = Round_;
  }
  std::int64_t Points = Waiting.Work.Priority;
  if (Options_.AgeingPerPoint > Clock::duration::zero()) {
    // A team that is being served does not age against other teams, so a large
    // backlog gives no advantage.
    Clock::time_point Since = Waiting.Work.Arrived;
    if (Owner.LastServed)
      Since = std::max(Since, *Owner.LastServed);
    if (Now > Since)
      Points += (Now - Since) / Options_.AgeingPerPoint;
  }
  return {.NegativeLevel = -(Points / std::int64_t(Options_.LevelWidth)),
          .MemberRatio = Owner.MemberRatio,
          .TeamRatio = Owner.TeamRatio,
          .Place = Position(Waiting.Rank, Waiting.Sequence)};
}

void JobQueue::forgetRatios(const std::string &Member) {
  for (auto It = Teams_.lower_bound(std::pair(Member, std::string()));
       It != Teams_.end() && It->first.first == Member; ++It)
    It->second.RatiosAsOf = 0;
}

bool JobQueue::placeable(const Entry &Waiting, Clock::time_point Now) const {
  return !Waiting.Cancelled &&
         !(Waiting.Work.Deadline && *Waiting.Work.Deadline <= Now);
}

bool JobQueue::settle(const JobQueue &Queue, const Lane &From,
                      Order::iterator &At, Clock::time_point Now) {
  while (At != From.Waiting.end() && !Queue.placeable(*At->second, Now))
    ++At;
  return At != From.Waiting.end();
}

PendingWork JobQueue::take(Entry &Waiting) {
  Lane &Home = *Waiting.Home;
  Home.Waiting.erase(Position(Waiting.Rank, Waiting.Sequence));
  if (Waiting.Work.Evictable)
    Evictable_.erase(std::tuple(
        Waiting.Work.Priority, -ticks(Waiting.Work.Arrived), Waiting.Sequence));
  if (Waiting.Work.Deadline)
    Deadlines_.erase(std::pair(*Waiting.Work.Deadline, Waiting.Sequence));
  if (Home.Waiting.empty()) {
    Team &Owner = *Home.Owner;
    if (--Owner.Lanes == 0)
      Teams_.erase(std::pair(Owner.Member, Owner.Name));
    Lanes_.erase(LaneKey(Home.Key));
  }
  PendingWork Work = std::move(Waiting.Work);
  Entries_.erase(std::string(Work.Key));
  return Work;
}

std::optional<Clock::time_point>
JobQueue::noteBlocked(Entry &Waiting, Clock::time_point Now) const {
  if (Waiting.YieldsUntil) {
    if (Now < *Waiting.YieldsUntil)
      return std::nullopt;
    Waiting.YieldsUntil.reset();
  }
  if (!Waiting.FirstBlocked)
    Waiting.FirstBlocked = Now;
  const Clock::time_point HoldStart =
      *Waiting.FirstBlocked + Options_.BackfillWindow;
  if (Now < HoldStart)
    return std::nullopt;
  if (Now < HoldStart + Waiting.Hold)
    return HoldStart + Waiting.Hold;
  Waiting.FirstBlocked.reset();
  Waiting.YieldsUntil = Now + Options_.Cooldown;
  Waiting.Hold = std::min(Waiting.Hold * 2, Options_.MaximumHold);
  return std::nullopt;
}

} // namespace hickory
