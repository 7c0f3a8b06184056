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

/// Waiting time per kind of work in a seeded trace on a fake clock. The
/// decision code runs as in a daemon; tasks are only their durations.
class WaitingBench {
public:
  WaitingBench(std::uint64_t Seed, bool Quick) : Seed_(Seed), Quick_(Quick) {}

  void run() {
    for (const double Load : {0.70, 0.90, 0.97})
      for (const Order By : {Order::Hickory, Order::Arrival, Order::Declared})
        Run(Seed_, Load, By,
            Quick_ ? std::chrono::hours(2) : std::chrono::hours(6))
            .execute();
  }

private:
  enum class Order { Hickory, Arrival, Declared };

  /// One policy on one trace.
  class Run {
  public:
    Run(std::uint64_t Seed, double Load, Order By, Clock::duration Length)
        : Seed_(Seed), Load_(Load), By_(By), Length_(Length), Numbers_(Seed),
          Shares_(Timers_), Queue_(Timers_, Shares_), Reserve_(Timers_) {
      for (const PlacementWorker &Worker : makeWorkers(100, 1, 0))
        CHECK(Index_.addWorker(Worker));
      Running_.resize(Index_.handleEnd());
      Shares_.setTotal(Index_.totalCapacity());
      Resources Half = Index_.totalCapacity();
      Half.CpusMilli /= 2;
      Half.MemoryMb /= 2;
      Shares_.setQuotas({{"kernvaal", "", Half}, {"karri-ridge", "", Half}});
      Start_ = Timers_.now();
      WaitingTrace Trace(Seed, Load, Index_.totalCapacity(), Length);
      Tasks_.reserve(Trace.tasks().size());
      for (const TraceTask &Task : Trace.tasks()) {
        ByKey_[Task.Key] = Tasks_.size();
        Tasks_.push_back({.Is = Task, .Left = Task.Actual});
      }
      Waits_.resize(WaitingTrace::kinds().size());
    }

    void execute() {
      for (std::size_t Number = 0; Number < Tasks_.size(); ++Number) {
        Events_.push({Tasks_[Number].Is.Arrival, What::Arrival, Number, 0});
        if (Tasks_[Number].Is.CancelAt)
          Events_.push({*Tasks_[Number].Is.CancelAt, What::Cancel, Number, 0});
      }
      // Retries of work that waits only for a hold or a reserve to pass.
      for (Clock::duration At{0}; At < 3 * Length_; At += Tick)
        Events_.push({At, What::Tick, 0, 0});
      while (!Events_.empty() && Unfinished_ + arriving() > 0) {
        const Clock::duration Now = Events_.top().At;
        Timers_.advance(Start_ + Now - Timers_.now());
        while (!Events_.empty() && Events_.top().At == Now) {
          const Event Next = Events_.top();
          Events_.pop();
          handle(Next);
        }
        if (!ToCancel_.empty())
          cancelWaiting();
        dispatch();
      }
      print();
    }

  private:
    static constexpr Clock::duration Tick = std::chrono::milliseconds(500);
    /// Time that a task needs to write its checkpoint before it stops.
    static constexpr Clock::duration Checkpoint = std::chrono::seconds(1);

    enum class What { End, Arrival, Cancel, Tick, Handover };
    struct Event {
      Clock::duration At{};
      What Kind = What::Tick;
      std::size_t Task = 0;
      std::uint32_t Attempt = 0;
      bool operator<(const Event &Other) const {
        return std::tie(At, Kind, Task) >
               std::tie(Other.At, Other.Kind, Other.Task);
      }
    };
    struct Simulated {
      TraceTask Is;
      Clock::duration Left{};
      Clock::duration StartedAt{};
      std::uint32_t Attempt = 0;
      std::optional<Clock::duration> StoppedAt; ///< By preemption.
      bool Started = false;
      bool Waiting = false;
      bool Cancelled = false;
      std::vector<WorkerHandle> On;
    };

    [[nodiscard]] Clock::duration now() const { return Timers_.now() - Start_; }
    [[nodiscard]] std::size_t arriving() const {
      return Tasks_.size() - Arrived_;
    }
    [[nodiscard]] const TraceKind &kind(std::size_t Task) const {
      return WaitingTrace::kinds()[Tasks_[Task].Is.Kind];
    }

    void handle(const Event &Next) {
      Simulated &Task = Tasks_[Next.Task];
      switch (Next.Kind) {
      case What::Arrival:
        ++Arrived_;
        ++Unfinished_;
        if (kind(Next.Task).Priority >= 1000)
          Reserve_.recordDemand(kind(Next.Task).Need);
        enqueue(Next.Task);
        break;
      case What::End:
        if (Task.Attempt == Next.Attempt && !Task.On.empty())
          finish(Next.Task);
        break;
      case What::Cancel:
        if (Task.Waiting)
          ToCancel_.push_back(Next.Task);
        break;
      case What::Handover:
        handOver(Next.Task);
        break;
      case What::Tick:
        break;
      }
    }

