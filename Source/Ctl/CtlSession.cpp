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

// The server waits for the outcome within the given timeout; its answer needs
// some time on the way.
constexpr milliseconds AnswerMargin{2000};

std::string randomText() {
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

/// The outcome of a job or request, or an empty text while it is pending.
std::string outcomeOf(const Json &Body) {
  static const std::set<std::string> Final = {"completed", "failed", "not_run",
                                              "unknown", "cancelled"};
  for (const char *Field : {"outcome", "state"})
    if (const std::string Value = textField(Body, Field); Final.contains(Value))
      return Value;
  return {};
}

} // namespace

CtlSession::CtlSession(HttpClient &Http, TimerService &Timers,
                       std::ostream &Out, std::ostream &Err)
    : Http_(Http), Timers_(Timers), Out_(Out), Err_(Err) {}

asio::awaitable<CtlExit> CtlSession::run(std::vector<std::string> Words) {
  Result<CtlArguments> Parsed = parseCtlArguments(Words);
  if (!Parsed)
    co_return usage(Parsed.error().Message);
  Arguments_ = std::move(*Parsed);
  if (!Arguments_.Help.empty()) {
    Out_ << Arguments_.Help;
    co_return CtlExit::Success;
  }
  Json_ = Arguments_.text("output") == "json";
  std::string List = Arguments_.text("server", "127.0.0.1:8080");
  for (std::size_t Start = 0; Start <= List.size();) {
    const std::size_t End = std::min(List.find(',', Start), List.size());
    const std::string Server = List.substr(Start, End - Start);
    if (const std::string Wanted = checkEndpoint(Server); !Wanted.empty())
      co_return usage(fmt::format("--server={}: {}", Server, Wanted));
    Servers_.push_back(Server);
    Start = End + 1;
  }
  co_return co_await dispatch();
}

asio::awaitable<CtlExit> CtlSession::dispatch() {
  using Handler = asio::awaitable<CtlExit> (CtlSession::*)();
  struct Entry {
    const char *Name;
    Handler Run;
  };
  static constexpr std::array<Entry, 8> Handlers = {{
      {"check", &CtlSession::check},
      {"apply", &CtlSession::apply},
      {"show", &CtlSession::show},
      {"diff", &CtlSession::diff},
      {"submit", &CtlSession::submit},
      {"watch", &CtlSession::watch},
      {"cancel", &CtlSession::cancel},
      {"drain", &CtlSession::drain},
  }};
  for (const Entry &Known : Handlers)
    if (Arguments_.Command == Known.Name)
      co_return co_await (this->*Known.Run)();
  co_return co_await list();
}

asio::awaitable<CtlExit> CtlSession::check() {
  if (Arguments_.has("offline"))
    co_return checkOffline();
  co_return co_await sendChangeSet(false);
}

asio::awaitable<CtlExit> CtlSession::apply() {
  co_return co_await sendChangeSet(true);
}

