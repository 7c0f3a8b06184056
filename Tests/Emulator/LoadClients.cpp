#include "Emulator/LoadClients.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <cmath>
#include <fmt/format.h>

namespace hickory::emulator {

namespace {

constexpr std::chrono::milliseconds CallTimeout{4000};
constexpr std::chrono::milliseconds PollPeriod{150};
constexpr std::chrono::milliseconds RetryDelay{200};
constexpr int MaximumTries = 12;
constexpr int MaximumFinalPolls = 8;
constexpr std::uint64_t MaximumCancelDelayMs = 600;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }
bool isUnanswered(int Status) {
  return Status == 0 || Status == 502 || Status == 504;
}
double millisecondsBetween(Clock::time_point From, Clock::time_point Now) {
  return std::chrono::duration<double, std::milli>(Now - From).count();
}

} // namespace

asio::awaitable<void> LoadClients::run() {
  const auto Seconds = [](double Value) {
    return std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Value));
  };
  SubmitDeadline_ = Timers_.now() + Seconds(Settings_.Seconds);
  FinishDeadline_ = SubmitDeadline_ + Seconds(Settings_.FinishSeconds);
  for (const JobKind &Kind : Settings_.Kinds) {
    ++ActiveCoroutines_;
    asio::co_spawn(Executor_, submitJobs(Kind), asio::detached);
  }
  while (ActiveCoroutines_ > 0)
    co_await Timers_.sleepFor(PollPeriod);
}

void LoadClients::recordEvent(json Event) {
  Event["wall_us"] = wallMicroseconds();
  HistoryFile_.append(Event);
  History_.push_back(std::move(Event));
}

void LoadClients::recordEvent(const std::string &Event, const std::string &Id,
                              const CallResult &Result) {
  recordEvent({{"event", Event},
               {"job", Id},
               {"status", Result.Status},
               {"state", Result.State},
               {"sent_us", Result.SentUs}});
}

asio::awaitable<void> LoadClients::submitJobs(const JobKind &Kind) {
  for (;;) {
    const double DelaySeconds = -std::log(1 - Random_.unit()) / Kind.PerSecond;
    co_await Timers_.sleepFor(std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(DelaySeconds)));
    if (Timers_.now() >= SubmitDeadline_)
      break;
    ++ActiveCoroutines_;
    asio::co_spawn(Executor_, runJob(Kind), asio::detached);
  }
  --ActiveCoroutines_;
}

asio::awaitable<void> LoadClients::runJob(const JobKind &Kind) {
  const std::string Id = fmt::format("{:016x}", Random_.next());
  const bool ShouldCancel = Random_.unit() < Kind.CancelShare;
  // Draws no number for other kinds, so that their seeds give the same jobs.
  const bool CrashesWorkers =
      Kind.CrashShare > 0 && Random_.unit() < Kind.CrashShare;
  const auto SubmittedAt = Timers_.now();
  if (co_await submit(Kind, Id, CrashesWorkers)) {
    Results_[Kind.Name].AcceptLatenciesMs.push_back(
        millisecondsBetween(SubmittedAt, Timers_.now()));
    if (ShouldCancel)
      co_await cancel(Kind, Id);
    else
      co_await pollUntilEnded(Kind, Id, SubmittedAt);
  }
  --ActiveCoroutines_;
}

asio::awaitable<LoadClients::CallResult>
LoadClients::sendCall(std::string Method, const JobKind &Kind, std::string Id,
                      std::string Body) {
  const std::string &Address =
      GatewayAddresses_[Random_.below(GatewayAddresses_.size())];
  HttpClientRequest Request{
      .Method = std::move(Method),
      .Url = fmt::format("http://{}/{}/{}", Address, Kind.Queue, Id),
      .Body = std::move(Body),
      .Timeout = CallTimeout};
  Request.Headers.emplace_back("Host", Kind.Queue + ".example");
  CallResult Result{.SentUs = wallMicroseconds()};
  const auto Reply = co_await Client_.send(std::move(Request));
  if (!Reply)
    co_return Result;
  Result.Status = Reply->Status;
  const json Parsed = json::parse(Reply->Body, nullptr, false);
  if (Parsed.is_object())
    Result.State = Parsed.value("state", std::string());
  co_return Result;
}

asio::awaitable<bool> LoadClients::submit(const JobKind &Kind, std::string Id,
                                          bool CrashesWorkers) {
  JobKindResult &Totals = Results_[Kind.Name];
  ++Totals.Submitted;
  Totals.Crashing += CrashesWorkers ? 1 : 0;
  recordEvent({{"event", "submit"},
               {"job", Id},
               {"queue", Kind.Queue},
               {"steps", Kind.Steps},
               {"crashing", CrashesWorkers}});
  const std::string Body = json{
      {"spec", CrashesWorkers ? Kind.CrashingSpec : Kind.Spec},
      {"steps", Kind.Steps}}.dump();
  for (int Try = 0; Try < MaximumTries; ++Try) {
    const CallResult Result = co_await sendCall("POST", Kind, Id, Body);
    recordEvent("submitted", Id, Result);
    if (isSuccess(Result.Status)) {
      ++Totals.Accepted;
      co_return true;
    }
    if (!isUnanswered(Result.Status)) {
      ++Totals.Rejected;
      co_return false;
    }
    co_await Timers_.sleepFor(RetryDelay);
  }
  ++Totals.Unanswered;
  co_return false;
}

asio::awaitable<void> LoadClients::cancel(const JobKind &Kind, std::string Id) {
  co_await Timers_.sleepFor(
      std::chrono::milliseconds(Random_.below(MaximumCancelDelayMs)));
  recordEvent({{"event", "cancel"}, {"job", Id}});
  for (int Try = 0; Try < MaximumTries; ++Try) {
    const CallResult Result = co_await sendCall("DELETE", Kind, Id, "");
    recordEvent("cancelled", Id, Result);
    if (isSuccess(Result.Status) || Result.Status == 410)
      break;
    co_await Timers_.sleepFor(RetryDelay);
  }
  ++Results_[Kind.Name].Cancelled;
}

asio::awaitable<void>
LoadClients::pollUntilEnded(const JobKind &Kind, std::string Id,
                            Clock::time_point SubmittedAt) {
  JobKindResult &Totals = Results_[Kind.Name];
  int FinalPollsLeft = MaximumFinalPolls;
  CallResult Latest;
  for (;;) {
    co_await Timers_.sleepFor(PollPeriod);
    Latest = co_await sendCall("GET", Kind, Id, "");
    if (Latest.State == "completed" || Latest.State == "failed")
      break;
    if (Latest.Status == 410 || Latest.State == "cancelled")
      recordEvent("state", Id, Latest);
    if (Timers_.now() >= FinishDeadline_ &&
        (Latest.Status == 200 || --FinalPollsLeft == 0))
      break;
  }
  recordEvent("last_state", Id, Latest);
  if (Latest.State == "completed") {
    ++Totals.Completed;
    Totals.CompletionLatenciesMs.push_back(
        millisecondsBetween(SubmittedAt, Timers_.now()));
  } else if (Latest.State == "failed") {
    ++Totals.Failed;
  }
}

} // namespace hickory::emulator
