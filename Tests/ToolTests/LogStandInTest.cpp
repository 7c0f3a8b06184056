#include "StandIns/LogStandIn.h"

#include "Base/AsioTimerService.h"
#include "Http/CurlHttpClient.h"
#include "Log/HttpLogClient.h"
#include "Log/LogReader.h"
#include "Log/LogWriter.h"
#include "Support/RunCoroutine.h"

#include <asio/detached.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

/// The stand-in behind a real HTTP server, and a client of it.
struct Bench {
  explicit Bench(std::chrono::milliseconds Timeout = 20s)
      : Timers(Context), StandIn(Timers, {}, 1),
        Server(Context, {},
               [this](HttpServerRequest Request) {
                 return StandIn.handle(std::move(Request));
               }),
        Http(Context) {
    Server.start();
    Client.emplace(Http, fmt::format("http://127.0.0.1:{}/", Server.port()),
                   Timeout);
  }

  void control(const nlohmann::json &Wanted) {
    const auto Wrong = StandIn.changeSettings(Wanted);
    CPPUNIT_ASSERT_MESSAGE(Wrong.value_or(""), !Wrong);
  }

  Result<std::uint64_t> append(const std::string &Payload) {
    return runCoroutine(Context, Client->append("domain.a b", Payload));
  }

  Result<LogPage> read(LogReadOptions Options) {
    return runCoroutine(Context, Client->read("domain.a b", Options));
  }

  nlohmann::json get(const std::string &Path) {
    HttpClientRequest Request{
        .Url = fmt::format("http://127.0.0.1:{}{}", Server.port(), Path),
        .Timeout = 20s};
    const auto Reply = runCoroutine(Context, Http.send(std::move(Request)));
    CPPUNIT_ASSERT(Reply && Reply->Status == 200);
    return nlohmann::json::parse(Reply->Body);
  }

  asio::io_context Context;
  AsioTimerService Timers;
  LogStandIn StandIn;
  HttpServer Server;
  CurlHttpClient Http;
  std::optional<HttpLogClient> Client;
};

class KeyCollector final : public LogConsumer {
public:
  void onBatch(std::uint64_t /*Offset*/,
               const records::RecordBatch &Batch) override {
    for (const auto &Item : Batch.records())
      Keys.push_back(Item.job_cancelled().key());
  }
  std::optional<std::uint64_t>
  loadSnapshot(const records::RecordBatch & /*Batch*/) override {
    return std::nullopt;
  }
  void onCaughtUp(std::uint64_t /*Next*/) override {}

  std::vector<std::string> Keys;
};

} // namespace

class LogStandInTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStandInTest);
  CPPUNIT_TEST(appendedPayloadsAreReadBack);
  CPPUNIT_TEST(retentionDropsOldestEntries);
  CPPUNIT_TEST(longPollEndsWithNextAppend);
  CPPUNIT_TEST(longPollEndsWithoutEntries);
  CPPUNIT_TEST(appendRateIsLimited);
  CPPUNIT_TEST(outageRefusesAllCalls);
  CPPUNIT_TEST(hangingOutageTimesOutWithoutEffect);
  CPPUNIT_TEST(lostAnswerTakesEffect);
  CPPUNIT_TEST(wrongSettingsChangeNothing);
  CPPUNIT_TEST(oversizedAppendIsInvalid);
  CPPUNIT_TEST(deadServiceIsRefused);
  CPPUNIT_TEST(statsCountCallsAndBytes);
  CPPUNIT_TEST(writerAndReaderWorkUnderFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against altered payloads and against stream names that are not
  // encoded.
  void appendedPayloadsAreReadBack() {
    Bench Setup;
    std::string Binary(1000, '\0');
    for (std::size_t I = 0; I < Binary.size(); ++I)
      Binary[I] = static_cast<char>(I);
    CPPUNIT_ASSERT(Setup.append(Binary) == std::uint64_t(0));
    CPPUNIT_ASSERT(Setup.append("second") == std::uint64_t(1));
    const auto Page = Setup.read({});
    CPPUNIT_ASSERT(Page.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Page->Earliest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Page->Next);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Page->Entries.size());
    CPPUNIT_ASSERT(Page->Entries[0].Payload == Binary);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Page->Entries[1].Offset);
    CPPUNIT_ASSERT(Setup.get("/stats")["streams"].contains("domain.a b"));
  }

  // Guards against a stand-in that keeps everything, with which no test would
  // see the loss of old entries.
  void retentionDropsOldestEntries() {
    Bench Setup;
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(Setup.append(std::to_string(I)));
    Setup.control({{"retention", 3}});
    auto Page = Setup.read({.From = 2});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Page->Earliest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Page->Entries.at(0).Offset);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), Page->Next);
    // Beyond the end there is nothing, and Next does not exceed the end.
    Page = Setup.read({.From = 50});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), Page->Next);
    Page = Setup.read({.From = 8, .Maximum = 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Page->Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Page->Next);
  }

  // Guards against long polls that only end with their time limit.
  void longPollEndsWithNextAppend() {
    Bench Setup;
    const auto Work = [&]() -> asio::awaitable<std::size_t> {
      asio::co_spawn(
          Setup.Context,
          [&]() -> asio::awaitable<void> {
            co_await Setup.Timers.sleepFor(50ms);
            co_await Setup.Client->append("s", "x");
          },
          asio::detached);
      LogReadOptions Options{.Wait = 50s};
      const auto Page = co_await Setup.Client->read("s", Options);
      co_return Page ? Page->Entries.size() : 0;
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), runCoroutine(Setup.Context, Work()));
  }

  // Guards against a reader that cannot tell an idle stream from an outage.
  void longPollEndsWithoutEntries() {
    Bench Setup;
    const auto Begun = Clock::now();
    const auto Page = Setup.read({.Wait = 100ms});
    CPPUNIT_ASSERT(Page && Page->Entries.empty());
    CPPUNIT_ASSERT(Clock::now() - Begun >= 100ms);
  }

  // Guards against a stand-in that takes more appends than the platform.
  void appendRateIsLimited() {
    Bench Setup;
    // One append per 1,000 s, so that the machine's speed does not matter.
    Setup.control({{"appends_per_s", 0.001}});
    CPPUNIT_ASSERT(Setup.append("a"));
    const auto Refused = Setup.append("b");
    CPPUNIT_ASSERT(!Refused);
    CPPUNIT_ASSERT(Refused.error().Code == ErrorCode::Overloaded);
    CPPUNIT_ASSERT(Refused.error().RetryAfter == 1000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Setup.read({})->Entries.size());
  }

  // Guards against an outage that lets some calls through.
  void outageRefusesAllCalls() {
    Bench Setup;
    Setup.control({{"outage", "error"}});
    const auto Append = Setup.append("a");
    CPPUNIT_ASSERT(!Append && Append.error().Code == ErrorCode::Overloaded);
    const auto Read = Setup.read({});
    CPPUNIT_ASSERT(!Read && Read.error().Code == ErrorCode::Overloaded);
    Setup.control({{"outage", "none"}});
    CPPUNIT_ASSERT(Setup.read({})->Entries.empty());
  }

  // The same for calls that get no answer.
  void hangingOutageTimesOutWithoutEffect() {
    Bench Setup(200ms);
    Setup.control({{"outage", "hang"}});
    const auto Append = Setup.append("a");
    CPPUNIT_ASSERT(!Append && Append.error().Code == ErrorCode::Timeout);
    const auto Read = Setup.read({});
    CPPUNIT_ASSERT(!Read && Read.error().Code == ErrorCode::Timeout);
    Setup.control({{"outage", "none"}});
    // The hanging append is answered 503 now and must have had no effect.
    Setup.Client.emplace(
        Setup.Http, fmt::format("http://127.0.0.1:{}", Setup.Server.port()),
        20s);
    CPPUNIT_ASSERT(Setup.append("b") == std::uint64_t(0));
  }

  // Guards against writers that are never tested with an append whose answer
  // is lost after it took effect.
  void lostAnswerTakesEffect() {
    Bench Setup;
    Setup.control({{"lose_answers", 1.0}});
    const auto Append = Setup.append("a");
    CPPUNIT_ASSERT(!Append);
    CPPUNIT_ASSERT(!Append.error().hadNoEffect());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Setup.read({})->Entries.size());
  }

  // Guards against a test that believes it has switched a fault on.
  void wrongSettingsChangeNothing() {
    Bench Setup;
    const nlohmann::json Before = Setup.get("/control");
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings({{"outages", "error"}}));
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings({{"outage", "maybe"}}));
    CPPUNIT_ASSERT(
        Setup.StandIn.changeSettings({{"slow_ms", 5}, {"lose_answers", 2.0}}));
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings({{"retention", -1}}));
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings({{"retention", "all"}}));
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings(nlohmann::json::array()));
    CPPUNIT_ASSERT(Setup.get("/control") == Before);
  }

  // Guards against repeating for ever what the service never accepts.
  void oversizedAppendIsInvalid() {
    Bench Setup;
    Setup.control({{"max_append_bytes", 1000}});
    CPPUNIT_ASSERT(Setup.append(std::string(1000, 'x')));
    const auto Append = Setup.append(std::string(1001, 'x'));
    CPPUNIT_ASSERT(!Append);
    CPPUNIT_ASSERT(Append.error().Code == ErrorCode::InvalidArgument);
  }

  // Guards against an uncertain outcome where nothing was sent.
  void deadServiceIsRefused() {
    Bench Setup;
    Setup.Client.emplace(Setup.Http, "http://127.0.0.1:1", 20s);
    const auto Append = Setup.append("a");
    CPPUNIT_ASSERT(!Append && Append.error().hadNoEffect());
  }

  // Guards against cost measurements that count the wrong bytes.
  void statsCountCallsAndBytes() {
    Bench Setup;
    CPPUNIT_ASSERT(Setup.append("12345"));
    CPPUNIT_ASSERT(Setup.read({}));
    CPPUNIT_ASSERT(Setup.read({.From = 1}));
    const auto Of = Setup.get("/stats")["streams"]["domain.a b"];
    CPPUNIT_ASSERT_EQUAL(1, Of["appends"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, Of["reads"].get<int>());
    CPPUNIT_ASSERT_EQUAL(5, Of["bytes_in"].get<int>());
    CPPUNIT_ASSERT(Of["bytes_out"].get<int>() >= 5);
  }

  // Guards against parts that work with the fake log service only: records
  // must be read once and in order over HTTP, with lost answers, an outage and
  // refused appends.
  void writerAndReaderWorkUnderFaults() {
    Bench Setup;
    Setup.control({{"lose_answers", 0.3}, {"appends_per_s", 20}});
    Metrics Counters;
    LogWriterOptions Writing;
    Writing.Stream = "domain.a";
    Writing.Incarnation = 5;
    Writing.MaximumBackoff = 50ms;
    LogWriter Writer(Setup.Context.get_executor(), Setup.Timers, *Setup.Client,
                     Counters, Writing);
    KeyCollector Collector;
    LogReaderOptions Reading;
    Reading.Stream = "domain.a";
    Reading.Wait = 100ms;
    Reading.MaximumBackoff = 50ms;
    LogReader Reader(Setup.Context.get_executor(), Setup.Timers, *Setup.Client,
                     Counters, Collector, Reading);
    constexpr int Count = 60;
    const auto Work = [&]() -> asio::awaitable<bool> {
      asio::co_spawn(
          Setup.Context,
          [&]() -> asio::awaitable<void> { co_await Reader.run(); },
          asio::detached);
      for (int I = 0; I < Count; ++I) {
        records::Record Item;
        Item.mutable_job_cancelled()->set_key(std::to_string(I));
        if (!Writer.enqueue(std::move(Item)))
          co_return false;
        if (I == Count / 2)
          Setup.control({{"outage", "error"}});
        if (I == Count / 2 + 10)
          Setup.control({{"outage", "none"}});
        co_await Setup.Timers.sleepFor(10ms);
      }
      co_await Writer.flush(30s);
      while (Collector.Keys.size() < std::size_t(Count))
        co_await Setup.Timers.sleepFor(10ms);
      // Time for duplicates that must not be delivered.
      co_await Setup.Timers.sleepFor(200ms);
      Reader.stop();
      co_return true;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Work()));
    CPPUNIT_ASSERT_EQUAL(std::size_t(Count), Collector.Keys.size());
    for (int I = 0; I < Count; ++I)
      CPPUNIT_ASSERT_EQUAL(std::to_string(I), Collector.Keys[I]);
    CPPUNIT_ASSERT(Counters.counterValue("hickory_log_append_failures_total",
                                         "stream=\"domain.a\"") > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStandInTest);

} // namespace hickory
