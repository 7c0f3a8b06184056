#pragma once

#include "Bench/BenchResult.h"
#include "Bench/WaitingTrace.h"
#include "Bench/WorkMix.h"
#include "Fakes/FakeTimerService.h"
#include "Scheduling/FairShare.h"
#include "Scheduling/JobQueue.h"
#include "Scheduling/PlacementIndex.h"
#include "Scheduling/Preemption.h"
#include "Scheduling/UrgentReserve.h"
#include "Scheduling/UsageEstimator.h"

#include <glog/logging.h>
#include <queue>
#include <unordered_map>

namespace hickory {

/// Measures waiting times per kind of work for a seeded trace on a fake clock.
/// The scheduling code is that of the daemon; a task only occupies its
/// resources for the duration of its run.
class WaitingBench {
public:
  WaitingBench(std::uint64_t Seed, bool Quick) : Seed_(Seed), Quick_(Quick) {}

  void run() {
    for (const double Load : {0.70, 0.90, 0.97})
      for (const Order PlacementOrder :
           {Order::Hickory, Order::FirstComeFirstServed,
            Order::ShortestDeclaredFirst})
        Simulation(Seed_, Load, PlacementOrder,
                   Quick_ ? std::chrono::hours(2) : std::chrono::hours(6))
            .execute();
  }

private:
  enum class Order { Hickory, FirstComeFirstServed, ShortestDeclaredFirst };

  /// Simulates one order of placement on one trace.
  class Simulation {
  public:
    Simulation(std::uint64_t Seed, double Load, Order PlacementOrder,
               Clock::duration TraceLength)
        : Seed_(Seed), Load_(Load), Order_(PlacementOrder),
          TraceLength_(TraceLength), Random_(Seed), Shares_(Timers_),
          Queue_(Timers_, Shares_), Reserve_(Timers_) {
      for (const PlacementWorker &Worker : makeWorkers(100, 1, 0))
        CHECK(Index_.addWorker(Worker));
      TasksByWorker_.resize(Index_.handleEnd());
      Shares_.setTotal(Index_.totalCapacity());
      Resources HalfOfCell = Index_.totalCapacity();
      HalfOfCell.CpusMilli /= 2;
      HalfOfCell.MemoryMb /= 2;
      Shares_.setQuotas(
          {{"kernvaal", "", HalfOfCell}, {"karri-ridge", "", HalfOfCell}});
      Start_ = Timers_.now();
      WaitingTrace Trace(Seed, Load, Index_.totalCapacity(), TraceLength);
      Tasks_.reserve(Trace.tasks().size());
      for (const TraceTask &Task : Trace.tasks()) {
        TaskByKey_[Task.Key] = Tasks_.size();
        Tasks_.push_back({.Input = Task, .RemainingRun = Task.ActualRun});
      }
      WaitsByKind_.resize(WaitingTrace::kinds().size());
    }

    void execute() {
      for (std::size_t TaskIndex = 0; TaskIndex < Tasks_.size(); ++TaskIndex) {
        Events_.push({Tasks_[TaskIndex].Input.Arrival, EventKind::Arrival,
                      TaskIndex, 0});
        if (Tasks_[TaskIndex].Input.CancelAt)
          Events_.push({*Tasks_[TaskIndex].Input.CancelAt, EventKind::Cancel,
                        TaskIndex, 0});
      }
      // Periodic retries of work that is blocked only by a hold or by the
      // reserve for urgent work.
      for (Clock::duration At{0}; At < 3 * TraceLength_; At += RetryInterval)
        Events_.push({At, EventKind::Retry, 0, 0});
      while (!Events_.empty() && UnfinishedCount_ + pendingArrivals() > 0) {
        const Clock::duration Now = Events_.top().At;
        Timers_.advance(Start_ + Now - Timers_.now());
        while (!Events_.empty() && Events_.top().At == Now) {
          const Event NextEvent = Events_.top();
          Events_.pop();
          handleEvent(NextEvent);
        }
        if (!TasksToCancel_.empty())
          cancelWaiting();
        dispatch();
      }
      print();
    }

  private:
    static constexpr Clock::duration RetryInterval =
        std::chrono::milliseconds(500);
    /// Time that a preempted task needs to write its checkpoint before it
    /// stops.
    static constexpr Clock::duration CheckpointTime = std::chrono::seconds(1);

