#pragma once

#include "Base/EventLog.h"
#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Cell/PeerMessages.h"
#include "Cell/RunFloor.h"
#include "Cell/WorkerClient.h"
#include "Cell/WorkerHealth.h"
#include "Work/JobProgress.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

struct WorkerAgentOptions {
  /// Running tasks are killed when no order renews their lease for so long.
  std::chrono::milliseconds Lease{6000};
  std::chrono::milliseconds HoldWait{1500};
  std::chrono::milliseconds StartTimeout{700};
  std::chrono::milliseconds StopTimeout{700};
  /// A worker answers a hold at once while it lists ends that are not
  /// acknowledged, so that the next hold waits for that.
  std::chrono::milliseconds DeliveryWait{100};
  /// A reservation that is not used ends after so long.
  std::chrono::milliseconds ReservationTime{1000};
  /// Much longer than an order between instances may be on its way.
  std::chrono::seconds FloorLifetime{30};
  /// Least time between two holds, so that ends share one.
  std::chrono::milliseconds HoldPause{15};
};

/// Holds one worker for the holder of its shard: commits its capacity, sends
/// orders, renews the lease and learns of ends.
///
/// What runs on a worker is read from the worker, never from storage. Until
/// the first answer nothing is known (not resolved) and nothing is started.
class WorkerAgent : public std::enable_shared_from_this<WorkerAgent> {
public:
  struct Callbacks {
    std::function<void()> Fenced;      ///< A later epoch ordered this worker.
    std::function<void()> EndsChanged; ///< There are new undelivered ends.
    /// True if no later holder existed when this was called, which the shard's
    /// journal proves.
    std::function<asio::awaitable<bool>()> ProveTerm;
  };

  WorkerAgent(const asio::any_io_executor &Executor, TimerService &Timers,
              WorkerClient &Client, EventLog &Events, WorkerEntry Entry,
              std::uint64_t Epoch, Callbacks Listener,
              WorkerAgentOptions Options);

  /// Holds the worker until stop().
  asio::awaitable<void> run();
  void stop();

  /// The shard's journal names the worker, so that a successor finds it even
  /// if the platform's list does not have it. Nothing is started before.
  void recorded() { Recorded_ = true; }
  [[nodiscard]] bool isRecorded() const { return Recorded_; }

  /// The platform's list changed.
  void update(const WorkerEntry &Entry);
  void unlisted();
  /// True if nothing can run there any more and nobody lists it.
  [[nodiscard]] bool finished() const;

  /// Keeps the room for a start that follows soon. This and start() are
  /// idempotent by task and run: a repeated order changes nothing, and an order
  /// that was refused once is always refused.
  PlaceResult reserve(const PlaceOrder &Order);
  asio::awaitable<PlaceResult> start(PlaceOrder Order);
  /// Makes sure that the run does not go on or start. Its end is reported.
  void stopRun(const std::string &Task, int Run);
  /// The demand of a run that this process did not start.
  void learnDemand(const RunDemand &Known);
  /// Stops preemptible runs of lower priority, no more than needed, so that the
  /// demand will fit. Returns how many; none if that is not enough.
  int preempt(const Resources &Demand, int Priority);

  [[nodiscard]] WorkerLoad load() const;
  [[nodiscard]] const WorkerEntry &entry() const { return Entry_; }
  [[nodiscard]] std::vector<RunReport> runs() const;
  [[nodiscard]] std::vector<EndReport> undelivered() const;
  /// The end is safe with the job's owner and may be forgotten here.
  void accepted(const EndReport &End);

private:
  enum class Phase { Reserved, Starting, Running, Stopping, Ended };
  struct Run {
    Phase State = Phase::Starting;
    Resources Demand;
    bool DemandKnown = false;
    std::string Checkpoint;
    /// Time of the reservation, the start or, stopping, the stop.
    Clock::time_point ConfirmedAt{};
    bool Confirmed = false;
    RunOutcome How = RunOutcome::Lost;
    std::int64_t EndNumber = 0; ///< 0: the worker does not list this end.
    int Priority = 0;
    bool Preemptible = false;
    bool NeverOrdered = false; ///< Stopped before its order came.
  };
  using Key = std::pair<std::string, int>;

  [[nodiscard]] std::int64_t token() const;
  [[nodiscard]] std::chrono::milliseconds clockNow() const;
  [[nodiscard]] std::chrono::milliseconds extendLease();
  /// True if the lease ended at least so long ago.
  [[nodiscard]] bool leaseLapsed(std::chrono::milliseconds Since = {}) const;
  [[nodiscard]] Resources committed() const;

  void applyHold(const HoldReply &Reply, Clock::time_point SentAt);
  void applyRunning(const RunningTask &Row);
  void applyEnded(const EndedTask &Row);
  void endMissing(const std::set<Key> &Listed, Clock::time_point SentAt);
  void setClock(std::chrono::milliseconds ClockNow);
  void reborn(std::int64_t Born);
  void endAll(RunOutcome How);
  void end(Run &Item, RunOutcome How, std::int64_t Number);
  void holdFailed();
  /// Concludes that nothing runs there any more once the lease has ended.
  asio::awaitable<void> concludeLapse(bool Refused);
  asio::awaitable<void> stopUntilAnswered(Key Name);
  void judge();
  void dropOldReservations();
  /// The answer to an order that was taken before, if it was.
  [[nodiscard]] std::optional<PlaceResult>
  repeatedAnswer(const Key &Name) const;
  PlaceResult rejected(const Key &Name, const std::string &Reason);
  [[nodiscard]] std::optional<std::string> refusalOf(const PlaceOrder &Order);
  [[nodiscard]] std::int64_t acknowledged() const;

  asio::any_io_executor Executor_;
  TimerService &Timers_;
  WorkerClient &Client_;
  EventLog &Events_;
  WorkerEntry Entry_;
  std::uint64_t Epoch_;
  Callbacks Listener_;
  WorkerAgentOptions Options_;
  std::map<Key, Run> Runs_;
  RunFloor Floor_;
  std::set<std::int64_t> OpenEnds_;   ///< Numbers listed and not delivered.
  std::set<std::int64_t> ClosedEnds_; ///< Delivered, not yet acknowledged.
  std::int64_t HighestEnd_ = 0;
  std::int64_t Incarnations_ = 0;
  std::int64_t Born_ = 0;
  std::chrono::milliseconds Clock_{0};
  Clock::time_point ClockAt_{};
  Clock::time_point LastExtension_;
  WorkerHealth Health_;
  Notifier Delivered_;
  bool ClockKnown_ = false;
  bool Resolved_ = false;
  bool Reachable_ = false;
  bool Healthy_ = true;
  bool Listed_ = true;
  bool Recorded_ = false;
  bool Suspect_ = false;
  bool Stopping_ = false;
};

} // namespace hickory
