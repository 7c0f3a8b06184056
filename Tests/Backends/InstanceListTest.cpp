#include "Backends/InstanceList.h"

#include "Fakes/FakeHttpClient.h"
#include "Fakes/FakeOwnershipView.h"
#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace hickory {

using namespace std::chrono_literals;

namespace {

nlohmann::json instance(const std::string &Name, const std::string &Rack,
                        const std::string &State = "live",
                        const std::string &Domain = "d") {
  return {{"name", Name},
          {"kind", "worker"},
          {"address", Name + ":1"},
          {"rack", Rack},
          {"failure_domain", Domain},
          {"state", State},
          {"cpus_milli", 4000},
          {"memory_mb", 8000},
          {"accelerators", 1}};
}

std::string document(std::uint64_t Version,
                     std::vector<nlohmann::json> Instances) {
  return nlohmann::json{{"version", Version}, {"instances", Instances}}.dump();
}

struct ListHarness {
  FakeTimerService Timers;
  asio::io_context Context;
  FakeHttpClient Client{Timers};
  FakeOwnershipView Ownership{Timers};
  Metrics Counters;
  EventLog Events{Timers, {}};
  InstanceList List{{.Url = "http://list:1/v1/instances",
                     .FailureDomain = "d",
                     .OlderListsUntilAccepted = 3},
                    Context.get_executor(),
                    Timers,
                    Client,
                    Ownership,
                    Counters,
                    Events};
  int Changes = 0;
  Subscription Watch = List.subscribe([this] { ++Changes; });
};

} // namespace

class InstanceListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceListTest);
  CPPUNIT_TEST(keepsUpstreamsOfOwnDomain);
  CPPUNIT_TEST(missingUpstreamIsLeaving);
  CPPUNIT_TEST(olderListIsIgnoredForAWhile);
  CPPUNIT_TEST(unchangedAnswerKeepsTheList);
  CPPUNIT_TEST(invalidListIsIgnored);
  CPPUNIT_TEST(ownWordCountsBeforeTheList);
  CPPUNIT_TEST(pollsAndSurvivesAnOutage);
  CPPUNIT_TEST_SUITE_END();

