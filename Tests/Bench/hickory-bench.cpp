// Measures decisions of the scheduling code. Prints one JSON line per result.
#include "Bench/PackingBench.h"
#include "Bench/PlacementBench.h"
#include "Bench/QueueBench.h"
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
                                 "Smaller runs, to see that everything works",
                                 nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context =
      poptGetContext("hickory-bench", Count, Arguments, Options, 0);
  poptSetOtherOptionHelp(
      Context, "[OPTION...] placement|packing|waiting|sharing|queue...");
  const int Parsed = poptGetNextOpt(Context);
  if (Parsed < -1) {
    std::cerr << "hickory-bench: "
              << poptBadOption(Context, POPT_BADOPTION_NOALIAS) << ": "
              << poptStrerror(Parsed) << "\n";
    return EXIT_FAILURE;
  }
  const auto Start = static_cast<std::uint64_t>(Seed);
  int Ran = 0;
  while (const char *Name = poptGetArg(Context)) {
    const std::string Bench = Name;
    if (Bench == "placement")
      hickory::PlacementBench(Start, Quick != 0).run();
    else if (Bench == "packing")
      hickory::PackingBench(Start, Quick != 0).run();
    else if (Bench == "waiting")
      hickory::WaitingBench(Start, Quick != 0).run();
    else if (Bench == "sharing")
      hickory::SharingBench(Start, Quick != 0).run();
    else if (Bench == "queue")
      hickory::QueueBench(Start, Quick != 0).run();
    else {
      std::cerr << "hickory-bench: unknown benchmark " << Bench
                << "; see --help\n";
      return EXIT_FAILURE;
    }
    ++Ran;
  }
  if (Ran == 0) {
    poptPrintUsage(Context, stderr, 0);
    return EXIT_FAILURE;
  }
  poptFreeContext(Context);
  return EXIT_SUCCESS;
}