    void enqueue(std::size_t Number) {
      Simulated &Task = Tasks_[Number];
      const TraceKind &Of = kind(Number);
      Task.Waiting = true;
      if (By_ == Order::Hickory) {
        PendingWork Work{.Key = Task.Is.Key,
                         .Member = Of.Member,
                         .Team = Of.Name,
                         .Priority = Of.Priority,
                         .PerTask = Of.Need,
                         .Tasks = Of.Tasks,
                         .EstimatedRun = Of.Name == "service"
                                             ? Clock::duration::max()
                                             : Estimator_.estimateRun(
                                                   Of.Name, Task.Is.Declared),
                         .Arrived = Start_ + Task.Is.Arrival};
        CHECK(Queue_.enqueue(std::move(Work)));
      } else {
        const auto Rank =
            By_ == Order::Arrival ? Task.Is.Arrival : Task.Is.Declared;
        Simple_.emplace(std::pair(Rank, Number));
      }
    }

    void cancelWaiting() {
      std::vector<std::string> Keys;
      for (const std::size_t Number : ToCancel_) {
        Simulated &Task = Tasks_[Number];
        if (!Task.Waiting)
          continue;
        Task.Waiting = false;
        Task.Cancelled = true;
        --Unfinished_;
        ++Cancelled_;
        Keys.push_back(Task.Is.Key);
        if (By_ != Order::Hickory)
          Simple_.erase(std::pair(By_ == Order::Arrival ? Task.Is.Arrival
                                                        : Task.Is.Declared,
                                  Number));
      }
      ToCancel_.clear();
      Queue_.cancel(Keys);
      while (!Queue_.takeCancelled().empty())
        ;
    }

    void dispatch() {
      if (By_ == Order::Hickory) {
        Queue_.dispatch([this](const PendingWork &Work) {
          return tryHickory(ByKey_.at(Work.Key));
        });
        return;
      }
      // In order and without overtaking, as the names of these orders say.
      while (!Simple_.empty()) {
        const std::size_t Number = Simple_.begin()->second;
        if (!placeNow(Number))
          return;
        Simple_.erase(Simple_.begin());
      }
    }

    PlacementOutcome tryHickory(std::size_t Number) {
      const TraceKind &Of = kind(Number);
      const bool Urgent = Of.Priority >= 1000;
      Resources Free = Index_.totalCapacity();
      CHECK(Free.subtract(Index_.totalCommitted()));
      if (!Urgent && !Reserve_.allowsNonUrgent(Of.Need.times(Of.Tasks).value(),
                                               Free, Index_.totalCapacity()))
        return PlacementOutcome::NoCapacity;
      if (placeNow(Number))
        return PlacementOutcome::Placed;
      if (Urgent && preempt(Number))
        return PlacementOutcome::Placed;
      return PlacementOutcome::NoCapacity;
    }

    bool placeNow(std::size_t Number) {
      const TraceKind &Of = kind(Number);
      auto Placed = Index_.placeGang({.Need = Of.Need}, Of.Tasks);
      if (!Placed)
        return false;
      start(Number, std::move(*Placed));
      return true;
    }

    void start(std::size_t Number, std::vector<WorkerHandle> On) {
      Simulated &Task = Tasks_[Number];
      const TraceKind &Of = kind(Number);
      Task.Waiting = false;
      Task.On = std::move(On);
      Task.StartedAt = now();
      ++Task.Attempt;
      if (Task.StoppedAt)
        Restarts_.add(
            std::chrono::duration<double>(now() - *Task.StoppedAt).count());
      Task.StoppedAt.reset();
      if (!Task.Started) {
        Task.Started = true;
        // The first third fills the cell and is not counted.
        if (Task.Is.Arrival >= Length_ / 3)
          Waits_[Task.Is.Kind].add(
              std::chrono::duration<double>(now() - Task.Is.Arrival).count());
      }
      for (const WorkerHandle Worker : Task.On) {
        Running_[Worker].push_back(Number);
        Shares_.acquire(Of.Member, Of.Name, Of.Need);
      }
      Events_.push({now() + Task.Left, What::End, Number, Task.Attempt});
    }

    void vacate(std::size_t Number) {
      Simulated &Task = Tasks_[Number];
      const TraceKind &Of = kind(Number);
      for (const WorkerHandle Worker : Task.On) {
        auto &Here = Running_[Worker];
        Here.erase(std::find(Here.begin(), Here.end(), Number));
        CHECK(Index_.release(Worker, Of.Need));
        CHECK(Shares_.release(Of.Member, Of.Name, Of.Need));
      }
      Task.On.clear();
    }

    void finish(std::size_t Number) {
      vacate(Number);
      --Unfinished_;
      Estimator_.observeRun(kind(Number).Name, Tasks_[Number].Is.Declared,
                            Tasks_[Number].Is.Actual);
    }

