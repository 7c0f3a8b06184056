#include "Daemon/HickorydProcess.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

using namespace std::chrono_literals;

/// Slow enough that a change set is in flight when the signals arrive.
constexpr std::chrono::milliseconds SlowLog{600};
constexpr std::chrono::seconds StopTimeout{60};

const std::string ChangeSet =
    R"({"id":"change-1","author":"test",)"
    R"("based_on":[{"kind":"member","name":"kernvaal","version":0}],)"
    R"("objects":[{"kind":"member","name":"kernvaal",)"
    R"("toml":"display_name = \"Kernvaal\""}]})";

} // namespace

class DaemonSignalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonSignalTest);
  CPPUNIT_TEST(hangupCutsNoRequest);
  CPPUNIT_TEST(closedLogReaderCutsNoRequest);
  CPPUNIT_TEST(secondTerminationCutsNoRequest);
  CPPUNIT_TEST(terminationDuringStartIsClean);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { Daemon_ = std::make_unique<HickorydProcess>(); }
  void tearDown() override { Daemon_.reset(); }

  // Guards against the default action of SIGHUP, which ends the process and
  // cuts off all requests.
  void hangupCutsNoRequest() {
    sendDuringRequest({SIGHUP});
    CPPUNIT_ASSERT(Daemon_->events().find(R"("event":"reload")") !=
                   std::string::npos);
  }

  // Guards against the default action of SIGPIPE, which the process gets for a
  // line of its log if the reader of the log has exited.
  void closedLogReaderCutsNoRequest() { sendDuringRequest({SIGPIPE}); }

  // Guards against signals during a stop that end the process at once.
  void secondTerminationCutsNoRequest() {
    sendDuringRequest({SIGTERM, SIGTERM, SIGHUP, SIGINT}, true);
  }

  // Guards against a stop during the start that ends by the default action or
  // does not end at all.
  void terminationDuringStartIsClean() {
    std::string Log;
    for (int Try = 0; Try < 1000 && Log.find("gateway:") == std::string::npos;
         ++Try) {
      Daemon_->runFor(5ms);
      Log = Daemon_->log();
    }
    Daemon_->sendSignal(SIGTERM);
    CPPUNIT_ASSERT_MESSAGE(Daemon_->log(), Daemon_->exitsWithin(StopTimeout));
    CPPUNIT_ASSERT_EQUAL(0, Daemon_->exitStatus());
  }

private:
  /// Sends the signals, 100 ms apart, while a change set is in flight, and
  /// checks that it is answered and that the process exits only if it is to.
  void sendDuringRequest(const std::vector<int> &Signals, bool Exits = false) {
    Daemon_->awaitReady();
    Daemon_->slowLogDown(SlowLog);
    std::optional<int> Status;
    asio::co_spawn(Daemon_->context(),
                   Daemon_->send("POST", "/v1/config/apply", ChangeSet),
                   [&Status](const std::exception_ptr &,
                             std::optional<int> Given) { Status = Given; });
    Daemon_->runFor(200ms);
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("answered too early: {}", Status.value_or(0)), !Status);
    for (const int Number : Signals) {
      Daemon_->sendSignal(Number);
      Daemon_->runFor(100ms);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        Daemon_->log(), Exits, Daemon_->exitsWithin(Exits ? StopTimeout : 3s));
    CPPUNIT_ASSERT_MESSAGE("request was cut off", Status.has_value());
    CPPUNIT_ASSERT_EQUAL(200, *Status);
    if (Exits)
      CPPUNIT_ASSERT_EQUAL(0, Daemon_->exitStatus());
  }

  std::unique_ptr<HickorydProcess> Daemon_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonSignalTest);

} // namespace hickory