    enum class EventKind { End, Arrival, Cancel, Retry, PreemptionDone };
    struct Event {
      Clock::duration At{};
      EventKind Kind = EventKind::Retry;
      std::size_t Task = 0;
      std::uint32_t Attempt = 0;
      bool operator<(const Event &Other) const {
        return std::tie(At, Kind, Task) >
               std::tie(Other.At, Other.Kind, Other.Task);
      }
    };
    struct SimulatedTask {
      TraceTask Input;
      Clock::duration RemainingRun{};
      Clock::duration StartedAt{};
      std::uint32_t Attempt = 0;
      std::optional<Clock::duration> StoppedAt; ///< Set while preempted.
      bool Started = false;
      bool Waiting = false;
      bool Cancelled = false;
      std::vector<WorkerHandle> Workers;
    };

    [[nodiscard]] Clock::duration now() const { return Timers_.now() - Start_; }
    [[nodiscard]] std::size_t pendingArrivals() const {
      return Tasks_.size() - ArrivedCount_;
    }
    [[nodiscard]] const TraceKind &kindOf(std::size_t Task) const {
      return WaitingTrace::kinds()[Tasks_[Task].Input.Kind];
    }

    void handleEvent(const Event &NextEvent) {
      SimulatedTask &Task = Tasks_[NextEvent.Task];
      switch (NextEvent.Kind) {
      case EventKind::Arrival:
        ++ArrivedCount_;
        ++UnfinishedCount_;
        if (kindOf(NextEvent.Task).Priority >= 1000)
          Reserve_.recordDemand(kindOf(NextEvent.Task).Need);
        enqueue(NextEvent.Task);
        break;
      case EventKind::End:
        if (Task.Attempt == NextEvent.Attempt && !Task.Workers.empty())
          finish(NextEvent.Task);
        break;
      case EventKind::Cancel:
        if (Task.Waiting)
          TasksToCancel_.push_back(NextEvent.Task);
        break;
      case EventKind::PreemptionDone:
        completePreemption(NextEvent.Task);
        break;
      case EventKind::Retry:
        break;
      }
    }

    void enqueue(std::size_t TaskIndex) {
      SimulatedTask &Task = Tasks_[TaskIndex];
      const TraceKind &TaskKind = kindOf(TaskIndex);
      Task.Waiting = true;
      if (Order_ == Order::Hickory) {
        PendingWork Work{.Key = Task.Input.Key,
                         .Member = TaskKind.Member,
                         .Team = TaskKind.Name,
                         .Priority = TaskKind.Priority,
                         .PerTask = TaskKind.Need,
                         .Tasks = TaskKind.Tasks,
                         .EstimatedRun =
                             TaskKind.Name == "service"
                                 ? Clock::duration::max()
                                 : Estimator_.estimateRun(
                                       TaskKind.Name, Task.Input.DeclaredRun),
                         .Arrived = Start_ + Task.Input.Arrival};
        CHECK(Queue_.enqueue(std::move(Work)));
      } else {
        const auto Rank = Order_ == Order::FirstComeFirstServed
                              ? Task.Input.Arrival
                              : Task.Input.DeclaredRun;
        OrderedTasks_.emplace(std::pair(Rank, TaskIndex));
      }
    }

    void cancelWaiting() {
      std::vector<std::string> Keys;
      for (const std::size_t TaskIndex : TasksToCancel_) {
        SimulatedTask &Task = Tasks_[TaskIndex];
        if (!Task.Waiting)
          continue;
        Task.Waiting = false;
        Task.Cancelled = true;
        --UnfinishedCount_;
        ++CancelledCount_;
        Keys.push_back(Task.Input.Key);
        if (Order_ != Order::Hickory)
          OrderedTasks_.erase(std::pair(Order_ == Order::FirstComeFirstServed
                                            ? Task.Input.Arrival
                                            : Task.Input.DeclaredRun,
                                        TaskIndex));
      }
      TasksToCancel_.clear();
      Queue_.cancel(Keys);
      while (!Queue_.takeCancelled().empty())
        ;
    }

    void dispatch() {
      if (Order_ == Order::Hickory) {
        Queue_.dispatch([this](const PendingWork &Work) {
          return placeOrPreempt(TaskByKey_.at(Work.Key));
        });
        return;
      }
      // Strict order: a task that does not fit blocks all tasks behind it.
      while (!OrderedTasks_.empty()) {
        const std::size_t TaskIndex = OrderedTasks_.begin()->second;
        if (!tryPlace(TaskIndex))
          return;
        OrderedTasks_.erase(OrderedTasks_.begin());
      }
    }

