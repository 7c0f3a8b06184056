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
  Clock::duration Declared{};
  Clock::duration Actual{};
  /// When a wave of cancellations reaches it, unless it started before.
  std::optional<Clock::duration> CancelAt = std::nullopt;
};

/// A kind of work, with the part of the load that it makes up.
struct TraceKind {
  std::string Name;
  std::string Member;
  Resources Need;
  std::uint32_t Tasks = 1;
  std::uint32_t Priority = 100;
  bool NonRepeatable = false;
  bool Bursty = false;
  std::chrono::seconds MeanRun{60};
  double LoadPart = 0;
};

/// Seeded arrivals: bursts of four times the usual rate in one minute out of
/// fifteen, run times with a long tail, declared run times that are off by a
/// factor of 2.7 or more in a third of the cases, and waves of cancellations
/// every ten minutes.
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
      : Numbers_(Seed) {
    const double Seconds = std::chrono::duration<double>(Length).count();
    for (std::size_t Kind = 0; Kind < kinds().size(); ++Kind) {
      const TraceKind &Of = kinds()[Kind];
      const double PerTask = static_cast<double>(Of.Need.CpusMilli) * Of.Tasks *
                             static_cast<double>(Of.MeanRun.count());
      const double Rate = Load * Of.LoadPart *
                          static_cast<double>(Capacity.CpusMilli) / PerTask;
      double At = 0;
      std::vector<TraceTask> Drawn;
      double DrawnRun = 0;
      while (true) {
        const bool Burst = Of.Bursty && std::fmod(At, 900) < 60;
        // Bursts make up a fifth more arrivals than the base rate alone.
        const double Now = Of.Bursty ? (Burst ? 4 : 1) * Rate / 1.2 : Rate;
        At += -std::log(1 - Numbers_.unit()) / Now;
        if (At >= Seconds)
          break;
        TraceTask Task{.Key = Of.Name + "#" + std::to_string(Drawn.size()),
                       .Kind = Kind,
                       .Arrival = duration(At)};
        const double Run =
            lognormal(static_cast<double>(Of.MeanRun.count()), 0.7);
        DrawnRun += Run;
        Task.Actual = duration(Run);
        Task.Declared = duration(Run * lognormal(1, 1.0));
        if (Of.Name == "sorting run" && Numbers_.below(20) == 0)
          Task.CancelAt = duration((std::floor(At / 600) + 1) * 600);
        Drawn.push_back(std::move(Task));
      }
      // The long tail makes the sum of run times vary; scaling them gives each
      // kind exactly its part of the load.
      const double Wanted = Load * Of.LoadPart * Seconds *
                            static_cast<double>(Capacity.CpusMilli) /
                            static_cast<double>(Of.Need.CpusMilli) / Of.Tasks;
      for (TraceTask &Task : Drawn) {
        Task.Actual =
            duration(std::chrono::duration<double>(Task.Actual).count() *
                     Wanted / DrawnRun);
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
  /// With the given mean.
  double lognormal(double Mean, double Sigma) {
    const double Pi = std::acos(-1.0);
    const double Normal = std::sqrt(-2 * std::log(1 - Numbers_.unit())) *
                          std::cos(2 * Pi * Numbers_.unit());
    return Mean * std::exp(Sigma * Normal - Sigma * Sigma / 2);
  }

  Random Numbers_;
  std::vector<TraceTask> Tasks_;
};

} // namespace hickory
