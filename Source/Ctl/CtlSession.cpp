#include "Ctl/CtlSession.h"

#include "Base/Random.h"
#include "Config/ConfigValidator.h"
#include "Config/TomlTableReader.h"
#include "Ctl/ConfigFiles.h"
#include "Ctl/ConfigPlan.h"
#include "Ctl/TableWriter.h"
#include "Http/HttpServer.h"

#include <array>
#include <cstdlib>
#include <fmt/format.h>
#include <set>

namespace hickory {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Added to the timeout of requests. The server waits for the outcome up to the
// timeout, and the response needs additional time on the network.
constexpr milliseconds ResponseMargin{2000};

std::string generateRandomId() {
  Random Source = Random::fromSystem();
  return fmt::format("{:016x}{:016x}", Source.next(), Source.next());
}

std::string userName() {
  for (const char *Variable : {"USER", "LOGNAME"})
    if (const char *Name = std::getenv(Variable);
        Name != nullptr && *Name != '\0')
      return Name;
  return "unknown";
}

Json parseBody(const std::string &Body) {
  Json Value = Json::parse(Body, nullptr, false);
  return Value.is_discarded() ? Json() : Value;
}

std::string textField(const Json &Body, const char *Name) {
  if (!Body.is_object())
    return {};
  const auto It = Body.find(Name);
  return It != Body.end() && It->is_string() ? It->get<std::string>()
                                             : std::string();
}

/// Returns the outcome of a job or request, or an empty text while it is
/// pending.
std::string parseFinalOutcome(const Json &Body) {
  static const std::set<std::string> FinalOutcomes = {
      "completed", "failed", "not_run", "unknown", "cancelled"};
  for (const char *Field : {"outcome", "state"})
    if (const std::string Value = textField(Body, Field);
        FinalOutcomes.contains(Value))
      return Value;
  return {};
}

} // namespace

CtlSession::CtlSession(HttpClient &Http, TimerService &Timers,
                       std::ostream &Out, std::ostream &Err)
    : Http_(Http), Timers_(Timers), Out_(Out), Err_(Err) {}

asio::awaitable<CtlExitCode> CtlSession::run(std::vector<std::string> Args) {
  Result<CtlArguments> Parsed = parseCtlArguments(Args);
  if (!Parsed)
    co_return reportUsageError(Parsed.error().Message);
  Arguments_ = std::move(*Parsed);
  if (!Arguments_.Help.empty()) {
    Out_ << Arguments_.Help;
    co_return CtlExitCode::Success;
  }
  JsonOutput_ = Arguments_.getText("output") == "json";
  std::string ServerList = Arguments_.getText("server", "127.0.0.1:8080");
  for (std::size_t Start = 0; Start <= ServerList.size();) {
    const std::size_t End =
        std::min(ServerList.find(',', Start), ServerList.size());
    const std::string Server = ServerList.substr(Start, End - Start);
    if (const std::string Problem = checkEndpoint(Server); !Problem.empty())
      co_return reportUsageError(
          fmt::format("--server={}: {}", Server, Problem));
    Servers_.push_back(Server);
    Start = End + 1;
  }
  co_return co_await dispatch();
}

asio::awaitable<CtlExitCode> CtlSession::dispatch() {
  using Handler = asio::awaitable<CtlExitCode> (CtlSession::*)();
  struct CommandHandler {
    const char *Name;
    Handler Run;
  };
  static constexpr std::array<CommandHandler, 8> Handlers = {{
      {"check", &CtlSession::check},
      {"apply", &CtlSession::apply},
      {"show", &CtlSession::show},
      {"diff", &CtlSession::diff},
      {"submit", &CtlSession::submit},
      {"watch", &CtlSession::watch},
      {"cancel", &CtlSession::cancel},
      {"drain", &CtlSession::drain},
  }};
  for (const CommandHandler &Candidate : Handlers)
    if (Arguments_.Command == Candidate.Name)
      co_return co_await (this->*Candidate.Run)();
  co_return co_await list();
}

asio::awaitable<CtlExitCode> CtlSession::check() {
  if (Arguments_.hasOption("offline"))
    co_return checkOffline();
  co_return co_await sendChangeSet(false);
}

asio::awaitable<CtlExitCode> CtlSession::apply() {
  co_return co_await sendChangeSet(true);
}

