#include "Ctl/CtlSession.h"

#include "Config/ConfigState.h"
#include "Ctl/ConfigFiles.h"
#include "FakeHttpClient.h"
#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

namespace hickory {

using namespace std::chrono_literals;

namespace {

const std::string CellConfigText = R"([member.kernvaal]
teams = ["sorting"]
[pool.main]
[pool.main.capacity]
cpus_milli = 1000
[policy.urgent]
priority = 1000
[quota.kernvaal]
member = "kernvaal"
pool = "main"
cpus_milli = 1000
[job_class.moisture-check]
member = "kernvaal"
pool = "main"
policy = "urgent"
)";

} // namespace

class CtlSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CtlSessionTest);
  CPPUNIT_TEST(everyCommandHasHelp);
  CPPUNIT_TEST(wrongUsageReportsCorrectUsage);
  CPPUNIT_TEST(shownConfigCanBeEditedAndApplied);
  CPPUNIT_TEST(applyOfStaleFileConflicts);
  CPPUNIT_TEST(pruneRemovesMissingObjects);
  CPPUNIT_TEST(fileErrorsHaveFileAndLine);
  CPPUNIT_TEST(rejectionIsReported);
  CPPUNIT_TEST(offlineCheckNeedsNoServer);
  CPPUNIT_TEST(sendsToNextServerIfOneFails);
  CPPUNIT_TEST(lostResponseIsUnknown);
  CPPUNIT_TEST(submitReportsOutcome);
  CPPUNIT_TEST(submitAndWaitPollsUntilOutcome);
  CPPUNIT_TEST(listsAsTableAndJson);
  CPPUNIT_TEST(statusCodesMapToExitCodes);
  CPPUNIT_TEST(drainNeedsOneServer);
  CPPUNIT_TEST_SUITE_END();

  FakeTimerService Timers_;
  ConfigState State_{Timers_};
  std::filesystem::path Folder_;
  std::ostringstream Out_;
  std::ostringstream Err_;
  std::vector<HttpClientRequest> Requests_;

  CtlExitCode run(std::vector<std::string> Args,
                  const FakeHttpClient::Handler &OnRequest) {
    Out_.str("");
    Err_.str("");
    asio::io_context Context;
    FakeHttpClient Http(OnRequest);
    CtlSession Session(Http, Timers_, Out_, Err_);
    std::optional<CtlExitCode> Exit;
    asio::co_spawn(Context, Session.run(std::move(Args)),
                   [&](const std::exception_ptr &Failure, CtlExitCode Value) {
                     CPPUNIT_ASSERT(!Failure);
                     Exit = Value;
                   });
    for (int I = 0; I < 100 && !Exit; ++I) {
      Context.restart();
      Context.poll();
      Timers_.advance(500ms);
    }
    Requests_ = Http.Requests;
    CPPUNIT_ASSERT(Exit.has_value());
    return *Exit;
  }

  /// Runs a command against the configuration in State_.
  CtlExitCode runOnState(std::vector<std::string> Args) {
    return run(std::move(Args), [this](const HttpClientRequest &Request) {
      HttpClientResponse Response{.Status = 200, .Body = {}, .RetryAfter = {}};
      if (Request.Url.ends_with("/v1/config"))
        Response.Body =
            publishedConfigToJson({State_.version(), State_.objects()});
      else if (Request.Url.ends_with("/v1/config/check"))
        Response.Body = verdictToJson(
            State_.check(changeSetFromJson(Request.Body).value()));
      else if (Request.Url.ends_with("/v1/config/apply")) {
        const auto Changes = changeSetFromJson(Request.Body).value();
        records::RecordBatch Batch;
        *Batch.add_records()->mutable_change_set() = Changes;
        State_.onBatch(State_.covered().value_or(0) + 1, Batch);
        Response.Body = verdictToJson(State_.verdict(Changes.id()).value());
      } else
        Response.Status = 404;
      return Result<HttpClientResponse>(Response);
    });
  }

  std::string writeFile(const std::string &Name, const std::string &Text) {
    const std::string Path = (Folder_ / Name).string();
    std::ofstream(Path) << Text;
    return Path;
  }

  static FakeHttpClient::Handler respondAlways(int Status,
                                               const std::string &Body) {
    return [=](const HttpClientRequest &) {
      return Result<HttpClientResponse>(
          HttpClientResponse{.Status = Status, .Body = Body, .RetryAfter = {}});
    };
  }

  void expectErrorOutput(const std::string &Expected) {
    CPPUNIT_ASSERT_MESSAGE(Err_.str(),
                           Err_.str().find(Expected) != std::string::npos);
  }
  void expectOutput(const std::string &Expected) {
    CPPUNIT_ASSERT_MESSAGE(Out_.str(),
                           Out_.str().find(Expected) != std::string::npos);
  }