    PlacementOutcome placeOrPreempt(std::size_t TaskIndex) {
      const TraceKind &TaskKind = kindOf(TaskIndex);
      const bool Urgent = TaskKind.Priority >= 1000;
      Resources Free = Index_.totalCapacity();
      CHECK(Free.subtract(Index_.totalCommitted()));
      if (!Urgent &&
          !Reserve_.allowsNonUrgent(TaskKind.Need.times(TaskKind.Tasks).value(),
                                    Free, Index_.totalCapacity()))
        return PlacementOutcome::NoCapacity;
      if (tryPlace(TaskIndex))
        return PlacementOutcome::Placed;
      if (Urgent && preempt(TaskIndex))
        return PlacementOutcome::Placed;
      return PlacementOutcome::NoCapacity;
    }

    bool tryPlace(std::size_t TaskIndex) {
      const TraceKind &TaskKind = kindOf(TaskIndex);
      auto Placed = Index_.placeGang({.Need = TaskKind.Need}, TaskKind.Tasks);
      if (!Placed)
        return false;
      start(TaskIndex, std::move(*Placed));
      return true;
    }

    void start(std::size_t TaskIndex, std::vector<WorkerHandle> Workers) {
      SimulatedTask &Task = Tasks_[TaskIndex];
      const TraceKind &TaskKind = kindOf(TaskIndex);
      Task.Waiting = false;
      Task.Workers = std::move(Workers);
      Task.StartedAt = now();
      ++Task.Attempt;
      if (Task.StoppedAt)
        RestartWaits_.add(
            std::chrono::duration<double>(now() - *Task.StoppedAt).count());
      Task.StoppedAt.reset();
      if (!Task.Started) {
        Task.Started = true;
        // The first third of the trace fills the cell and is not measured.
        if (Task.Input.Arrival >= TraceLength_ / 3)
          WaitsByKind_[Task.Input.Kind].add(
              std::chrono::duration<double>(now() - Task.Input.Arrival)
                  .count());
      }
      for (const WorkerHandle Worker : Task.Workers) {
        TasksByWorker_[Worker].push_back(TaskIndex);
        Shares_.acquire(TaskKind.Member, TaskKind.Name, TaskKind.Need);
      }
      Events_.push(
          {now() + Task.RemainingRun, EventKind::End, TaskIndex, Task.Attempt});
    }

    void releaseResources(std::size_t TaskIndex) {
      SimulatedTask &Task = Tasks_[TaskIndex];
      const TraceKind &TaskKind = kindOf(TaskIndex);
      for (const WorkerHandle Worker : Task.Workers) {
        auto &WorkerTasks = TasksByWorker_[Worker];
        WorkerTasks.erase(
            std::find(WorkerTasks.begin(), WorkerTasks.end(), TaskIndex));
        CHECK(Index_.release(Worker, TaskKind.Need));
        CHECK(Shares_.release(TaskKind.Member, TaskKind.Name, TaskKind.Need));
      }
      Task.Workers.clear();
    }

    void finish(std::size_t TaskIndex) {
      releaseResources(TaskIndex);
      --UnfinishedCount_;
      Estimator_.observeRun(kindOf(TaskIndex).Name,
                            Tasks_[TaskIndex].Input.DeclaredRun,
                            Tasks_[TaskIndex].Input.ActualRun);
    }

    /// Starts to preempt tasks on one worker. The urgent task gets their
    /// resources when they have written their checkpoints. Returns false if no
    /// suitable victims were found.
    bool preempt(std::size_t TaskIndex) {
      const TraceKind &TaskKind = kindOf(TaskIndex);
      // Tries a few random workers only, as a rack owner knows only the workers
      // of its racks.
      for (int Sample = 0; Sample < 16; ++Sample) {
        const auto Worker =
            static_cast<WorkerHandle>(Random_.below(Index_.handleEnd()));
        std::vector<PreemptionCandidate> Candidates;
        for (const std::size_t Other : TasksByWorker_[Worker])
          if (!PreemptedTasks_.contains(Other) &&
              Tasks_[Other].Workers.size() == 1)
            Candidates.push_back({.Id = Tasks_[Other].Input.Key,
                                  .Priority = kindOf(Other).Priority,
                                  .Held = kindOf(Other).Need,
                                  .NonRepeatable = kindOf(Other).NonRepeatable,
                                  .RunTime = now() - Tasks_[Other].StartedAt});
        const auto Victims = chooseVictims(TaskKind.Need, TaskKind.Priority,
                                           Index_.freeOn(Worker), Candidates);
        if (!Victims || Victims->empty())
          continue;
        PendingPreemption Pending{.Worker = Worker};
        for (const std::string &Key : *Victims) {
          Pending.Victims.push_back(TaskByKey_.at(Key));
          PreemptedTasks_.insert(Pending.Victims.back());
        }
        PreemptionCount_ += Victims->size();
        PendingPreemptions_[TaskIndex] = std::move(Pending);
        Events_.push(
            {now() + CheckpointTime, EventKind::PreemptionDone, TaskIndex, 0});
        return true;
      }
      return false;
    }

