#include "PlatformIngress.h"

#include "Base/AsioTimerService.h"
#include "Cell/FakeAdvice.h"
#include "Cell/FakeStoreClient.h"
#include "Cell/FakeWorkerClient.h"
#include "PlatformRecords.h"

#include <asio/co_spawn.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace hickory::platform {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *Job = "0123456789abcdef";

/// Another process, which holds all shards and accepts every job.
class RecordingPeer final : public HttpClient {
public:
  asio::awaitable<Result<HttpClientResponse>>
  send(HttpClientRequest Request) override {
    json Reply;
    if (Request.Url.ends_with("/exchange")) {
      Reply = ExchangeReply{.Member = "10.0.0.2:80/1"};
    } else if (Request.Url.ends_with("/submit")) {
      Submitted.push_back(json::parse(Request.Body));
      Reply = SubmitReply{.Status = 200};
    } else if (Request.Url.ends_with("/cancel")) {
      ++OtherCalls;
      Reply = SubmitReply{.Status = 200};
    } else if (Request.Url.ends_with("/state")) {
      ++OtherCalls;
      Reply = JobStateReply{.Status = 200, .State = "done"};
    } else {
      co_return fail(ErrorCode::Unavailable, "not answered");
    }
    co_return HttpClientResponse{.Status = 200, .Body = Reply.dump()};
  }
  std::vector<json> Submitted; ///< Jobs.
  int OtherCalls = 0;
};

/// A process without shards. Its clock is the real one.
struct IngressBench {
  IngressBench() {
    for (int Shard = 0; Shard < 4; ++Shard)
      Store.Holders.push_back({.Shard = Shard, .Member = "10.0.0.2:80/1"});
  }
  void start() {
    Cell.start();
    runUntil([this] { return Cell.gateway().isConfigured(); });
    runFor(50ms);
  }
  void publish(const json &Accounts, int Version) {
    json Record = {{"version", Version},
                   {"routes",
                    {{{"name", "r"},
                      {"host", "h"},
                      {"path-prefix", "/q/"},
                      {"service", "s"}},
                     {{"name", "open"},
                      {"host", "h"},
                      {"path-prefix", "/open/"},
                      {"service", "s"},
                      {"public", true}}}}};
    if (!Accounts.is_null())
      Record["tenants"] = Accounts;
    Store.put(0, "config", Record.dump());
    Store.Tail.push_back({.Key = "config", .Value = Record.dump()});
  }
  void runFor(std::chrono::milliseconds Time) {
    Context.restart();
    Context.run_for(Time);
  }
  void runUntil(const std::function<bool()> &IsDone) {
    for (int I = 0; I < 500 && !IsDone(); ++I)
      runFor(10ms);
    CPPUNIT_ASSERT(IsDone());
  }
  HttpServerResponse call(const std::string &Method, const std::string &Path,
                          const std::string &Authorization) {
    HttpServerRequest Request{.Method = Method,
                              .Path = Path,
                              .Host = "h:80",
                              .Authorization = Authorization,
                              .Body = R"({"steps":[{"count":1}]})"};
    std::optional<HttpServerResponse> Response;
    asio::co_spawn(Context, answerClient(Cell, std::move(Request)),
                   [&](std::exception_ptr Thrown, HttpServerResponse Value) {
                     if (!Thrown)
                       Response = std::move(Value);
                   });
    runUntil([&] { return Response.has_value(); });
    return *Response;
  }
  int status(const std::string &Method, const std::string &Path,
             const std::string &Authorization = "") {
    return call(Method, Path, Authorization).Status;
  }
  double counted(const char *Name, const char *Labels = "") {
    return Cell.metrics().counterValue(Name, Labels);
  }

  asio::io_context Context;
  AsioTimerService Timers{Context};
  FakeStoreClient Store{Timers};
  FakeWorkerClient Workers{Timers};
  FakeAdviceClient Adviser{Timers, 1ms};
  PlatformRecords Records;
  RecordingPeer Peer;
  CellDaemon Cell{Context,
                  {.Store = Store,
                   .Workers = Workers,
                   .Adviser = Adviser,
                   .Records = Records,
                   .Peers = Peer},
                  {.Address = "10.0.0.1:80",
                   .Shards = 4,
                   .WorkersTopic = "w",
                   .OperatorTopic = "o",
                   .Membership = {.Member = "10.0.0.1:80/1", .Shards = 4}}};
};

