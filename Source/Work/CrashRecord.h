#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hickory {

/// The runs of a task, or of a gang as a whole, under which workers have
/// crashed.
class CrashRecord {
public:
  [[nodiscard]] bool empty() const {
    return BlamedRuns_.empty() && SuspectedRuns_.empty();
  }
  /// Records a crash under a run. Run identifies the run among all of the task;
  /// its number alone does not, as successive owners may use the same one.
  /// Blamed: only the run's job can be the cause. Returns false if the run was
  /// recorded before, as its end may be reported more than once.
  bool add(const std::string &Run, bool Blamed);
  void clear();
  /// Returns true if the task must not be started again.
  [[nodiscard]] bool isConclusive() const;

  [[nodiscard]] nlohmann::json toJson() const;
  /// Restores the result of toJson(). Throws nlohmann::json::exception if it
  /// has another format.
  static CrashRecord fromJson(const nlohmann::json &Stored);

private:
  std::vector<std::string> BlamedRuns_;    ///< Only their job can be the cause.
  std::vector<std::string> SuspectedRuns_; ///< Other jobs may be the cause too.
};

} // namespace hickory
