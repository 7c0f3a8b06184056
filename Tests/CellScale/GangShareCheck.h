#pragma once

#include "CellScale/MixedLoadBench.h"

#include <cppunit/TestAssert.h>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace hickory {

/// Returns the options, as changed by HICKORYPICK_MIX: words separated by
/// commas, each of which names an option, or NAME=NUMBER.
inline MixedLoadOptions chosenMixedLoad() {
  MixedLoadOptions Options;
  const char *Chosen = std::getenv("HICKORYPICK_MIX");
  std::istringstream Words(Chosen == nullptr ? "" : Chosen);
  for (std::string Word; std::getline(Words, Word, ',');) {
    const std::size_t Equals = Word.find('=');
    const std::string Name = Word.substr(0, Equals);
    const double Number =
        Equals == std::string::npos ? 0 : std::stod(Word.substr(Equals + 1));
    if (Name == "seed")
      Options.Seed = static_cast<std::uint64_t>(Number);
    else if (Name == "load")
      Options.Load = Number;
    else if (Name == "owners")
      Options.Owners = static_cast<int>(Number);
    else if (Name == "helpers")
      Options.Helpers = static_cast<int>(Number);
    else if (Name == "arrivals-ms")
      Options.Arrivals = std::chrono::milliseconds(static_cast<int>(Number));
    else if (Name == "tail-ms")
      Options.Tail = std::chrono::milliseconds(static_cast<int>(Number));
    else if (Name == "stop-interval-ms")
      Options.StopInterval =
          std::chrono::milliseconds(static_cast<int>(Number));
    else if (Name == "killed-share")
      Options.KilledShare = Number;
    else if (Name == "instant-advice")
      Options.InstantAdvice = true;
    else if (Name == "lasting-tickets")
      Options.LastingTickets = true;
    else if (Name == "all-good")
      Options.AllWorkersGood = true;
    else if (Name == "exact-estimates")
      Options.ExactEstimates = true;
    else if (Name == "gangs-only")
      Options.GangsOnly = true;
    else if (Name == "calls-per-gang")
      Options.Dispatching.MaximumCallsPerGang = static_cast<int>(Number);
    else
      throw std::invalid_argument("HICKORYPICK_MIX: " + Word);
  }
  return Options;
}

/// Checks that gangs are served, and in time, about as often the wider they
/// are. The users require half of the share of all gangs for the largest tenth.
inline void checkLargestGangs(const MixedLoadOptions &Options) {
  MixedLoadBench Bench(Options);
  Bench.runLoad();
  const std::string Report = Bench.report();
  std::cerr << '\n' << Report;
  const auto Gangs = Bench.jobsByWork(MixedLoadBench::GangQueue);
  const auto Largest = MixedLoadBench::largestTenth(Gangs);
  CPPUNIT_ASSERT_MESSAGE(Report, 2 * MixedLoadBench::servedShare(Largest) >=
                                     MixedLoadBench::servedShare(Gangs));
  CPPUNIT_ASSERT_MESSAGE(Report, 2 * MixedLoadBench::inTimeShare(Largest) >=
                                     MixedLoadBench::inTimeShare(Gangs));
}

} // namespace hickory
