#pragma once

#include "Base/TimerService.h"
#include "Config/CallbackList.h"
#include "Config/ConfigValidator.h"
#include "Config/ConfigVerdict.h"
#include "Config/ConfigView.h"
#include "Log/LogReader.h"

#include <deque>
#include <unordered_map>

namespace hickory {

/// The configuration as replayed from the `config` stream. Each change set is
/// judged against the state that the log prefix before it gives, so that all
/// instances agree without talking to each other. The state never goes back:
/// what is at or below the covered offset is ignored.
class ConfigState final : public ConfigView, public LogConsumer {
public:
  explicit ConfigState(TimerService &Timers) : Timers_(Timers) {}

  // ConfigView
  [[nodiscard]] std::uint64_t version() const override { return Version_; }
  [[nodiscard]] std::optional<JobClassConfig>
  jobClass(const std::string &Name) const override;
  [[nodiscard]] std::optional<PoolConfig>
  pool(const std::string &Name) const override;
  [[nodiscard]] bool hasMember(const std::string &Name) const override;
  [[nodiscard]] std::vector<QuotaConfig> quotas() const override;

  // LogConsumer
  void onBatch(std::uint64_t Offset,
               const records::RecordBatch &Batch) override;
  std::optional<std::uint64_t>
  loadSnapshot(const records::RecordBatch &Batch) override;
  void onCaughtUp(std::uint64_t Next) override;

  /// Replaces the state if the snapshot covers more than it; returns whether
  /// it did. A snapshot that is not a valid configuration is refused.
  bool load(const records::ConfigSnapshot &Snapshot);
  /// Empty before anything was replayed.
  [[nodiscard]] std::optional<records::ConfigSnapshot> save() const;

  /// Every record at an offset up to and including this one is contained.
  [[nodiscard]] std::optional<std::uint64_t> covered() const {
    return Covered_;
  }
  [[nodiscard]] bool caughtUp() const { return CaughtUp_; }

  /// Objects in force, sorted by kind and name.
  [[nodiscard]] std::vector<records::ConfigObject> objects() const;
  [[nodiscard]] std::vector<JobClassConfig> jobClasses() const;

  /// The verdict that a change set would get if it were the next record.
  [[nodiscard]] ConfigVerdict check(const records::ChangeSet &Changes) const;

  /// Verdict of a recent change set.
  [[nodiscard]] std::optional<ConfigVerdict>
  verdict(const std::string &Id) const;
  /// Waits until the change set was read back from the log. After Timeout the
  /// change set may still get a verdict later.
  asio::awaitable<Result<ConfigVerdict>> waitForVerdict(std::string Id,
                                                        Clock::duration Limit);

  /// Called with the version after each change of the configuration.
  [[nodiscard]] Subscription
  onVersion(std::function<void(std::uint64_t)> Callback) {
    return VersionCallbacks_.subscribe(std::move(Callback));
  }
  /// Called with each new verdict, also of change sets of other instances.
  [[nodiscard]] Subscription
  onVerdict(std::function<void(const ConfigVerdict &)> Callback) {
    return VerdictCallbacks_.subscribe(std::move(Callback));
  }

private:
  struct Evaluation;

  [[nodiscard]] std::uint64_t versionOf(const ConfigObjectId &Id) const;
  [[nodiscard]] Evaluation evaluate(const records::ChangeSet &Changes) const;
  void apply(const records::ChangeSet &Changes);
  void remember(ConfigVerdict Verdict);

  TimerService &Timers_;
  std::uint64_t Version_ = 0;
  std::optional<std::uint64_t> Covered_;
  bool CaughtUp_ = false;
  ConfigObjectMap Objects_;
  ConfigTables Tables_;
  std::unordered_map<std::string, ConfigVerdict> Verdicts_;
  std::deque<std::string> VerdictOrder_; ///< Oldest first.
  CallbackList<std::uint64_t> VersionCallbacks_;
  CallbackList<const ConfigVerdict &> VerdictCallbacks_;
};

} // namespace hickory
