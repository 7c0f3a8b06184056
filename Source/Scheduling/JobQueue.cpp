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
  CHECK_GT(Options_.PriorityLevelWidth, 0U);
}

Result<std::optional<PendingWork>> JobQueue::enqueue(PendingWork Work) {
  if (Entries_.contains(Work.Key))
    return fail(ErrorCode::Conflict,
                fmt::format("key {} is queued already", Work.Key));
  if (Work.Tasks == 0)
    return fail(
        ErrorCode::InvalidArgument,
        fmt::format("key {} requests 0 tasks; request at least 1", Work.Key));
  if (Work.Arrived == Clock::time_point{})
    Work.Arrived = Timers_.now();
  const std::uint64_t Sequence = NextSequence_++;
  const std::tuple Urgency(Work.Priority, -ticks(Work.Arrived), Sequence);
  std::optional<PendingWork> Evicted;
  if (Entries_.size() >= Options_.MaximumSize) {
    // Queued work of equal priority is not evicted.
    if (EvictionOrder_.empty() ||
        std::get<0>(EvictionOrder_.begin()->first) >= Work.Priority)
      return fail(
          ErrorCode::Overloaded,
          fmt::format("queue is full with {} entries; none of them can be "
                      "evicted for priority {}",
                      Entries_.size(), Work.Priority),
          Options_.RetryAfter);
    Evicted = take(*EvictionOrder_.begin()->second);
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
  Lane &EntryLane = LaneAt->second;
  if (NewLane) {
    EntryLane.Key = std::move(Key);
    EntryLane.OwningTeam = &Owner;
    ++Owner.Lanes;
  }
  const std::string Name = Work.Key;
  Entry &Waiting = Entries_[Name];
  Waiting.Rank = rank(Work);
  Waiting.Sequence = Sequence;
  Waiting.EntryLane = &EntryLane;
  Waiting.Reservation = Options_.Reservation;
  Waiting.Work = std::move(Work);
  EntryLane.Waiting.emplace(Position(Waiting.Rank, Sequence), &Waiting);
  if (Waiting.Work.Evictable)
    EvictionOrder_.emplace(Urgency, &Waiting);
  if (Waiting.Work.Deadline)
    Deadlines_.emplace(std::pair(*Waiting.Work.Deadline, Sequence), &Waiting);
  return Evicted;
}

const PendingWork *JobQueue::next() const {
  const Clock::time_point Now = Timers_.now();
  ++Round_;
  const Entry *Best = nullptr;
  SortKey BestKey;
  for (const auto &[Key, EntryLane] : Lanes_)
    for (const auto &[Place, Waiting] : EntryLane.Waiting) {
      if (!isPlaceable(*Waiting, Now))
        continue;
      const SortKey EntryKey = sortKey(*Waiting, Now);
      if (Best == nullptr || EntryKey < BestKey) {
        Best = Waiting;
        BestKey = EntryKey;
      }
      break;
    }
  return Best == nullptr ? nullptr : &Best->Work;
}

std::size_t JobQueue::dispatch(const TryPlace &Try, std::size_t Maximum) {
  const Clock::time_point Now = Timers_.now();
  ++Round_;
  const auto RanksLater = [](const Candidate &A, const Candidate &B) {
    return B.CachedKey < A.CachedKey;
  };
  std::vector<Candidate> Heap;
  Heap.reserve(Lanes_.size());
  for (auto &[Key, EntryLane] : Lanes_) {
    Candidate Next{.CachedKey = {},
                   .EntryLane = &EntryLane,
                   .At = EntryLane.Waiting.begin()};
    if (!findPlaceable(*this, EntryLane, Next.At, Now))
      continue;
    Next.CachedKey = sortKey(*Next.At->second, Now);
    Heap.push_back(Next);
  }
  std::make_heap(Heap.begin(), Heap.end(), RanksLater);

  std::set<std::tuple<std::uint64_t, std::uint64_t, std::uint64_t,
                      std::uint32_t, bool>>
      UnfitShapes;
  std::optional<Clock::time_point> ReservationEnd;
  std::size_t Placed = 0;
  while (!Heap.empty() && Placed < Maximum) {
    std::pop_heap(Heap.begin(), Heap.end(), RanksLater);
    Candidate Next = Heap.back();
    Heap.pop_back();
    Entry &Waiting = *Next.At->second;
    // Placing other work of this team in this round may have worsened the sort
    // key since it was computed.
    const SortKey Current = sortKey(Waiting, Now);
    if (Next.CachedKey < Current && !Heap.empty() &&
        Heap.front().CachedKey < Current) {
      Next.CachedKey = Current;
      Heap.push_back(Next);
      std::push_heap(Heap.begin(), Heap.end(), RanksLater);
      continue;
    }
    const LaneKey &Size = Next.EntryLane->Key;
    if (ReservationEnd && !Size.Urgent) {
      const Clock::duration Run =
          Waiting.Work.EstimatedRun == Clock::duration::zero()
              ? Options_.AssumedRun
              : Waiting.Work.EstimatedRun;
      if (Run > *ReservationEnd - Now)
        continue;
    }
    const std::tuple Shape(Size.CpusMilli, Size.MemoryMb, Size.Accelerators,
                           Size.Tasks, Size.Urgent);
    const PlacementOutcome Verdict = UnfitShapes.contains(Shape)
                                         ? PlacementOutcome::NoCapacity
                                         : Try(Waiting.Work);
    if (Verdict == PlacementOutcome::EndRound)
      break;
    if (Verdict == PlacementOutcome::NoCapacity) {
      UnfitShapes.insert(Shape);
      const auto End = updateReservation(Waiting, Now);
      if (End && !ReservationEnd)
        ReservationEnd = End;
      continue;
    }
    ++Next.At;
    if (Verdict == PlacementOutcome::Placed) {
      ++Placed;
      Next.EntryLane->OwningTeam->LastServed = Now;
      invalidateRatios(Next.EntryLane->OwningTeam->Member);
      const bool LaneEnds = Next.EntryLane->Waiting.size() == 1;
      take(Waiting);
      if (LaneEnds)
        continue;
    }
    if (!findPlaceable(*this, *Next.EntryLane, Next.At, Now))
      continue;
    Next.CachedKey = sortKey(*Next.At->second, Now);
    Heap.push_back(Next);
    std::push_heap(Heap.begin(), Heap.end(), RanksLater);
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
  std::vector<PendingWork> Removed;
  while (!Cancelled_.empty() && Removed.size() < Maximum) {
    const auto It = Entries_.find(Cancelled_.front());
    Cancelled_.pop_front();
    // The key may have been removed and queued again since.
    if (It != Entries_.end() && It->second.Cancelled)
      Removed.push_back(take(It->second));
  }
  return Removed;
}

std::vector<PendingWork> JobQueue::takeExpired(std::size_t Maximum) {
  const Clock::time_point Now = Timers_.now();
  std::vector<PendingWork> Removed;
  while (!Deadlines_.empty() && Removed.size() < Maximum &&
         Deadlines_.begin()->first.first <= Now)
    Removed.push_back(take(*Deadlines_.begin()->second));
  return Removed;
}

const PendingWork *JobQueue::find(const std::string &Key) const {
  const auto It = Entries_.find(Key);
  return It == Entries_.end() ? nullptr : &It->second.Work;
}

Clock::duration JobQueue::longestWait() const {
  Clock::duration Longest{0};
  for (const auto &[Key, EntryLane] : Lanes_)
    if (!EntryLane.Waiting.empty())
      Longest = std::max(Longest,
                         Timers_.now() -
                             EntryLane.Waiting.begin()->second->Work.Arrived);
  return Longest;
}

std::int64_t JobQueue::rank(const PendingWork &Work) const {
  Clock::time_point RankTime = Work.Arrived;
  if (Work.Deadline)
    RankTime = std::min(RankTime, *Work.Deadline - Options_.DeadlineLead);
  // All work ages at the same rate, so the order of two entries does not change
  // over time. Without ageing, one point of priority counts as 11 days of
  // waiting, which outweighs any usual wait. The product of 11 days and the
  // maximum of 5000 points still fits in 64 bits as nanoseconds.
  const Clock::duration PerPoint =
      Options_.AgeingPerPoint > Clock::duration::zero()
          ? Options_.AgeingPerPoint
          : Clock::duration(std::chrono::hours(24 * 11));
  return ticks(RankTime) -
         static_cast<std::int64_t>(std::min(Work.Priority, 5000U)) *
             PerPoint.count();
}

JobQueue::SortKey JobQueue::sortKey(const Entry &Waiting,
                                    Clock::time_point Now) const {
  Team &Owner = *Waiting.EntryLane->OwningTeam;
  if (Owner.RatiosRound != Round_) {
    Owner.MemberRatio = Shares_.memberRatio(Owner.Member);
    Owner.TeamRatio = Shares_.teamRatio(Owner.Member, Owner.Name);
    Owner.RatiosRound = Round_;
  }
  std::int64_t Points = Waiting.Work.Priority;
  if (Options_.AgeingPerPoint > Clock::duration::zero()) {
    // A team that is being served does not age against other teams, so that a
    // large backlog gives no advantage.
    Clock::time_point Since = Waiting.Work.Arrived;
    if (Owner.LastServed)
      Since = std::max(Since, *Owner.LastServed);
    if (Now > Since)
      Points += (Now - Since) / Options_.AgeingPerPoint;
  }
  return {.NegativeLevel =
              -(Points / std::int64_t(Options_.PriorityLevelWidth)),
          .MemberRatio = Owner.MemberRatio,
          .TeamRatio = Owner.TeamRatio,
          .InTeam = Position(Waiting.Rank, Waiting.Sequence)};
}

void JobQueue::invalidateRatios(const std::string &Member) {
  for (auto It = Teams_.lower_bound(std::pair(Member, std::string()));
       It != Teams_.end() && It->first.first == Member; ++It)
    It->second.RatiosRound = 0;
}

bool JobQueue::isPlaceable(const Entry &Waiting, Clock::time_point Now) const {
  return !Waiting.Cancelled &&
         !(Waiting.Work.Deadline && *Waiting.Work.Deadline <= Now);
}

bool JobQueue::findPlaceable(const JobQueue &Queue, const Lane &EntryLane,
                             Order::iterator &At, Clock::time_point Now) {
  while (At != EntryLane.Waiting.end() && !Queue.isPlaceable(*At->second, Now))
    ++At;
  return At != EntryLane.Waiting.end();
}

PendingWork JobQueue::take(Entry &Waiting) {
  Lane &EntryLane = *Waiting.EntryLane;
  EntryLane.Waiting.erase(Position(Waiting.Rank, Waiting.Sequence));
  if (Waiting.Work.Evictable)
    EvictionOrder_.erase(std::tuple(
        Waiting.Work.Priority, -ticks(Waiting.Work.Arrived), Waiting.Sequence));
  if (Waiting.Work.Deadline)
    Deadlines_.erase(std::pair(*Waiting.Work.Deadline, Waiting.Sequence));
  if (EntryLane.Waiting.empty()) {
    Team &Owner = *EntryLane.OwningTeam;
    if (--Owner.Lanes == 0)
      Teams_.erase(std::pair(Owner.Member, Owner.Name));
    Lanes_.erase(LaneKey(EntryLane.Key));
  }
  PendingWork Work = std::move(Waiting.Work);
  Entries_.erase(std::string(Work.Key));
  return Work;
}

std::optional<Clock::time_point>
JobQueue::updateReservation(Entry &Waiting, Clock::time_point Now) const {
  if (Waiting.NoReservationUntil) {
    if (Now < *Waiting.NoReservationUntil)
      return std::nullopt;
    Waiting.NoReservationUntil.reset();
  }
  if (!Waiting.FirstBlocked)
    Waiting.FirstBlocked = Now;
  const Clock::time_point ReservationStart =
      *Waiting.FirstBlocked + Options_.BackfillWindow;
  if (Now < ReservationStart)
    return std::nullopt;
  if (Now < ReservationStart + Waiting.Reservation)
    return ReservationStart + Waiting.Reservation;
  Waiting.FirstBlocked.reset();
  Waiting.NoReservationUntil = Now + Options_.ReservationCooldown;
  Waiting.Reservation =
      std::min(Waiting.Reservation * 2, Options_.MaximumReservation);
  return std::nullopt;
}

} // namespace hickory
