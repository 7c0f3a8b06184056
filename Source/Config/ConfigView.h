#pragma once

#include "Base/Error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// How a job class keeps accepted work.
enum class Acceptance {
  Logged,      ///< Recorded in the log before the caller is told.
  Synchronous, ///< Answered within the call; nothing is kept.
};

enum class WorkKind { Batch, Service, Gang, Request };

/// A job class with its policy resolved; what the scheduler needs to know to
/// handle one piece of work.
struct JobClassConfig {
  std::string Name;
  std::string Member; ///< Empty: any member may use it.
  std::string Pool;
  WorkKind Kind = WorkKind::Batch;
  Acceptance Accept = Acceptance::Logged;
  bool NonRepeatable = false;
  std::uint32_t Priority =
      100; ///< Higher is more urgent; 1000 and up is urgent.
  std::uint32_t MaximumAttempts = 3;
  std::chrono::milliseconds DefaultTimeout{10000};
  std::chrono::milliseconds MaximumWait{0}; ///< 0: no bound on queueing.
  std::string Policy;                       ///< Where the values come from.
};

struct PoolConfig {
  std::string Name;
  std::vector<std::string> FailureDomains; ///< Empty: all.
  /// Declared capacity; the sum of the quotas of the pool stays within it.
  /// Without it quotas are not bounded.
  bool HasCapacity = false;
  std::uint64_t CpusMilli = 0;
  std::uint64_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
};

struct QuotaConfig {
  std::string Name;
  std::string Member;
  std::string Team; ///< Empty: the whole member.
  std::string Pool;
  std::uint64_t CpusMilli =
      0; ///< Entitled share; idle capacity may be borrowed.
  std::uint64_t MemoryMb = 0;
  std::uint32_t Accelerators = 0;
};

/// The configuration in force on this instance.
class ConfigView {
public:
  virtual ~ConfigView() = default;
  /// Number of accepted change sets applied; 0 before the first.
  [[nodiscard]] virtual std::uint64_t version() const = 0;
  [[nodiscard]] virtual std::optional<JobClassConfig>
  jobClass(const std::string &Name) const = 0;
  [[nodiscard]] virtual std::optional<PoolConfig>
  pool(const std::string &Name) const = 0;
  [[nodiscard]] virtual bool hasMember(const std::string &Name) const = 0;
  [[nodiscard]] virtual std::vector<QuotaConfig> quotas() const = 0;
};

} // namespace hickory
