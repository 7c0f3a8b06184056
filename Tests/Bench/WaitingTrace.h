#pragma once

#include "Base/Random.h"
#include "Base/TimerService.h"
#include "Scheduling/Resources.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// One task or gang of a trace.
struct TraceTask {
  std::string Key;
  std::size_t Kind = 0;
  Clock::duration Arrival{}; ///< Since the start of the trace.
  Clock::duration DeclaredRun{};
  Clock::duration ActualRun{};
  /// When the task is cancelled, unless it has started before.
  std::optional<Clock::duration> CancelAt = std::nullopt;
};

/// A kind of work and its share of the load.
struct TraceKind {
  std::string Name;
  std::string Member;
  Resources Need;
  std::uint32_t Tasks = 1;
  std::uint32_t Priority = 100;
  bool NonRepeatable = false;
  bool Bursty = false;
  std::chrono::seconds MeanRun{60};
  double LoadShare = 0;
};

/// Generates a trace from a seed: bursts of four times the usual arrival rate
/// in one minute out of fifteen for bursty kinds, run times with a long tail,
/// declared run times that are wrong by a factor of 2.7 or more in a third of
/// the cases, and cancellations of some sorting runs at multiples of ten
/// minutes.
class WaitingTrace {
public:
  static const std::vector<TraceKind> &kinds() {
    using std::chrono::seconds;
    static const std::vector<TraceKind> Kinds = {{"sorting run",
                                                  "kernvaal",
                                                  {4000, 12288, 0},
                                                  1,
                                                  100,
                                                  false,
                                                  true,
                                                  seconds(300),
                                                  0.50},
                                                 {"calibration",
                                                  "kernvaal",
                                                  {2000, 4096, 0},
                                                  1,
                                                  100,
                                                  true,
                                                  false,
                                                  seconds(120),
                                                  0.08},
                                                 {"moisture check",
                                                  "kernvaal",
                                                  {500, 1024, 0},
                                                  1,
                                                  1000,
                                                  false,
                                                  true,
                                                  seconds(10),
                                                  0.02},
                                                 {"beacon check",
                                                  "karri-ridge",
                                                  {1000, 2048, 0},
                                                  1,
                                                  200,
                                                  false,
                                                  false,
                                                  seconds(60),
                                                  0.12},
                                                 {"service",
                                                  "karri-ridge",
                                                  {1000, 4096, 0},
                                                  1,
                                                  500,
                                                  true,
                                                  false,
                                                  seconds(3600),
                                                  0.15},
                                                 {"gang",
                                                  "kernvaal",
                                                  {2000, 4096, 0},
                                                  8,
                                                  100,
                                                  true,
                                                  false,
                                                  seconds(180),
                                                  0.13}};
    return Kinds;
  }

  WaitingTrace(std::uint64_t Seed, double Load, const Resources &Capacity,
               Clock::duration Length)
      : Random_(Seed) {
    const double Seconds = std::chrono::duration<double>(Length).count();
    for (std::size_t Kind = 0; Kind < kinds().size(); ++Kind) {
      const TraceKind &WorkKind = kinds()[Kind];
      const double CpuPerTask = static_cast<double>(WorkKind.Need.CpusMilli) *
                                WorkKind.Tasks *
                                static_cast<double>(WorkKind.MeanRun.count());
      const double Rate = Load * WorkKind.LoadShare *
                          static_cast<double>(Capacity.CpusMilli) / CpuPerTask;
      double ArrivalSeconds = 0;
      std::vector<TraceTask> TasksOfKind;
      double TotalRunSeconds = 0;
      while (true) {
        const bool Burst =
            WorkKind.Bursty && std::fmod(ArrivalSeconds, 900) < 60;
        // Bursts increase the mean arrival rate by a fifth.
        const double CurrentRate =
            WorkKind.Bursty ? (Burst ? 4 : 1) * Rate / 1.2 : Rate;
        ArrivalSeconds += -std::log(1 - Random_.unit()) / CurrentRate;
        if (ArrivalSeconds >= Seconds)
          break;
        TraceTask Task{.Key = WorkKind.Name + "#" +
                              std::to_string(TasksOfKind.size()),
                       .Kind = Kind,
                       .Arrival = duration(ArrivalSeconds)};
        const double RunSeconds =
            lognormal(static_cast<double>(WorkKind.MeanRun.count()), 0.7);
        TotalRunSeconds += RunSeconds;
        Task.ActualRun = duration(RunSeconds);
        Task.DeclaredRun = duration(RunSeconds * lognormal(1, 1.0));
        if (WorkKind.Name == "sorting run" && Random_.below(20) == 0)
          Task.CancelAt =
              duration((std::floor(ArrivalSeconds / 600) + 1) * 600);
        TasksOfKind.push_back(std::move(Task));
      }
      // The long tail makes the total run time vary. Scaling the run times
      // gives each kind exactly its share of the load.
      const double TargetRunSeconds =
          Load * WorkKind.LoadShare * Seconds *
          static_cast<double>(Capacity.CpusMilli) /
          static_cast<double>(WorkKind.Need.CpusMilli) / WorkKind.Tasks;
      for (TraceTask &Task : TasksOfKind) {
        Task.ActualRun =
            duration(std::chrono::duration<double>(Task.ActualRun).count() *
                     TargetRunSeconds / TotalRunSeconds);
        Tasks_.push_back(std::move(Task));
      }
    }
    std::sort(Tasks_.begin(), Tasks_.end(),
              [](const TraceTask &A, const TraceTask &B) {
                return std::tie(A.Arrival, A.Key) < std::tie(B.Arrival, B.Key);
              });
  }

  [[nodiscard]] const std::vector<TraceTask> &tasks() const { return Tasks_; }

private:
  static Clock::duration duration(double Seconds) {
    return std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Seconds));
  }
  /// Returns a log-normally distributed random number with the given mean.
  double lognormal(double Mean, double Sigma) {
    const double Pi = std::acos(-1.0);
    const double Normal = std::sqrt(-2 * std::log(1 - Random_.unit())) *
                          std::cos(2 * Pi * Random_.unit());
    return Mean * std::exp(Sigma * Normal - Sigma * Sigma / 2);
  }

  Random Random_;
  std::vector<TraceTask> Tasks_;
};

} // namespace hickory
