#pragma once

#include "Backends/Capacity.h"
#include "Base/Component.h"
#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/Notifier.h"
#include "Base/TimerService.h"
#include "Http/HttpClient.h"
#include "Membership/OwnershipView.h"

#include <asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

enum class UpstreamKind { Worker, Executor };

/// A worker or executor as the platform's list describes it.
struct Upstream {
  std::string Name;
  UpstreamKind Kind = UpstreamKind::Worker;
  std::string Address; ///< "ip:port"
  std::string Rack;
  std::string FailureDomain;
  /// No new work: the list says so, the upstream says so, or it is missing
  /// from a newer list.
  bool Leaving = false;
  Capacity Total;                ///< Workers only.
  std::uint32_t Slots = 0;       ///< Executors only: requests run at once.
  std::uint32_t Connections = 0; ///< Executors only: connections at once.

  friend bool operator==(const Upstream &, const Upstream &) = default;
};

struct InstanceListOptions {
  std::string Url;           ///< Complete URL of the list document.
  std::string FailureDomain; ///< Only its upstreams are kept.
  std::chrono::milliseconds PollPeriod{1000};
  std::chrono::milliseconds Timeout{1500};
  /// A list older than the last good one is accepted after it was seen this
  /// many times in a row, because the platform may restart its numbering.
  int OlderListsUntilAccepted = 30;
  /// How long an upstream that is missing from the list is still known. Its
  /// tasks may run on, and a successor must read its state.
  std::chrono::hours MissingRetention{24};
};

/// Follows the platform's list of upstreams in this failure domain. Keeps the
/// last good list while the platform's one is stale or cannot be read.
class InstanceList final : public Component {
public:
  InstanceList(InstanceListOptions Options, asio::any_io_executor Executor,
               TimerService &Timers, HttpClient &Client,
               OwnershipView &Ownership, Metrics &Counters, EventLog &Events);

  [[nodiscard]] std::string_view name() const override { return "list"; }
  asio::awaitable<Result<void>> run() override;
  void stop() override;

  /// Applies one list document; public so that tests need no network.
  Result<void> apply(const std::string &Document);

  /// Empty if the upstream is not known.
  [[nodiscard]] std::optional<Upstream> find(const std::string &Name) const;
  /// All upstreams of a rack, also leaving and missing ones.
  [[nodiscard]] std::vector<Upstream> inRack(const std::string &Rack) const;
  [[nodiscard]] std::vector<std::string> racks() const;
  [[nodiscard]] std::vector<Upstream> all() const;
  [[nodiscard]] std::uint64_t version() const { return Version_; }
  /// When the first good list was read; empty before.
  [[nodiscard]] std::optional<Clock::time_point> knownSince() const {
    return KnownSince_;
  }
  /// When the list was last read successfully; empty before.
  [[nodiscard]] std::optional<Clock::time_point> lastGood() const {
    return LastGood_;
  }

  /// An upstream's own answer said that it is leaving, or that it is not
  /// (any more); its own word counts before the list, which lags.
  void setSaidLeaving(const std::string &Name, bool Leaving);

  /// Called after upstreams were added, changed or started to leave.
  [[nodiscard]] Subscription subscribe(std::function<void()> Callback);

private:
  struct Entry {
    Upstream Listed;
    bool SaidLeaving = false;
    std::optional<Clock::time_point> MissingSince;
  };

  static Upstream merged(const Entry &Known);
  [[nodiscard]] std::string requestUrl() const;
  asio::awaitable<void> poll();
  void notify();

  InstanceListOptions Options_;
  asio::any_io_executor Executor_;
  TimerService &Timers_;
  HttpClient &Client_;
  OwnershipView &Ownership_;
  Metrics &Counters_;
  EventLog &Events_;
  Notifier Wake_;
  bool Stopped_ = false;
  std::map<std::string, Entry> Entries_;
  std::uint64_t Version_ = 0;
  int OlderLists_ = 0;
  bool Down_ = false;
  std::optional<Clock::time_point> KnownSince_;
  std::optional<Clock::time_point> LastGood_;
  std::vector<std::string> Racks_;
  std::uint64_t NextSubscriber_ = 0;
  /// Shared, so that a subscription that outlives the list does no harm.
  std::shared_ptr<std::map<std::uint64_t, std::function<void()>>> Subscribers_;
};

} // namespace hickory
