#include "Emulator/CellInstance.h"
#include "StandIns/StandInSupport.h"

#include <asio/co_spawn.hpp>
#include <asio/connect.hpp>
#include <asio/detached.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>

namespace hickory::emulator {

namespace {

using namespace std::chrono_literals;
using asio::use_awaitable;
using asio::ip::tcp;
using Steady = std::chrono::steady_clock;

/// A request may be lost if its connection ends within this time after its
/// last byte, as the process may not have read it.
constexpr milliseconds LossSlack{200};
/// Time of an append at the store. Long, so that submissions are in flight at
/// any moment of the stop.
constexpr milliseconds SlowAppend{400};
constexpr milliseconds SendPeriod{40};
constexpr std::chrono::seconds ReadyTimeout{60};
constexpr std::chrono::seconds StopTimeout{60};
constexpr int Partitions = 4;

/// What clients saw of the requests that they sent to the stopping process.
struct ClientResults {
  int Answered = 0;
  int Refused = 0; ///< No connection, or closed within LossSlack.
  int Lost = 0;
};

std::string submission(int Number) {
  const std::string Body =
      R"({"spec":"s","steps":[{"count":1,"cpu":100,"mem-mb":16}]})";
  return fmt::format("POST /plain/{:016x} HTTP/1.1\r\nHost: plain.example\r\n"
                     "Content-Type: application/json\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     Number, Body.size(), Body);
}

} // namespace

/// Runs hickory-cell processes on the emulated platform and stops one of them
/// while clients use it.
class ProcessStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessStopTest);
  CPPUNIT_TEST(testStopAnswersRequestsInFlight);
  CPPUNIT_TEST(testStopAnswersRequestsOnOpenConnections);
  CPPUNIT_TEST(testSecondSignalCutsNoRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Folder_ = "/tmp/hickorypick-stop-XXXXXX";
    CPPUNIT_ASSERT(::mkdtemp(Folder_.data()) != nullptr);
    writeFile(path("settings.toml"),
              fmt::format("[platform]\nworkers = 2\nparts = {}\n"
                          "append-ms = {}\n[[platform.routes]]\n"
                          "name = \"plain\"\n",
                          Partitions, SlowAppend.count()));
    startProcesses();
  }

  void tearDown() override {
    Cells_.clear();
    Emulator_.reset();
    std::filesystem::remove_all(Folder_);
  }

  // Guards against a stop that waits for a fixed time and then closes the
  // connections, whatever is in flight.
  void testStopAnswersRequestsInFlight() {
    asio::co_spawn(Context_, sendUntilGone(), asio::detached);
    stopFirstCell();
    assertNothingLost();
  }

  // Guards against closing connections that were idle when the stop began.
  void testStopAnswersRequestsOnOpenConnections() {
    constexpr int Connections = 60;
    for (int Index = 0; Index < Connections; ++Index)
      asio::co_spawn(Context_, sendOnOpenConnection(Index * 80ms),
                     asio::detached);
    // The connections are open before the signal.
    Context_.run_for(500ms);
    stopFirstCell();
    assertNothingLost();
  }

  // Guards against a second signal that ends the process at once.
  void testSecondSignalCutsNoRequest() {
    asio::co_spawn(Context_, sendUntilGone(), asio::detached);
    asio::steady_timer SecondSignal(Context_, 1s);
    SecondSignal.async_wait([this](const std::error_code &) {
      Cells_[0].Process->terminate();
      ::kill(Cells_[0].Process->id(), SIGHUP);
      ::kill(Cells_[0].Process->id(), SIGINT);
    });
    stopFirstCell();
    assertNothingLost();
  }

private:
  [[nodiscard]] std::string path(const std::string &Name) const {
    return Folder_ + "/" + Name;
  }

  void startProcesses() {
    const std::string Programs = TOOL_FOLDER;
    Emulator_ = startWithLog(
        path("emulator.log"),
        {Programs + "/platform-emulator", "--settings=" + path("settings.toml"),
         "--ports-file=" + path("ports.json"), "--callers=2"});
    while (!std::filesystem::exists(path("ports.json")))
      CPPUNIT_ASSERT(!Emulator_->exitsWithin(20ms));
    const json Addresses = json::parse(readFile(path("ports.json")));
    EmulatorSettings Platform;
    Platform.Partitions = Partitions;
    int NextAddress = ::getpid() * 110;
    for (std::size_t Number = 0; Number < 2; ++Number) {
      Instance Cell = findAddress(Context_, NextAddress);
      Cell.Name = fmt::format("cell-{}", Number);
      const std::string Settings = path(Cell.Name + ".json");
      writeFile(Settings,
                cellSettings(Cell, Addresses, Number, Platform).dump());
      Cell.Process =
          startWithLog(path(Cell.Name + ".log"),
                       {Programs + "/hickory-cell", "--settings=" + Settings});
      Cells_.push_back(std::move(Cell));
    }
    for (const Instance &Cell : Cells_)
      awaitReady(Cell);
  }

