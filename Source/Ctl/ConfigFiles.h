#pragma once

#include "Base/Error.h"
#include "Config/ConfigObjects.h"

#include <map>
#include <optional>
#include <string>

namespace hickory {

/// Configuration objects from TOML files with tables such as [policy.urgent].
struct LocalConfig {
  /// TOML text of each object with sorted keys.
  std::map<ConfigObjectId, std::string> Objects;
  /// The lowest `based_on = N` of the files: the version of the configuration
  /// that they were made from.
  std::optional<std::uint64_t> BasedOn;
};

/// Reads one file, or all *.toml files of a folder. Every object is checked by
/// itself; the error lists all problems with file and line.
Result<LocalConfig> readConfigFiles(const std::string &Path);

/// Adds the objects of one text to Config; problems go to Lines.
void readConfigText(const std::string &Text, const std::string &File,
                    LocalConfig &Config, std::vector<std::string> &Lines);

/// Text of a file that readConfigFiles() can read.
std::string
formatConfigFile(const std::map<ConfigObjectId, std::string> &Objects,
                 std::uint64_t BasedOn);

/// The text with sorted keys; unchanged if it is not valid TOML.
std::string canonicalToml(const std::string &Text);

} // namespace hickory
