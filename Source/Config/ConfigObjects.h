#pragma once

#include "Config/ConfigView.h"
#include "Config/TomlTableReader.h"
#include "Records.pb.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace hickory {

/// Names one configuration object.
struct ConfigObjectId {
  std::string Kind;
  std::string Name;
  bool operator<(const ConfigObjectId &Other) const {
    return std::tie(Kind, Name) < std::tie(Other.Kind, Other.Name);
  }
  [[nodiscard]] std::string text() const { return Kind + "." + Name; }
};

struct MemberObject {
  std::string DisplayName;
  std::set<std::string> Teams;
};

/// Absent values come from the policy that it inherits from, else from the
/// defaults of JobClassConfig.
struct PolicyObject {
  std::string Inherits;
  std::optional<WorkKind> Kind;
  std::optional<Acceptance> Accept;
  std::optional<bool> NonRepeatable;
  std::optional<std::uint32_t> Priority;
  std::optional<std::uint32_t> MaximumAttempts;
  std::optional<std::chrono::milliseconds> DefaultTimeout;
  std::optional<std::chrono::milliseconds> MaximumWait;
};

struct JobClassObject {
  std::string Member;
  std::string Pool;
  std::string Policy;
};

/// The typed content of one object.
using ConfigContent = std::variant<MemberObject, PoolConfig, QuotaConfig,
                                   PolicyObject, JobClassObject>;

/// One object as kept by every instance; shared between versions.
struct StoredConfigObject {
  records::ConfigObject Object;
  ConfigContent Content;
};

using ConfigObjectMap =
    std::map<ConfigObjectId, std::shared_ptr<const StoredConfigObject>>;

/// The kinds, in the order in which they may refer to each other.
const std::vector<std::string> &configKinds();

/// Reads the content of one object from a parsed table. Problems name the file
/// and the lines of Node.
std::optional<ConfigContent> readConfigContent(const std::string &Kind,
                                               const std::string &Name,
                                               const TomlNode &Node,
                                               TomlProblems &Problems);

/// Reads the TOML text of one object. Problems are appended to Errors as
/// "kind.name:line: key: what to write instead".
std::optional<ConfigContent>
parseConfigObject(const records::ConfigObject &Object,
                  std::vector<std::string> &Errors);

const char *workKindName(WorkKind Kind);
const char *acceptanceName(Acceptance Accept);

} // namespace hickory
