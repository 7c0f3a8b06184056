// Stand-ins for the scripts of the review: the platform (the project's
// emulated store, executors that follow PROTOCOL.md, an operator), clients and
// the hickory-cell processes. All addresses are loopback addresses.
#pragma once

#include "Base/AsioTimerService.h"
#include "Cell/ShardMap.h"
#include "Emulator/EmulatedStore.h"
#include "Http/CurlHttpClient.h"
#include "StandIns/StandInServer.h"
#include "StandIns/StandInSupport.h"
#include "Support/ChildProcess.h"
#include "Support/WaiterList.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

using namespace hickory;
using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;

class Rig;

/// An executor as PROTOCOL.md describes it. It starts whatever it is told to
/// start (`admission-check` is false).
class Executor {
public:
  Executor(Rig &Owner, std::string Id, int Index, std::string Kind);

  /// The process ends: its connections break, its runs and all that it knows
  /// are gone.
  void crash();
  /// The process starts again under its id, at its address.
  void startAgain(std::string Kind);
  /// Cuts the executor off from the machines and from the store; it runs on.
  /// Silent: calls get no answer. Otherwise connections are refused.
  void cut(bool Silent);
  /// The next heartbeat comes when it is due.
  void heal();
  /// Reports `draining`; the executor runs on and takes what it is given.
  void drain();

  [[nodiscard]] const std::string &id() const { return Id_; }
  [[nodiscard]] const std::string &kind() const { return Kind_; }
  [[nodiscard]] bool isUp() const { return Up_; }
  [[nodiscard]] bool isCut() const { return Cut_; }
  [[nodiscard]] std::size_t runCount() const { return Runs_.size(); }
  [[nodiscard]] std::vector<std::string> runningTasks() const;
  [[nodiscard]] bool runs(const std::string &Task) const;
  [[nodiscard]] std::int64_t fencesAnswered() const { return Fences_; }

private:
  friend class Rig;
  struct Run {
    std::string Task;
    int Number = 0;
    json Spec;
    bool Stopping = false;
    Clock::time_point WorkStart{};
    Subscription Timer;
  };
  struct End {
    std::int64_t Number = 0;
    std::string Task;
    int Run = 0;
    std::string How;
  };
  using Answer = std::optional<StandInServer::Reply>;

  asio::awaitable<Answer> handle(StandInServer::Request Incoming);
  asio::awaitable<Answer> execute(StandInServer::Request Incoming);
  asio::awaitable<json> hold(json Body, std::uint64_t Life, int &Status);
  json start(const json &Body, int &Status);
  json stop(const json &Body);
  json lists() const;
  [[nodiscard]] std::int64_t clockMs() const;
  [[nodiscard]] json own() const {
    return {{"clock-ms", clockMs()}, {"born", Born_}};
  }
  void extend(const json &Body);
  void lapse();
  void finish(const std::string &Key, const std::string &How);
  void beat();
  asio::awaitable<void> beatLoop();
  void record(json Event) const;

  Rig &Rig_;
  std::string Id_;
  int Index_;
  std::string Kind_;
  bool Up_ = true;
  bool Cut_ = false;
  bool SilentCut_ = false;
  bool Draining_ = false;
  std::uint64_t Life_ = 0;
  std::int64_t Born_ = 0;
  Clock::time_point ClockStart_{};
  std::int64_t Token_ = 0;
  std::int64_t Fences_ = 0;
  std::int64_t LeaseEnd_ = 0;
  Subscription LeaseTimer_;
  std::map<std::string, Run> Runs_;
  std::map<std::string, int> Highest_;
  std::vector<End> Ends_;
  std::int64_t LastNumber_ = 0;
  std::int64_t Beats_ = 0;
  Clock::time_point LastBeat_{};
  bool Listed_ = false;
  WaiterList Waiters_;
  std::unique_ptr<StandInServer> Server_;
};

struct Options {
  std::string Folder; ///< Folder of the case; receives record.txt.
  std::string Program = "target/bin/hickory-cell";
  bool Trouble = true;
  int Instances = 3;
  int Executors = 12;
};

struct Cell {
  std::string Name;
  std::string Ip;
  std::vector<std::uint16_t> Ports; ///< front, ready, control, internal.
  std::string SettingsFile;
  std::unique_ptr<ChildProcess> Process;
};

class Rig {
public:
  explicit Rig(Options Given);
  void removeFolder();

  /// Starts the executors and the hickory-cell processes. Returns false if they
  /// aren't ready within 20 s.
  asio::awaitable<bool> start();
  void stop();
  /// Adds an executor.
  Executor &add(std::string Id, std::string Kind);

  struct HttpAnswer {
    int Status = 0; ///< 0: no answer.
    json Body;
  };
  /// A call of a client at the front address of an instance.
  asio::awaitable<HttpAnswer> call(std::string Method, std::string Id,
                                   std::string Body = "", int Instance = -1);
  /// Submits a job as a client does: again after no answer, 502, 504, and
  /// after the time that Retry-After names. Returns true once it is accepted.
  asio::awaitable<bool> submit(std::string Id, json Job);
  asio::awaitable<std::string> stateOf(std::string Id);

  void record(json Event);
  /// A violation of the rule that the case checks.
  void violation(const std::string &Rule, json Event);
  void setListed(Executor &Subject, const std::string &Value);

  /// The shards that the group has dealt out, by the log of the instances:
  /// shard to epoch.
  [[nodiscard]] std::map<int, std::uint64_t> heldEpochs() const;

  asio::io_context Context{1};
  AsioTimerService Timers{Context};
  Options Settings;
  emulator::EmulatorSettings StoreSettings;
  std::unique_ptr<emulator::EmulatedStore> Store;
  std::vector<std::unique_ptr<Executor>> Executors;
  std::vector<Cell> Cells;
  int Violations = 0;
  /// Called for each run that an executor begins or ends.
  std::function<void(Executor &, const std::string &Task, int Run)> OnStarted;
  std::function<void(Executor &, const std::string &Task, int Run,
                     const std::string &How)>
      OnEnded;
  /// Called for each end that a hold acknowledges.
  std::function<void(Executor &, const std::string &Task, int Run,
                     const std::string &How)>
      OnAcknowledged;
  /// While set, the store answers each call this much later.
  milliseconds StoreDelay{0};
  json Routes;

private:
  asio::awaitable<std::optional<StandInServer::Reply>>
  answerStore(StandInServer::Request Incoming);
  void startCell(Cell &Started);

  CurlHttpClient Client_;
  std::unique_ptr<StandInServer> StoreServer_;
  std::unique_ptr<StandInServer> AdviserServer_;
  std::unique_ptr<HistoryFile> Record_;
  Clock::time_point Begin_{};
  int NextInstance_ = 0;
  std::string WorkFolder_;
};

/// A job of one step.
json oneStep(int Count, int Cpu, int WorkMs, const std::string &Label = "");
std::string jobId(int Number);

} // namespace review
