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

struct CallReply {
  int Status = 200;
  json Body = json::object();
};

class WorkerFarm;

/// One executor of the platform.
class EmulatedWorker {
public:
  EmulatedWorker(WorkerFarm &Farm, std::string Id, int Number);

  CallReply start(const json &Body, const std::string &Instance);
  CallReply stop(const json &Body, const std::string &Instance);
  asio::awaitable<CallReply> hold(json Body, std::string Instance);

  /// Ends all runs at once and forgets everything, under the same id.
  void restart();
  /// What the worker says of itself.
  [[nodiscard]] json entry() const;
  [[nodiscard]] const std::string &id() const { return Id_; }
  [[nodiscard]] std::int64_t born() const { return Born_; }
  [[nodiscard]] std::size_t running() const { return Runs_.size(); }

  std::string Address;

private:
  friend class WorkerFarm;
  struct Run {
    std::string Task;
    int Number = 0;
    RunPlan Plan;
    Clock::time_point WorksSince{};
    bool Working = false;
    bool Stopping = false;
    Subscription Timer;
  };
  struct End {
    std::int64_t Number = 0;
    std::string Task;
    int Run = 0;
    std::string How;
  };

  [[nodiscard]] milliseconds clockNow() const;
  [[nodiscard]] CallReply answer(int Status, const char *Reason) const;
  /// A refusal if the call is for another instance or its token is too low.
  std::optional<CallReply> refuse(const json &Body,
                                  const std::string &Instance);
  void extendLease(milliseconds Until);
  void leaseEnded();
  [[nodiscard]] bool hasRoom(const RunPlan &Plan) const;
  void begin(const std::string &Key, const json &Body, RunPlan Plan);
  void work(const std::string &Key);
  void finish(const std::string &Key, const std::string &How);
  void note(json Event) const;

  WorkerFarm &Farm_;
  std::string Id_;
  int Number_;
  std::int64_t Born_ = 0; ///< Unix milliseconds.
  Clock::time_point Start_{};
  std::int64_t Fence_ = 0;
  std::optional<milliseconds> LeaseEnd_;
  Subscription LeaseTimer_;
  std::map<std::string, Run> Runs_; ///< By task and run.
  std::map<std::string, int> HighestEnded_;
  std::deque<End> Ends_;
  std::int64_t LastEnd_ = 0;
  WaiterList Waiting_;
};

/// All workers, the gangs that span them, and the tickets of the adviser.
class WorkerFarm {
public:
  using History = std::function<void(json)>;
  using Registry = std::function<void(const std::string &, const json &)>;

  WorkerFarm(TimerService &Timers, const EmulatorSettings &Settings,
             std::uint64_t Seed, History Note, Registry Register);

  [[nodiscard]] std::vector<std::unique_ptr<EmulatedWorker>> &workers() {
    return Workers_;
  }
  EmulatedWorker *find(const std::string &Id);
  [[nodiscard]] bool isGood(const std::string &Step,
                            const std::string &Worker) const;
  /// A ticket for a step on a worker, valid from now on.
  std::string ticket(const std::string &Step, const EmulatedWorker &Worker);

private:
  friend class EmulatedWorker;
  struct Member {
    EmulatedWorker *Worker = nullptr;
    std::string Key;
  };
  struct Gang {
    std::vector<Member> Members;
    bool Complete = false;
    Subscription Timer;
  };

  [[nodiscard]] const RouteSettings *route(const std::string &Queue) const;
  [[nodiscard]] bool holdsTicket(const RunPlan &Plan,
                                 const EmulatedWorker &Worker,
                                 const std::string &Ticket) const;
  void joinGang(EmulatedWorker &Worker, const std::string &Key);
  /// A member ended by itself; the others of a complete gang end `broken`.
  void leaveGang(const EmulatedWorker &Worker, const std::string &Key,
                 const RunPlan &Plan, int Run);
  void endGang(const std::string &Name, const std::string &How);

  TimerService &Timers_;
  const EmulatorSettings &Settings_;
  std::uint64_t Seed_;
  History Note_;
  Registry Register_;
  std::vector<std::unique_ptr<EmulatedWorker>> Workers_;
  std::map<std::string, Gang> Gangs_;
  std::map<std::string, Clock::time_point> Tickets_; ///< Ends of validity.
};

} // namespace hickory::emulator
