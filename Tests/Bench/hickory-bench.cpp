// Runs benchmarks of the scheduling code. Prints one JSON line per result.
#include "Bench/AccountsBench.h"
#include "Bench/PackingBench.h"
#include "Bench/PlacementBench.h"
#include "Bench/QueueBench.h"
#include "Bench/SharesBench.h"
#include "Bench/SharingBench.h"
#include "Bench/WaitingBench.h"

#include <cstdlib>
#include <glog/logging.h>
#include <popt.h>

int main(int Count, const char **Arguments) {
  google::InitGoogleLogging(Arguments[0]);
  FLAGS_logtostderr = true;
  long long Seed = 1;
  int Quick = 0;
  const poptOption Options[] = {{"seed", 's', POPT_ARG_LONGLONG, &Seed, 0,
                                 "Seed of all random input", "N"},
                                {"quick", 'q', POPT_ARG_NONE, &Quick, 0,
                                 "Smaller runs, as a smoke test", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context =
      poptGetContext("hickory-bench", Count, Arguments, Options, 0);
  poptSetOtherOptionHelp(
      Context, "[OPTION...] "
               "placement|packing|waiting|sharing|queue|shares|accounts...");
  const int Parsed = poptGetNextOpt(Context);
  if (Parsed < -1) {
    std::cerr << "hickory-bench: "
              << poptBadOption(Context, POPT_BADOPTION_NOALIAS) << ": "
              << poptStrerror(Parsed) << "\n";
    return EXIT_FAILURE;
  }
  const auto SeedValue = static_cast<std::uint64_t>(Seed);
  int BenchmarkCount = 0;
  while (const char *Name = poptGetArg(Context)) {
    const std::string Benchmark = Name;
    if (Benchmark == "placement")
      hickory::PlacementBench(SeedValue, Quick != 0).run();
    else if (Benchmark == "packing")
      hickory::PackingBench(SeedValue, Quick != 0).run();
    else if (Benchmark == "waiting")
      hickory::WaitingBench(SeedValue, Quick != 0).run();
    else if (Benchmark == "sharing")
      hickory::SharingBench(SeedValue, Quick != 0).run();
    else if (Benchmark == "queue")
      hickory::QueueBench(SeedValue, Quick != 0).run();
    else if (Benchmark == "shares")
      hickory::SharesBench(SeedValue, Quick != 0).run();
    else if (Benchmark == "accounts")
      hickory::AccountsBench(SeedValue, Quick != 0).run();
    else {
      std::cerr << "hickory-bench: unknown benchmark " << Benchmark
                << "; see --help\n";
      return EXIT_FAILURE;
    }
    ++BenchmarkCount;
  }
  if (BenchmarkCount == 0) {
    poptPrintUsage(Context, stderr, 0);
    return EXIT_FAILURE;
  }
  poptFreeContext(Context);
  return EXIT_SUCCESS;
}
