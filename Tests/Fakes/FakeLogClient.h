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
  /// Probability that an append takes effect but returns ErrorCode::Timeout.
  double LostReplyProbability = 0;
  /// Duration of a call.
  Clock::duration Latency{0};
  /// Number of entries kept per stream; 0 keeps all.
  std::size_t Retention = 0;
};

/// A log service in memory with faults that the test switches on.
class FakeLogClient final : public LogClient {
public:
  explicit FakeLogClient(TimerService &Timers, FakeLogOptions Options = {})
      : Options(Options), Timers_(Timers), Random_(Options.Seed) {}

  FakeLogOptions Options; ///< Can be changed at any time.
  /// If set, every call fails with it and has no effect.
  std::optional<Error> Outage;
  /// While true, appends are held back until releaseAppends() is called.
  bool HoldAppends = false;
  int AppendCalls = 0; ///< Calls of append().
  int ReadCalls = 0;   ///< Calls of read().

  void makeUnavailable() {
    Outage = Error{ErrorCode::Unavailable, "fake log service is down"};
  }
  void makeAvailable() { Outage.reset(); }

  void releaseAppends() {
    HoldAppends = false;
    HeldAppends_.wakeAll();
  }

  /// Appends an entry without a call of append(), for example one of another
  /// writer. Returns its offset.
  std::uint64_t put(const std::string &Stream, std::string Payload) {
    StoredStream &Stored = Streams_[Stream];
    Stored.Entries.push_back(std::move(Payload));
    while (Options.Retention != 0 &&
           Stored.Entries.size() > Options.Retention) {
      Stored.Entries.pop_front();
      ++Stored.Earliest;
    }
    Stored.Readers.wakeAll();
    return Stored.end() - 1;
  }

  /// Drops the entries before Offset.
  void dropBefore(const std::string &Stream, std::uint64_t Offset) {
    StoredStream &Stored = Streams_[Stream];
    while (!Stored.Entries.empty() && Stored.Earliest < Offset) {
      Stored.Entries.pop_front();
      ++Stored.Earliest;
    }
  }

  /// The offset after the last entry.
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
      co_await HeldAppends_.wait(Timers_, std::nullopt);
    if (Options.Latency > Clock::duration(0))
      co_await Timers_.sleepFor(Options.Latency);
    if (Outage)
      co_return tl::unexpected<Error>(*Outage);
    if (Random_.unit() < Options.LostRequestProbability)
      co_return fail(ErrorCode::Timeout, "fake log service lost the request");
    const std::uint64_t Offset = put(Stream, std::move(Payload));
    if (Random_.unit() < Options.LostReplyProbability)
      co_return fail(ErrorCode::Timeout, "fake log service lost the answer");
    co_return Offset;
  }

  asio::awaitable<Result<LogPage>> read(std::string Stream,
                                        LogReadOptions ReadOptions) override {
    ++ReadCalls;
    if (Options.Latency > Clock::duration(0))
      co_await Timers_.sleepFor(Options.Latency);
    if (!Outage && ReadOptions.From >= Streams_[Stream].end() &&
        ReadOptions.Wait > std::chrono::milliseconds(0))
      co_await Streams_[Stream].Readers.wait(Timers_, ReadOptions.Wait);
    if (Outage)
      co_return tl::unexpected<Error>(*Outage);
    const StoredStream &Stored = Streams_[Stream];
    LogPage Page;
    Page.Earliest = Stored.Earliest;
    Page.Next =
        std::min(std::max(ReadOptions.From, Stored.Earliest), Stored.end());
    while (Page.Next < Stored.end() &&
           Page.Entries.size() < ReadOptions.Maximum) {
      Page.Entries.push_back(
          LogEntry{Page.Next, Stored.Entries[Page.Next - Stored.Earliest]});
      ++Page.Next;
    }
    co_return Page;
  }

private:
  struct StoredStream {
    [[nodiscard]] std::uint64_t end() const {
      return Earliest + Entries.size();
    }
    std::uint64_t Earliest = 0;
    std::deque<std::string> Entries;
    WaiterList Readers;
  };

  TimerService &Timers_;
  Random Random_;
  std::map<std::string, StoredStream> Streams_;
  WaiterList HeldAppends_;
};

} // namespace hickory
