// Compares strategies that exclude failing workers, on the same seeded input:
// how many starts are lost on failing workers, and how much capacity of healthy
// workers stays unused.
#include "Backends/HealthTracker.h"

#include "Base/Random.h"
#include "Fakes/FakeTimerService.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <popt.h>
#include <queue>
#include <vector>

namespace hickory {

namespace {

using std::chrono::milliseconds;

/// State of a worker according to a strategy, in order of preference.
enum class WorkerState { Good, Degraded, Probe, Excluded };

/// Derives the state of workers from the outcomes of their tasks.
class HealthStrategy {
public:
  virtual ~HealthStrategy() = default;
  [[nodiscard]] virtual WorkerState
  stateOf(const std::string &Worker) const = 0;
  virtual void started(const std::string &Worker) = 0;
  virtual void ended(const std::string &Worker, const std::string &Job,
                     bool Good) = 0;
  [[nodiscard]] virtual std::uint64_t timersStarted() const { return 0; }
};

/// Excludes a worker after consecutive failures until a timer expires.
class TimerStrategy final : public HealthStrategy {
public:
  TimerStrategy(TimerService &Timers, HealthTrackerOptions Options)
      : Timers_(Timers), Options_(Options) {}

  [[nodiscard]] WorkerState stateOf(const std::string &Worker) const override {
    const auto It = Entries_.find(Worker);
    return It != Entries_.end() && It->second.Excluded ? WorkerState::Excluded
                                                       : WorkerState::Good;
  }
  void started(const std::string & /*Worker*/) override {}
  void ended(const std::string &Worker, const std::string & /*Job*/,
             bool Good) override {
    Entry &WorkerEntry = Entries_[Worker];
    if (WorkerEntry.Excluded)
      return;
    WorkerEntry.Failures = Good ? 0 : WorkerEntry.Failures + 1;
    if (WorkerEntry.Failures < Options_.Threshold)
      return;
    WorkerEntry.Excluded = true;
    ++TimersStarted_;
    WorkerEntry.Recovery = Timers_.after(Options_.InitialPause, [&WorkerEntry] {
      WorkerEntry.Excluded = false;
      WorkerEntry.Failures = 0;
    });
  }
  [[nodiscard]] std::uint64_t timersStarted() const override {
    return TimersStarted_;
  }

private:
  struct Entry {
    int Failures = 0;
    bool Excluded = false;
    Subscription Recovery;
  };
  TimerService &Timers_;
  HealthTrackerOptions Options_;
  std::map<std::string, Entry> Entries_;
  std::uint64_t TimersStarted_ = 0;
};

/// Uses HealthTracker, as the daemon does. A DegradedShare above 1 disables the
/// degraded state.
class TrackerStrategy final : public HealthStrategy {
public:
  TrackerStrategy(TimerService &Timers, HealthTrackerOptions Options)
      : Tracker_(Options, Timers) {}

