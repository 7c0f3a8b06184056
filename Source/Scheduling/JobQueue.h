#pragma once

#include "Base/Error.h"
#include "Base/TimerService.h"
#include "Scheduling/Resources.h"
#include "Scheduling/ShareRatios.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace hickory {

/// A task or a gang that waits to be placed.
struct PendingWork {
  std::string Key; ///< Unique in the queue, for example "<job key>#<index>".
  std::string Member;
  std::string Team;
  std::uint32_t Priority = 100; ///< Higher is more urgent.
  Resources PerTask;
  std::uint32_t Tasks = 1; ///< A gang if above 1; it is placed all or nothing.
  /// Zero if unknown, Clock::duration::max() for services.
  Clock::duration EstimatedRun{0};
  Clock::time_point Arrived{};
  std::optional<Clock::time_point> Deadline = std::nullopt;
  /// False for accepted work, which must not be evicted from a full queue.
  bool Evictable = true;
};

struct JobQueueOptions {
  std::size_t MaximumSize = 100000;
  std::uint32_t UrgentPriority = 1000;
  /// Number of priorities per level. Within a level, teams are ordered by share
  /// and not by priority.
  std::uint32_t PriorityLevelWidth = 100;
  /// Waiting time that counts as much as one point of priority. Zero disables
  /// ageing.
  Clock::duration AgeingPerPoint = std::chrono::seconds(10);
  /// Work is ranked as if it had arrived this long before its deadline, if that
  /// is earlier than its arrival.
  Clock::duration DeadlineLead = std::chrono::seconds(60);
  /// Time in which any other work may be placed ahead of work that did not fit.
  Clock::duration BackfillWindow = std::chrono::seconds(20);
  /// Length of the reservation after the window: only work that is expected to
  /// end within it may be placed ahead. Doubles up to MaximumReservation each
  /// time the blocked work still did not fit.
  Clock::duration Reservation = std::chrono::seconds(60);
  Clock::duration MaximumReservation = std::chrono::minutes(10);
  /// After an unsuccessful reservation, time in which the blocked work makes no
  /// reservation, because it may be too large ever to be placed.
  Clock::duration ReservationCooldown = std::chrono::seconds(60);
  /// Assumed for work whose EstimatedRun is unknown.
  Clock::duration AssumedRun = std::chrono::minutes(1);
  std::chrono::milliseconds RetryAfter{2000};
};

/// Result of an attempt to place the work at the head of the queue.
enum class PlacementOutcome {
  Placed,     ///< The work leaves the queue.
  NoCapacity, ///< No work of this size fits now.
  Skip,       ///< This work cannot be placed now; other work of its size may.
  EndRound,   ///< Stop dispatching.
};

/// Queue of pending work, ordered by priority level, share of member and team,
/// then arrival. Ageing raises both the rank of work within its team and its
/// level among teams; a team that is being served does not age against other
/// teams. Work of one team and size forms a lane, of which a round examines
/// only the head, so that it does not visit work whose size did not fit. All
/// changes take logarithmic time; choosing takes time linear in the number of
/// lanes.
class JobQueue {
public:
  JobQueue(TimerService &Timers, const ShareRatios &Shares,
           JobQueueOptions Options = {});

  /// Adds work and returns the work that was evicted for it, if any. Fails with
  /// Overloaded if the queue is full and no evictable work has a lower
  /// priority, with Conflict if the key is queued already, and with
  /// InvalidArgument if Work.Tasks is 0. Arrived defaults to now.
  Result<std::optional<PendingWork>> enqueue(PendingWork Work);

  /// Returns the work that would be placed first now, or null.
  [[nodiscard]] const PendingWork *next() const;

  using TryPlace = std::function<PlacementOutcome(const PendingWork &)>;
  /// Calls Try with work in order until Maximum entries are placed, Try returns
  /// EndRound or no lane is left. Try must not call the queue. Returns the
  /// number of entries placed.
  std::size_t dispatch(const TryPlace &Try,
                       std::size_t Maximum = static_cast<std::size_t>(-1));

  /// Removes and returns the work; nothing if the key is unknown.
  std::optional<PendingWork> remove(const std::string &Key);
  /// Marks work as cancelled, so that it is no longer placed. Unknown keys are
  /// ignored.
  void cancel(const std::vector<std::string> &Keys);
  /// Removes and returns at most Maximum cancelled entries. Call it once per
  /// turn of the event loop, so that a mass cancellation does not delay new
  /// work.
  std::vector<PendingWork> takeCancelled(std::size_t Maximum = 256);
  /// Removes and returns work whose deadline has passed, at most Maximum
  /// entries.
  std::vector<PendingWork> takeExpired(std::size_t Maximum = 256);

