#include "StandIns/InstanceListStandIn.h"

#include "Fakes/FakeTimerService.h"
#include "Support/RunCoroutine.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

nlohmann::json instance(const std::string &Name, const std::string &Rack) {
  return {{"name", Name},       {"kind", "worker"},
          {"rack", Rack},       {"address", "127.0.0.1:1"},
          {"state", "live"},    {"failure_domain", "paarl-a"},
          {"cpus_milli", 32000}};
}

nlohmann::json document() {
  return {{"version", 3},
          {"instances",
           {instance("w1", "r1"), instance("w2", "r1"), instance("w3", "r2")}}};
}

} // namespace

class ListStandInTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListStandInTest);
  CPPUNIT_TEST(changesBecomeVisibleAfterLag);
  CPPUNIT_TEST(goneInstancesAreNotListedAndCanReturn);
  CPPUNIT_TEST(racksAndListsOfNamesAreSelected);
  CPPUNIT_TEST(outageIsAnsweredWithoutList);
  CPPUNIT_TEST(wrongRequestsChangeNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a list that is more current than the platform's.
  void changesBecomeVisibleAfterLag() {
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 1000ms);
    CPPUNIT_ASSERT(!List.load(document()));
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

  // Guards against instances that stay listed for ever.
  void goneInstancesAreNotListedAndCanReturn() {
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 0ms);
    CPPUNIT_ASSERT(!List.load(document()));
    CPPUNIT_ASSERT(!List.applyChange({{"name", "w1"}, {"state", "gone"}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         List.visibleDocument()["instances"].size());
    CPPUNIT_ASSERT(!List.applyChange({{"name", "w1"}, {"state", "live"}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         List.visibleDocument()["instances"].size());
    CPPUNIT_ASSERT(!List.applyChange({{"add", instance("w4", "r2")}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                         List.visibleDocument()["instances"].size());
    CPPUNIT_ASSERT_EQUAL(6, List.visibleDocument()["version"].get<int>());
  }

  // Guards against a rack failure that hits the wrong instances.
  void racksAndListsOfNamesAreSelected() {
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 0ms);
    CPPUNIT_ASSERT(!List.load(document()));
    CPPUNIT_ASSERT(!List.applyChange({{"rack", "r1"}, {"state", "gone"}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         List.visibleDocument()["instances"].size());
    CPPUNIT_ASSERT(List.visibleDocument()["instances"][0]["name"] == "w3");
    CPPUNIT_ASSERT(
        !List.applyChange({{"names", {"w1", "w3"}}, {"state", "leaving"}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         List.visibleDocument()["instances"].size());
  }

  // Guards against an outage that looks like an empty list.
  void outageIsAnsweredWithoutList() {
    asio::io_context Context;
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 0ms);
    CPPUNIT_ASSERT(!List.load(document()));
    const auto Status = [&] {
      HttpServerRequest Request{.Method = "GET", .Path = "/v1/instances"};
      return runCoroutine(Context, List.handle(std::move(Request))).Status;
    };
    CPPUNIT_ASSERT_EQUAL(200, Status());
    CPPUNIT_ASSERT(!List.applyChange({{"outage", "error"}}));
    CPPUNIT_ASSERT_EQUAL(503, Status());
    CPPUNIT_ASSERT(!List.applyChange({{"outage", "none"}}));
    CPPUNIT_ASSERT_EQUAL(200, Status());
  }

  // Guards against a test that believes it has removed an instance.
  void wrongRequestsChangeNothing() {
    FakeTimerService Timers;
    InstanceListStandIn List(Timers, 0ms);
    CPPUNIT_ASSERT(!List.load(document()));
    const auto Before = List.visibleDocument();
    CPPUNIT_ASSERT(List.applyChange({{"name", "other"}, {"state", "gone"}}));
    CPPUNIT_ASSERT(List.applyChange({{"name", "w1"}, {"state", "dead"}}));
    CPPUNIT_ASSERT(List.applyChange({{"nam", "w1"}, {"state", "gone"}}));
    CPPUNIT_ASSERT(List.applyChange({{"add", instance("w1", "r1")}}));
    CPPUNIT_ASSERT(List.applyChange({{"lag_ms", -1}}));
    CPPUNIT_ASSERT(List.visibleDocument() == Before);
    CPPUNIT_ASSERT(List.load({{"instances", {{{"name", "w1"}}}}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListStandInTest);

} // namespace hickory