public:
  void keepsUpstreamsOfOwnDomain() {
    ListHarness Test;
    CPPUNIT_ASSERT(
        Test.List
            .apply(document(1, {instance("a", "r1"), instance("b", "r2"),
                                instance("c", "r3", "live", "x")}))
            .has_value());
    CPPUNIT_ASSERT(Test.Ownership.Racks ==
                   std::vector<std::string>({"r1", "r2"}));
    CPPUNIT_ASSERT(!Test.List.find("c"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t(4000),
                         Test.List.find("a")->Total.CpusMilli);
    CPPUNIT_ASSERT_EQUAL(1, Test.Changes);
  }

  // Guards against taking a gap in the list for the death of a worker, and
  // against new work for it.
  void missingUpstreamIsLeaving() {
    ListHarness Test;
    static_cast<void>(Test.List.apply(
        document(1, {instance("a", "r1"), instance("b", "r2")})));
    static_cast<void>(Test.List.apply(document(2, {instance("a", "r1")})));
    CPPUNIT_ASSERT(Test.List.find("b")->Leaving);
    // Its rack still has an owner.
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Test.Ownership.Racks.size());
    static_cast<void>(Test.List.apply(
        document(3, {instance("a", "r1"), instance("b", "r2")})));
    CPPUNIT_ASSERT(!Test.List.find("b")->Leaving);
  }

  // Guards against a lagging copy of the list that brings back an upstream
  // that is leaving.
  void olderListIsIgnoredForAWhile() {
    ListHarness Test;
    static_cast<void>(
        Test.List.apply(document(5, {instance("a", "r1", "leaving")})));
    const std::string Old = document(4, {instance("a", "r1")});
    CPPUNIT_ASSERT(!Test.List.apply(Old).has_value());
    CPPUNIT_ASSERT(Test.List.find("a")->Leaving);
    CPPUNIT_ASSERT(!Test.List.apply(Old).has_value());
    // The platform restarted its numbering.
    CPPUNIT_ASSERT(Test.List.apply(Old).has_value());
    CPPUNIT_ASSERT(!Test.List.find("a")->Leaving);
  }

  void invalidListIsIgnored() {
    ListHarness Test;
    static_cast<void>(Test.List.apply(document(1, {instance("a", "r1")})));
    CPPUNIT_ASSERT(!Test.List.apply("{").has_value());
    auto Broken = instance("b", "r1");
    Broken.erase("address");
    CPPUNIT_ASSERT(!Test.List.apply(document(2, {Broken})).has_value());
    CPPUNIT_ASSERT(!Test.List.find("a")->Leaving);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Test.List.version());
  }

  // Guards against upstreams that are taken for missing because the list
  // service left out an unchanged content.
  void unchangedAnswerKeepsTheList() {
    ListHarness Harness;
    // Nothing is known yet that could be unchanged.
    CPPUNIT_ASSERT(!Harness.List.apply(R"({"version": 4, "unchanged": true})"));
    CPPUNIT_ASSERT(Harness.List.apply(document(4, {instance("a", "r")})));
    const auto Before = Harness.List.lastGood();
    Harness.Timers.advance(1s);
    CPPUNIT_ASSERT(Harness.List.apply(R"({"version": 4, "unchanged": true})"));
    CPPUNIT_ASSERT(Harness.List.lastGood() > Before);
    CPPUNIT_ASSERT(!Harness.List.find("a")->Leaving);
    // Another version cannot be unchanged.
    CPPUNIT_ASSERT(!Harness.List.apply(R"({"version": 5, "unchanged": true})"));
    CPPUNIT_ASSERT(!Harness.List.find("a")->Leaving);
  }

  // Guards against new work for an upstream that said that it is leaving.
  void ownWordCountsBeforeTheList() {
    ListHarness Test;
    static_cast<void>(Test.List.apply(document(1, {instance("a", "r1")})));
    Test.List.setSaidLeaving("a", true);
    CPPUNIT_ASSERT(Test.List.find("a")->Leaving);
    CPPUNIT_ASSERT_EQUAL(2, Test.Changes);
    static_cast<void>(Test.List.apply(document(2, {instance("a", "r1")})));
    CPPUNIT_ASSERT(Test.List.find("a")->Leaving);
    // A replacement at another address is not leaving.
    auto Moved = instance("a", "r1");
    Moved["address"] = "elsewhere:1";
    static_cast<void>(Test.List.apply(document(3, {Moved})));
    CPPUNIT_ASSERT(!Test.List.find("a")->Leaving);
  }

  // Guards against dropping all upstreams when the list cannot be read.
  void pollsAndSurvivesAnOutage() {
    ListHarness Test;
    std::string Current = document(1, {instance("a", "r1")});
    const auto Serve = [&] {
      Test.Client.serve("list:1", [&](const HttpClientRequest &) {
        HttpClientResponse Reply;
        Reply.Status = 200;
        Reply.Body = Current;
        return Reply;
      });
    };
    const auto Run = [&](Clock::duration Time) {
      for (Clock::duration Passed{0}; Passed < Time; Passed += 100ms) {
        Test.Context.restart();
        Test.Context.poll();
        Test.Timers.advance(100ms);
      }
    };
    Serve();
    asio::co_spawn(Test.Context, Test.List.run(), asio::detached);
    Run(1s);
    CPPUNIT_ASSERT(Test.List.find("a").has_value());
    Test.Client.refuseConnections("list:1");
    Run(60s);
    CPPUNIT_ASSERT(!Test.List.find("a")->Leaving);
    CPPUNIT_ASSERT(Test.Counters.counterValue(
                       "hickory_instance_list_failures_total") > 50);
    Current = document(2, {instance("a", "r1", "leaving")});
    Serve();
    Run(3s);
    CPPUNIT_ASSERT(Test.List.find("a")->Leaving);
    Test.List.stop();
    Run(1s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceListTest);

} // namespace hickory
