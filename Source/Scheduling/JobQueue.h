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

/// One task, or one gang, that waits to be placed.
struct PendingWork {
  std::string Key; ///< Unique in the queue, for example "<job key>#<index>".
  std::string Member;
  std::string Team;
  std::uint32_t Priority = 100; ///< Higher is more urgent.
  Resources PerTask;
  std::uint32_t Tasks = 1; ///< More than one: a gang, placed all or nothing.
  /// Zero if unknown; Clock::duration::max() for services.
  Clock::duration EstimatedRun{0};
  Clock::time_point Arrived{};
  std::optional<Clock::time_point> Deadline = std::nullopt;
  /// Work that was accepted for good must not be evicted.
  bool Evictable = true;
};

struct JobQueueOptions {
  std::size_t MaximumSize = 100000;
  std::uint32_t UrgentPriority = 1000;
  /// Priorities in the same level are ordered by share across teams.
  std::uint32_t LevelWidth = 100;
  /// Waiting this long counts like one point of priority. Zero: no ageing.
  Clock::duration AgeingPerPoint = std::chrono::seconds(10);
  /// Work this close to its deadline goes ahead as if it had come earlier.
  Clock::duration DeadlineLead = std::chrono::seconds(60);
  /// How long anything may pass work that found no room.
  Clock::duration BackfillWindow = std::chrono::seconds(20);
  /// After the window: how long only work that ends before the hold is over may
  /// pass. Doubles up to MaximumHold each time it was not enough.
  Clock::duration Hold = std::chrono::seconds(60);
  Clock::duration MaximumHold = std::chrono::minutes(10);
  /// After an unsuccessful hold the work lets others pass this long, because it
  /// may be too large ever to be placed.
  Clock::duration Cooldown = std::chrono::seconds(60);
  /// Assumed where EstimatedRun is unknown.
  Clock::duration UnknownRun = std::chrono::minutes(1);
  std::chrono::milliseconds RetryAfter{2000};
};

/// What became of an attempt to place the work at the head of the queue.
enum class PlacementOutcome {
  Placed,     ///< Taken out of the queue.
  NoCapacity, ///< Nothing of this size fits now.
  Skip,       ///< This work cannot go now, others of its size may.
  EndRound,   ///< End the round.
};

/// Pending work in the order in which it should be placed: urgency level,
/// share of member and team, then arrival. Waiting raises both the place within
/// a team and the level among teams, in the end up to that of urgent work; a
/// team that is being served does not rise among teams. Work of one team and
/// size forms a lane, in which only the first is looked at, so that a round
/// does not visit work whose size was refused. All changes take logarithmic
/// time; choosing takes time linear in the number of lanes.
class JobQueue {
public:
  JobQueue(TimerService &Timers, const ShareRatios &Shares,
           JobQueueOptions Options = {});

  /// Returns the work that had to leave, if any. Fails with Overloaded if the
  /// queue is full of work that is no less urgent, Conflict if the key waits
  /// already. Arrived defaults to now.
  Result<std::optional<PendingWork>> enqueue(PendingWork Work);

  /// The work that goes first now, or null.
  [[nodiscard]] const PendingWork *next() const;

  using TryPlace = std::function<PlacementOutcome(const PendingWork &)>;
  /// Offers work in order until Maximum were placed, Stop was returned or no
  /// lane is left. Try must not call the queue. Returns how many were placed.
  std::size_t dispatch(const TryPlace &Try,
                       std::size_t Maximum = static_cast<std::size_t>(-1));

  /// Takes the work out of the queue.
  std::optional<PendingWork> remove(const std::string &Key);
  /// Marks work that must not be placed any more. Unknown keys are ignored.
  void cancel(const std::vector<std::string> &Keys);
  /// Takes out at most Maximum cancelled entries. Call it once per turn, so
  /// that a wave of cancellations does not keep new work waiting.
  std::vector<PendingWork> takeCancelled(std::size_t Maximum = 256);
  /// Takes out work whose deadline has passed.
  std::vector<PendingWork> takeExpired(std::size_t Maximum = 256);

  [[nodiscard]] const PendingWork *find(const std::string &Key) const;
  [[nodiscard]] std::size_t size() const { return Entries_.size(); }
  [[nodiscard]] std::size_t laneCount() const { return Lanes_.size(); }
  /// Longest wait among the heads of all lanes.
  [[nodiscard]] Clock::duration longestWait() const;

private:
  struct Team {
    std::string Member;
    std::string Name;
    std::optional<Clock::time_point> LastServed;
    std::size_t Lanes = 0;
    /// Ratios as of the given round. Asking once per team instead of once per
    /// lane cut a round over 462 lanes from 174 to 73 us.
    std::uint64_t RatiosAsOf = 0;
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
    Lane *Home = nullptr;
    std::optional<Clock::time_point> FirstBlocked;
    std::optional<Clock::time_point> YieldsUntil;
    Clock::duration Hold{0};
    bool Cancelled = false;
  };
  using Position = std::pair<std::int64_t, std::uint64_t>;
  using Order = std::map<Position, Entry *>;
  struct Lane {
    LaneKey Key;
    Team *Owner = nullptr;
    Order Waiting;
  };
  /// How the head of a lane compares with others now; smaller goes first.
  struct Standing {
    std::int64_t NegativeLevel = 0;
    double MemberRatio = 0;
    double TeamRatio = 0;
    Position Place;
    bool operator<(const Standing &Other) const {
      return std::tie(NegativeLevel, MemberRatio, TeamRatio, Place) <
             std::tie(Other.NegativeLevel, Other.MemberRatio, Other.TeamRatio,
                      Other.Place);
    }
  };
  struct Candidate {
    Standing Rating;
    Lane *From = nullptr;
    Order::iterator At;
  };

  [[nodiscard]] std::int64_t rank(const PendingWork &Work) const;
  [[nodiscard]] Standing standing(const Entry &Waiting,
                                  Clock::time_point Now) const;
  /// Makes standing() ask for the shares of the member's teams again.
  void forgetRatios(const std::string &Member);
  [[nodiscard]] bool placeable(const Entry &Waiting,
                               Clock::time_point Now) const;
  /// Moves At to the first placeable entry; false if there is none.
  static bool settle(const JobQueue &Queue, const Lane &From,
                     Order::iterator &At, Clock::time_point Now);
  PendingWork take(Entry &Waiting);
  /// End of the period in which others must not pass, if one is running.
  std::optional<Clock::time_point> noteBlocked(Entry &Waiting,
                                               Clock::time_point Now) const;

  TimerService &Timers_;
  const ShareRatios &Shares_;
  JobQueueOptions Options_;
  std::uint64_t NextSequence_ = 0;
  mutable std::uint64_t Round_ = 0;
  std::unordered_map<std::string, Entry> Entries_;
  std::map<std::pair<std::string, std::string>, Team> Teams_;
  std::map<LaneKey, Lane> Lanes_;
  /// Least urgent first: priority, then latest arrival.
  std::map<std::tuple<std::uint32_t, std::int64_t, std::uint64_t>, Entry *>
      Evictable_;
  std::map<std::pair<Clock::time_point, std::uint64_t>, Entry *> Deadlines_;
  std::deque<std::string> Cancelled_;
};

} // namespace hickory
