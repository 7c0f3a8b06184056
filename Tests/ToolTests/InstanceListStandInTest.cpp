#include "StandIns/InstanceListStandIn.h"

#include "Fakes/FakeTimerService.h"
#include "Support/RunCoroutine.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

nlohmann::json instanceEntry(const std::string &Name, const std::string &Rack) {
  return {{"name", Name},       {"kind", "worker"},
          {"rack", Rack},       {"address", "127.0.0.1:1"},
          {"state", "live"},    {"failure_domain", "paarl-a"},
          {"cpus_milli", 32000}};
}

nlohmann::json listDocument() {
  return {{"version", 3},
          {"instances",
           {instanceEntry("w1", "r1"), instanceEntry("w2", "r1"),
            instanceEntry("w3", "r2")}}};
}

} // namespace

class InstanceListStandInTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceListStandInTest);
  CPPUNIT_TEST(changesBecomeVisibleAfterLag);
  CPPUNIT_TEST(goneInstancesAreNotListedUntilLiveAgain);
  CPPUNIT_TEST(changesSelectByRackOrNames);
  CPPUNIT_TEST(outageReturnsErrorWithoutList);
  CPPUNIT_TEST(invalidRequestsChangeNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a stand-in that shows changes without the platform's delay.
  void changesBecomeVisibleAfterLag() {
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 1000ms);
    CPPUNIT_ASSERT(!List.load(listDocument()));
    CPPUNIT_ASSERT_EQUAL(3, List.visibleDocument()["version"].get<int>());
    CPPUNIT_ASSERT(!List.applyChange({{"name", "w2"}, {"state", "leaving"}}));
    Timers.advance(999ms);
    CPPUNIT_ASSERT(List.visibleDocument()["instances"][1]["state"] == "live");
    Timers.advance(1ms);
    CPPUNIT_ASSERT(List.visibleDocument()["instances"][1]["state"] ==
                   "leaving");
    CPPUNIT_ASSERT_EQUAL(4, List.visibleDocument()["version"].get<int>());
    CPPUNIT_ASSERT(List.visibleDocument()["instances"][1]["cpus_milli"] ==
                   32000);
  }

  // Guards against instances that stay in the list after they are gone.
  void goneInstancesAreNotListedUntilLiveAgain() {
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 0ms);
    CPPUNIT_ASSERT(!List.load(listDocument()));
    CPPUNIT_ASSERT(!List.applyChange({{"name", "w1"}, {"state", "gone"}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         List.visibleDocument()["instances"].size());
    CPPUNIT_ASSERT(!List.applyChange({{"name", "w1"}, {"state", "live"}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         List.visibleDocument()["instances"].size());
    CPPUNIT_ASSERT(!List.applyChange({{"add", instanceEntry("w4", "r2")}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                         List.visibleDocument()["instances"].size());
    CPPUNIT_ASSERT_EQUAL(6, List.visibleDocument()["version"].get<int>());
  }

  // Guards against a simulated rack failure that affects other instances.
  void changesSelectByRackOrNames() {
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 0ms);
    CPPUNIT_ASSERT(!List.load(listDocument()));
    CPPUNIT_ASSERT(!List.applyChange({{"rack", "r1"}, {"state", "gone"}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         List.visibleDocument()["instances"].size());
    CPPUNIT_ASSERT(List.visibleDocument()["instances"][0]["name"] == "w3");
    CPPUNIT_ASSERT(
        !List.applyChange({{"names", {"w1", "w3"}}, {"state", "leaving"}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         List.visibleDocument()["instances"].size());
  }

  // Guards against an outage that returns an empty list instead of an error.
  void outageReturnsErrorWithoutList() {
    asio::io_context Context;
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 0ms);
    CPPUNIT_ASSERT(!List.load(listDocument()));
    const auto ListStatus = [&] {
      HttpServerRequest Request{.Method = "GET", .Path = "/v1/instances"};
      return runCoroutine(Context, List.handle(std::move(Request))).Status;
    };
    CPPUNIT_ASSERT_EQUAL(200, ListStatus());
    CPPUNIT_ASSERT(!List.applyChange({{"outage", "error"}}));
    CPPUNIT_ASSERT_EQUAL(503, ListStatus());
    CPPUNIT_ASSERT(!List.applyChange({{"outage", "none"}}));
    CPPUNIT_ASSERT_EQUAL(200, ListStatus());
  }

  // Guards against accepting an invalid request, after which a test would run
  // with an instance that it meant to remove.
  void invalidRequestsChangeNothing() {
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 0ms);
    CPPUNIT_ASSERT(!List.load(listDocument()));
    const auto Before = List.visibleDocument();
    CPPUNIT_ASSERT(List.applyChange({{"name", "other"}, {"state", "gone"}}));
    CPPUNIT_ASSERT(List.applyChange({{"name", "w1"}, {"state", "dead"}}));
    CPPUNIT_ASSERT(List.applyChange({{"nam", "w1"}, {"state", "gone"}}));
    CPPUNIT_ASSERT(List.applyChange({{"add", instanceEntry("w1", "r1")}}));
    CPPUNIT_ASSERT(List.applyChange({{"lag_ms", -1}}));
    CPPUNIT_ASSERT(List.visibleDocument() == Before);
    CPPUNIT_ASSERT(List.load({{"instances", {{{"name", "w1"}}}}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceListStandInTest);

} // namespace hickory