    /// Starts to free room on one worker; the urgent task gets it when the
    /// victims have written their checkpoints.
    bool preempt(std::size_t Number) {
      const TraceKind &Of = kind(Number);
      // A rack owner looks at the workers of its racks; a few suffice.
      for (int Try = 0; Try < 16; ++Try) {
        const auto Worker =
            static_cast<WorkerHandle>(Numbers_.below(Index_.handleEnd()));
        std::vector<PreemptionCandidate> Here;
        for (const std::size_t Other : Running_[Worker])
          if (!Stopping_.contains(Other) && Tasks_[Other].On.size() == 1)
            Here.push_back({.Id = Tasks_[Other].Is.Key,
                            .Priority = kind(Other).Priority,
                            .Held = kind(Other).Need,
                            .NonRepeatable = kind(Other).NonRepeatable,
                            .Ran = now() - Tasks_[Other].StartedAt});
        const auto Victims =
            chooseVictims(Of.Need, Of.Priority, Index_.freeOn(Worker), Here);
        if (!Victims || Victims->empty())
          continue;
        Handover Room{.Worker = Worker};
        for (const std::string &Key : *Victims) {
          Room.Victims.push_back(ByKey_.at(Key));
          Stopping_.insert(Room.Victims.back());
        }
        Preemptions_ += Victims->size();
        Handovers_[Number] = std::move(Room);
        Events_.push({now() + Checkpoint, What::Handover, Number, 0});
        return true;
      }
      return false;
    }

    void handOver(std::size_t Number) {
      const Handover Room = std::move(Handovers_.at(Number));
      Handovers_.erase(Number);
      for (const std::size_t Victim : Room.Victims) {
        Stopping_.erase(Victim);
        Simulated &Task = Tasks_[Victim];
        if (Task.On.empty())
          continue; // It ended by itself meanwhile.
        Task.Left -= now() - Task.StartedAt;
        Task.StoppedAt = now();
        vacate(Victim);
        ++Task.Attempt;
        enqueue(Victim);
      }
      const Resources &Need = kind(Number).Need;
      if (Index_.commit(Room.Worker, Need))
        start(Number, {Room.Worker});
      else
        enqueue(Number); // Somebody else was quicker; wait again.
    }

    void print() {
      nlohmann::json Kinds = nlohmann::json::object();
      for (std::size_t Kind = 0; Kind < Waits_.size(); ++Kind)
        Kinds[WaitingTrace::kinds()[Kind].Name] = {
            {"count", Waits_[Kind].count()},
            {"mean_s", rounded(Waits_[Kind].mean(), 2)},
            {"p50_s", rounded(Waits_[Kind].quantile(0.5), 2)},
            {"p99_s", rounded(Waits_[Kind].quantile(0.99), 2)},
            {"p999_s", rounded(Waits_[Kind].quantile(0.999), 2)},
            {"max_s", rounded(Waits_[Kind].maximum(), 2)}};
      std::size_t Never = 0;
      for (const Simulated &Task : Tasks_)
        Never += !Task.Started && !Task.Cancelled ? 1 : 0;
      report({{"bench", "waiting"},
              {"seed", Seed_},
              {"load", Load_},
              {"order", By_ == Order::Hickory   ? "hickorypick"
                        : By_ == Order::Arrival ? "first come first served"
                                                : "shortest declared first"},
              {"tasks", Tasks_.size()},
              {"cancelled", Cancelled_},
              {"preemptions", Preemptions_},
              {"restart_wait_max_s", rounded(Restarts_.maximum(), 2)},
              {"never_started", Never},
              {"finished_after_s",
               rounded(std::chrono::duration<double>(now()).count(), 0)},
              {"waits", Kinds}});
    }

    struct Handover {
      WorkerHandle Worker = 0;
      std::vector<std::size_t> Victims;
    };

    std::uint64_t Seed_;
    double Load_;
    Order By_;
    Clock::duration Length_;
    Random Numbers_;
    FakeTimerService Timers_;
    Clock::time_point Start_{};
    PlacementIndex Index_;
    FairShare Shares_;
    JobQueue Queue_;
    UsageEstimator Estimator_;
    UrgentReserve Reserve_;
    std::set<std::pair<Clock::duration, std::size_t>> Simple_;
    std::vector<Simulated> Tasks_;
    std::unordered_map<std::string, std::size_t> ByKey_;
    std::vector<std::vector<std::size_t>> Running_;
    std::set<std::size_t> Stopping_;
    std::map<std::size_t, Handover> Handovers_;
    std::vector<std::size_t> ToCancel_;
    std::priority_queue<Event> Events_;
    std::vector<BenchSamples> Waits_;
    BenchSamples Restarts_;
    std::size_t Arrived_ = 0;
    std::size_t Unfinished_ = 0;
    std::size_t Cancelled_ = 0;
    std::size_t Preemptions_ = 0;
  };

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
