#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hickory {

/// The runs of a task, or of the members of a gang, under which workers have
/// crashed.
class CrashRecord {
public:
  [[nodiscard]] bool empty() const { return Crashes_.empty(); }
  /// Records that the worker has crashed under the run. Blamed: only the run's
  /// job can be the cause. Returns false if nothing has changed, as a crash may
  /// be reported more than once.
  bool add(int Run, const std::string &Worker, bool Blamed);
  /// Removes a crash that has turned out not to be one, unless the run is
  /// blamed for it.
  void retract(int Run, const std::string &Worker);
  void clear() { Crashes_.clear(); }
  /// Returns true if the task must not be started again. The runs of a gang's
  /// members with one number are one attempt.
  [[nodiscard]] bool isConclusive(bool Gang) const;

  [[nodiscard]] nlohmann::json toJson() const;
  /// Restores the result of toJson(). Throws nlohmann::json::exception if it
  /// has another format.
  static CrashRecord fromJson(const nlohmann::json &Stored);

private:
  struct Crash {
    int Run = 0; ///< Not unique, as successive owners may use the same number.
    std::string Worker;
    bool Blamed = false;
  };
  [[nodiscard]] std::vector<Crash>::iterator find(int Run,
                                                  const std::string &Worker);

  std::vector<Crash> Crashes_;
};

} // namespace hickory
