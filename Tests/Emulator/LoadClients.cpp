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
constexpr int MostTries = 12;
constexpr int LastTries = 8;
constexpr std::uint64_t LongestCancelDelayMs = 600;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }
bool isNoAnswer(int Status) {
  return Status == 0 || Status == 502 || Status == 504;
}
double msSince(Clock::time_point From, Clock::time_point Now) {
  return std::chrono::duration<double, std::milli>(Now - From).count();
}

} // namespace

asio::awaitable<void> LoadClients::run() {
  const auto Seconds = [](double Value) {
    return std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Value));
  };
  SendUntil_ = Timers_.now() + Seconds(Settings_.Seconds);
  FinishUntil_ = SendUntil_ + Seconds(Settings_.FinishSeconds);
  for (const JobKind &Kind : Settings_.Kinds) {
    ++Open_;
    asio::co_spawn(Executor_, sendKind(Kind), asio::detached);
  }
  while (Open_ > 0)
    co_await Timers_.sleepFor(PollPeriod);
}

void LoadClients::note(json Event) {
  Event["wall_us"] = wallMicroseconds();
  File_.append(Event);
  History_.push_back(std::move(Event));
}

void LoadClients::note(const std::string &Event, const std::string &Id,
                       const Call &Answer) {
  note({{"event", Event},
        {"job", Id},
        {"status", Answer.Status},
        {"state", Answer.State},
        {"sent_us", Answer.SentUs}});
}

asio::awaitable<void> LoadClients::sendKind(const JobKind &Kind) {
  for (;;) {
    const double Gap = -std::log(1 - Source_.unit()) / Kind.PerSecond;
    co_await Timers_.sleepFor(std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Gap)));
    if (Timers_.now() >= SendUntil_)
      break;
    ++Open_;
    asio::co_spawn(Executor_, runJob(Kind), asio::detached);
  }
  --Open_;
}

asio::awaitable<void> LoadClients::runJob(const JobKind &Kind) {
  const std::string Id = fmt::format("{:016x}", Source_.next());
  const bool Cancels = Source_.unit() < Kind.CancelShare;
  const auto SentAt = Timers_.now();
  if (co_await submit(Kind, Id)) {
    Results_[Kind.Name].AcceptMs.push_back(msSince(SentAt, Timers_.now()));
    if (Cancels)
      co_await cancel(Kind, Id);
    else
      co_await follow(Kind, Id, SentAt);
  }
  --Open_;
}

asio::awaitable<LoadClients::Call> LoadClients::call(std::string Method,
                                                     const JobKind &Kind,
                                                     std::string Id,
                                                     std::string Body) {
  const std::string &Front = Fronts_[Source_.below(Fronts_.size())];
  HttpClientRequest Request{
      .Method = std::move(Method),
      .Url = fmt::format("http://{}/{}/{}", Front, Kind.Queue, Id),
      .Body = std::move(Body),
      .Timeout = CallTimeout};
  Request.Headers.emplace_back("Host", Kind.Queue + ".example");
  Call Made{.SentUs = wallMicroseconds()};
  const auto Reply = co_await Client_.send(std::move(Request));
  if (!Reply)
    co_return Made;
  Made.Status = Reply->Status;
  const json Parsed = json::parse(Reply->Body, nullptr, false);
  if (Parsed.is_object())
    Made.State = Parsed.value("state", std::string());
  co_return Made;
}

asio::awaitable<bool> LoadClients::submit(const JobKind &Kind, std::string Id) {
  KindResult &Result = Results_[Kind.Name];
  ++Result.Sent;
  note({{"event", "submit"},
        {"job", Id},
        {"queue", Kind.Queue},
        {"steps", Kind.Steps}});
  const std::string Body =
      json{{"spec", Kind.Spec}, {"steps", Kind.Steps}}.dump();
  for (int Try = 0; Try < MostTries; ++Try) {
    const Call Answer = co_await call("POST", Kind, Id, Body);
    note("submitted", Id, Answer);
    if (isSuccess(Answer.Status)) {
      ++Result.Accepted;
      co_return true;
    }
    if (!isNoAnswer(Answer.Status)) {
      ++Result.Refused;
      co_return false;
    }
    co_await Timers_.sleepFor(RetryDelay);
  }
  ++Result.Unanswered;
  co_return false;
}

asio::awaitable<void> LoadClients::cancel(const JobKind &Kind, std::string Id) {
  co_await Timers_.sleepFor(
      std::chrono::milliseconds(Source_.below(LongestCancelDelayMs)));
  note({{"event", "cancel"}, {"job", Id}});
  for (int Try = 0; Try < MostTries; ++Try) {
    const Call Answer = co_await call("DELETE", Kind, Id, "");
    note("cancelled", Id, Answer);
    if (isSuccess(Answer.Status) || Answer.Status == 410)
      break;
    co_await Timers_.sleepFor(RetryDelay);
  }
  ++Results_[Kind.Name].Cancelled;
}

asio::awaitable<void> LoadClients::follow(const JobKind &Kind, std::string Id,
                                          Clock::time_point SentAt) {
  KindResult &Result = Results_[Kind.Name];
  int TriesLeft = LastTries;
  Call Seen;
  for (;;) {
    co_await Timers_.sleepFor(PollPeriod);
    Seen = co_await call("GET", Kind, Id, "");
    if (Seen.State == "completed" || Seen.State == "failed")
      break;
    if (Seen.Status == 410 || Seen.State == "cancelled")
      note("state", Id, Seen);
    if (Timers_.now() >= FinishUntil_ &&
        (Seen.Status == 200 || --TriesLeft == 0))
      break;
  }
  note("last_state", Id, Seen);
  if (Seen.State == "completed") {
    ++Result.Completed;
    Result.CompleteMs.push_back(msSince(SentAt, Timers_.now()));
  } else if (Seen.State == "failed") {
    ++Result.Failed;
  }
}

} // namespace hickory::emulator
