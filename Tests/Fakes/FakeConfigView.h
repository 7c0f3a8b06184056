#pragma once

#include "Config/ConfigView.h"

#include <map>

namespace hickory {

/// A configuration with the job classes and pools that the test sets. Every
/// member exists, and there are no quotas.
class FakeConfigView final : public ConfigView {
public:
  std::map<std::string, JobClassConfig> Classes;
  std::map<std::string, PoolConfig> Pools;

  [[nodiscard]] std::uint64_t version() const override { return 1; }
  [[nodiscard]] std::optional<JobClassConfig>
  jobClass(const std::string &Name) const override {
    const auto It = Classes.find(Name);
    if (It == Classes.end())
      return std::nullopt;
    return It->second;
  }
  [[nodiscard]] std::optional<PoolConfig>
  pool(const std::string &Name) const override {
    const auto It = Pools.find(Name);
    if (It == Pools.end())
      return std::nullopt;
    return It->second;
  }
  [[nodiscard]] bool hasMember(const std::string & /*Name*/) const override {
    return true;
  }
  [[nodiscard]] std::vector<QuotaConfig> quotas() const override { return {}; }
};

} // namespace hickory
