#pragma once

#include "Config/ConfigObjects.h"

namespace hickory {

/// The configuration with every reference resolved.
struct ConfigTables {
  std::set<std::string> Members;
  std::map<std::string, PoolConfig> Pools;
  std::map<std::string, JobClassConfig> JobClasses;
  std::vector<QuotaConfig> Quotas; ///< Sorted by name.
};

/// Checks a whole set of objects against each other: names that do not exist,
/// cycles, and quotas that exceed the capacity of their pool. The result
/// depends on nothing but the objects, so that every instance reaches the same
/// verdict.
class ConfigValidator {
public:
  /// Removed names the objects that the change under check removes; only the
  /// text of errors depends on it.
  explicit ConfigValidator(const ConfigObjectMap &Objects,
                           std::set<ConfigObjectId> Removed = {});

  /// The resolved configuration, or all errors.
  tl::expected<ConfigTables, std::vector<std::string>> validate();

private:
  template <typename T>
  const T *find(const std::string &Kind, const std::string &Name) const;
  /// Reports a reference to an object that does not exist.
  bool refer(const ConfigObjectId &From, const std::string &Key,
             const std::string &Kind, const std::string &Name);
  void checkQuotas();
  void checkQuotaSums();
  void resolvePolicies();
  /// Policy with inherited values; follows the chain of Name.
  void resolvePolicy(const std::string &Name);
  void resolveJobClasses();

  const ConfigObjectMap &Objects_;
  std::set<ConfigObjectId> Removed_;
  std::map<std::string, PolicyObject> Policies_;
  ConfigTables Tables_;
  std::vector<std::string> Errors_;
};

} // namespace hickory
