#include "Gateway/Gateway.h"

#include "Config/ConfigJson.h"
#include "Gateway/SubmitBody.h"

#include <fmt/format.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace hickory {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds QueryTimeout{3000};
constexpr milliseconds CancelTimeout{15000};
constexpr milliseconds ApplyTimeout{10000};
constexpr milliseconds DrainPoll{20};
/// Time for writing the responses that are sent at the limit of a drain.
constexpr milliseconds ResponseWriteLimit{1000};
constexpr std::chrono::seconds RetryAfterOverload{1};

HttpServerResponse jsonResponse(int Status, const json &Body) {
  return {.Status = Status,
          .Body = Body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

HttpServerResponse errorResponse(int Status, const std::string &Code,
                                 const std::string &Message) {
  HttpServerResponse Response =
      jsonResponse(Status, {{"code", Code}, {"message", Message}});
  if (Status == 429 || Status == 503)
    Response.RetryAfter = RetryAfterOverload;
  return Response;
}

const char *outcomeName(records::OutcomeKind Outcome) {
  switch (Outcome) {
  case records::OUTCOME_COMPLETED:
    return "completed";
  case records::OUTCOME_FAILED:
    return "failed";
  case records::OUTCOME_NOT_RUN:
    return "not_run";
  case records::OUTCOME_UNKNOWN:
    return "unknown";
  case records::OUTCOME_CANCELLED:
    return "cancelled";
  default:
    return "pending";
  }
}

HttpServerResponse submitResponse(const std::string &Key, bool IsJob,
                                  const peer::SubmitReply &Reply) {
  if (Reply.status() == peer::STATUS_INVALID)
    return errorResponse(400, "invalid_request", Reply.detail());
  if (Reply.status() == peer::STATUS_CONFLICT)
    return errorResponse(409, "key_reused", Reply.detail());
  json Body = {{"key", Key}, {"outcome", outcomeName(Reply.outcome())}};
  if (!Reply.detail().empty())
    Body["detail"] = Reply.detail();
  if (Reply.outcome() == records::OUTCOME_COMPLETED && !IsJob)
    Body["answer"] = Reply.answer();
  if (!Reply.executor().empty())
    Body["executor"] = Reply.executor();
  if (IsJob && Reply.outcome() == records::OUTCOME_PENDING)
    Body["state"] = "accepted";
  int Status = 200;
  if (Reply.outcome() == records::OUTCOME_NOT_RUN)
    Status = Reply.status() == peer::STATUS_OVERLOADED ? 429 : 503;
  else if (Reply.outcome() == records::OUTCOME_UNKNOWN)
    Status = 504;
  else if (Reply.outcome() == records::OUTCOME_PENDING)
    Status = 202;
  HttpServerResponse Response = jsonResponse(Status, Body);
  if (Status == 429 || Status == 503)
    Response.RetryAfter = RetryAfterOverload;
  return Response;
}

/// Text after Prefix if Path starts with it and more follows.
std::optional<std::string> after(const std::string &Path,
                                 const std::string &Prefix) {
  if (Path.size() <= Prefix.size() || Path.compare(0, Prefix.size(), Prefix))
    return std::nullopt;
  return percentDecode(Path.substr(Prefix.size()));
}

json toJson(const records::Resources &Value) {
  return {{"cpus_milli", Value.cpus_milli()},
          {"memory_mb", Value.memory_mb()},
          {"accelerators", Value.accelerators()}};
}

bool fits(const records::Resources &Wanted, const records::Resources &Total) {
  return Wanted.cpus_milli() <= Total.cpus_milli() &&
         Wanted.memory_mb() <= Total.memory_mb() &&
         Wanted.accelerators() <= Total.accelerators();
}

/// False if no worker of this domain and no rack of another is large enough.
/// Before anything is known of the workers nothing is refused.
bool couldEverFit(const records::Resources &PerTask,
                  const InstanceList &Upstreams, const CellView &Cell) {
  bool AnyKnown = false;
  for (const Upstream &Known : Upstreams.all()) {
    if (Known.Kind != UpstreamKind::Worker)
      continue;
    AnyKnown = true;
    if (fits(PerTask, Known.Total.toMessage()))
      return true;
  }
  for (const peer::SummaryRequest &Summary : Cell.summaries())
    for (const peer::RackLoad &Load : Summary.racks()) {
      if (Load.has_executors())
        continue;
      AnyKnown = true;
      if (fits(PerTask, Load.largest_worker()))
        return true;
    }
  return !AnyKnown;
}

} // namespace

Gateway::Gateway(asio::io_context &Context, GatewayOptions Options,
                 GatewayDependencies Uses)
    : Options_(Options), Uses_(std::move(Uses)),
      Admission_(Options.MaximumWaitingRequests),
      Stopped_(Context.get_executor()),
      Server_(Context, Options.Server, [this](HttpServerRequest Request) {
        return handle(std::move(Request));
      }) {}

asio::awaitable<Result<void>> Gateway::run() {
  try {
    Server_.start();
  } catch (const std::exception &Failure) {
    co_return fail(ErrorCode::Unavailable,
                   fmt::format("cannot listen on {}:{}: {}; choose another "
                               "[gateway] port",
                               Options_.Server.Address, Options_.Server.Port,
                               Failure.what()));
  }
  LOG(INFO) << "gateway: listening on " << Options_.Server.Address << ":"
            << Server_.port();
  co_await Stopped_.wait();
  co_return Result<void>();
}

asio::awaitable<void> Gateway::drain() {
  Draining_ = true;
  Server_.closeAfterResponse();
  co_await Uses_.Timers.sleepFor(Options_.DrainDelay);
  Refusing_ = true;
  const Clock::time_point Start = Uses_.Timers.now();
  co_await waitUntilAnswered(Options_.DrainLimit);
  const std::size_t Unanswered = Server_.requestsInFlight();
  const auto Oldest = Server_.oldestRequest();
  if (Unanswered > 0) {
    LOG(WARNING) << "gateway: " << Unanswered
                 << " requests in flight at the limit of the drain are "
                    "answered with 504; the oldest is "
                 << (Oldest ? Oldest->Call : "");
    Server_.answerRemaining();
    co_await waitUntilAnswered(ResponseWriteLimit);
  }
  Uses_.Events.emit("gateway", "drained",
                    {{"wait_ms", std::chrono::duration_cast<milliseconds>(
                                     Uses_.Timers.now() - Start)
                                     .count()},
                     {"in_flight", Unanswered},
                     {"oldest", Oldest ? Oldest->Call : ""},
                     {"unwritten", Server_.requestsInFlight()}});
}

asio::awaitable<void> Gateway::waitUntilAnswered(milliseconds Limit) {
  const Clock::time_point Deadline = Uses_.Timers.now() + Limit;
  while (Server_.requestsInFlight() > 0 && Uses_.Timers.now() < Deadline)
    co_await Uses_.Timers.sleepFor(DrainPoll);
}

void Gateway::stop() {
  Uses_.Events.emit("gateway", "closed");
  Server_.stop();
  Stopped_.notify();
}

asio::awaitable<HttpServerResponse> Gateway::handle(HttpServerRequest Request) {
  const std::string &Path = Request.Path;
  const std::string Route = Request.Method + " " + Path;
  if (Route == "GET /healthz")
    co_return HttpServerResponse{.Body = "ok\n", .ContentType = "text/plain"};
  if (Route == "GET /readyz") {
    if (!Draining_ && Uses_.Ready())
      co_return HttpServerResponse{.Body = "ready\n",
                                   .ContentType = "text/plain"};
    co_return errorResponse(503, Draining_ ? "draining" : "not_ready",
                            "this instance takes no new work now");
  }
  if (Route == "GET /metrics")
    co_return HttpServerResponse{.Body = Uses_.Counters.render(),
                                 .ContentType = "text/plain; version=0.0.4"};
  if (Route == "GET /v1/events") {
    const std::string From = queryParameter(Request.Query, "from");
    co_return HttpServerResponse{.Body = Uses_.Events.linesFrom(
                                     std::strtoull(From.c_str(), nullptr, 10)),
                                 .ContentType = "application/x-ndjson"};
  }
  if (Route == "GET /v1/status")
    co_return status();
  if (Route == "GET /v1/workers")
    co_return workers();
  if (Route == "GET /v1/tasks")
    co_return tasks();
  if (Route == "GET /v1/queues")
    co_return queues();
  if (Route == "GET /v1/shares")
    co_return shares();
  if (Route == "GET /v1/config")
    co_return publishedConfig();
  if (Route == "POST /v1/config/check")
    co_return checkConfig(Request.Body);
  if (Route == "POST /v1/drain") {
    Uses_.RequestDrain();
    co_return jsonResponse(202, {{"state", "draining"}});
  }
  if (Refusing_)
    co_return errorResponse(503, "draining",
                            "this instance is stopping; use another one");
  if (Route == "POST /v1/requests")
    co_return co_await submit(std::move(Request.Body), false);
  if (Route == "POST /v1/jobs")
    co_return co_await submit(std::move(Request.Body), true);
  if (Route == "POST /v1/config/apply")
    co_return co_await applyConfig(std::move(Request.Body));
  if (Route == "POST /v1/cancel") {
    auto Keys = parseCancelBody(Request.Body);
    if (!Keys)
      co_return errorResponse(400, Keys.error().Code, Keys.error().Message);
    co_return co_await cancel(std::move(*Keys));
  }
  for (const char *Prefix : {"/v1/requests/", "/v1/jobs/"}) {
    const std::optional<std::string> Key = after(Path, Prefix);
    if (!Key)
      continue;
    if (Request.Method == "GET")
      co_return co_await query(*Key);
    if (Request.Method == "DELETE") {
      std::vector<std::string> Keys = {*Key};
      co_return co_await cancel(std::move(Keys));
    }
  }
  co_return errorResponse(404, "no_such_route",
                          Route + " is not part of this interface");
}

asio::awaitable<HttpServerResponse> Gateway::submit(std::string Body,
                                                    bool IsJob) {
  const SubmitBodyOptions Parsing{.IsJob = IsJob,
                                  .DefaultTimeout = Options_.DefaultTimeout};
  auto Parsed = parseSubmitBody(Body, Parsing);
  if (!Parsed)
    co_return errorResponse(400, Parsed.error().Code, Parsed.error().Message);
  peer::SubmitRequest Request = std::move(*Parsed);
  if (!Uses_.Ready())
    co_return errorResponse(503, "not_ready",
                            "this instance has no configuration yet");
  const auto Class = Uses_.Config.jobClass(Request.job_class());
  if (!Class)
    co_return errorResponse(400, "unknown_class",
                            "job class " + Request.job_class() +
                                " is not configured");
  if (!Uses_.Config.hasMember(Request.member()))
    co_return errorResponse(400, "unknown_member",
                            "member " + Request.member() +
                                " is not configured");
  if (!Class->Member.empty() && Class->Member != Request.member())
    co_return errorResponse(403, "wrong_member",
                            "job class " + Class->Name + " belongs to member " +
                                Class->Member);
  if (IsJob == (Class->Kind == WorkKind::Request))
    co_return errorResponse(
        400, "wrong_kind",
        IsJob
            ? "job class " + Class->Name + " is for requests; use /v1/requests"
            : "job class " + Class->Name + " is for jobs; use /v1/jobs");
  if (Request.key().empty()) {
    if (IsJob || Class->NonRepeatable)
      co_return errorResponse(400, "missing_key",
                              "key is required for jobs and for requests that "
                              "must not be repeated");
    Request.set_key(fmt::format("{}/auto-{:016x}", Uses_.Directory.SelfDomain,
                                Random_.next()));
  }
  if (IsJob && !couldEverFit(Request.per_task(), Uses_.Upstreams, Uses_.Cell))
    co_return errorResponse(400, "too_large",
                            "no worker of the cell is large enough for one "
                            "task; ask for less");
  const AdmissionControl::Permit Permit = Admission_.admit(Class->Priority);
  if (!Permit) {
    Uses_.Counters.count("hickory_requests_shed_total");
    co_return errorResponse(429, "overloaded",
                            "too many requests are in progress; come back "
                            "later");
  }
  const std::string Key = Request.key();
  peer::SubmitReply Reply = co_await Uses_.Router.submit(std::move(Request));
  Uses_.Counters.count(
      "hickory_submissions_total", 1,
      fmt::format("outcome=\"{}\"", outcomeName(Reply.outcome())));
  co_return submitResponse(Key, IsJob, Reply);
}

asio::awaitable<HttpServerResponse> Gateway::query(std::string Key) {
  peer::QueryRequest Request;
  Request.set_key(Key);
  const peer::QueryReply Reply =
      co_await Uses_.Router.query(std::move(Request), QueryTimeout);
  if (Reply.status() == peer::STATUS_NOT_FOUND)
    co_return errorResponse(404, "unknown_key",
                            "nothing is known of key " + Key);
  if (Reply.status() != peer::STATUS_OK)
    co_return errorResponse(503, "owner_unreachable", Reply.detail());
  json Body = {{"key", Key}, {"outcome", outcomeName(Reply.outcome())}};
  if (!Reply.answer().empty())
    Body["answer"] = Reply.answer();
  if (!Reply.detail().empty())
    Body["detail"] = Reply.detail();
  if (Reply.is_job()) {
    Body["tasks"] = json::array();
    for (const peer::TaskView &Task : Reply.tasks())
      Body["tasks"].push_back({{"task", Task.task()},
                               {"attempt", Task.attempt()},
                               {"state", Task.state()},
                               {"worker", Task.worker()},
                               {"rack", Task.rack()}});
  }
  co_return jsonResponse(200, Body);
}

asio::awaitable<HttpServerResponse>
Gateway::cancel(std::vector<std::string> Keys) {
  const peer::CancelReply Reply =
      co_await Uses_.Router.cancel(std::move(Keys), CancelTimeout);
  co_return jsonResponse(Reply.status() == peer::STATUS_OK ? 200 : 503,
                         {{"cancelled", Reply.cancelled()}});
}

HttpServerResponse Gateway::checkConfig(const std::string &Body) const {
  const auto Changes = changeSetFromJson(Body);
  if (!Changes)
    return errorResponse(400, "malformed_body", Changes.error().Message);
  return {.Status = 200, .Body = verdictToJson(Uses_.Config.check(*Changes))};
}

asio::awaitable<HttpServerResponse> Gateway::applyConfig(std::string Body) {
  const auto Changes = changeSetFromJson(Body);
  if (!Changes)
    co_return errorResponse(400, "malformed_body", Changes.error().Message);
  if (Changes->id().empty())
    co_return errorResponse(400, "missing_id",
                            "id must identify this change set, so that it can "
                            "be sent again");
  // A change set that cannot be accepted now is not written to the log.
  const ConfigVerdict Expected = Uses_.Config.check(*Changes);
  if (Expected.Kind == VerdictKind::Rejected)
    co_return HttpServerResponse{.Status = 200,
                                 .Body = verdictToJson(Expected)};
  records::Record Record;
  *Record.mutable_change_set() = *Changes;
  const Result<std::uint64_t> Written =
      co_await Uses_.ConfigWriter.append(std::move(Record), ApplyTimeout);
  if (!Written && Written.error().Code != ErrorCode::Timeout)
    co_return errorResponse(503, "log_unavailable", Written.error().Message);
  const Result<ConfigVerdict> Verdict =
      co_await Uses_.Config.waitForVerdict(Changes->id(), ApplyTimeout);
  if (!Verdict)
    co_return errorResponse(504, "verdict_unknown",
                            "the change set may still be accepted; apply it "
                            "again with the same id");
  Uses_.Events.emit("config", "change_set_judged",
                    {{"id", Changes->id()},
                     {"verdict", verdictName(Verdict->Kind)},
                     {"version", Verdict->Version}});
  co_return HttpServerResponse{.Status = 200, .Body = verdictToJson(*Verdict)};
}

HttpServerResponse Gateway::publishedConfig() const {
  const PublishedConfig Published{.Version = Uses_.Config.version(),
                                  .Objects = Uses_.Config.objects()};
  return {.Status = 200, .Body = publishedConfigToJson(Published)};
}

HttpServerResponse Gateway::workers() const {
  json List = json::array();
  for (const auto &View : Uses_.Racks.workers())
    List.push_back({{"name", View.Name},
                    {"rack", View.Rack},
                    {"address", View.Address},
                    {"state_read", View.StateRead},
                    {"leaving", View.Leaving},
                    {"set_aside", View.SetAside},
                    {"total", toJson(View.Total.toMessage())},
                    {"committed", toJson(View.Committed.toMessage())},
                    {"tasks", View.Tasks}});
  return jsonResponse(200, {{"workers", List}});
}

HttpServerResponse Gateway::tasks() const {
  json List = json::array();
  for (const auto &View : Uses_.Racks.tasks())
    List.push_back({{"key", View.Key},
                    {"task", View.Task},
                    {"attempt", View.Attempt},
                    {"state", View.State},
                    {"worker", View.Worker},
                    {"rack", View.Rack},
                    {"member", View.Member},
                    {"size", toJson(View.Size.toMessage())}});
  return jsonResponse(200, {{"tasks", List}});
}

HttpServerResponse Gateway::queues() const {
  const JobRunner::QueueView View = Uses_.Runner.view();
  return jsonResponse(200, {{"queued", View.QueuedWork},
                            {"jobs", View.Jobs},
                            {"starting", View.Starting},
                            {"longest_wait_ms", View.LongestWait.count()}});
}

HttpServerResponse Gateway::shares() const {
  // Sums over the whole cell: this instance and the last summary of each other.
  std::map<std::pair<std::string, std::string>, records::Resources> Held;
  const auto Add = [&Held](const peer::MemberUse &Use) {
    records::Resources &Sum = Held[{Use.member(), Use.team()}];
    Sum.set_cpus_milli(Sum.cpus_milli() + Use.held().cpus_milli());
    Sum.set_memory_mb(Sum.memory_mb() + Use.held().memory_mb());
    Sum.set_accelerators(Sum.accelerators() + Use.held().accelerators());
  };
  for (const peer::MemberUse &Use : Uses_.Racks.memberUse())
    Add(Use);
  for (const peer::SummaryRequest &Summary : Uses_.Cell.summaries())
    for (const peer::MemberUse &Use : Summary.members())
      Add(Use);
  json List = json::array();
  for (const auto &[Name, Sum] : Held)
    List.push_back(
        {{"member", Name.first}, {"team", Name.second}, {"held", toJson(Sum)}});
  return jsonResponse(200, {{"shares", List}});
}

HttpServerResponse Gateway::status() const {
  const auto LeaseLeft = std::chrono::duration_cast<milliseconds>(
      Uses_.Ownership.leaseEnd() - Uses_.Timers.now());
  return jsonResponse(
      200, {{"slot", Uses_.Directory.SelfSlot},
            {"failure_domain", Uses_.Directory.SelfDomain},
            {"region", Uses_.Directory.SelfRegion},
            {"incarnation", std::to_string(Uses_.Ownership.incarnation())},
            {"ready", !Draining_ && Uses_.Ready()},
            {"draining", Draining_},
            {"lease_left_ms", std::max<std::int64_t>(0, LeaseLeft.count())},
            {"log_reachable", Uses_.Ownership.logReachable()},
            {"config_version", Uses_.Config.version()},
            {"requests_in_progress", Admission_.inProgress()},
            {"shards", Uses_.Ownership.heldShards()}});
}

} // namespace hickory