public:
  void setUp() override {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "ctl-test-XXXXXX").string();
    CPPUNIT_ASSERT(::mkdtemp(Pattern.data()) != nullptr);
    Folder_ = Pattern;
  }
  void tearDown() override { std::filesystem::remove_all(Folder_); }

  // Guards against commands that --help does not list or describe.
  void everyCommandHasHelp() {
    const auto UnusedHandler = respondAlways(500, "");
    CPPUNIT_ASSERT(run({"--help"}, UnusedHandler) == CtlExitCode::Success);
    for (const std::string Command :
         {"check", "apply", "show", "diff", "submit", "watch", "cancel",
          "workers", "tasks", "queues", "shares", "status", "drain"}) {
      CPPUNIT_ASSERT(run({"--help"}, UnusedHandler) == CtlExitCode::Success);
      expectOutput("  " + Command);
      CPPUNIT_ASSERT(run({Command, "--help"}, UnusedHandler) ==
                     CtlExitCode::Success);
      expectOutput("hickoryctl " + Command);
      expectOutput("--server=IP:PORT");
      CPPUNIT_ASSERT(Requests_.empty());
    }
  }

  // Guards against running a command whose arguments are misspelled or missing.
  void wrongUsageReportsCorrectUsage() {
    const auto UnusedHandler = respondAlways(500, "");
    CPPUNIT_ASSERT(run({}, UnusedHandler) == CtlExitCode::Usage);
    CPPUNIT_ASSERT(run({"aply"}, UnusedHandler) == CtlExitCode::Usage);
    expectErrorOutput("\"aply\" is not a command; write one of check, apply");
    CPPUNIT_ASSERT(run({"status", "--serve=1"}, UnusedHandler) ==
                   CtlExitCode::Usage);
    expectErrorOutput("--serve");
    CPPUNIT_ASSERT(run({"status", "--server=localhost:80"}, UnusedHandler) ==
                   CtlExitCode::Usage);
    expectErrorOutput("write an IP number and a port");
    CPPUNIT_ASSERT(run({"status", "--output=xml"}, UnusedHandler) ==
                   CtlExitCode::Usage);
    expectErrorOutput("write table or json");
    CPPUNIT_ASSERT(run({"status", "--timeout-ms=0"}, UnusedHandler) ==
                   CtlExitCode::Usage);
    expectErrorOutput("--timeout-ms=0: write an integer from 1 to");
    CPPUNIT_ASSERT(run({"apply"}, UnusedHandler) == CtlExitCode::Usage);
    expectErrorOutput("write: hickoryctl apply PATH");
    CPPUNIT_ASSERT(run({"submit", "--job"}, UnusedHandler) ==
                   CtlExitCode::Usage);
    expectErrorOutput("--member=NAME is missing");
    CPPUNIT_ASSERT(run({"submit"}, UnusedHandler) == CtlExitCode::Usage);
    expectErrorOutput("either --job or --request");
    CPPUNIT_ASSERT(run({"cancel"}, UnusedHandler) == CtlExitCode::Usage);
    CPPUNIT_ASSERT(run({"watch"}, UnusedHandler) == CtlExitCode::Usage);
    CPPUNIT_ASSERT(Requests_.empty());
  }

  // Guards against objects that change when they are applied, shown and applied
  // again.
  void shownConfigCanBeEditedAndApplied() {
    const std::string Path = writeFile("cell.toml", CellConfigText);
    CPPUNIT_ASSERT(runOnState({"diff", Path}) == CtlExitCode::Different);
    expectOutput("add policy.urgent");
    CPPUNIT_ASSERT(runOnState({"check", Path}) == CtlExitCode::Success);
    expectOutput("would be accepted");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), State_.version());
    CPPUNIT_ASSERT(runOnState({"apply", Path}) == CtlExitCode::Success);
    expectOutput("accepted as version 1");
    CPPUNIT_ASSERT_EQUAL(1000U, State_.jobClass("moisture-check")->Priority);
    CPPUNIT_ASSERT(runOnState({"diff", "--prune", Path}) ==
                   CtlExitCode::Success);
    CPPUNIT_ASSERT_EQUAL(std::string(), Out_.str());
    CPPUNIT_ASSERT(runOnState({"apply", Path}) == CtlExitCode::Success);
    expectOutput("no changes; version 1 is in force");

    CPPUNIT_ASSERT(runOnState({"show"}) == CtlExitCode::Success);
    std::string Shown = Out_.str();
    CPPUNIT_ASSERT(runOnState({"diff", writeFile("shown.toml", Shown)}) ==
                   CtlExitCode::Success);
    const std::size_t At = Shown.find("priority = 1000");
    CPPUNIT_ASSERT_MESSAGE(Shown, At != std::string::npos);
    Shown.replace(At, 15, "priority = 1200");
    const std::string Edited = writeFile("edited.toml", Shown);
    CPPUNIT_ASSERT(runOnState({"diff", Edited}) == CtlExitCode::Different);
    CPPUNIT_ASSERT_EQUAL(std::string("change policy.urgent\n"
                                     "    - priority = 1000\n"
                                     "    + priority = 1200\n"),
                         Out_.str());
    CPPUNIT_ASSERT(runOnState({"apply", Edited}) == CtlExitCode::Success);
    CPPUNIT_ASSERT_EQUAL(1200U, State_.jobClass("moisture-check")->Priority);

    CPPUNIT_ASSERT(runOnState({"show", "policy.urgent"}) ==
                   CtlExitCode::Success);
    expectOutput("[policy.urgent]");
    CPPUNIT_ASSERT(Out_.str().find("pool") == std::string::npos);
    CPPUNIT_ASSERT(runOnState({"show", "policy.x"}) == CtlExitCode::NotFound);
    CPPUNIT_ASSERT(runOnState({"show", "--output=json"}) ==
                   CtlExitCode::Success);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5),
                         publishedConfigFromJson(Out_.str())->Objects.size());
  }

  // Guards against overwriting a newer change with an outdated file.
  void applyOfStaleFileConflicts() {
    runOnState({"apply", writeFile("cell.toml", CellConfigText)});
    runOnState({"show", "policy.urgent"});
    const std::string Stale = Out_.str();
    runOnState(
        {"apply", writeFile("new.toml", "[policy.urgent]\npriority = 1500\n")});
    CPPUNIT_ASSERT(runOnState({"apply", writeFile("stale.toml", Stale)}) ==
                   CtlExitCode::Conflict);
    expectErrorOutput(
        "policy.urgent was changed in the meantime; it is at version 2 now");
    CPPUNIT_ASSERT_EQUAL(1500U, State_.jobClass("moisture-check")->Priority);
    CPPUNIT_ASSERT(
        runOnState({"apply", "--based-on=2", writeFile("stale.toml", Stale)}) ==
        CtlExitCode::Success);
  }

  // Guards against removing objects without --prune.
  void pruneRemovesMissingObjects() {
    runOnState({"apply", writeFile("cell.toml", CellConfigText)});
    const std::string Path =
        writeFile("small.toml", "[member.kernvaal]\nteams = [\"sorting\"]\n");
    CPPUNIT_ASSERT(runOnState({"diff", Path}) == CtlExitCode::Success);
    CPPUNIT_ASSERT(runOnState({"apply", "--prune", Path}) ==
                   CtlExitCode::Success);
    expectOutput("remove pool.main");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), State_.objects().size());
  }

  // Guards against errors without the file and line that caused them.
  void fileErrorsHaveFileAndLine() {
    writeFile("a.toml", "[policy.urgent]\n\npriority = \"high\"\n[queue.x]\n");
    writeFile("b.toml", "[policy.urgent]\n[pool]\nmain = 3\n");
    CPPUNIT_ASSERT(runOnState({"apply", Folder_.string()}) ==
                   CtlExitCode::Usage);
    expectErrorOutput("a.toml:3: priority: is a string; write an integer");
    expectErrorOutput("a.toml:4: queue: is not a known key");
    expectErrorOutput(
        "b.toml:1: policy.urgent: is defined in another file too");
    expectErrorOutput("b.toml:3: pool.main: is an integer; write a table");
    CPPUNIT_ASSERT(Requests_.empty());
    CPPUNIT_ASSERT(runOnState({"check", "/nonexistent"}) == CtlExitCode::Usage);
    expectErrorOutput("/nonexistent: cannot be read");
  }

  // Guards against reporting a rejected change as a success.
  void rejectionIsReported() {
    const std::string Path =
        writeFile("bad.toml", "[job_class.c]\npool = \"p\"\n"
                              "policy = \"y\"\n");
    for (const std::string Command : {"check", "apply"}) {
      CPPUNIT_ASSERT(runOnState({Command, Path}) == CtlExitCode::Rejected);
      expectErrorOutput(
          "job_class.c: pool: refers to pool.p, which does not exist");
      expectErrorOutput("refers to policy.y");
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), State_.version());
  }

  // Guards against an offline check that sends requests to a server.
  void offlineCheckNeedsNoServer() {
    const auto UnusedHandler = respondAlways(500, "");
    CPPUNIT_ASSERT(
        run({"check", "--offline", writeFile("a.toml", CellConfigText)},
            UnusedHandler) == CtlExitCode::Success);
    CPPUNIT_ASSERT(run({"check", "--offline",
                        writeFile("b.toml", "[policy.a]\ninherits = \"b\"\n"
                                            "[policy.b]\ninherits = \"a\"\n")},
                       UnusedHandler) == CtlExitCode::Rejected);
    expectErrorOutput("forms the cycle a -> b -> a");
    CPPUNIT_ASSERT(Requests_.empty());
  }

  // Guards against a command that fails because one instance is unreachable or
  // draining.
  void sendsToNextServerIfOneFails() {
    const auto Respond =
        [](const HttpClientRequest &Request) -> Result<HttpClientResponse> {
      if (Request.Url.starts_with("http://127.0.0.1:1/"))
        return fail(ErrorCode::ConnectionRefused, "connection refused");
      if (Request.Url.starts_with("http://127.0.0.1:2/"))
        return HttpClientResponse{.Status = 503,
                                  .Body = "{\"message\":\"draining\"}",
                                  .RetryAfter = {}};
      return HttpClientResponse{
          .Status = 200, .Body = "{\"slot\":\"c\"}", .RetryAfter = {}};
    };
    CPPUNIT_ASSERT(
        run({"status", "--server=127.0.0.1:1,127.0.0.1:2,127.0.0.1:3"},
            Respond) == CtlExitCode::Success);
    expectOutput("slot: c");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Requests_.size());
    CPPUNIT_ASSERT(run({"status", "--server=127.0.0.1:1"}, Respond) ==
                   CtlExitCode::Unreachable);
    expectErrorOutput("127.0.0.1:1: connection refused");
    CPPUNIT_ASSERT(run({"status", "--server=127.0.0.1:2"}, Respond) ==
                   CtlExitCode::Overloaded);
    expectErrorOutput("draining");
  }

  // Guards against reporting a command as not executed when only its response
  // was lost.
  void lostResponseIsUnknown() {
    const auto Respond =
        [](const HttpClientRequest &Request) -> Result<HttpClientResponse> {
      if (Request.Url.starts_with("http://127.0.0.1:1/"))
        return fail(ErrorCode::Timeout, "no answer in time");
      return fail(ErrorCode::ConnectionRefused, "connection refused");
    };
    CPPUNIT_ASSERT(run({"submit", "--job", "--member=m", "--class=c",
                        "--key=k7", "--server=127.0.0.1:1,127.0.0.1:2"},
                       Respond) == CtlExitCode::Unknown);
    expectErrorOutput("submit again with --key=k7");
    CPPUNIT_ASSERT(run({"cancel", "k7", "--server=127.0.0.1:2"}, Respond) ==
                   CtlExitCode::Unreachable);
  }

  // Guards against outcomes that scripts cannot distinguish by exit code.
  void submitReportsOutcome() {
    const std::vector<std::string> Args = {"submit",      "--request",
                                           "--member=m",  "--class=c",
                                           "--payload=x", "--key=a/b"};
    const std::vector<std::pair<std::string, CtlExitCode>> Cases = {
        {"completed", CtlExitCode::Success},
        {"failed", CtlExitCode::Failed},
        {"not_run", CtlExitCode::NotRun},
        {"unknown", CtlExitCode::Unknown}};
    for (const auto &[Outcome, Exit] : Cases)
      CPPUNIT_ASSERT(run(Args, respondAlways(Outcome == "not_run" ? 503 : 200,
                                             "{\"outcome\":\"" + Outcome +
                                                 "\"}")) == Exit);
    const auto Body = nlohmann::json::parse(Requests_.at(0).Body);
    CPPUNIT_ASSERT_EQUAL(std::string("a/b"), Body.at("key").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("x"),
                         Body.at("payload").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(10000, Body.at("timeout_ms").get<int>());
    CPPUNIT_ASSERT(Requests_[0].Timeout == 12s);
  }

  // Guards against --wait returning before the job has an outcome.
  void submitAndWaitPollsUntilOutcome() {
    int Queries = 0;
    const auto Respond = [&](const HttpClientRequest &Request) {
      HttpClientResponse Response{.Status = 202,
                                  .Body =
                                      "{\"key\":\"a/b\",\"state\":\"queued\"}",
                                  .RetryAfter = {}};
      if (Request.Method == "GET") {
        CPPUNIT_ASSERT(Request.Url.ends_with("/v1/jobs/a%2Fb"));
        Response.Status = 200;
        if (++Queries > 3)
          Response.Body = "{\"key\":\"a/b\",\"state\":\"completed\"}";
      }
      return Result<HttpClientResponse>(Response);
    };
    CPPUNIT_ASSERT(run({"submit", "--job", "--wait", "--member=m", "--class=c",
                        "--tasks=3", "--key=a/b"},
                       Respond) == CtlExitCode::Success);
    CPPUNIT_ASSERT_EQUAL(4, Queries);
    expectOutput("state: completed");
    CPPUNIT_ASSERT_EQUAL(
        3, nlohmann::json::parse(Requests_[0].Body).at("tasks").get<int>());
    CPPUNIT_ASSERT(run({"watch", "a/b", "--timeout-ms=2000"},
                       respondAlways(200, "{\"state\":\"queued\"}")) ==
                   CtlExitCode::Unknown);
    expectErrorOutput("no outcome within --timeout-ms");
  }

  // Guards against output that omits rows or fields.
  void listsAsTableAndJson() {
    const std::string Body =
        "{\"slot\":\"a\",\"tasks\":[{\"state\":\"running\",\"key\":\"k1\","
        "\"cpus_milli\":500},{\"key\":\"k2\",\"worker\":\"w1\"}]}";
    CPPUNIT_ASSERT(run({"tasks"}, respondAlways(200, Body)) ==
                   CtlExitCode::Success);
    CPPUNIT_ASSERT_EQUAL(std::string("slot: a\n"
                                     "\ntasks:\n"
                                     "key  cpus_milli  state    worker\n"
                                     "k1   500         running  -\n"
                                     "k2   -           -        w1\n"),
                         Out_.str());
    CPPUNIT_ASSERT(run({"tasks", "--output=json", "--key=k2"},
                       respondAlways(200, Body)) == CtlExitCode::Success);
    const auto Json = nlohmann::json::parse(Out_.str());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Json.at("tasks").size());
    CPPUNIT_ASSERT(Requests_.at(0).Url == "http://127.0.0.1:8080/v1/tasks");
  }

  // Guards against HTTP errors that give the exit code of a success.
  void statusCodesMapToExitCodes() {
    const std::string Body = "{\"code\":\"x\",\"message\":\"do this\"}";
    const std::vector<std::pair<int, CtlExitCode>> Cases = {
        {400, CtlExitCode::Usage},    {404, CtlExitCode::NotFound},
        {409, CtlExitCode::Conflict}, {429, CtlExitCode::Overloaded},
        {500, CtlExitCode::Internal}, {503, CtlExitCode::Overloaded},
        {504, CtlExitCode::Unknown}};
    for (const auto &[Status, Exit] : Cases) {
      CPPUNIT_ASSERT(run({"watch", "k"}, respondAlways(Status, Body)) == Exit);
      expectErrorOutput("do this");
    }
  }

  // Guards against draining an instance that was not named explicitly.
  void drainNeedsOneServer() {
    const auto Good = respondAlways(200, "{\"draining\":true}");
    CPPUNIT_ASSERT(run({"drain"}, Good) == CtlExitCode::Usage);
    CPPUNIT_ASSERT(run({"drain", "--server=127.0.0.1:1,127.0.0.1:2"}, Good) ==
                   CtlExitCode::Usage);
    CPPUNIT_ASSERT(run({"drain", "--server=127.0.0.1:1"}, Good) ==
                   CtlExitCode::Success);
    CPPUNIT_ASSERT(Requests_.at(0).Method == "POST");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlSessionTest);

} // namespace hickory
