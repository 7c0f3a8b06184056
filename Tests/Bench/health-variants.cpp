// Compares ways to set aside workers that fail everything they start, on the
// same seeded input: which work is lost on bad workers, and how much capacity
// of good workers stays unused.
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

/// How a variant judges a worker.
enum class Verdict { Good, Degraded, Probe, Aside };

/// A way to judge workers.
class Variant {
public:
  virtual ~Variant() = default;
  [[nodiscard]] virtual Verdict judge(const std::string &Worker) const = 0;
  virtual void started(const std::string &Worker) = 0;
  virtual void ended(const std::string &Worker, const std::string &Job,
                     bool Good) = 0;
  [[nodiscard]] virtual std::uint64_t timersArmed() const { return 0; }
};

/// Failures in a row; a timer puts the worker back after a fixed pause.
class CountingWithTimer final : public Variant {
public:
  CountingWithTimer(TimerService &Timers, HealthTrackerOptions Options)
      : Timers_(Timers), Options_(Options) {}

  [[nodiscard]] Verdict judge(const std::string &Worker) const override {
    const auto It = Entries_.find(Worker);
    return It != Entries_.end() && It->second.Aside ? Verdict::Aside
                                                    : Verdict::Good;
  }
  void started(const std::string & /*Worker*/) override {}
  void ended(const std::string &Worker, const std::string & /*Job*/,
             bool Good) override {
    Entry &Found = Entries_[Worker];
    if (Found.Aside)
      return;
    Found.Failures = Good ? 0 : Found.Failures + 1;
    if (Found.Failures < Options_.Threshold)
      return;
    Found.Aside = true;
    ++TimersArmed_;
    Found.Recovery = Timers_.after(Options_.InitialPause, [&Found] {
      Found.Aside = false;
      Found.Failures = 0;
    });
  }
  [[nodiscard]] std::uint64_t timersArmed() const override {
    return TimersArmed_;
  }

private:
  struct Entry {
    int Failures = 0;
    bool Aside = false;
    Subscription Recovery;
  };
  TimerService &Timers_;
  HealthTrackerOptions Options_;
  std::map<std::string, Entry> Entries_;
  std::uint64_t TimersArmed_ = 0;
};

/// The tracker in use; with a DegradedShare above 1 it has no degraded state.
class LazyRecovery final : public Variant {
public:
  LazyRecovery(TimerService &Timers, HealthTrackerOptions Options)
      : Tracker_(Options, Timers) {}

