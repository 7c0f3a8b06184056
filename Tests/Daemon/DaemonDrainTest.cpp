#include "Daemon/HickorydProcess.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

using namespace std::chrono_literals;

/// Time that docs/OPERATIONS.md grants a stop.
constexpr std::chrono::seconds StopTimeout{80};

const std::string Configuration = R"({"id":"change-1","author":"test",
"based_on":[{"kind":"member","name":"kernvaal","version":0},
{"kind":"pool","name":"main","version":0},
{"kind":"policy","name":"lookup","version":0},
{"kind":"job_class","name":"moisture-check","version":0}],
"objects":[
{"kind":"member","name":"kernvaal","toml":"display_name = \"Kernvaal\""},
{"kind":"pool","name":"main","toml":""},
{"kind":"policy","name":"lookup",
"toml":"kind = \"request\"\nacceptance = \"synchronous\""},
{"kind":"job_class","name":"moisture-check",
"toml":"pool = \"main\"\npolicy = \"lookup\""}]})";

/// Waits for an executor for longer than a stop takes.
const std::string LongRequest = R"({"key":"paarl-a/check-1",)"
                                R"("member":"kernvaal",)"
                                R"("class":"moisture-check",)"
                                R"("timeout_ms":110000})";

} // namespace

class DaemonDrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonDrainTest);
  CPPUNIT_TEST(requestIsAnsweredAtTheLimitOfTheDrain);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Daemon_ = std::make_unique<HickorydProcess>(); }
  void tearDown() override { Daemon_.reset(); }

  // Guards against a stop that closes the connections of the requests that are
  // still in flight when the time for them is over.
  void requestIsAnsweredAtTheLimitOfTheDrain() {
    Daemon_->awaitReady();
    CPPUNIT_ASSERT_EQUAL(
        200, Daemon_->statusOf("POST", "/v1/config/apply", Configuration)
                 .value_or(0));
    std::optional<int> Status;
    bool Ended = false;
    asio::co_spawn(Daemon_->context(),
                   Daemon_->send("POST", "/v1/requests", LongRequest),
                   [&](const std::exception_ptr &, std::optional<int> Given) {
                     Status = Given;
                     Ended = true;
                   });
    Daemon_->runFor(500ms);
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("answered before the stop: {}", Status.value_or(0)),
        !Ended);
    Daemon_->sendSignal(SIGTERM);
    CPPUNIT_ASSERT_MESSAGE(Daemon_->log(), Daemon_->exitsWithin(StopTimeout));
    Daemon_->runFor(500ms);
    CPPUNIT_ASSERT_MESSAGE("request was cut off", Status.has_value());
    CPPUNIT_ASSERT_EQUAL(504, *Status);
    CPPUNIT_ASSERT_MESSAGE(Daemon_->log(),
                           Daemon_->log().find("1 requests in flight at the "
                                               "limit of the drain") !=
                               std::string::npos);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Daemon_->log(), 0, Daemon_->exitStatus());
  }

private:
  std::unique_ptr<HickorydProcess> Daemon_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonDrainTest);

} // namespace hickory