CtlExitCode CtlSession::checkOffline() {
  const auto Local = readConfigFiles(Arguments_.Positional.front());
  if (!Local)
    return reportError(Local.error());
  ConfigObjectMap Objects;
  for (const auto &[Id, Toml] : Local->Objects) {
    records::ConfigObject Object;
    Object.set_kind(Id.Kind);
    Object.set_name(Id.Name);
    Object.set_toml(Toml);
    std::vector<std::string> Errors;
    if (auto Content = parseConfigObject(Object, Errors))
      Objects.emplace(Id, std::make_shared<const StoredConfigObject>(
                              StoredConfigObject{Object, std::move(*Content)}));
  }
  ConfigVerdict Verdict;
  const auto Checked = ConfigValidator(Objects).validate();
  if (Checked)
    Verdict.Kind = VerdictKind::Accepted;
  else
    Verdict.Errors = Checked.error();
  return reportVerdict(Verdict, verdictToJson(Verdict));
}

asio::awaitable<CtlExitCode> CtlSession::sendChangeSet(bool Apply) {
  auto Local = readConfigFiles(Arguments_.Positional.front());
  if (!Local)
    co_return reportError(Local.error());
  if (Arguments_.hasOption("based-on"))
    Local->BasedOn = Arguments_.getNumber("based-on", 0);
  const auto InForce = co_await fetchConfig();
  if (!InForce)
    co_return reportError(InForce.error());
  const ConfigPlan Plan(*Local, *InForce, Arguments_.hasOption("prune"));
  if (Plan.changes().empty()) {
    if (JsonOutput_)
      printBody({{"verdict", "unchanged"}, {"version", InForce->Version}});
    else
      Out_ << "no changes; version " << InForce->Version << " is in force\n";
    co_return CtlExitCode::Success;
  }
  const std::string Id = Arguments_.getText(
      "id", Apply ? "ctl-" + generateRandomId() : std::string());
  const records::ChangeSet Changes =
      Plan.makeChangeSet(Id, Arguments_.getText("author", userName()));
  const auto Response = co_await sendToServers(
      "POST", Apply ? "/v1/config/apply" : "/v1/config/check",
      changeSetToJson(Changes), timeout());
  if (!Response) {
    const CtlExitCode Code = reportError(Response.error());
    if (Apply && Code == CtlExitCode::Unknown)
      Err_ << "hickoryctl: run the command again with --id=" << Id
           << " to learn whether the change was accepted\n";
    co_return Code;
  }
  const auto Verdict = verdictFromJson(Response->Body);
  if (!Verdict)
    co_return reportStatus(*Response);
  if (!JsonOutput_ && Verdict->Kind == VerdictKind::Accepted)
    Out_ << Plan.toText();
  co_return reportVerdict(*Verdict, Response->Body);
}

asio::awaitable<CtlExitCode> CtlSession::show() {
  const auto InForce = co_await fetchConfig();
  if (!InForce)
    co_return reportError(InForce.error());
  const std::string Selector = Arguments_.Positional.empty()
                                   ? std::string()
                                   : Arguments_.Positional.front();
  PublishedConfig Selected;
  Selected.Version = InForce->Version;
  std::map<ConfigObjectId, std::string> Objects;
  for (const records::ConfigObject &Object : InForce->Objects) {
    const ConfigObjectId Id{Object.kind(), Object.name()};
    if (!Selector.empty() && Selector != Id.Kind && Selector != Id.text())
      continue;
    Objects.emplace(Id, Object.toml());
    Selected.Objects.push_back(Object);
  }
  if (Objects.empty() && !Selector.empty()) {
    Err_ << "hickoryctl: no object \"" << Selector
         << "\" is in force; see hickoryctl show\n";
    co_return CtlExitCode::NotFound;
  }
  if (JsonOutput_)
    Out_ << publishedConfigToJson(Selected) << "\n";
  else
    Out_ << formatConfigFile(Objects, InForce->Version);
  co_return CtlExitCode::Success;
}

asio::awaitable<CtlExitCode> CtlSession::diff() {
  const auto Local = readConfigFiles(Arguments_.Positional.front());
  if (!Local)
    co_return reportError(Local.error());
  const auto InForce = co_await fetchConfig();
  if (!InForce)
    co_return reportError(InForce.error());
  const ConfigPlan Plan(*Local, *InForce, Arguments_.hasOption("prune"));
  if (JsonOutput_)
    Out_ << Plan.toJson() << "\n";
  else
    Out_ << Plan.toText();
  co_return Plan.changes().empty() ? CtlExitCode::Success
                                   : CtlExitCode::Different;
}

