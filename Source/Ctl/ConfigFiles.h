#pragma once

#include "Base/Error.h"
#include "Config/ConfigObjects.h"

#include <map>
#include <optional>
#include <string>

namespace hickory {

/// Configuration objects read from TOML files, which define each object in a
/// table such as [policy.urgent].
struct LocalConfig {
  /// TOML text of each object, with sorted keys.
  std::map<ConfigObjectId, std::string> Objects;
  /// Configuration version from which the files were created: the lowest value
  /// of the key `based_on` in the files; empty if no file has the key.
  std::optional<std::uint64_t> BasedOn;
};

/// Reads one file, or all *.toml files in a folder and its subfolders. Each
/// object is validated on its own, without references to other objects. Fails
/// with a list of all errors with file and line.
Result<LocalConfig> readConfigFiles(const std::string &Path);

/// Adds the objects defined in Text to Config and appends errors to Errors.
/// File is the name used in errors.
void readConfigText(const std::string &Text, const std::string &File,
                    LocalConfig &Config, std::vector<std::string> &Errors);

/// Returns the text of a file that readConfigFiles() can read.
std::string
formatConfigFile(const std::map<ConfigObjectId, std::string> &Objects,
                 std::uint64_t BasedOn);

/// Returns the TOML text with sorted keys; unchanged if it is not valid TOML.
std::string canonicalizeToml(const std::string &Text);

} // namespace hickory
