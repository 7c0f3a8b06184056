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

const std::string CellFile = R"([member.kernvaal]
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
  CPPUNIT_TEST(wrongUsageSaysWhatToWrite);
  CPPUNIT_TEST(applyShowEditApply);
  CPPUNIT_TEST(staleFileConflicts);
  CPPUNIT_TEST(pruneRemoves);
  CPPUNIT_TEST(fileProblemsHaveLines);
  CPPUNIT_TEST(rejectionIsReported);
  CPPUNIT_TEST(offlineCheckNeedsNoServer);
  CPPUNIT_TEST(asksNextServer);
  CPPUNIT_TEST(lostAnswerIsUnknown);
  CPPUNIT_TEST(submitReportsOutcome);
  CPPUNIT_TEST(submitAndWaitFollowsJob);
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

  CtlExit run(std::vector<std::string> Words,
              const FakeHttpClient::Handler &OnRequest) {
    Out_.str("");
    Err_.str("");
    asio::io_context Context;
    FakeHttpClient Http(OnRequest);
    CtlSession Session(Http, Timers_, Out_, Err_);
    std::optional<CtlExit> Exit;
    asio::co_spawn(Context, Session.run(std::move(Words)),
                   [&](const std::exception_ptr &Failure, CtlExit Value) {
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
  CtlExit runOnState(std::vector<std::string> Words) {
    return run(std::move(Words), [this](const HttpClientRequest &Request) {
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

  std::string write(const std::string &Name, const std::string &Text) {
    const std::string Path = (Folder_ / Name).string();
    std::ofstream(Path) << Text;
    return Path;
  }

  static FakeHttpClient::Handler always(int Status, const std::string &Body) {
    return [=](const HttpClientRequest &) {
      return Result<HttpClientResponse>(
          HttpClientResponse{.Status = Status, .Body = Body, .RetryAfter = {}});
    };
  }

  void expectErr(const std::string &Wanted) {
    CPPUNIT_ASSERT_MESSAGE(Err_.str(),
                           Err_.str().find(Wanted) != std::string::npos);
  }
  void expectOut(const std::string &Wanted) {
    CPPUNIT_ASSERT_MESSAGE(Out_.str(),
                           Out_.str().find(Wanted) != std::string::npos);
  }

public:
  void setUp() override {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "ctl-test-XXXXXX").string();
    CPPUNIT_ASSERT(::mkdtemp(Pattern.data()) != nullptr);
    Folder_ = Pattern;
  }
  void tearDown() override { std::filesystem::remove_all(Folder_); }

  // Guards against commands that cannot be found out about.
  void everyCommandHasHelp() {
    const auto None = always(500, "");
    CPPUNIT_ASSERT(run({"--help"}, None) == CtlExit::Success);
    for (const std::string Command :
         {"check", "apply", "show", "diff", "submit", "watch", "cancel",
          "workers", "tasks", "queues", "shares", "status", "drain"}) {
      CPPUNIT_ASSERT(run({"--help"}, None) == CtlExit::Success);
      expectOut("  " + Command);
      CPPUNIT_ASSERT(run({Command, "--help"}, None) == CtlExit::Success);
      expectOut("hickoryctl " + Command);
      expectOut("--server=IP:PORT");
      CPPUNIT_ASSERT(Requests_.empty());
    }
  }

  // Guards against typing mistakes that are taken for something else.
  void wrongUsageSaysWhatToWrite() {
    const auto None = always(500, "");
    CPPUNIT_ASSERT(run({}, None) == CtlExit::Usage);
    CPPUNIT_ASSERT(run({"aply"}, None) == CtlExit::Usage);
    expectErr("\"aply\" is not a command; write one of check, apply");
    CPPUNIT_ASSERT(run({"status", "--serve=1"}, None) == CtlExit::Usage);
    expectErr("--serve");
    CPPUNIT_ASSERT(run({"status", "--server=localhost:80"}, None) ==
                   CtlExit::Usage);
    expectErr("write an IP number and a port");
    CPPUNIT_ASSERT(run({"status", "--output=xml"}, None) == CtlExit::Usage);
    expectErr("write table or json");
    CPPUNIT_ASSERT(run({"status", "--timeout-ms=0"}, None) == CtlExit::Usage);
    expectErr("--timeout-ms=0: write an integer from 1 to");
    CPPUNIT_ASSERT(run({"apply"}, None) == CtlExit::Usage);
    expectErr("write: hickoryctl apply PATH");
    CPPUNIT_ASSERT(run({"submit", "--job"}, None) == CtlExit::Usage);
    expectErr("--member=NAME is missing");
    CPPUNIT_ASSERT(run({"submit"}, None) == CtlExit::Usage);
    expectErr("either --job or --request");
    CPPUNIT_ASSERT(run({"cancel"}, None) == CtlExit::Usage);
    CPPUNIT_ASSERT(run({"watch"}, None) == CtlExit::Usage);
    CPPUNIT_ASSERT(Requests_.empty());
  }

  // Guards against objects that change on the way from file to file.
  void applyShowEditApply() {
    const std::string Path = write("cell.toml", CellFile);
    CPPUNIT_ASSERT(runOnState({"diff", Path}) == CtlExit::Different);
    expectOut("add policy.urgent");
    CPPUNIT_ASSERT(runOnState({"check", Path}) == CtlExit::Success);
    expectOut("would be accepted");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), State_.version());
    CPPUNIT_ASSERT(runOnState({"apply", Path}) == CtlExit::Success);
    expectOut("accepted as version 1");
    CPPUNIT_ASSERT_EQUAL(1000U, State_.jobClass("moisture-check")->Priority);
    CPPUNIT_ASSERT(runOnState({"diff", "--prune", Path}) == CtlExit::Success);
    CPPUNIT_ASSERT_EQUAL(std::string(), Out_.str());
    CPPUNIT_ASSERT(runOnState({"apply", Path}) == CtlExit::Success);
    expectOut("no changes; version 1 is in force");

    CPPUNIT_ASSERT(runOnState({"show"}) == CtlExit::Success);
    std::string Shown = Out_.str();
    CPPUNIT_ASSERT(runOnState({"diff", write("shown.toml", Shown)}) ==
                   CtlExit::Success);
    const std::size_t At = Shown.find("priority = 1000");
    CPPUNIT_ASSERT_MESSAGE(Shown, At != std::string::npos);
    Shown.replace(At, 15, "priority = 1200");
    const std::string Edited = write("edited.toml", Shown);
    CPPUNIT_ASSERT(runOnState({"diff", Edited}) == CtlExit::Different);
    CPPUNIT_ASSERT_EQUAL(std::string("change policy.urgent\n"
                                     "    - priority = 1000\n"
                                     "    + priority = 1200\n"),
                         Out_.str());
    CPPUNIT_ASSERT(runOnState({"apply", Edited}) == CtlExit::Success);
    CPPUNIT_ASSERT_EQUAL(1200U, State_.jobClass("moisture-check")->Priority);

    CPPUNIT_ASSERT(runOnState({"show", "policy.urgent"}) == CtlExit::Success);
    expectOut("[policy.urgent]");
    CPPUNIT_ASSERT(Out_.str().find("pool") == std::string::npos);
    CPPUNIT_ASSERT(runOnState({"show", "policy.x"}) == CtlExit::NotFound);
    CPPUNIT_ASSERT(runOnState({"show", "--output=json"}) == CtlExit::Success);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5),
                         publishedConfigFromJson(Out_.str())->Objects.size());
  }

  // Guards against an operator whose old copy overwrites a newer change.
  void staleFileConflicts() {
    runOnState({"apply", write("cell.toml", CellFile)});
    runOnState({"show", "policy.urgent"});
    const std::string Stale = Out_.str();
    runOnState(
        {"apply", write("new.toml", "[policy.urgent]\npriority = 1500\n")});
    CPPUNIT_ASSERT(runOnState({"apply", write("stale.toml", Stale)}) ==
                   CtlExit::Conflict);
    expectErr("policy.urgent was changed first; it is at version 2 now");
    CPPUNIT_ASSERT_EQUAL(1500U, State_.jobClass("moisture-check")->Priority);
    CPPUNIT_ASSERT(
        runOnState({"apply", "--based-on=2", write("stale.toml", Stale)}) ==
        CtlExit::Success);
  }

  // Guards against removals that nobody asked for.
  void pruneRemoves() {
    runOnState({"apply", write("cell.toml", CellFile)});
    const std::string Path =
        write("small.toml", "[member.kernvaal]\nteams = [\"sorting\"]\n");
    CPPUNIT_ASSERT(runOnState({"diff", Path}) == CtlExit::Success);
    CPPUNIT_ASSERT(runOnState({"apply", "--prune", Path}) == CtlExit::Success);
    expectOut("remove pool.main");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), State_.objects().size());
  }

  // Guards against errors that point into text that the operator never wrote.
  void fileProblemsHaveLines() {
    write("a.toml", "[policy.urgent]\n\npriority = \"high\"\n[queue.x]\n");
    write("b.toml", "[policy.urgent]\n[pool]\nmain = 3\n");
    CPPUNIT_ASSERT(runOnState({"apply", Folder_.string()}) == CtlExit::Usage);
    expectErr("a.toml:3: priority: is a string; write an integer");
    expectErr("a.toml:4: queue: is not a known key");
    expectErr("b.toml:1: policy.urgent: is defined in another file too");
    expectErr("b.toml:3: pool.main: is an integer; write a table");
    CPPUNIT_ASSERT(Requests_.empty());
    CPPUNIT_ASSERT(runOnState({"check", "/nonexistent"}) == CtlExit::Usage);
    expectErr("/nonexistent: cannot be read");
  }

  // Guards against a rejected change that looks like a success.
  void rejectionIsReported() {
    const std::string Path = write("bad.toml", "[job_class.c]\npool = \"p\"\n"
                                               "policy = \"y\"\n");
    for (const std::string Command : {"check", "apply"}) {
      CPPUNIT_ASSERT(runOnState({Command, Path}) == CtlExit::Rejected);
      expectErr("job_class.c: pool: refers to pool.p, which does not exist");
      expectErr("refers to policy.y");
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), State_.version());
  }

  // Guards against a check that needs a running cell.
  void offlineCheckNeedsNoServer() {
    const auto None = always(500, "");
    CPPUNIT_ASSERT(run({"check", "--offline", write("a.toml", CellFile)},
                       None) == CtlExit::Success);
    CPPUNIT_ASSERT(run({"check", "--offline",
                        write("b.toml", "[policy.a]\ninherits = \"b\"\n"
                                        "[policy.b]\ninherits = \"a\"\n")},
                       None) == CtlExit::Rejected);
    expectErr("forms the cycle a -> b -> a");
    CPPUNIT_ASSERT(Requests_.empty());
  }

  // Guards against a command that fails because one instance is gone.
  void asksNextServer() {
    const auto Answer =
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
            Answer) == CtlExit::Success);
    expectOut("slot: c");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Requests_.size());
    CPPUNIT_ASSERT(run({"status", "--server=127.0.0.1:1"}, Answer) ==
                   CtlExit::Unreachable);
    expectErr("127.0.0.1:1: connection refused");
    CPPUNIT_ASSERT(run({"status", "--server=127.0.0.1:2"}, Answer) ==
                   CtlExit::Overloaded);
    expectErr("draining");
  }

  // Guards against a lost answer that is reported as "not done".
  void lostAnswerIsUnknown() {
    const auto Answer =
        [](const HttpClientRequest &Request) -> Result<HttpClientResponse> {
      if (Request.Url.starts_with("http://127.0.0.1:1/"))
        return fail(ErrorCode::Timeout, "no answer in time");
      return fail(ErrorCode::ConnectionRefused, "connection refused");
    };
    CPPUNIT_ASSERT(run({"submit", "--job", "--member=m", "--class=c",
                        "--key=k7", "--server=127.0.0.1:1,127.0.0.1:2"},
                       Answer) == CtlExit::Unknown);
    expectErr("submit again with --key=k7");
    CPPUNIT_ASSERT(run({"cancel", "k7", "--server=127.0.0.1:2"}, Answer) ==
                   CtlExit::Unreachable);
  }

  // Guards against outcomes that scripts cannot tell apart.
  void submitReportsOutcome() {
    const std::vector<std::string> Words = {"submit",      "--request",
                                            "--member=m",  "--class=c",
                                            "--payload=x", "--key=a/b"};
    const std::vector<std::pair<std::string, CtlExit>> Cases = {
        {"completed", CtlExit::Success},
        {"failed", CtlExit::Failed},
        {"not_run", CtlExit::NotRun},
        {"unknown", CtlExit::Unknown}};
    for (const auto &[Outcome, Exit] : Cases)
      CPPUNIT_ASSERT(run(Words, always(Outcome == "not_run" ? 503 : 200,
                                       "{\"outcome\":\"" + Outcome + "\"}")) ==
                     Exit);
    const auto Body = nlohmann::json::parse(Requests_.at(0).Body);
    CPPUNIT_ASSERT_EQUAL(std::string("a/b"), Body.at("key").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("x"),
                         Body.at("payload").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(10000, Body.at("timeout_ms").get<int>());
    CPPUNIT_ASSERT(Requests_[0].Timeout == 12s);
  }

  // Guards against a wait that ends before the job does.
  void submitAndWaitFollowsJob() {
    int Queries = 0;
    const auto Answer = [&](const HttpClientRequest &Request) {
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
                       Answer) == CtlExit::Success);
    CPPUNIT_ASSERT_EQUAL(4, Queries);
    expectOut("state: completed");
    CPPUNIT_ASSERT_EQUAL(
        3, nlohmann::json::parse(Requests_[0].Body).at("tasks").get<int>());
    CPPUNIT_ASSERT(run({"watch", "a/b", "--timeout-ms=2000"},
                       always(200, "{\"state\":\"queued\"}")) ==
                   CtlExit::Unknown);
    expectErr("no outcome within --timeout-ms");
  }

  // Guards against output that hides rows or fields.
  void listsAsTableAndJson() {
    const std::string Body =
        "{\"slot\":\"a\",\"tasks\":[{\"state\":\"running\",\"key\":\"k1\","
        "\"cpus_milli\":500},{\"key\":\"k2\",\"worker\":\"w1\"}]}";
    CPPUNIT_ASSERT(run({"tasks"}, always(200, Body)) == CtlExit::Success);
    CPPUNIT_ASSERT_EQUAL(std::string("slot: a\n"
                                     "\ntasks:\n"
                                     "key  cpus_milli  state    worker\n"
                                     "k1   500         running  -\n"
                                     "k2   -           -        w1\n"),
                         Out_.str());
    CPPUNIT_ASSERT(run({"tasks", "--output=json", "--key=k2"},
                       always(200, Body)) == CtlExit::Success);
    const auto Json = nlohmann::json::parse(Out_.str());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Json.at("tasks").size());
    CPPUNIT_ASSERT(Requests_.at(0).Url == "http://127.0.0.1:8080/v1/tasks");
  }

  // Guards against failures that scripts take for success.
  void statusCodesMapToExitCodes() {
    const std::string Body = "{\"code\":\"x\",\"message\":\"do this\"}";
    const std::vector<std::pair<int, CtlExit>> Cases = {
        {400, CtlExit::Usage},    {404, CtlExit::NotFound},
        {409, CtlExit::Conflict}, {429, CtlExit::Overloaded},
        {500, CtlExit::Internal}, {503, CtlExit::Overloaded},
        {504, CtlExit::Unknown}};
    for (const auto &[Status, Exit] : Cases) {
      CPPUNIT_ASSERT(run({"watch", "k"}, always(Status, Body)) == Exit);
      expectErr("do this");
    }
  }

  // Guards against stopping an instance that nobody named.
  void drainNeedsOneServer() {
    const auto Good = always(200, "{\"draining\":true}");
    CPPUNIT_ASSERT(run({"drain"}, Good) == CtlExit::Usage);
    CPPUNIT_ASSERT(run({"drain", "--server=127.0.0.1:1,127.0.0.1:2"}, Good) ==
                   CtlExit::Usage);
    CPPUNIT_ASSERT(run({"drain", "--server=127.0.0.1:1"}, Good) ==
                   CtlExit::Success);
    CPPUNIT_ASSERT(Requests_.at(0).Method == "POST");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlSessionTest);

} // namespace hickory