json account(const std::string &Name, const std::vector<std::string> &Keys) {
  return {{"name", Name}, {"api-keys", Keys}};
}

} // namespace

class PlatformIngressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformIngressTest);
  CPPUNIT_TEST(testCallsWithoutKeyAreRefusedBeforeTheyHaveAnEffect);
  CPPUNIT_TEST(testJobHasTheNameOfTheAccountAndNotTheKey);
  CPPUNIT_TEST(testConfigurationWithoutAccountsNeedsNoKey);
  CPPUNIT_TEST(testWithdrawnKeyIsRefusedAndAnOlderRecordDoesNotRestoreIt);
  CPPUNIT_TEST(testMalformedAccountsAreReportedWithoutKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void testCallsWithoutKeyAreRefusedBeforeTheyHaveAnEffect() {
    IngressBench Bench;
    CPPUNIT_ASSERT_EQUAL(503, Bench.status("POST", std::string("/q/") + Job));
    Bench.publish(json::array({account("a", {"k1"})}), 1);
    Bench.start();
    const std::string Path = std::string("/q/") + Job;
    for (const std::string Method : {"POST", "GET", "DELETE", "PUT"})
      for (const std::string &Header :
           {std::string(), std::string("Token k2"), std::string("Basic k1"),
            "Token " + std::string(10240, 'x')}) {
        const auto Response = Bench.call(Method, Path, Header);
        CPPUNIT_ASSERT_EQUAL(401, Response.Status);
        CPPUNIT_ASSERT_EQUAL(std::string("Token"), Response.Challenge);
      }
    // The queue's own state, and what is no job's id.
    CPPUNIT_ASSERT_EQUAL(401, Bench.status("GET", "/q/"));
    CPPUNIT_ASSERT_EQUAL(401, Bench.status("POST", "/q/x"));
    CPPUNIT_ASSERT_EQUAL(401, Bench.status("GET", "/q/x"));
    // An unknown path is not found with or without a key.
    CPPUNIT_ASSERT_EQUAL(404, Bench.status("GET", "/other/"));
    CPPUNIT_ASSERT_EQUAL(404, Bench.status("GET", "/other/", "Token k1"));
    CPPUNIT_ASSERT(Bench.Peer.Submitted.empty());
    CPPUNIT_ASSERT_EQUAL(0, Bench.Peer.OtherCalls);
    CPPUNIT_ASSERT_EQUAL(19.0, Bench.counted("requests_unauthorized_total"));
    for (const char *Method : {"GET", "DELETE"})
      CPPUNIT_ASSERT_EQUAL(200, Bench.status(Method, Path, "Token k1"));
    CPPUNIT_ASSERT_EQUAL(2, Bench.Peer.OtherCalls);
    CPPUNIT_ASSERT_EQUAL(400, Bench.status("POST", "/q/x", "Token k1"));
  }

  // Guards against a key in the journals and in the calls between processes.
  void testJobHasTheNameOfTheAccountAndNotTheKey() {
    IngressBench Bench;
    Bench.publish(json::array({account("a", {"secret"})}), 1);
    Bench.start();
    CPPUNIT_ASSERT_EQUAL(
        200, Bench.status("POST", std::string("/q/") + Job, "token secret"));
    // A public queue needs no key, and its jobs belong to no account.
    CPPUNIT_ASSERT_EQUAL(
        200, Bench.status("POST", std::string("/open/") + Job, "Token secret"));
    CPPUNIT_ASSERT_EQUAL(
        200, Bench.status("POST", std::string("/open/") + Job, "Token wrong"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Bench.Peer.Submitted.size());
    const char *const Expected[] = {"a", "", ""};
    for (std::size_t I = 0; I < Bench.Peer.Submitted.size(); ++I) {
      const json &Sent = Bench.Peer.Submitted[I];
      CPPUNIT_ASSERT(Sent.dump().find("secret") == std::string::npos);
      CPPUNIT_ASSERT_EQUAL(std::string(Expected[I]),
                           Sent.get<JobSpec>().Account);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, Bench.counted("requests_by_account_total",
                                            "account=\"a\",status=\"200\""));
    CPPUNIT_ASSERT(Bench.Cell.events().linesFrom(0).find("secret") ==
                   std::string::npos);
    CPPUNIT_ASSERT(Bench.Cell.metrics().render().find("secret") ==
                   std::string::npos);
  }

  void testConfigurationWithoutAccountsNeedsNoKey() {
    IngressBench Bench;
    Bench.publish(json(), 1);
    Bench.start();
    CPPUNIT_ASSERT_EQUAL(200, Bench.status("POST", std::string("/q/") + Job));
    CPPUNIT_ASSERT(Bench.Peer.Submitted.at(0).get<JobSpec>().Account.empty());
    // An empty list is not the same as none.
    Bench.publish(json::array(), 2);
    Bench.runUntil([&] { return Bench.Cell.accounts().isRequired(); });
    CPPUNIT_ASSERT_EQUAL(401, Bench.status("POST", std::string("/q/") + Job));
  }

  // Guards against a withdrawn key that an older or repeated record, or dropped
  // history, brings back.
  void testWithdrawnKeyIsRefusedAndAnOlderRecordDoesNotRestoreIt() {
    IngressBench Bench;
    const std::string Path = std::string("/q/") + Job;
    const json Both = json::array({account("a", {"k1", "k2"})});
    Bench.publish(Both, 5);
    Bench.start();
    CPPUNIT_ASSERT_EQUAL(200, Bench.status("GET", Path, "Token k2"));
    Bench.publish(json::array({account("a", {"k1"})}), 6);
    Bench.runUntil([&] { return Bench.Cell.accounts().keys() == 1; });
    CPPUNIT_ASSERT_EQUAL(401, Bench.status("GET", Path, "Token k2"));
    CPPUNIT_ASSERT_EQUAL(200, Bench.status("GET", Path, "Token k1"));
    const int NewestReads = Bench.Store.NewestReads;
    Bench.publish(Both, 5);
    Bench.publish(Both, 6);
    // Two, as the list of workers is read as well.
    Bench.Store.ExpiredReads = 2;
    Bench.runUntil([&] { return Bench.Store.NewestReads > NewestReads + 1; });
    Bench.runFor(1500ms);
    CPPUNIT_ASSERT_EQUAL(401, Bench.status("GET", Path, "Token k2"));
    // A record without a value, and one that can't be read.
    Bench.Store.Tail.push_back({.Key = "config"});
    Bench.Store.Tail.push_back({.Key = "config", .Value = "{"});
    Bench.runFor(1500ms);
    CPPUNIT_ASSERT_EQUAL(401, Bench.status("GET", Path, "Token k2"));
    CPPUNIT_ASSERT_EQUAL(200, Bench.status("GET", Path, "Token k1"));
  }

  void testMalformedAccountsAreReportedWithoutKeys() {
    IngressBench Bench;
    json Accounts = json::array({account("a", {"secret"})});
    for (int I = 0; I < 200; ++I)
      Accounts.push_back(account("b" + std::to_string(I), {"secret"}));
    Bench.publish(Accounts, 1);
    Bench.start();
    CPPUNIT_ASSERT_EQUAL(200.0, Bench.counted("accounts_rejected_total"));
    const std::string Lines = Bench.Cell.events().linesFrom(0);
    std::size_t Reported = 0;
    for (std::size_t At = Lines.find("account_rejected");
         At != std::string::npos; At = Lines.find("account_rejected", At + 1))
      ++Reported;
    CPPUNIT_ASSERT_EQUAL(std::size_t(50), Reported);
    CPPUNIT_ASSERT(Lines.find("\"accounts\":201") != std::string::npos);
    CPPUNIT_ASSERT(Lines.find("\"keys\":1,") != std::string::npos);
    CPPUNIT_ASSERT(Lines.find("secret") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformIngressTest);

} // namespace hickory::platform