    /// Stops the victims and starts the urgent task in their place.
    void completePreemption(std::size_t TaskIndex) {
      const PendingPreemption Pending =
          std::move(PendingPreemptions_.at(TaskIndex));
      PendingPreemptions_.erase(TaskIndex);
      for (const std::size_t Victim : Pending.Victims) {
        PreemptedTasks_.erase(Victim);
        SimulatedTask &Task = Tasks_[Victim];
        if (Task.Workers.empty())
          continue; // The task ended before it was stopped.
        Task.RemainingRun -= now() - Task.StartedAt;
        Task.StoppedAt = now();
        releaseResources(Victim);
        ++Task.Attempt;
        enqueue(Victim);
      }
      const Resources &Need = kindOf(TaskIndex).Need;
      if (Index_.commit(Pending.Worker, Need))
        start(TaskIndex, {Pending.Worker});
      else
        enqueue(TaskIndex); // Another task took the resources.
    }

    void print() {
      nlohmann::json Kinds = nlohmann::json::object();
      for (std::size_t Kind = 0; Kind < WaitsByKind_.size(); ++Kind)
        Kinds[WaitingTrace::kinds()[Kind].Name] = {
            {"count", WaitsByKind_[Kind].count()},
            {"mean_s", rounded(WaitsByKind_[Kind].mean(), 2)},
            {"p50_s", rounded(WaitsByKind_[Kind].quantile(0.5), 2)},
            {"p99_s", rounded(WaitsByKind_[Kind].quantile(0.99), 2)},
            {"p999_s", rounded(WaitsByKind_[Kind].quantile(0.999), 2)},
            {"max_s", rounded(WaitsByKind_[Kind].maximum(), 2)}};
      std::size_t NeverStarted = 0;
      for (const SimulatedTask &Task : Tasks_)
        NeverStarted += !Task.Started && !Task.Cancelled ? 1 : 0;
      printResult({{"bench", "waiting"},
                   {"seed", Seed_},
                   {"load", Load_},
                   {"order", Order_ == Order::Hickory ? "hickorypick"
                             : Order_ == Order::FirstComeFirstServed
                                 ? "first come first served"
                                 : "shortest declared first"},
                   {"tasks", Tasks_.size()},
                   {"cancelled", CancelledCount_},
                   {"preemptions", PreemptionCount_},
                   {"restart_wait_max_s", rounded(RestartWaits_.maximum(), 2)},
                   {"never_started", NeverStarted},
                   {"finished_after_s",
                    rounded(std::chrono::duration<double>(now()).count(), 0)},
                   {"waits", Kinds}});
    }

    struct PendingPreemption {
      WorkerHandle Worker = 0;
      std::vector<std::size_t> Victims;
    };

    std::uint64_t Seed_;
    double Load_;
    Order Order_;
    Clock::duration TraceLength_;
    Random Random_;
    FakeTimerService Timers_;
    Clock::time_point Start_{};
    PlacementIndex Index_;
    FairShare Shares_;
    JobQueue Queue_;
    UsageEstimator Estimator_;
    UrgentReserve Reserve_;
    std::set<std::pair<Clock::duration, std::size_t>> OrderedTasks_;
    std::vector<SimulatedTask> Tasks_;
    std::unordered_map<std::string, std::size_t> TaskByKey_;
    std::vector<std::vector<std::size_t>> TasksByWorker_;
    std::set<std::size_t> PreemptedTasks_;
    std::map<std::size_t, PendingPreemption> PendingPreemptions_;
    std::vector<std::size_t> TasksToCancel_;
    std::priority_queue<Event> Events_;
    std::vector<BenchSamples> WaitsByKind_;
    BenchSamples RestartWaits_;
    std::size_t ArrivedCount_ = 0;
    std::size_t UnfinishedCount_ = 0;
    std::size_t CancelledCount_ = 0;
    std::size_t PreemptionCount_ = 0;
  };

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