  [[nodiscard]] const PendingWork *find(const std::string &Key) const;
  [[nodiscard]] std::size_t size() const { return Entries_.size(); }
  [[nodiscard]] std::size_t laneCount() const { return Lanes_.size(); }
  /// Longest waiting time among the heads of all lanes.
  [[nodiscard]] Clock::duration longestWait() const;

private:
  struct Team {
    std::string Member;
    std::string Name;
    std::optional<Clock::time_point> LastServed;
    std::size_t Lanes = 0;
    /// Round in which the ratios below were computed. Computing them once per
    /// team instead of once per lane cut a round over 462 lanes from 174 to
    /// 73 us.
    std::uint64_t RatiosRound = 0;
    double MemberRatio = 0;
    double TeamRatio = 0;
  };
  struct LaneKey {
    std::string Member;
    std::string Team;
    std::uint64_t CpusMilli = 0;
    std::uint64_t MemoryMb = 0;
    std::uint64_t Accelerators = 0;
    std::uint32_t Tasks = 0;
    bool Urgent = false;
    bool operator<(const LaneKey &Other) const {
      return std::tie(Member, Team, CpusMilli, MemoryMb, Accelerators, Tasks,
                      Urgent) <
             std::tie(Other.Member, Other.Team, Other.CpusMilli, Other.MemoryMb,
                      Other.Accelerators, Other.Tasks, Other.Urgent);
    }
  };
  struct Lane;
  struct Entry {
    PendingWork Work;
    std::int64_t Rank = 0;
    std::uint64_t Sequence = 0;
    Lane *EntryLane = nullptr;
    std::optional<Clock::time_point> FirstBlocked;
    std::optional<Clock::time_point> NoReservationUntil;
    Clock::duration Reservation{0};
    bool Cancelled = false;
  };
  using Position = std::pair<std::int64_t, std::uint64_t>;
  using Order = std::map<Position, Entry *>;
  struct Lane {
    LaneKey Key;
    Team *OwningTeam = nullptr;
    Order Waiting;
  };
  /// Sort key of an entry in the present round; smaller goes first.
  struct SortKey {
    std::int64_t NegativeLevel = 0;
    double MemberRatio = 0;
    double TeamRatio = 0;
    Position InTeam;
    bool operator<(const SortKey &Other) const {
      return std::tie(NegativeLevel, MemberRatio, TeamRatio, InTeam) <
             std::tie(Other.NegativeLevel, Other.MemberRatio, Other.TeamRatio,
                      Other.InTeam);
    }
  };
  struct Candidate {
    SortKey CachedKey;
    Lane *EntryLane = nullptr;
    Order::iterator At;
  };

  [[nodiscard]] std::int64_t rank(const PendingWork &Work) const;
  [[nodiscard]] SortKey sortKey(const Entry &Waiting,
                                Clock::time_point Now) const;
  /// Makes sortKey() compute the ratios of the member's teams again.
  void invalidateRatios(const std::string &Member);
  [[nodiscard]] bool isPlaceable(const Entry &Waiting,
                                 Clock::time_point Now) const;
  /// Advances At to the next placeable entry of the lane; returns false if
  /// there is none.
  static bool findPlaceable(const JobQueue &Queue, const Lane &EntryLane,
                            Order::iterator &At, Clock::time_point Now);
  PendingWork take(Entry &Waiting);
  /// Updates the reservation of work that does not fit. Returns its end, or
  /// nothing if none is active.
  std::optional<Clock::time_point>
  updateReservation(Entry &Waiting, Clock::time_point Now) const;

  TimerService &Timers_;
  const ShareRatios &Shares_;
  JobQueueOptions Options_;
  std::uint64_t NextSequence_ = 0;
  mutable std::uint64_t Round_ = 0;
  std::unordered_map<std::string, Entry> Entries_;
  std::map<std::pair<std::string, std::string>, Team> Teams_;
  std::map<LaneKey, Lane> Lanes_;
  /// Eviction order: lowest priority, then latest arrival.
  std::map<std::tuple<std::uint32_t, std::int64_t, std::uint64_t>, Entry *>
      EvictionOrder_;
  std::map<std::pair<Clock::time_point, std::uint64_t>, Entry *> Deadlines_;
  std::deque<std::string> Cancelled_;
};

} // namespace hickory
