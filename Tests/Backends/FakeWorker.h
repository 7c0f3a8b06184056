#pragma once

#include "Base/TimerService.h"
#include "Http/HttpClient.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// What happened on all workers of a test; the ground truth for its checks.
struct WorkerHistory {
  int OverCapacity = 0;
  int RanTwice = 0;
  int LateStarts = 0;
  int Starts = 0;
  std::map<std::string, int> RunningByName;
  std::vector<std::string> Ran; ///< "<name>/<attempt>" of each start that ran.
};

/// A worker in the test's time. Checks nothing but lease ends, like the real
/// ones.
class FakeWorker {
public:
  FakeWorker(TimerService &Timers, WorkerHistory &History, std::string Name,
             std::int64_t CpusMilli, std::int64_t MemoryMb,
             std::int64_t ClockOffsetMs)
      : Timers_(Timers), History_(History), Name_(std::move(Name)),
        CpusMilli_(CpusMilli), MemoryMb_(MemoryMb),
        ClockOffsetMs_(ClockOffsetMs) {}

  bool FailStarts = false;
  std::string State = "live";

  HttpClientResponse handle(const HttpClientRequest &Request) {
    settle();
    if (Request.Method == "POST") {
      const auto Body = nlohmann::json::parse(Request.Body);
      for (const auto &Command : Body.at("commands"))
        apply(Command);
      const auto Until = Body.at("renew_until_ms").get<std::int64_t>();
      for (auto &[Key, Item] : Tasks_)
        if (Item.State == "running")
          Item.LeaseUntilMs = std::max(Item.LeaseUntilMs, Until);
    }
    HttpClientResponse Reply;
    Reply.Status = 200;
    Reply.Body = report().dump();
    return Reply;
  }

  /// All tasks are lost and the boot id changes.
  void restart() {
    settle();
    for (auto &[Key, Item] : Tasks_)
      end(Key, Item, "dropped");
    Tasks_.clear();
    ++Boot_;
  }

  void finish(const std::string &Name, const std::string &How = "done") {
    settle();
    for (auto &[Key, Item] : Tasks_)
      if (Key.first == Name && Item.State == "running")
        end(Key, Item, How);
  }

  /// A task that another rack owner started.
  void startHere(const std::string &Name, std::uint32_t Attempt,
                 std::int64_t Cpus, std::int64_t Memory) {
    apply({{"op", "start"},
           {"task", Name},
           {"attempt", Attempt},
           {"lease_until_ms", clockMs() + 60000},
           {"cpus_milli", Cpus},
           {"memory_mb", Memory},
           {"accelerators", 0},
           {"run_ms", 0}});
  }

  [[nodiscard]] std::int64_t clockMs() const {
    return ClockOffsetMs_ +
           std::chrono::duration_cast<std::chrono::milliseconds>(
               Timers_.now().time_since_epoch())
               .count();
  }
  [[nodiscard]] std::vector<std::string> running() {
    settle();
    std::vector<std::string> Names;
    for (const auto &[Key, Item] : Tasks_)
      if (Item.State == "running")
        Names.push_back(Key.first);
    return Names;
  }
  [[nodiscard]] std::size_t listed() const { return Tasks_.size(); }

  /// Ends tasks whose lease or run time is over.
  void settle() {
    const std::int64_t Now = clockMs();
    for (auto &[Key, Item] : Tasks_) {
      if (Item.State != "running")
        continue;
      if (Item.LeaseUntilMs <= Now && Item.LeaseUntilMs < Item.DoneAtMs)
        end(Key, Item, "expired");
      else if (Item.DoneAtMs <= Now)
        end(Key, Item, "done");
    }
  }

private:
  using Key = std::pair<std::string, std::uint32_t>;
  struct Task {
    std::string State = "running";
    std::int64_t LeaseUntilMs = 0;
    std::int64_t DoneAtMs = 0;
    std::int64_t Cpus = 0;
    std::int64_t Memory = 0;
  };

  void apply(const nlohmann::json &Command) {
    const Key Id{Command.at("task").get<std::string>(),
                 Command.at("attempt").get<std::uint32_t>()};
    const auto Operation = Command.at("op").get<std::string>();
    const auto It = Tasks_.find(Id);
    if (Operation == "stop" && It != Tasks_.end() &&
        It->second.State == "running")
      end(Id, It->second, "stopped");
    else if (Operation == "forget" && It != Tasks_.end() &&
             It->second.State != "running")
      Tasks_.erase(It);
    if (Operation != "start" || It != Tasks_.end())
      return;
    Task Item;
    Item.LeaseUntilMs = Command.at("lease_until_ms").get<std::int64_t>();
    if (clockMs() >= Item.LeaseUntilMs) {
      ++History_.LateStarts;
      return;
    }
    const auto RunMs = Command.at("run_ms").get<std::int64_t>();
    Item.DoneAtMs = RunMs > 0 ? clockMs() + RunMs : INT64_MAX;
    Item.Cpus = Command.at("cpus_milli").get<std::int64_t>();
    Item.Memory = Command.at("memory_mb").get<std::int64_t>();
    Task &Stored = Tasks_.emplace(Id, Item).first->second;
    ++History_.Starts;
    History_.Ran.push_back(Id.first + "/" + std::to_string(Id.second));
    if (++History_.RunningByName[Id.first] > 1)
      ++History_.RanTwice;
    std::int64_t Cpus = 0;
    std::int64_t Memory = 0;
    for (const auto &[Other, Running] : Tasks_)
      if (Running.State == "running") {
        Cpus += Running.Cpus;
        Memory += Running.Memory;
      }
    if (Cpus > CpusMilli_ || Memory > MemoryMb_)
      ++History_.OverCapacity;
    if (FailStarts)
      end(Id, Stored, "failed");
  }

  void end(const Key &Id, Task &Item, const std::string &How) {
    if (Item.State != "running")
      return;
    Item.State = How;
    --History_.RunningByName[Id.first];
  }

  [[nodiscard]] nlohmann::json report() const {
    nlohmann::json Listed = nlohmann::json::array();
    for (const auto &[Id, Item] : Tasks_)
      Listed.push_back({{"task", Id.first},
                        {"attempt", Id.second},
                        {"state", Item.State},
                        {"lease_until_ms", Item.LeaseUntilMs},
                        {"cpus_milli", Item.Cpus},
                        {"memory_mb", Item.Memory},
                        {"accelerators", 0},
                        {"used_cpus_milli", 0},
                        {"used_memory_mb", 0}});
    return {{"worker", Name_},
            {"boot_id", Name_ + "-" + std::to_string(Boot_)},
            {"clock_ms", clockMs()},
            {"state", State},
            {"cpus_milli", CpusMilli_},
            {"memory_mb", MemoryMb_},
            {"accelerators", 0},
            {"tasks", std::move(Listed)}};
  }

  TimerService &Timers_;
  WorkerHistory &History_;
  std::string Name_;
  std::int64_t CpusMilli_;
  std::int64_t MemoryMb_;
  std::int64_t ClockOffsetMs_;
  int Boot_ = 1;
  std::map<Key, Task> Tasks_;
};

} // namespace hickory
