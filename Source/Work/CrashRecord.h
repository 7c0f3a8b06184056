#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hickory {

/// What is known of a crash of the worker that executed a run.
enum class CrashEvidence {
  Possible, ///< The worker may have crashed, or before the run has begun.
  Certain,  ///< The worker has crashed; other jobs may be the cause too.
  Blamed, ///< The worker has crashed, and only the run's job can be the cause.
};

/// The runs of a task under which workers have crashed.
class CrashRecord {
public:
  [[nodiscard]] bool empty() const { return Crashes_.empty(); }
  /// Records a crash under the run. Returns false if at least as much was known
  /// of it, as a crash may be reported more than once.
  bool add(int Run, const std::string &Worker, CrashEvidence Evidence);
  /// Removes a possible crash that has turned out not to be one. Returns false
  /// if there is none.
  bool retract(int Run, const std::string &Worker);
  void clear() { Crashes_.clear(); }
  /// Returns true if the task must not be started again.
  [[nodiscard]] bool isConclusive() const;

  [[nodiscard]] nlohmann::json toJson() const;
  /// Restores the result of toJson(). Throws nlohmann::json::exception if it
  /// has another format.
  static CrashRecord fromJson(const nlohmann::json &Stored);

private:
  struct Crash {
    int Run = 0; ///< Not unique, as successive owners may use the same number.
    std::string Worker;
    CrashEvidence Evidence = CrashEvidence::Possible;
  };
  [[nodiscard]] std::size_t countWith(CrashEvidence Minimum) const;

  std::vector<Crash> Crashes_;
};

} // namespace hickory
