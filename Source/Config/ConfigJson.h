#pragma once

#include "Base/Error.h"
#include "Config/ConfigVerdict.h"
#include "Records.pb.h"

#include <string>
#include <vector>

namespace hickory {

/// Body of GET /v1/config.
struct PublishedConfig {
  std::uint64_t Version = 0;
  std::vector<records::ConfigObject> Objects;
};

/// Bodies of /v1/config/check and /v1/config/apply:
/// {"id","author","based_on":[{kind,name,version}],
///  "objects":[{kind,name,toml,deleted}]}. The error names the JSON path.
Result<records::ChangeSet> changeSetFromJson(const std::string &Text);
std::string changeSetToJson(const records::ChangeSet &Changes);

/// {"id","verdict":"accepted|conflict|rejected","version","object",
///  "errors":[...]}
std::string verdictToJson(const ConfigVerdict &Verdict);
Result<ConfigVerdict> verdictFromJson(const std::string &Text);

/// {"version","objects":[{kind,name,version,toml}]}
std::string publishedConfigToJson(const PublishedConfig &Config);
Result<PublishedConfig> publishedConfigFromJson(const std::string &Text);

const char *verdictName(VerdictKind Kind);

} // namespace hickory