  void awaitReady(const Instance &Cell) {
    const auto Deadline = Steady::now() + ReadyTimeout;
    bool Ready = false;
    while (!Ready && Steady::now() < Deadline) {
      asio::co_spawn(Context_, checkReadiness(Cell, Ready), asio::detached);
      Context_.restart();
      Context_.run_for(200ms);
    }
    CPPUNIT_ASSERT_MESSAGE(Cell.Name, Ready);
    Context_.restart();
  }

  asio::awaitable<void> checkReadiness(const Instance &Cell, bool &Ready) {
    try {
      tcp::socket Socket(Context_);
      co_await Socket.async_connect(endpoint(Cell, ReadyPort), use_awaitable);
      const std::string Request =
          "GET /api/readiness HTTP/1.1\r\nHost: h\r\n\r\n";
      co_await asio::async_write(Socket, asio::buffer(Request), use_awaitable);
      std::string Status(12, '\0');
      co_await asio::async_read(Socket, asio::buffer(Status), use_awaitable);
      Ready = Status == "HTTP/1.1 200";
    } catch (const std::system_error &) {
    }
  }

  static tcp::endpoint endpoint(const Instance &Cell, PortIndex Port) {
    return {asio::ip::make_address(Cell.Ip), Cell.Ports[Port]};
  }

  /// Sends requests, each on a connection of its own, until the process has
  /// exited.
  asio::awaitable<void> sendUntilGone() {
    asio::steady_timer Timer(Context_);
    while (!Exited_) {
      asio::co_spawn(Context_, sendOnOpenConnection(0ms), asio::detached);
      Timer.expires_after(SendPeriod);
      co_await Timer.async_wait(use_awaitable);
    }
  }

  /// Opens a connection, sends one request after Delay and records what became
  /// of it.
  asio::awaitable<void> sendOnOpenConnection(milliseconds Delay) {
    const std::string Request = submission(++Sent_);
    tcp::socket Socket(Context_);
    Steady::time_point SentAt;
    try {
      co_await Socket.async_connect(endpoint(Cells_[0], GatewayPort),
                                    use_awaitable);
      if (Delay > 0ms) {
        asio::steady_timer Timer(Context_, Delay);
        co_await Timer.async_wait(use_awaitable);
      }
      co_await asio::async_write(Socket, asio::buffer(Request), use_awaitable);
      SentAt = Steady::now();
    } catch (const std::system_error &) {
      ++Results_.Refused;
      co_return;
    }
    std::string Response(12, '\0');
    try {
      co_await asio::async_read(Socket, asio::buffer(Response), use_awaitable);
      ++Results_.Answered;
    } catch (const std::system_error &) {
      ++(Steady::now() - SentAt > LossSlack ? Results_.Lost : Results_.Refused);
    }
  }

  void stopFirstCell() {
    Cells_[0].Process->terminate();
    const auto Deadline = Steady::now() + StopTimeout;
    while (!Exited_ && Steady::now() < Deadline) {
      Context_.restart();
      Context_.run_for(50ms);
      Exited_ = Cells_[0].Process->exitsWithin(0ms);
    }
    CPPUNIT_ASSERT_MESSAGE("the process did not exit", Exited_);
    Context_.restart();
    Context_.run_for(5s);
  }

  void assertNothingLost() const {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        fmt::format("requests lost, of {} (answered {}, refused {})", Sent_,
                    Results_.Answered, Results_.Refused),
        0, Results_.Lost);
    CPPUNIT_ASSERT(Results_.Answered > 0);
  }

  std::string Folder_;
  asio::io_context Context_{1};
  std::unique_ptr<ChildProcess> Emulator_;
  std::vector<Instance> Cells_;
  int Sent_ = 0;
  bool Exited_ = false;
  ClientResults Results_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessStopTest);

} // namespace hickory::emulator
