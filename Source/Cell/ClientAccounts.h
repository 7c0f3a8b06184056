#pragma once

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Base/TimerService.h"
#include "Cell/CellConfiguration.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hickory {

/// Authenticates clients by the API keys of the configuration in force.
///
/// Keys are looked up by their SHA-256 digest, so the time of a lookup depends
/// neither on how much of a key is right nor, beyond a constant, on the number
/// of accounts.
class ClientAccounts {
public:
  /// Scheme of the Authorization header, which is compared without case.
  static constexpr std::string_view Scheme = "Token";
  /// Longest key in bytes.
  static constexpr std::size_t MaximumKeyLength = 1024;
  /// Accounts that have a metric of their own. The others are counted together,
  /// so that the number of metrics has a bound.
  static constexpr std::size_t MaximumCountedNames = 64;

  ClientAccounts(TimerService &Timers, EventLog &Events, Metrics &Counters)
      : Timers_(Timers), Events_(Events), Metrics_(Counters) {}

  /// Replaces all accounts and keys by those of the configuration.
  void update(const CellConfiguration &Configuration);

  /// Returns false if the configuration has no accounts: no call needs a key.
  [[nodiscard]] bool isRequired() const { return Required_; }
  /// Returns the name of the account whose key the value of an Authorization
  /// header contains; null if there is none. Valid until update().
  [[nodiscard]] const std::string *
  authenticate(std::string_view Authorization) const;

  /// Counts a call that was refused for its key, and logs it without the key.
  void countUnauthorized(const std::string &Queue,
                         std::string_view Authorization);
  /// Counts a call of the account by the status of its response.
  void countRequest(const std::string &Account, int Status);

  [[nodiscard]] std::size_t accounts() const { return Names_.size(); }
  [[nodiscard]] std::size_t keys() const { return ByDigest_.size(); }

private:
  /// A digest is uniformly distributed, so a part of it serves as hash.
  struct DigestHash {
    std::size_t operator()(const std::string &Digest) const;
  };

  TimerService &Timers_;
  EventLog &Events_;
  Metrics &Metrics_;
  bool Required_ = false;
  std::vector<std::string> Names_;
  /// Index in Names_ by the digest of the key.
  std::unordered_map<std::string, std::size_t, DigestHash> ByDigest_;
  /// Accounts that have a metric. Names are never removed from the metrics, so
  /// they stay here if the configuration no longer lists them.
  std::set<std::string> CountedNames_;
  /// Start of the second in which LoggedInSecond_ events were logged.
  Clock::time_point SecondStart_{};
  int LoggedInSecond_ = 0;
};

} // namespace hickory