asio::awaitable<CtlExitCode> CtlSession::submit() {
  const bool IsJob = Arguments_.hasOption("job");
  if (IsJob == Arguments_.hasOption("request"))
    co_return reportUsageError("write either --job or --request");
  for (const char *Name : {"member", "class"})
    if (Arguments_.getText(Name).empty())
      co_return reportUsageError(fmt::format("--{}=NAME is missing", Name));
  const std::string Key =
      Arguments_.getText("key", "ctl-" + generateRandomId());
  Json Body = {{"key", Key},
               {"member", Arguments_.getText("member")},
               {"class", Arguments_.getText("class")}};
  if (Arguments_.hasOption("team"))
    Body["team"] = Arguments_.getText("team");
  if (IsJob) {
    Body["tasks"] = Arguments_.getNumber("tasks", 1);
    Body["cpus_milli"] = Arguments_.getNumber("cpus-milli", 1000);
    Body["memory_mb"] = Arguments_.getNumber("memory-mb", 256);
    Body["accelerators"] = Arguments_.getNumber("accelerators", 0);
    Body["run_ms"] = Arguments_.getNumber("run-ms", 1000);
  } else {
    std::string Payload = Arguments_.getText("payload");
    if (Arguments_.hasOption("payload-file")) {
      auto Text = readTextFile(Arguments_.getText("payload-file"));
      if (!Text)
        co_return reportError(Text.error());
      Payload = std::move(*Text);
    }
    Body["payload"] = std::move(Payload);
    Body["timeout_ms"] = timeout().count();
  }
  const std::string Text =
      Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  const auto Response =
      co_await sendToServers("POST", IsJob ? "/v1/jobs" : "/v1/requests", Text,
                             IsJob ? timeout() : timeout() + ResponseMargin);
  if (!Response) {
    const CtlExitCode Code = reportError(Response.error());
    if (Code == CtlExitCode::Unknown)
      Err_ << "hickoryctl: submit again with --key=" << Key
           << " to learn the outcome; it does not run twice\n";
    co_return Code;
  }
  const Json ResponseBody = parseBody(Response->Body);
  if (!parseFinalOutcome(ResponseBody).empty())
    co_return reportOutcome(ResponseBody);
  if (Response->Status >= 300)
    co_return reportStatus(*Response);
  if (IsJob && Arguments_.hasOption("wait"))
    co_return co_await pollUntilOutcome("/v1/jobs/" + percentEncode(Key));
  printBody(ResponseBody);
  co_return CtlExitCode::Success;
}

asio::awaitable<CtlExitCode> CtlSession::watch() {
  const std::string Key = Arguments_.Positional.empty()
                              ? Arguments_.getText("key")
                              : Arguments_.Positional.front();
  if (Key.empty())
    co_return reportUsageError("write the key: hickoryctl watch KEY");
  co_return co_await pollUntilOutcome(
      (Arguments_.hasOption("request") ? "/v1/requests/" : "/v1/jobs/") +
      percentEncode(Key));
}

asio::awaitable<CtlExitCode> CtlSession::pollUntilOutcome(std::string Path) {
  const milliseconds Interval =
      Arguments_.getDuration("interval-ms", milliseconds(500));
  // Without --timeout-ms, the total polling time is not limited.
  const bool HasTimeLimit = Arguments_.hasOption("timeout-ms");
  const Clock::time_point End = Timers_.now() + timeout();
  std::string LastBody;
  while (true) {
    const auto Response = co_await sendToServers("GET", Path, "", timeout());
    if (!Response) {
      if (HasTimeLimit && Timers_.now() < End) {
        co_await Timers_.sleepFor(Interval);
        continue;
      }
      co_return reportError(Response.error());
    }
    const Json Body = parseBody(Response->Body);
    if (!parseFinalOutcome(Body).empty())
      co_return reportOutcome(Body);
    if (Response->Status >= 300)
      co_return reportStatus(*Response);
    if (Response->Body != LastBody)
      printBody(Body);
    LastBody = Response->Body;
    if (HasTimeLimit && Timers_.now() >= End) {
      Err_ << "hickoryctl: no outcome within --timeout-ms; watch again with a "
              "larger --timeout-ms\n";
      co_return CtlExitCode::Unknown;
    }
    co_await Timers_.sleepFor(Interval);
  }
}

