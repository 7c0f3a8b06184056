#pragma once

#include "Config/ConfigJson.h"
#include "Ctl/ConfigFiles.h"

#include <string>
#include <vector>

namespace hickory {

/// The changes that turn the configuration in force into that of local files.
class ConfigPlan {
public:
  struct Change {
    ConfigObjectId Id;
    std::string Before; ///< Empty if the object is new.
    std::string After;  ///< Empty if the object is removed.
    bool Removed = false;
    /// Version of the object that the change is based on; 0 if it is new.
    std::uint64_t BaseVersion = 0;
  };

  /// If Prune is set, objects that the files do not contain are removed. If
  /// Local has a base version, an object that was changed after that version
  /// gets the older base version. The servers then report a conflict instead of
  /// overwriting a concurrent change.
  ConfigPlan(const LocalConfig &Local, const PublishedConfig &InForce,
             bool Prune);

  [[nodiscard]] const std::vector<Change> &changes() const { return Changes_; }
  [[nodiscard]] records::ChangeSet
  makeChangeSet(const std::string &Id, const std::string &Author) const;
  /// Returns one line per changed object, each followed by the lines that
  /// differ.
  [[nodiscard]] std::string toText() const;
  [[nodiscard]] std::string toJson() const;

private:
  std::vector<Change> Changes_;
};

} // namespace hickory