  [[nodiscard]] Verdict judge(const std::string &Worker) const override {
    switch (Tracker_.state(Worker)) {
    case HealthTracker::State::Healthy:
      return Verdict::Good;
    case HealthTracker::State::Degraded:
      return Verdict::Degraded;
    case HealthTracker::State::ProbeDue:
      return Verdict::Probe;
    default:
      return Verdict::Aside;
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
  double Load = 0.7; ///< Of all slots.
  double MeanRunSeconds = 8;
  double FailureShare = 0.03;    ///< Of tasks on good workers.
  double BadEverySeconds = 60;   ///< Mean time between workers going bad.
  double BadForSeconds = 45;     ///< Mean time until it works again.
  double PoisonEverySeconds = 0; ///< Jobs whose tasks all fail; 0: none.
  int PoisonTasks = 40;
  double Seconds = 3600;
};

struct Outcome {
  std::uint64_t Starts = 0;
  std::uint64_t LostOnBad = 0;    ///< Starts on workers that were bad.
  double GoodIdleSlotSeconds = 0; ///< Slots of good workers set aside.
  double WaitSeconds = 0;         ///< Sum over starts.
  std::uint64_t Timers = 0;
};

/// What arrives, drawn once, so that every variant sees the same.
struct Arrival {
  double At;
  double RunSeconds;
  bool Fails;
  std::string Job;
};
struct BadPeriod {
  double From;
  double Until;
  int Worker;
};

double exponential(Random &Source, double Mean) {
  return -Mean * std::log(1 - Source.unit());
}

class Simulation {
public:
  explicit Simulation(const Scenario &Input) : Input_(Input) {
    Random Source(Input.Seed);
    const double Rate =
        Input.Load * Input.Workers * Input.Slots / Input.MeanRunSeconds;
    for (double At = exponential(Source, 1 / Rate); At < Input.Seconds;
         At += exponential(Source, 1 / Rate))
      Arrivals_.push_back(
          {At, exponential(Source, Input.MeanRunSeconds),
           Source.unit() < Input.FailureShare,
           "job" + std::to_string(Arrivals_.size() / TasksPerJob)});
    for (double At = exponential(Source, Input.BadEverySeconds);
         At < Input.Seconds; At += exponential(Source, Input.BadEverySeconds))
      Bad_.push_back({At, At + exponential(Source, Input.BadForSeconds),
                      static_cast<int>(Source.below(
                          static_cast<std::uint64_t>(Input.Workers)))});
    if (Input.PoisonEverySeconds > 0)
      for (double At = exponential(Source, Input.PoisonEverySeconds);
           At < Input.Seconds;
           At += exponential(Source, Input.PoisonEverySeconds))
        for (int I = 0; I < Input.PoisonTasks; ++I)
          Arrivals_.push_back(
              {At, FailSeconds, true, "poison" + std::to_string(At)});
    std::stable_sort(
        Arrivals_.begin(), Arrivals_.end(),
        [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  }

  Outcome run(const std::function<std::unique_ptr<Variant>(TimerService &)>
                  &Make) const {
    FakeTimerService Timers;
    const auto Judge = Make(Timers);
    Outcome Sum;
    std::vector<int> Busy(static_cast<std::size_t>(Input_.Workers), 0);
    struct End {
      double At;
      int Worker;
      bool Good;
      std::string Job;
      bool operator>(const End &Other) const { return At > Other.At; }
    };
    std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
    std::deque<Arrival> Waiting;
    std::size_t Next = 0;
    constexpr double Tick = 0.05;
    for (double Now = 0; Now < Input_.Seconds; Now += Tick) {
      Timers.advance(milliseconds(50));
      while (!Ends.empty() && Ends.top().At <= Now) {
        const End Item = Ends.top();
        Ends.pop();
        --Busy[static_cast<std::size_t>(Item.Worker)];
        Judge->ended(nameOf(Item.Worker), Item.Job, Item.Good);
      }
      for (; Next < Arrivals_.size() && Arrivals_[Next].At <= Now; ++Next)
        Waiting.push_back(Arrivals_[Next]);
      while (!Waiting.empty()) {
        const int Worker = pick(*Judge, Busy);
        if (Worker < 0)
          break;
        const Arrival Item = Waiting.front();
        Waiting.pop_front();
        const bool IsBad = isBad(Worker, Now);
        Sum.WaitSeconds += Now - Item.At;
        ++Sum.Starts;
        Sum.LostOnBad += IsBad ? 1 : 0;
        ++Busy[static_cast<std::size_t>(Worker)];
        Judge->started(nameOf(Worker));
        const bool Fails = IsBad || Item.Fails;
        Ends.push({Now + (Fails ? FailSeconds : Item.RunSeconds), Worker,
                   !Fails, Item.Job});
      }
      for (int Worker = 0; Worker < Input_.Workers; ++Worker)
        if (Judge->judge(nameOf(Worker)) == Verdict::Aside &&
            !isBad(Worker, Now))
          Sum.GoodIdleSlotSeconds +=
              Tick * (Input_.Slots - Busy[static_cast<std::size_t>(Worker)]);
    }
    Sum.Timers = Judge->timersArmed();
    return Sum;
  }

private:
  static constexpr double FailSeconds = 0.1;
  static constexpr std::size_t TasksPerJob = 10;

  static std::string nameOf(int Worker) { return "w" + std::to_string(Worker); }

  [[nodiscard]] bool isBad(int Worker, double Now) const {
    for (const BadPeriod &Period : Bad_)
      if (Period.Worker == Worker && Period.From <= Now && Now < Period.Until)
        return true;
    return false;
  }

  /// Best fit like the rack manager: the fullest worker with a free slot, after
  /// the verdict.
  [[nodiscard]] int pick(const Variant &Judge,
                         const std::vector<int> &Busy) const {
    int Best = -1;
    std::pair<int, int> BestRank;
    for (int Worker = 0; Worker < Input_.Workers; ++Worker) {
      const int Used = Busy[static_cast<std::size_t>(Worker)];
      const Verdict Seen = Judge.judge(nameOf(Worker));
      if (Used >= Input_.Slots || Seen == Verdict::Aside)
        continue;
      const std::pair Rank(static_cast<int>(Seen), -Used);
      if (Best < 0 || Rank < BestRank) {
        Best = Worker;
        BestRank = Rank;
      }
    }
    return Best;
  }

  Scenario Input_;
  std::vector<Arrival> Arrivals_;
  std::vector<BadPeriod> Bad_;
};

void compare(const std::string &Title, const Scenario &Input) {
  const Simulation World(Input);
  const double Capacity = Input.Workers * Input.Slots * Input.Seconds;
  std::cout << fmt::format("{} (seed {}, {} s)\n", Title, Input.Seed,
                           Input.Seconds);
  const auto Report = [&](const std::string &Name, const auto &Make) {
    const Outcome Sum = World.run(Make);
    std::cout << fmt::format(
        "  {:<28} starts {:>7}  lost on bad {:>6} ({:5.2f}%)  good idle "
        "{:>8.0f} slot-s ({:5.3f}%)  mean wait {:6.1f} ms  timers {}\n",
        Name, Sum.Starts, Sum.LostOnBad,
        100.0 * static_cast<double>(Sum.LostOnBad) /
            static_cast<double>(Sum.Starts),
        Sum.GoodIdleSlotSeconds, 100 * Sum.GoodIdleSlotSeconds / Capacity,
        1000 * Sum.WaitSeconds / static_cast<double>(Sum.Starts), Sum.Timers);
  };
  HealthTrackerOptions Plain;
  Plain.DegradedShare = 2;
  Plain.BlameJobAfter = 0;
  HealthTrackerOptions Degraded;
  Degraded.BlameJobAfter = 0;
  Plain.MaximumPause = Degraded.MaximumPause = milliseconds(60000);
  HealthTrackerOptions ShortPause = Degraded;
  ShortPause.MaximumPause = milliseconds(20000);
  const HealthTrackerOptions InUse;
  Report("counting with timer", [&](TimerService &Timers) {
    return std::make_unique<CountingWithTimer>(Timers, Plain);
  });
  Report("lazy recovery", [&](TimerService &Timers) {
    return std::make_unique<LazyRecovery>(Timers, Plain);
  });
  Report("lazy recovery, degraded 60%", [&](TimerService &Timers) {
    return std::make_unique<LazyRecovery>(Timers, Degraded);
  });
  Report("same, pause at most 20 s", [&](TimerService &Timers) {
    return std::make_unique<LazyRecovery>(Timers, ShortPause);
  });
  Report("same, job blame (in use)", [&](TimerService &Timers) {
    return std::make_unique<LazyRecovery>(Timers, InUse);
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
  Input.PoisonEverySeconds = 60;
  hickory::compare("bad workers and jobs that always fail, load 0.7", Input);
  return 0;
}