asio::awaitable<CtlExitCode> CtlSession::cancel() {
  std::vector<std::string> Keys = Arguments_.Positional;
  if (Arguments_.hasOption("key"))
    Keys.push_back(Arguments_.getText("key"));
  if (Keys.empty())
    co_return reportUsageError(
        "write at least one key: hickoryctl cancel KEY...");
  const std::string Body =
      Json{{"keys", Keys}}.dump(-1, ' ', false, Json::error_handler_t::replace);
  const auto Response =
      co_await sendToServers("POST", "/v1/cancel", Body, timeout());
  if (!Response)
    co_return reportError(Response.error());
  if (Response->Status >= 300)
    co_return reportStatus(*Response);
  printBody(parseBody(Response->Body));
  co_return CtlExitCode::Success;
}

asio::awaitable<CtlExitCode> CtlSession::list() {
  const auto Response =
      co_await sendToServers("GET", "/v1/" + Arguments_.Command, "", timeout());
  if (!Response)
    co_return reportError(Response.error());
  if (Response->Status >= 300)
    co_return reportStatus(*Response);
  Json Body = parseBody(Response->Body);
  if (Arguments_.hasOption("key")) {
    const std::string Key = Arguments_.getText("key");
    const auto Filter = [&](Json &Rows) {
      Json MatchingRows = Json::array();
      for (Json &Row : Rows)
        if (textField(Row, "key") == Key ||
            textField(Row, "task").starts_with(Key + "#"))
          MatchingRows.push_back(std::move(Row));
      Rows = std::move(MatchingRows);
    };
    if (Body.is_array())
      Filter(Body);
    else if (Body.is_object())
      for (auto &[Name, Field] : Body.items())
        if (Field.is_array())
          Filter(Field);
  }
  printBody(Body);
  co_return CtlExitCode::Success;
}

asio::awaitable<CtlExitCode> CtlSession::drain() {
  if (!Arguments_.hasOption("server") || Servers_.size() != 1)
    co_return reportUsageError(
        "drain stops one instance; name it with --server=IP:PORT");
  const auto Response =
      co_await sendToServers("POST", "/v1/drain", "", timeout());
  if (!Response)
    co_return reportError(Response.error());
  if (Response->Status >= 300)
    co_return reportStatus(*Response);
  printBody(parseBody(Response->Body));
  co_return CtlExitCode::Success;
}

asio::awaitable<Result<HttpClientResponse>>
CtlSession::sendToServers(std::string Method, std::string Path,
                          std::string Body, milliseconds Timeout) {
  Error LastError;
  bool MayHaveHadEffect = false;
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    HttpClientRequest Request;
    Request.Method = Method;
    Request.Url = "http://" + Servers_[I] + Path;
    Request.Body = Body;
    Request.Timeout = Timeout;
    auto Response = co_await Http_.send(std::move(Request));
    if (Response) {
      // A draining instance responds with 503; another instance may accept the
      // request.
      if (Response->Status == 503 && I + 1 < Servers_.size() &&
          parseFinalOutcome(parseBody(Response->Body)).empty())
        continue;
      co_return std::move(*Response);
    }
    MayHaveHadEffect = MayHaveHadEffect || !Response.error().hadNoEffect();
    LastError = Response.error();
    LastError.Message = fmt::format("{}: {}", Servers_[I], LastError.Message);
  }
  if (MayHaveHadEffect && Method != "GET")
    co_return fail(ErrorCode::Unavailable, LastError.Message);
  co_return fail(ErrorCode::ConnectionRefused, LastError.Message);
}

asio::awaitable<Result<PublishedConfig>> CtlSession::fetchConfig() {
  const auto Response =
      co_await sendToServers("GET", "/v1/config", "", timeout());
  if (!Response)
    co_return tl::unexpected(Response.error());
  if (Response->Status != 200) {
    const std::string Message = textField(parseBody(Response->Body), "message");
    co_return fail(Response->Status == 503 ? ErrorCode::Overloaded
                                           : ErrorCode::Internal,
                   fmt::format("GET /v1/config answered {}: {}",
                               Response->Status, Message));
  }
  co_return publishedConfigFromJson(Response->Body);
}

