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

/// A LogStandIn behind a real HTTP server, and an HttpLogClient for it.
struct LogStandInFixture {
  explicit LogStandInFixture(std::chrono::milliseconds Timeout = 20s)
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

  void changeSettings(const nlohmann::json &Settings) {
    const auto ErrorMessage = StandIn.changeSettings(Settings);
    CPPUNIT_ASSERT_MESSAGE(ErrorMessage.value_or(""), !ErrorMessage);
  }

  Result<std::uint64_t> append(const std::string &Payload) {
    return runCoroutine(Context, Client->append("domain.a b", Payload));
  }

  Result<LogPage> read(LogReadOptions Options) {
    return runCoroutine(Context, Client->read("domain.a b", Options));
  }

  nlohmann::json getJson(const std::string &Path) {
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
    for (const auto &NewRecord : Batch.records())
      Keys.push_back(NewRecord.job_cancelled().key());
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
  CPPUNIT_TEST(longPollReturnsOnNextAppend);
  CPPUNIT_TEST(longPollTimesOutWithoutEntries);
  CPPUNIT_TEST(appendRateIsLimited);
  CPPUNIT_TEST(outageRefusesAllCalls);
  CPPUNIT_TEST(hangingOutageTimesOutWithoutEffect);
  CPPUNIT_TEST(appendWithLostReplyTakesEffect);
  CPPUNIT_TEST(invalidSettingsChangeNothing);
  CPPUNIT_TEST(oversizedAppendIsRejectedAsInvalid);
  CPPUNIT_TEST(refusedConnectionHasNoEffect);
  CPPUNIT_TEST(statsCountCallsAndBytes);
  CPPUNIT_TEST(writerAndReaderWorkUnderFaults);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against altered payloads, and against stream names that are not
  // percent-encoded.
  void appendedPayloadsAreReadBack() {
    LogStandInFixture Setup;
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
    CPPUNIT_ASSERT(Setup.getJson("/stats")["streams"].contains("domain.a b"));
  }

  // Guards against a stand-in that ignores its retention limit, which would
  // leave the loss of old entries untested.
  void retentionDropsOldestEntries() {
    LogStandInFixture Setup;
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT(Setup.append(std::to_string(I)));
    Setup.changeSettings({{"retention", 3}});
    auto Page = Setup.read({.From = 2});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Page->Earliest);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Page->Entries.at(0).Offset);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), Page->Next);
    // A read beyond the end returns no entries, and Next is the end.
    Page = Setup.read({.From = 50});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), Page->Next);
    Page = Setup.read({.From = 8, .Maximum = 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Page->Entries.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Page->Next);
  }

  // Guards against long polls that wait for their time limit although an entry
  // was appended.
  void longPollReturnsOnNextAppend() {
    LogStandInFixture Setup;
    const auto Run = [&]() -> asio::awaitable<std::size_t> {
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
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), runCoroutine(Setup.Context, Run()));
  }

  // Guards against an error instead of an empty page when a stream is idle,
  // which a reader would take for an outage.
  void longPollTimesOutWithoutEntries() {
    LogStandInFixture Setup;
    const auto StartedAt = Clock::now();
    const auto Page = Setup.read({.Wait = 100ms});
    CPPUNIT_ASSERT(Page && Page->Entries.empty());
    CPPUNIT_ASSERT(Clock::now() - StartedAt >= 100ms);
  }

  // Guards against a stand-in that accepts a higher append rate than the
  // platform.
  void appendRateIsLimited() {
    LogStandInFixture Setup;
    // One append per 1,000 s, so that the result does not depend on the speed
    // of the machine.
    Setup.changeSettings({{"appends_per_s", 0.001}});
    CPPUNIT_ASSERT(Setup.append("a"));
    const auto Refused = Setup.append("b");
    CPPUNIT_ASSERT(!Refused);
    CPPUNIT_ASSERT(Refused.error().Code == ErrorCode::Overloaded);
    CPPUNIT_ASSERT(Refused.error().RetryAfter == 1000ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Setup.read({})->Entries.size());
  }

  // Guards against an outage during which some calls still succeed.
  void outageRefusesAllCalls() {
    LogStandInFixture Setup;
    Setup.changeSettings({{"outage", "error"}});
    const auto Append = Setup.append("a");
    CPPUNIT_ASSERT(!Append && Append.error().Code == ErrorCode::Overloaded);
    const auto Read = Setup.read({});
    CPPUNIT_ASSERT(!Read && Read.error().Code == ErrorCode::Overloaded);
    Setup.changeSettings({{"outage", "none"}});
    CPPUNIT_ASSERT(Setup.read({})->Entries.empty());
  }

  // Guards against calls that take effect although they hang and time out.
  void hangingOutageTimesOutWithoutEffect() {
    LogStandInFixture Setup(200ms);
    Setup.changeSettings({{"outage", "hang"}});
    const auto Append = Setup.append("a");
    CPPUNIT_ASSERT(!Append && Append.error().Code == ErrorCode::Timeout);
    const auto Read = Setup.read({});
    CPPUNIT_ASSERT(!Read && Read.error().Code == ErrorCode::Timeout);
    Setup.changeSettings({{"outage", "none"}});
    // The hanging append now gets status 503 and must have had no effect.
    Setup.Client.emplace(
        Setup.Http, fmt::format("http://127.0.0.1:{}", Setup.Server.port()),
        20s);
    CPPUNIT_ASSERT(Setup.append("b") == std::uint64_t(0));
  }

  // Guards against a stand-in that drops the append together with its reply,
  // which would leave appends that take effect without a reply untested.
  void appendWithLostReplyTakesEffect() {
    LogStandInFixture Setup;
    Setup.changeSettings({{"lose_answers", 1.0}});
    const auto Append = Setup.append("a");
    CPPUNIT_ASSERT(!Append);
    CPPUNIT_ASSERT(!Append.error().hadNoEffect());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Setup.read({})->Entries.size());
  }

  // Guards against accepting invalid settings, after which a test would run
  // without the intended fault.
  void invalidSettingsChangeNothing() {
    LogStandInFixture Setup;
    const nlohmann::json Before = Setup.getJson("/control");
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings({{"outages", "error"}}));
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings({{"outage", "maybe"}}));
    CPPUNIT_ASSERT(
        Setup.StandIn.changeSettings({{"slow_ms", 5}, {"lose_answers", 2.0}}));
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings({{"retention", -1}}));
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings({{"retention", "all"}}));
    CPPUNIT_ASSERT(Setup.StandIn.changeSettings(nlohmann::json::array()));
    CPPUNIT_ASSERT(Setup.getJson("/control") == Before);
  }

  // Guards against endless retries of an append that is never accepted.
  void oversizedAppendIsRejectedAsInvalid() {
    LogStandInFixture Setup;
    Setup.changeSettings({{"max_append_bytes", 1000}});
    CPPUNIT_ASSERT(Setup.append(std::string(1000, 'x')));
    const auto Append = Setup.append(std::string(1001, 'x'));
    CPPUNIT_ASSERT(!Append);
    CPPUNIT_ASSERT(Append.error().Code == ErrorCode::InvalidArgument);
  }

  // Guards against an uncertain outcome of an append that was never sent.
  void refusedConnectionHasNoEffect() {
    LogStandInFixture Setup;
    Setup.Client.emplace(Setup.Http, "http://127.0.0.1:1", 20s);
    const auto Append = Setup.append("a");
    CPPUNIT_ASSERT(!Append && Append.error().hadNoEffect());
  }

  // Guards against wrong byte counts in cost measurements.
  void statsCountCallsAndBytes() {
    LogStandInFixture Setup;
    CPPUNIT_ASSERT(Setup.append("12345"));
    CPPUNIT_ASSERT(Setup.read({}));
    CPPUNIT_ASSERT(Setup.read({.From = 1}));
    const auto StreamStats = Setup.getJson("/stats")["streams"]["domain.a b"];
    CPPUNIT_ASSERT_EQUAL(1, StreamStats["appends"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, StreamStats["reads"].get<int>());
    CPPUNIT_ASSERT_EQUAL(5, StreamStats["bytes_in"].get<int>());
    CPPUNIT_ASSERT(StreamStats["bytes_out"].get<int>() >= 5);
  }

  // Guards against a LogWriter or LogReader that works only with the fake log
  // service: records must be read once and in order over HTTP, with lost
  // replies, an outage and refused appends.
  void writerAndReaderWorkUnderFaults() {
    LogStandInFixture Setup;
    Setup.changeSettings({{"lose_answers", 0.3}, {"appends_per_s", 20}});
    Metrics Counters;
    LogWriterOptions WriterOptions;
    WriterOptions.Stream = "domain.a";
    WriterOptions.Incarnation = 5;
    WriterOptions.MaximumBackoff = 50ms;
    LogWriter Writer(Setup.Context.get_executor(), Setup.Timers, *Setup.Client,
                     Counters, WriterOptions);
    KeyCollector Collector;
    LogReaderOptions ReaderOptions;
    ReaderOptions.Stream = "domain.a";
    ReaderOptions.Wait = 100ms;
    ReaderOptions.MaximumBackoff = 50ms;
    LogReader Reader(Setup.Context.get_executor(), Setup.Timers, *Setup.Client,
                     Counters, Collector, ReaderOptions);
    constexpr int Count = 60;
    const auto Run = [&]() -> asio::awaitable<bool> {
      asio::co_spawn(
          Setup.Context,
          [&]() -> asio::awaitable<void> { co_await Reader.run(); },
          asio::detached);
      for (int I = 0; I < Count; ++I) {
        records::Record NewRecord;
        NewRecord.mutable_job_cancelled()->set_key(std::to_string(I));
        if (!Writer.enqueue(std::move(NewRecord)))
          co_return false;
        if (I == Count / 2)
          Setup.changeSettings({{"outage", "error"}});
        if (I == Count / 2 + 10)
          Setup.changeSettings({{"outage", "none"}});
        co_await Setup.Timers.sleepFor(10ms);
      }
      co_await Writer.flush(30s);
      while (Collector.Keys.size() < std::size_t(Count))
        co_await Setup.Timers.sleepFor(10ms);
      // Waits for duplicates, which must not be delivered.
      co_await Setup.Timers.sleepFor(200ms);
      Reader.stop();
      co_return true;
    };
    CPPUNIT_ASSERT(runCoroutine(Setup.Context, Run()));
    CPPUNIT_ASSERT_EQUAL(std::size_t(Count), Collector.Keys.size());
    for (int I = 0; I < Count; ++I)
      CPPUNIT_ASSERT_EQUAL(std::to_string(I), Collector.Keys[I]);
    CPPUNIT_ASSERT(Counters.counterValue("hickory_log_append_failures_total",
                                         "stream=\"domain.a\"") > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStandInTest);

} // namespace hickory
