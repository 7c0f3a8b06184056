#include "Membership/OwnershipView.h"

#include "Base/Hash.h"

#include <algorithm>
#include <glog/logging.h>

namespace hickory {

std::string keyShard(const std::string &Key) {
  return "keys/" + std::to_string(stableHash(Key) % KeyShardsPerDomain);
}

const std::string &homeDomain(const std::string &Key,
                              const std::vector<std::string> &Domains) {
  CHECK(!Domains.empty());
  const std::string Prefix = Key.substr(0, Key.find('/'));
  const auto It = std::lower_bound(Domains.begin(), Domains.end(), Prefix);
  if (It != Domains.end() && *It == Prefix)
    return *It;
  // Another hash input than keyShard's, so that domain and shard of a key are
  // independent.
  return Domains[stableHash("domain:" + Key) % Domains.size()];
}

} // namespace hickory
