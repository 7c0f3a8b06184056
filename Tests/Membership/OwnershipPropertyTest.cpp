#include "DomainSimulation.h"
#include "RecordingSink.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <glog/logging.h>
#include <iostream>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

class OwnershipPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipPropertyTest);
  CPPUNIT_TEST(survey);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { FLAGS_minloglevel = google::GLOG_ERROR; }

  void search(const char *Name, SimulationOptions Options, int Limit) {
    const auto Start = std::chrono::steady_clock::now();
    int Found = 0;
    std::string Text;
    for (int I = 0; I < Limit; ++I) {
      Options.Seed = 1000 + I;
      DomainSimulation World(Options);
      if (auto V = World.run()) {
        ++Found;
        if (Text.empty())
          Text = *V;
      }
    }
    std::cerr << Name << ": " << Found << " of " << Limit << " in "
              << std::chrono::duration<double>(
                     std::chrono::steady_clock::now() - Start)
                     .count()
              << " s; " << Text << std::endl;
  }

  void survey() {
    const int N = std::getenv("N") ? std::atoi(std::getenv("N")) : 100;
    SimulationOptions Base;
    Base.Ownership.SnapshotRecords = 60;
    {
      SimulationOptions O = Base;
      O.Rates = SimulationRates{.Pause = 15,
                                .Kill = 15,
                                .Drain = 0,
                                .LogOutage = 0,
                                .SlotOutage = 0,
                                .PeerOutage = 0,
                                .SlowAppend = 0,
                                .LostAnswer = 0,
                                .SlowRead = 3};
      search("ok JudgeLateProbe", O, N);
      O.Ownership.Faults.JudgeLateProbe = true;
      search("JudgeLateProbe", O, N);
    }
    {
      SimulationOptions O = Base;
      O.Rates = SimulationRates{.Pause = 0,
                                .Kill = 5,
                                .Drain = 0,
                                .LogOutage = 0,
                                .SlotOutage = 10,
                                .PeerOutage = 0,
                                .SlowAppend = 5,
                                .LostAnswer = 1,
                                .SlowRead = 10};
      search("ok ReviveByConsent", O, N);
      O.Ownership.Faults.ReviveByConsent = true;
      search("ReviveByConsent", O, N);
    }
    {
      SimulationOptions O = Base;
      O.ClockSpread = 0.2;
      O.Ownership.ClockRateMarginPercent = 51;
      O.Rates = SimulationRates{.Pause = 0,
                                .Kill = 0,
                                .Drain = 0,
                                .LogOutage = 0,
                                .SlotOutage = 6,
                                .PeerOutage = 10,
                                .SlowAppend = 0,
                                .LostAnswer = 0,
                                .SlowRead = 0};
      search("ok Margin", O, N);
      O.Ownership.ClockRateMarginPercent = 5;
      search("Margin", O, N);
    }
    {
      SimulationOptions O = Base;
      O.Rates = SimulationRates{.Pause = 10,
                                .Kill = 0,
                                .Drain = 0,
                                .LogOutage = 0,
                                .SlotOutage = 5,
                                .PeerOutage = 10,
                                .SlowAppend = 3,
                                .LostAnswer = 3,
                                .SlowRead = 10};
      search("ok LeaseFromReadBack", O, N);
      O.Ownership.Faults.LeaseFromReadBack = true;
      search("LeaseFromReadBack", O, N);
      O = Base;
      O.Rates = SimulationRates{.Pause = 10,
                                .Kill = 0,
                                .Drain = 0,
                                .LogOutage = 0,
                                .SlotOutage = 5,
                                .PeerOutage = 10,
                                .SlowAppend = 20,
                                .LostAnswer = 10,
                                .SlowRead = 10};
      O.StateFaults.CountDuplicates = true;
      search("CountDuplicates", O, N);
    }
    {
      SimulationOptions O = Base;
      O.Rates = SimulationRates{.Pause = 5,
                                .Kill = 0,
                                .Drain = 0,
                                .LogOutage = 0,
                                .SlotOutage = 10,
                                .PeerOutage = 10,
                                .SlowAppend = 5,
                                .LostAnswer = 0,
                                .SlowRead = 10};
      search("ok IgnoreBasedOn", O, N);
      O.StateFaults.IgnoreBasedOn = true;
      search("IgnoreBasedOn", O, N);
    }
    {
      SimulationOptions O = Base;
      O.Rates = SimulationRates{.Pause = 0,
                                .Kill = 0,
                                .Drain = 0,
                                .LogOutage = 0,
                                .SlotOutage = 10,
                                .PeerOutage = 8,
                                .SlowAppend = 0,
                                .LostAnswer = 0,
                                .SlowRead = 0};
      search("ok Majority", O, N);
      O.Ownership.Faults.ConsentByMajority = true;
      search("Majority", O, N);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipPropertyTest);

} // namespace hickory