milliseconds CtlSession::timeout() const {
  return Arguments_.getDuration("timeout-ms", milliseconds(10000));
}

CtlExitCode CtlSession::reportUsageError(const std::string &Message) {
  Err_ << "hickoryctl: " << Message << "\n";
  return CtlExitCode::Usage;
}

CtlExitCode CtlSession::reportError(const Error &Failure) {
  Err_ << "hickoryctl: " << Failure.Message << "\n";
  switch (Failure.Code) {
  case ErrorCode::InvalidArgument:
  case ErrorCode::NotFound:
    return CtlExitCode::Usage;
  case ErrorCode::Conflict:
    return CtlExitCode::Conflict;
  case ErrorCode::ConnectionRefused:
  case ErrorCode::NotSent:
    Err_ << "hickoryctl: no server answered; name running instances with "
            "--server=IP:PORT[,IP:PORT]\n";
    return CtlExitCode::Unreachable;
  case ErrorCode::Unavailable:
  case ErrorCode::Timeout:
    Err_ << "hickoryctl: the command may have had an effect\n";
    return CtlExitCode::Unknown;
  case ErrorCode::Overloaded:
    return CtlExitCode::Overloaded;
  case ErrorCode::NotOwner:
  case ErrorCode::Cancelled:
  case ErrorCode::Internal:
    break;
  }
  return CtlExitCode::Internal;
}

CtlExitCode CtlSession::reportStatus(const HttpClientResponse &Response) {
  std::string Message = textField(parseBody(Response.Body), "message");
  if (Message.empty())
    Message = fmt::format("the server answered with status {} and no "
                          "explanation",
                          Response.Status);
  Err_ << "hickoryctl: " << Message << "\n";
  if (Response.RetryAfter.count() > 0)
    Err_ << "hickoryctl: try again in " << Response.RetryAfter.count()
         << " ms\n";
  if (JsonOutput_)
    Out_ << Response.Body << "\n";
  switch (Response.Status) {
  case 404:
    return CtlExitCode::NotFound;
  case 409:
    return CtlExitCode::Conflict;
  case 429:
  case 503:
    return CtlExitCode::Overloaded;
  case 504:
    return CtlExitCode::Unknown;
  default:
    return Response.Status >= 400 && Response.Status < 500
               ? CtlExitCode::Usage
               : CtlExitCode::Internal;
  }
}

CtlExitCode CtlSession::reportVerdict(const ConfigVerdict &Verdict,
                                      const std::string &Body) {
  if (JsonOutput_)
    Out_ << Body << "\n";
  switch (Verdict.Kind) {
  case VerdictKind::Accepted:
    if (!JsonOutput_) {
      if (Arguments_.Command == "apply")
        Out_ << "accepted as version " << Verdict.Version << "\n";
      else
        Out_ << "would be accepted\n";
    }
    return CtlExitCode::Success;
  case VerdictKind::Conflict:
    Err_ << "hickoryctl: " << Verdict.Object << " was changed in the meantime; "
         << (Verdict.Version == 0
                 ? std::string("it does not exist any more")
                 : fmt::format("it is at version {} now", Verdict.Version))
         << ". Compare with hickoryctl diff, then apply again\n";
    return CtlExitCode::Conflict;
  case VerdictKind::Rejected:
    break;
  }
  for (const std::string &Text : Verdict.Errors)
    Err_ << "hickoryctl: " << Text << "\n";
  return CtlExitCode::Rejected;
}

CtlExitCode CtlSession::reportOutcome(const Json &Body) {
  printBody(Body);
  const std::string Outcome = parseFinalOutcome(Body);
  if (Outcome == "completed")
    return CtlExitCode::Success;
  Err_ << "hickoryctl: the outcome is " << Outcome << "\n";
  if (Outcome == "not_run")
    return CtlExitCode::NotRun;
  return Outcome == "unknown" ? CtlExitCode::Unknown : CtlExitCode::Failed;
}

void CtlSession::printBody(const Json &Body) {
  if (JsonOutput_)
    Out_ << Body.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
  else if (!Body.is_null())
    Out_ << formatTables(Body);
}

} // namespace hickory
