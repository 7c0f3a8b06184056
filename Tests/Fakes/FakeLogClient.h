#pragma once

#include "Base/Random.h"
#include "Base/TimerService.h"
#include "Log/LogClient.h"
#include "Support/WaiterList.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

namespace hickory {

struct FakeLogOptions {
  std::uint64_t Seed = 1;
  /// Probability that an append fails without effect.
  double LostRequestProbability = 0;
  /// Probability that an append takes effect, but the caller is told Timeout.
  double LostReplyProbability = 0;
  /// How long a call takes.
  Clock::duration Latency{0};
  /// Entries kept per stream; 0 keeps all.
  std::size_t Retention = 0;
};

/// The log service in memory, with switches for its faults.
class FakeLogClient final : public LogClient {
public:
  explicit FakeLogClient(TimerService &Timers, FakeLogOptions Options = {})
      : Options(Options), Timers_(Timers), Numbers_(Options.Seed) {}

  FakeLogOptions Options; ///< May be changed at any time.
  /// If set, every call fails with it and has no effect.
  std::optional<Error> Outage;
  /// While true, appends take effect only once it is false and
  /// releaseAppends() is called.
  bool HoldAppends = false;
  int AppendCalls = 0; ///< Calls of append().
  int ReadCalls = 0;   ///< Calls of read().

  void makeUnavailable() {
    Outage = Error{ErrorCode::Unavailable, "fake log service is down"};
  }
  void makeAvailable() { Outage.reset(); }

  void releaseAppends() {
    HoldAppends = false;
    Held_.wakeAll();
  }

  /// AppendCalls without a call, for example what another writer wrote.
  std::uint64_t put(const std::string &Stream, std::string Payload) {
    Content &To = Streams_[Stream];
    To.Entries.push_back(std::move(Payload));
    while (Options.Retention != 0 && To.Entries.size() > Options.Retention) {
      To.Entries.pop_front();
      ++To.Earliest;
    }
    To.Waiting.wakeAll();
    return To.end() - 1;
  }

  /// Drops the oldest entries up to, not including, Offset.
  void dropBefore(const std::string &Stream, std::uint64_t Offset) {
    Content &From = Streams_[Stream];
    while (!From.Entries.empty() && From.Earliest < Offset) {
      From.Entries.pop_front();
      ++From.Earliest;
    }
  }

  [[nodiscard]] std::uint64_t end(const std::string &Stream) const {
    const auto It = Streams_.find(Stream);
    return It == Streams_.end() ? 0 : It->second.end();
  }
  /// The retained payloads.
  [[nodiscard]] std::deque<std::string>
  entries(const std::string &Stream) const {
    const auto It = Streams_.find(Stream);
    return It == Streams_.end() ? std::deque<std::string>()
                                : It->second.Entries;
  }

  asio::awaitable<Result<std::uint64_t>> append(std::string Stream,
                                                std::string Payload) override {
    ++AppendCalls;
    if (HoldAppends)
      co_await Held_.wait(Timers_, std::nullopt);
    if (Options.Latency > Clock::duration(0))
      co_await Timers_.sleepFor(Options.Latency);
    if (Outage)
      co_return tl::unexpected<Error>(*Outage);
    if (Numbers_.unit() < Options.LostRequestProbability)
      co_return fail(ErrorCode::Timeout, "fake log service lost the request");
    const std::uint64_t Offset = put(Stream, std::move(Payload));
    if (Numbers_.unit() < Options.LostReplyProbability)
      co_return fail(ErrorCode::Timeout, "fake log service lost the answer");
    co_return Offset;
  }

  asio::awaitable<Result<LogPage>> read(std::string Stream,
                                        LogReadOptions Read) override {
    ++ReadCalls;
    if (Options.Latency > Clock::duration(0))
      co_await Timers_.sleepFor(Options.Latency);
    if (!Outage && Read.From >= Streams_[Stream].end() &&
        Read.Wait > std::chrono::milliseconds(0))
      co_await Streams_[Stream].Waiting.wait(Timers_, Read.Wait);
    if (Outage)
      co_return tl::unexpected<Error>(*Outage);
    const Content &From = Streams_[Stream];
    LogPage Page;
    Page.Earliest = From.Earliest;
    Page.Next = std::min(std::max(Read.From, From.Earliest), From.end());
    while (Page.Next < From.end() && Page.Entries.size() < Read.Maximum) {
      Page.Entries.push_back(
          LogEntry{Page.Next, From.Entries[Page.Next - From.Earliest]});
      ++Page.Next;
    }
    co_return Page;
  }

private:
  struct Content {
    [[nodiscard]] std::uint64_t end() const {
      return Earliest + Entries.size();
    }
    std::uint64_t Earliest = 0;
    std::deque<std::string> Entries;
    WaiterList Waiting;
  };

  TimerService &Timers_;
  Random Numbers_;
  std::map<std::string, Content> Streams_;
  WaiterList Held_;
};

} // namespace hickory