  [[nodiscard]] WorkerState stateOf(const std::string &Worker) const override {
    switch (Tracker_.state(Worker)) {
    case HealthTracker::State::Healthy:
      return WorkerState::Good;
    case HealthTracker::State::Degraded:
      return WorkerState::Degraded;
    case HealthTracker::State::ProbeDue:
      return WorkerState::Probe;
    default:
      return WorkerState::Excluded;
    }
  }
  void started(const std::string &Worker) override { Tracker_.started(Worker); }
  void ended(const std::string &Worker, const std::string &Job,
             bool Good) override {
    if (Good)
      Tracker_.succeeded(Worker, Job);
    else
      Tracker_.failed(Worker, Job);
  }

private:
  HealthTracker Tracker_;
};

struct Scenario {
  std::uint64_t Seed = 1;
  int Workers = 48;
  int Slots = 8;
  double Load = 0.7; ///< Mean share of all slots in use.
  double MeanRunSeconds = 8;
  double TaskFailureShare = 0.03; ///< Of tasks on healthy workers.
  /// Between the starts of failures of any worker.
  double MeanFailureIntervalSeconds = 60;
  double MeanFailureSeconds = 45; ///< Duration of a failure.
  /// Mean time between jobs whose tasks all fail; 0: no such jobs.
  double PoisonJobIntervalSeconds = 0;
  int PoisonJobTasks = 40;
  double Seconds = 3600;
};

struct SimulationResult {
  std::uint64_t Starts = 0;
  std::uint64_t StartsOnFailingWorkers = 0;
  /// Free slots of healthy workers that are excluded.
  double HealthyIdleSlotSeconds = 0;
  double WaitSeconds = 0; ///< Total over all starts.
  std::uint64_t Timers = 0;
};

/// A task that arrives. Arrivals are generated once and used for all
/// strategies.
struct Arrival {
  double At;
  double RunSeconds;
  bool Fails;
  std::string Job;
};
struct FailurePeriod {
  double From;
  double Until;
  int Worker;
};

double drawExponential(Random &Source, double Mean) {
  return -Mean * std::log(1 - Source.unit());
}

class Simulation {
public:
  explicit Simulation(const Scenario &Input) : Input_(Input) {
    Random Source(Input.Seed);
    const double Rate =
        Input.Load * Input.Workers * Input.Slots / Input.MeanRunSeconds;
    for (double At = drawExponential(Source, 1 / Rate); At < Input.Seconds;
         At += drawExponential(Source, 1 / Rate))
      Arrivals_.push_back(
          {At, drawExponential(Source, Input.MeanRunSeconds),
           Source.unit() < Input.TaskFailureShare,
           "job" + std::to_string(Arrivals_.size() / TasksPerJob)});
    for (double At = drawExponential(Source, Input.MeanFailureIntervalSeconds);
         At < Input.Seconds;
         At += drawExponential(Source, Input.MeanFailureIntervalSeconds))
      FailurePeriods_.push_back(
          {At, At + drawExponential(Source, Input.MeanFailureSeconds),
           static_cast<int>(
               Source.below(static_cast<std::uint64_t>(Input.Workers)))});
    if (Input.PoisonJobIntervalSeconds > 0)
      for (double At = drawExponential(Source, Input.PoisonJobIntervalSeconds);
           At < Input.Seconds;
           At += drawExponential(Source, Input.PoisonJobIntervalSeconds))
        for (int I = 0; I < Input.PoisonJobTasks; ++I)
          Arrivals_.push_back(
              {At, FailedRunSeconds, true, "poison" + std::to_string(At)});
    std::stable_sort(
        Arrivals_.begin(), Arrivals_.end(),
        [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  }

  SimulationResult
  run(const std::function<std::unique_ptr<HealthStrategy>(TimerService &)>
          &MakeStrategy) const {
    FakeTimerService Timers;
    const auto Strategy = MakeStrategy(Timers);
    SimulationResult Totals;
    std::vector<int> UsedSlots(static_cast<std::size_t>(Input_.Workers), 0);
    struct End {
      double At;
      int Worker;
      bool Good;
      std::string Job;
      bool operator>(const End &Other) const { return At > Other.At; }
    };
    std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
    std::deque<Arrival> WaitingTasks;
    std::size_t NextArrival = 0;
    constexpr double Tick = 0.05;
    for (double Now = 0; Now < Input_.Seconds; Now += Tick) {
      Timers.advance(milliseconds(50));
      while (!Ends.empty() && Ends.top().At <= Now) {
        const End Task = Ends.top();
        Ends.pop();
        --UsedSlots[static_cast<std::size_t>(Task.Worker)];
        Strategy->ended(workerName(Task.Worker), Task.Job, Task.Good);
      }
      for (; NextArrival < Arrivals_.size() && Arrivals_[NextArrival].At <= Now;
           ++NextArrival)
        WaitingTasks.push_back(Arrivals_[NextArrival]);
      while (!WaitingTasks.empty()) {
        const int Worker = chooseWorker(*Strategy, UsedSlots);
        if (Worker < 0)
          break;
        const Arrival Task = WaitingTasks.front();
        WaitingTasks.pop_front();
        const bool IsFailing = isFailing(Worker, Now);
        Totals.WaitSeconds += Now - Task.At;
        ++Totals.Starts;
        Totals.StartsOnFailingWorkers += IsFailing ? 1 : 0;
        ++UsedSlots[static_cast<std::size_t>(Worker)];
        Strategy->started(workerName(Worker));
        const bool Fails = IsFailing || Task.Fails;
        Ends.push({Now + (Fails ? FailedRunSeconds : Task.RunSeconds), Worker,
                   !Fails, Task.Job});
      }
      for (int Worker = 0; Worker < Input_.Workers; ++Worker)
        if (Strategy->stateOf(workerName(Worker)) == WorkerState::Excluded &&
            !isFailing(Worker, Now))
          Totals.HealthyIdleSlotSeconds +=
              Tick *
              (Input_.Slots - UsedSlots[static_cast<std::size_t>(Worker)]);
    }
    Totals.Timers = Strategy->timersStarted();
    return Totals;
  }

private:
  static constexpr double FailedRunSeconds = 0.1;
  static constexpr std::size_t TasksPerJob = 10;

  static std::string workerName(int Worker) {
    return "w" + std::to_string(Worker);
  }

  [[nodiscard]] bool isFailing(int Worker, double Now) const {
    for (const FailurePeriod &Period : FailurePeriods_)
      if (Period.Worker == Worker && Period.From <= Now && Now < Period.Until)
        return true;
    return false;
  }

  /// Chooses the best state first and then the fullest worker with a free slot,
  /// as the rack manager does. Returns -1 if there is none.
  [[nodiscard]] int chooseWorker(const HealthStrategy &Strategy,
                                 const std::vector<int> &UsedSlots) const {
    int Best = -1;
    std::pair<int, int> BestRank;
    for (int Worker = 0; Worker < Input_.Workers; ++Worker) {
      const int Used = UsedSlots[static_cast<std::size_t>(Worker)];
      const WorkerState Health = Strategy.stateOf(workerName(Worker));
      if (Used >= Input_.Slots || Health == WorkerState::Excluded)
        continue;
      const std::pair Rank(static_cast<int>(Health), -Used);
      if (Best < 0 || Rank < BestRank) {
        Best = Worker;
        BestRank = Rank;
      }
    }
    return Best;
  }

  Scenario Input_;
  std::vector<Arrival> Arrivals_;
  std::vector<FailurePeriod> FailurePeriods_;
};

void compare(const std::string &Title, const Scenario &Input) {
  const Simulation SeededSimulation(Input);
  const double Capacity = Input.Workers * Input.Slots * Input.Seconds;
  std::cout << fmt::format("{} (seed {}, {} s)\n", Title, Input.Seed,
                           Input.Seconds);
  const auto PrintResult = [&](const std::string &Name,
                               const auto &MakeStrategy) {
    const SimulationResult Totals = SeededSimulation.run(MakeStrategy);
    std::cout << fmt::format(
        "  {:<28} starts {:>7}  lost on bad {:>6} ({:5.2f}%)  good idle "
        "{:>8.0f} slot-s ({:5.3f}%)  mean wait {:6.1f} ms  timers {}\n",
        Name, Totals.Starts, Totals.StartsOnFailingWorkers,
        100.0 * static_cast<double>(Totals.StartsOnFailingWorkers) /
            static_cast<double>(Totals.Starts),
        Totals.HealthyIdleSlotSeconds,
        100 * Totals.HealthyIdleSlotSeconds / Capacity,
        1000 * Totals.WaitSeconds / static_cast<double>(Totals.Starts),
        Totals.Timers);
  };
  HealthTrackerOptions WithoutDegraded;
  WithoutDegraded.DegradedShare = 2;
  WithoutDegraded.BlameJobAfter = 0;
  HealthTrackerOptions Degraded;
  Degraded.BlameJobAfter = 0;
  WithoutDegraded.MaximumPause = Degraded.MaximumPause = milliseconds(60000);
  HealthTrackerOptions ShortPause = Degraded;
  ShortPause.MaximumPause = milliseconds(20000);
  const HealthTrackerOptions DefaultOptions;
  PrintResult("counting with timer", [&](TimerService &Timers) {
    return std::make_unique<TimerStrategy>(Timers, WithoutDegraded);
  });
  PrintResult("lazy recovery", [&](TimerService &Timers) {
    return std::make_unique<TrackerStrategy>(Timers, WithoutDegraded);
  });
  PrintResult("lazy recovery, degraded 60%", [&](TimerService &Timers) {
    return std::make_unique<TrackerStrategy>(Timers, Degraded);
  });
  PrintResult("same, pause at most 20 s", [&](TimerService &Timers) {
    return std::make_unique<TrackerStrategy>(Timers, ShortPause);
  });
  PrintResult("same, job blame (in use)", [&](TimerService &Timers) {
    return std::make_unique<TrackerStrategy>(Timers, DefaultOptions);
  });
}

} // namespace

} // namespace hickory

int main(int Count, const char **Arguments) {
  long Seed = 1;
  double Seconds = 3600;
  const poptOption Table[] = {
      {"seed", 0, POPT_ARG_LONG, &Seed, 0, "seed of the input", "NUMBER"},
      {"seconds", 0, POPT_ARG_DOUBLE, &Seconds, 0, "simulated time", "SECONDS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Parser =
      poptGetContext("health-variants", Count, Arguments, Table, 0);
  const int Code = poptGetNextOpt(Parser);
  poptFreeContext(Parser);
  if (Code < -1) {
    std::cerr << "health-variants: " << poptStrerror(Code) << "\n";
    return 2;
  }
  hickory::Scenario Input;
  Input.Seed = static_cast<std::uint64_t>(Seed);
  Input.Seconds = Seconds;
  hickory::compare("bad workers, load 0.7", Input);
  Input.Load = 0.95;
  hickory::compare("bad workers, load 0.95", Input);
  Input.Load = 0.7;
  Input.PoisonJobIntervalSeconds = 60;
  hickory::compare("bad workers and jobs that always fail, load 0.7", Input);
  return 0;
}