CtlExit CtlSession::checkOffline() {
  const auto Local = readConfigFiles(Arguments_.Rest.front());
  if (!Local)
    return report(Local.error());
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

asio::awaitable<CtlExit> CtlSession::sendChangeSet(bool Apply) {
  auto Local = readConfigFiles(Arguments_.Rest.front());
  if (!Local)
    co_return report(Local.error());
  if (Arguments_.has("based-on"))
    Local->BasedOn = Arguments_.number("based-on", 0);
  const auto InForce = co_await fetchConfig();
  if (!InForce)
    co_return report(InForce.error());
  const ConfigPlan Plan(*Local, *InForce, Arguments_.has("prune"));
  if (Plan.changes().empty()) {
    if (Json_)
      print({{"verdict", "unchanged"}, {"version", InForce->Version}});
    else
      Out_ << "no changes; version " << InForce->Version << " is in force\n";
    co_return CtlExit::Success;
  }
  const std::string Id =
      Arguments_.text("id", Apply ? "ctl-" + randomText() : std::string());
  const records::ChangeSet Changes =
      Plan.changeSet(Id, Arguments_.text("author", userName()));
  const auto Response =
      co_await call("POST", Apply ? "/v1/config/apply" : "/v1/config/check",
                    changeSetToJson(Changes), timeout());
  if (!Response) {
    const CtlExit Code = report(Response.error());
    if (Apply && Code == CtlExit::Unknown)
      Err_ << "hickoryctl: run the command again with --id=" << Id
           << " to learn whether the change was accepted\n";
    co_return Code;
  }
  const auto Verdict = verdictFromJson(Response->Body);
  if (!Verdict)
    co_return reportStatus(*Response);
  if (!Json_ && Verdict->Kind == VerdictKind::Accepted)
    Out_ << Plan.text();
  co_return reportVerdict(*Verdict, Response->Body);
}

asio::awaitable<CtlExit> CtlSession::show() {
  const auto InForce = co_await fetchConfig();
  if (!InForce)
    co_return report(InForce.error());
  const std::string Wanted =
      Arguments_.Rest.empty() ? std::string() : Arguments_.Rest.front();
  PublishedConfig Shown;
  Shown.Version = InForce->Version;
  std::map<ConfigObjectId, std::string> Objects;
  for (const records::ConfigObject &Object : InForce->Objects) {
    const ConfigObjectId Id{Object.kind(), Object.name()};
    if (!Wanted.empty() && Wanted != Id.Kind && Wanted != Id.text())
      continue;
    Objects.emplace(Id, Object.toml());
    Shown.Objects.push_back(Object);
  }
  if (Objects.empty() && !Wanted.empty()) {
    Err_ << "hickoryctl: no object \"" << Wanted
         << "\" is in force; see hickoryctl show\n";
    co_return CtlExit::NotFound;
  }
  if (Json_)
    Out_ << publishedConfigToJson(Shown) << "\n";
  else
    Out_ << formatConfigFile(Objects, InForce->Version);
  co_return CtlExit::Success;
}

asio::awaitable<CtlExit> CtlSession::diff() {
  const auto Local = readConfigFiles(Arguments_.Rest.front());
  if (!Local)
    co_return report(Local.error());
  const auto InForce = co_await fetchConfig();
  if (!InForce)
    co_return report(InForce.error());
  const ConfigPlan Plan(*Local, *InForce, Arguments_.has("prune"));
  if (Json_)
    Out_ << Plan.json() << "\n";
  else
    Out_ << Plan.text();
  co_return Plan.changes().empty() ? CtlExit::Success : CtlExit::Different;
}

asio::awaitable<CtlExit> CtlSession::submit() {
  const bool IsJob = Arguments_.has("job");
  if (IsJob == Arguments_.has("request"))
    co_return usage("write either --job or --request");
  for (const char *Name : {"member", "class"})
    if (Arguments_.text(Name).empty())
      co_return usage(fmt::format("--{}=NAME is missing", Name));
  const std::string Key = Arguments_.text("key", "ctl-" + randomText());
  Json Body = {{"key", Key},
               {"member", Arguments_.text("member")},
               {"class", Arguments_.text("class")}};
  if (Arguments_.has("team"))
    Body["team"] = Arguments_.text("team");
  if (IsJob) {
    Body["tasks"] = Arguments_.number("tasks", 1);
    Body["cpus_milli"] = Arguments_.number("cpus-milli", 1000);
    Body["memory_mb"] = Arguments_.number("memory-mb", 256);
    Body["accelerators"] = Arguments_.number("accelerators", 0);
    Body["run_ms"] = Arguments_.number("run-ms", 1000);
  } else {
    std::string Payload = Arguments_.text("payload");
    if (Arguments_.has("payload-file")) {
      auto Text = readTextFile(Arguments_.text("payload-file"));
      if (!Text)
        co_return report(Text.error());
      Payload = std::move(*Text);
    }
    Body["payload"] = std::move(Payload);
    Body["timeout_ms"] = timeout().count();
  }
  const std::string Text =
      Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  const auto Response =
      co_await call("POST", IsJob ? "/v1/jobs" : "/v1/requests", Text,
                    IsJob ? timeout() : timeout() + AnswerMargin);
  if (!Response) {
    const CtlExit Code = report(Response.error());
    if (Code == CtlExit::Unknown)
      Err_ << "hickoryctl: submit again with --key=" << Key
           << " to learn the outcome; it does not run twice\n";
    co_return Code;
  }
  const Json Answer = parseBody(Response->Body);
  if (!outcomeOf(Answer).empty())
    co_return reportOutcome(Answer);
  if (Response->Status >= 300)
    co_return reportStatus(*Response);
  if (IsJob && Arguments_.has("wait"))
    co_return co_await follow("/v1/jobs/" + percentEncode(Key));
  print(Answer);
  co_return CtlExit::Success;
}

asio::awaitable<CtlExit> CtlSession::watch() {
  const std::string Key = Arguments_.Rest.empty() ? Arguments_.text("key")
                                                  : Arguments_.Rest.front();
  if (Key.empty())
    co_return usage("write the key: hickoryctl watch KEY");
  co_return co_await follow(
      (Arguments_.has("request") ? "/v1/requests/" : "/v1/jobs/") +
      percentEncode(Key));
}

asio::awaitable<CtlExit> CtlSession::follow(std::string Path) {
  const milliseconds Interval =
      Arguments_.duration("interval-ms", milliseconds(500));
  // Without --timeout-ms it follows for as long as the work takes.
  const bool Limited = Arguments_.has("timeout-ms");
  const Clock::time_point End = Timers_.now() + timeout();
  std::string LastBody;
  while (true) {
    const auto Response = co_await call("GET", Path, "", timeout());
    if (!Response) {
      if (Limited && Timers_.now() < End) {
        co_await Timers_.sleepFor(Interval);
        continue;
      }
      co_return report(Response.error());
    }
    const Json Body = parseBody(Response->Body);
    if (!outcomeOf(Body).empty())
      co_return reportOutcome(Body);
    if (Response->Status >= 300)
      co_return reportStatus(*Response);
    if (Response->Body != LastBody)
      print(Body);
    LastBody = Response->Body;
    if (Limited && Timers_.now() >= End) {
      Err_ << "hickoryctl: no outcome within --timeout-ms; watch again with a "
              "longer time\n";
      co_return CtlExit::Unknown;
    }
    co_await Timers_.sleepFor(Interval);
  }
}

asio::awaitable<CtlExit> CtlSession::cancel() {
  std::vector<std::string> Keys = Arguments_.Rest;
  if (Arguments_.has("key"))
    Keys.push_back(Arguments_.text("key"));
  if (Keys.empty())
    co_return usage("write at least one key: hickoryctl cancel KEY...");
  const std::string Body =
      Json{{"keys", Keys}}.dump(-1, ' ', false, Json::error_handler_t::replace);
  const auto Response = co_await call("POST", "/v1/cancel", Body, timeout());
  if (!Response)
    co_return report(Response.error());
  if (Response->Status >= 300)
    co_return reportStatus(*Response);
  print(parseBody(Response->Body));
  co_return CtlExit::Success;
}

asio::awaitable<CtlExit> CtlSession::list() {
  const auto Response =
      co_await call("GET", "/v1/" + Arguments_.Command, "", timeout());
  if (!Response)
    co_return report(Response.error());
  if (Response->Status >= 300)
    co_return reportStatus(*Response);
  Json Body = parseBody(Response->Body);
  if (Arguments_.has("key")) {
    const std::string Key = Arguments_.text("key");
    const auto Filter = [&](Json &Rows) {
      Json Kept = Json::array();
      for (Json &Row : Rows)
        if (textField(Row, "key") == Key ||
            textField(Row, "task").starts_with(Key + "#"))
          Kept.push_back(std::move(Row));
      Rows = std::move(Kept);
    };
    if (Body.is_array())
      Filter(Body);
    else if (Body.is_object())
      for (auto &[Name, Field] : Body.items())
        if (Field.is_array())
          Filter(Field);
  }
  print(Body);
  co_return CtlExit::Success;
}

asio::awaitable<CtlExit> CtlSession::drain() {
  if (!Arguments_.has("server") || Servers_.size() != 1)
    co_return usage("drain stops one instance; name it with --server=IP:PORT");
  const auto Response = co_await call("POST", "/v1/drain", "", timeout());
  if (!Response)
    co_return report(Response.error());
  if (Response->Status >= 300)
    co_return reportStatus(*Response);
  print(parseBody(Response->Body));
  co_return CtlExit::Success;
}

asio::awaitable<Result<HttpClientResponse>>
CtlSession::call(std::string Method, std::string Path, std::string Body,
                 milliseconds Timeout) {
  Error Last;
  bool MayHaveHadEffect = false;
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    HttpClientRequest Request;
    Request.Method = Method;
    Request.Url = "http://" + Servers_[I] + Path;
    Request.Body = Body;
    Request.Timeout = Timeout;
    auto Response = co_await Http_.send(std::move(Request));
    if (Response) {
      // A draining instance answers 503; another one may accept the call.
      if (Response->Status == 503 && I + 1 < Servers_.size() &&
          outcomeOf(parseBody(Response->Body)).empty())
        continue;
      co_return std::move(*Response);
    }
    MayHaveHadEffect = MayHaveHadEffect || !Response.error().hadNoEffect();
    Last = Response.error();
    Last.Message = fmt::format("{}: {}", Servers_[I], Last.Message);
  }
  if (MayHaveHadEffect && Method != "GET")
    co_return fail(ErrorCode::Unavailable, Last.Message);
  co_return fail(ErrorCode::ConnectionRefused, Last.Message);
}

