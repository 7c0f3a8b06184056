#pragma once

#include "Base/TimerService.h"
#include "Emulator/EmulatorSettings.h"
#include "Emulator/RunPlan.h"
#include "Support/WaiterList.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace hickory::emulator {

/// HTTP status and JSON body of a reply.
struct CallReply {
  int Status = 200;
  json Body = json::object();
};

class EmulatedWorkerPool;

/// Emulates one executor of the platform: it carries out runs under a lease and
/// a fencing token.
class EmulatedWorker {
public:
  EmulatedWorker(EmulatedWorkerPool &Pool, std::string Id, int Index);

  /// Handles /api/run-start. ExpectedWorker is the worker that the caller
  /// expects; empty if the caller expects none. A repeated start is accepted
  /// and has no effect.
  CallReply start(const json &Body, const std::string &ExpectedWorker);
  /// Handles /api/run-stop. The run ends EmulatorSettings::StopDuration after
  /// the first stop. A run that does not exist is accepted.
  CallReply stop(const json &Body, const std::string &ExpectedWorker);
  /// Handles /api/hold: renews the lease, removes the acknowledged finished
  /// runs and returns the running and the finished ones. If no run is finished,
  /// waits until one is, at most for the time that the caller gives.
  asio::awaitable<CallReply> hold(json Body, std::string ExpectedWorker);

  /// Restarts the worker under the same id: drops all runs and loses its lease,
  /// its fencing token and its finished runs. Has no effect on a worker that
  /// has crashed and is not back yet.
  void restart();
  /// The worker's entry in the platform's registry.
  [[nodiscard]] json registryEntry() const;
  [[nodiscard]] const std::string &id() const { return Id_; }
  [[nodiscard]] std::int64_t bootTimeMs() const { return BootTimeMs_; }
  [[nodiscard]] std::size_t runningCount() const { return Runs_.size(); }
  [[nodiscard]] int crashCount() const { return CrashCount_; }
  /// Returns the highest fencing token that the worker has seen.
  [[nodiscard]] std::int64_t fencingToken() const { return FencingToken_; }

  std::string Address;
  /// Called with false when the worker crashes, which breaks its connections,
  /// and with true when it is back.
  std::function<void(bool IsUp)> SetListening;

private:
  friend class EmulatedWorkerPool;
  struct ActiveRun {
    std::string Task;
    int RunNumber = 0;
    RunPlan Plan;
    Clock::time_point WorkStart{};
    bool IsWorking = false;
    bool IsStopping = false;
    Subscription Timer;
    Subscription CrashTimer;
  };
  struct FinishedRun {
    std::int64_t Sequence = 0;
    std::string Task;
    int RunNumber = 0;
    std::string Outcome;
  };

  /// Time since the worker booted.
  [[nodiscard]] milliseconds workerClock() const;
  [[nodiscard]] CallReply makeReply(int Status, const char *Reason) const;
  /// Returns a rejection if the call is malformed, is meant for another worker
  /// or has a lower fencing token than an earlier call; otherwise stores the
  /// token and returns nothing.
  std::optional<CallReply> checkCall(const json &Body,
                                     const std::string &ExpectedWorker);
  /// Extends the lease to Until, but at most to MaximumLease from now.
  void extendLease(milliseconds Until);
  /// Ends all runs.
  void expireLease();
  [[nodiscard]] bool hasCapacity(const RunPlan &Plan) const;
  void startRun(const std::string &Key, const json &Body, RunPlan Plan);
  void startWork(const std::string &Key);
  void finishRun(const std::string &Key, const std::string &Outcome);
  /// Ends the worker's process with all its runs and state. Returns the runs,
  /// because this call may be made from the callback of one of their timers.
  std::map<std::string, ActiveRun> endProcess();
  void startProcess();
  /// Crashes the worker under a run; it is back after
  /// EmulatorSettings::CrashDowntime, after every second crash in the pool
  /// under a new id.
  void crash(const std::string &Key);
  void comeBack(bool HasNewId);
  void recordEvent(json Event) const;

  EmulatedWorkerPool &Pool_;
  std::string Id_;
  int Index_;
  int IdCount_ = 1; ///< Ids that the worker has had.
  int CrashCount_ = 0;
  bool IsDown_ = false; ///< It has crashed and is not back yet.
  Subscription ReturnTimer_;
  std::int64_t BootTimeMs_ = 0; ///< Unix milliseconds.
  Clock::time_point ClockStart_{};
  std::int64_t FencingToken_ = 0;
  std::optional<milliseconds> LeaseEnd_;
  Subscription LeaseTimer_;
  std::map<std::string, ActiveRun> Runs_; ///< By task and run number.
  /// Highest run number of each task that has ended or been stopped.
  std::map<std::string, int> HighestEndedRun_;
  std::deque<FinishedRun> FinishedRuns_;
  std::int64_t LastFinishedSequence_ = 0;
  WaiterList HoldWaiters_;
};

/// All workers, their gangs, and the tickets that the adviser has issued.
class EmulatedWorkerPool {
public:
  using EventRecorder = std::function<void(json)>;
  /// Puts a worker's entry into the registry; null removes it.
  using Registrar = std::function<void(const std::string &, const json &)>;

  EmulatedWorkerPool(TimerService &Timers, const EmulatorSettings &Settings,
                     std::uint64_t Seed, EventRecorder RecordEvent,
                     Registrar Register);

  [[nodiscard]] std::vector<std::unique_ptr<EmulatedWorker>> &workers() {
    return Workers_;
  }
  EmulatedWorker *find(const std::string &Id);
  /// Whether the adviser lets a worker run a step.
  [[nodiscard]] bool isApproved(const std::string &Step,
                                const std::string &Worker) const;
  [[nodiscard]] int crashCount() const { return CrashCount_; }
  /// Issues a ticket that lets a worker run a step until the ticket expires.
  std::string issueTicket(const std::string &Step,
                          const EmulatedWorker &Worker);

private:
  friend class EmulatedWorker;
  struct GangMember {
    EmulatedWorker *Worker = nullptr;
    std::string Key;
  };
  struct Gang {
    std::vector<GangMember> Members;
    bool IsComplete = false;
    Subscription Timer;
  };

  [[nodiscard]] const RouteSettings *route(const std::string &Queue) const;
  [[nodiscard]] bool hasValidTicket(const RunPlan &Plan,
                                    const EmulatedWorker &Worker,
                                    const std::string &Ticket) const;
  /// Adds a run to its gang. The gang starts to work when it is complete; its
  /// runs end as `alone` if it is not complete within GangTimeout.
  void joinGang(EmulatedWorker &Worker, const std::string &Key);
  /// Removes a run that has ended from its gang. The other runs of a complete
  /// gang end as `broken`.
  void leaveGang(const EmulatedWorker &Worker, const std::string &Key,
                 const RunPlan &Plan, int RunNumber);
  void endGang(const std::string &Name, const std::string &Outcome);

  TimerService &Timers_;
  const EmulatorSettings &Settings_;
  std::uint64_t Seed_;
  EventRecorder RecordEvent_;
  Registrar Register_;
  std::vector<std::unique_ptr<EmulatedWorker>> Workers_;
  std::map<std::string, Gang> Gangs_;
  std::map<std::string, Clock::time_point> Tickets_; ///< Expiry times.
  int CrashCount_ = 0; ///< Crashes of all workers.
};

} // namespace hickory::emulator
