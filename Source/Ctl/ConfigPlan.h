#pragma once

#include "Config/ConfigJson.h"
#include "Ctl/ConfigFiles.h"

#include <string>
#include <vector>

namespace hickory {

/// The differences between local files and the configuration in force.
class ConfigPlan {
public:
  struct Change {
    ConfigObjectId Id;
    std::string Before; ///< Empty text and BaseVersion 0: a new object.
    std::string After;
    bool Removed = false;
    std::uint64_t BaseVersion = 0;
  };

  /// Prune removes objects that the files do not contain. With a base version
  /// in Local, an object that was changed after it gets a base that the
  /// servers judge to be a conflict, so that no change of somebody else is
  /// overwritten unseen.
  ConfigPlan(const LocalConfig &Local, const PublishedConfig &InForce,
             bool Prune);

  [[nodiscard]] const std::vector<Change> &changes() const { return Changes_; }
  [[nodiscard]] records::ChangeSet changeSet(const std::string &Id,
                                             const std::string &Author) const;
  /// One line per object, then the lines that differ.
  [[nodiscard]] std::string text() const;
  [[nodiscard]] std::string json() const;

private:
  std::vector<Change> Changes_;
};

} // namespace hickory