asio::awaitable<Result<PublishedConfig>> CtlSession::fetchConfig() {
  const auto Response = co_await call("GET", "/v1/config", "", timeout());
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
  return Arguments_.duration("timeout-ms", milliseconds(10000));
}

CtlExit CtlSession::usage(const std::string &Message) {
  Err_ << "hickoryctl: " << Message << "\n";
  return CtlExit::Usage;
}

CtlExit CtlSession::report(const Error &Failure) {
  Err_ << "hickoryctl: " << Failure.Message << "\n";
  switch (Failure.Code) {
  case ErrorCode::InvalidArgument:
  case ErrorCode::NotFound:
    return CtlExit::Usage;
  case ErrorCode::Conflict:
    return CtlExit::Conflict;
  case ErrorCode::ConnectionRefused:
  case ErrorCode::NotSent:
    Err_ << "hickoryctl: no server answered; name running instances with "
            "--server=IP:PORT[,IP:PORT]\n";
    return CtlExit::Unreachable;
  case ErrorCode::Unavailable:
  case ErrorCode::Timeout:
    Err_ << "hickoryctl: the command may have had an effect\n";
    return CtlExit::Unknown;
  case ErrorCode::Overloaded:
    return CtlExit::Overloaded;
  case ErrorCode::NotOwner:
  case ErrorCode::Cancelled:
  case ErrorCode::Internal:
    break;
  }
  return CtlExit::Internal;
}

CtlExit CtlSession::reportStatus(const HttpClientResponse &Response) {
  std::string Message = textField(parseBody(Response.Body), "message");
  if (Message.empty())
    Message = fmt::format("the server answered with status {} and no "
                          "explanation",
                          Response.Status);
  Err_ << "hickoryctl: " << Message << "\n";
  if (Response.RetryAfter.count() > 0)
    Err_ << "hickoryctl: try again in " << Response.RetryAfter.count()
         << " ms\n";
  if (Json_)
    Out_ << Response.Body << "\n";
  switch (Response.Status) {
  case 404:
    return CtlExit::NotFound;
  case 409:
    return CtlExit::Conflict;
  case 429:
  case 503:
    return CtlExit::Overloaded;
  case 504:
    return CtlExit::Unknown;
  default:
    return Response.Status >= 400 && Response.Status < 500 ? CtlExit::Usage
                                                           : CtlExit::Internal;
  }
}

CtlExit CtlSession::reportVerdict(const ConfigVerdict &Verdict,
                                  const std::string &Body) {
  if (Json_)
    Out_ << Body << "\n";
  switch (Verdict.Kind) {
  case VerdictKind::Accepted:
    if (!Json_) {
      if (Arguments_.Command == "apply")
        Out_ << "accepted as version " << Verdict.Version << "\n";
      else
        Out_ << "would be accepted\n";
    }
    return CtlExit::Success;
  case VerdictKind::Conflict:
    Err_ << "hickoryctl: " << Verdict.Object << " was changed first; "
         << (Verdict.Version == 0
                 ? std::string("it does not exist any more")
                 : fmt::format("it is at version {} now", Verdict.Version))
         << ". Compare with hickoryctl diff, then apply again\n";
    return CtlExit::Conflict;
  case VerdictKind::Rejected:
    break;
  }
  for (const std::string &Text : Verdict.Errors)
    Err_ << "hickoryctl: " << Text << "\n";
  return CtlExit::Rejected;
}

CtlExit CtlSession::reportOutcome(const Json &Body) {
  print(Body);
  const std::string Outcome = outcomeOf(Body);
  if (Outcome == "completed")
    return CtlExit::Success;
  Err_ << "hickoryctl: the outcome is " << Outcome << "\n";
  if (Outcome == "not_run")
    return CtlExit::NotRun;
  return Outcome == "unknown" ? CtlExit::Unknown : CtlExit::Failed;
}

void CtlSession::print(const Json &Body) {
  if (Json_)
    Out_ << Body.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
  else if (!Body.is_null())
    Out_ << formatTables(Body);
}

} // namespace hickory
