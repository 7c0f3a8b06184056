#include "Cell/WorkerList.h"

namespace hickory {

bool WorkerList::apply(const std::map<std::string, std::string> &Values,
                       const std::set<std::string> &Changed) {
  bool Any = false;
  for (const std::string &Key : Changed) {
    const auto Value = Values.find(Key);
    auto Entry = Value == Values.end()
                     ? std::nullopt
                     : Records_.parseWorker(Key, Value->second);
    if (!Entry) {
      Any |= Workers_.erase(Key) > 0;
      continue;
    }
    const auto [It, IsNew] = Workers_.try_emplace(Key);
    if (!IsNew && It->second == *Entry)
      continue;
    It->second = std::move(*Entry);
    Any = true;
  }
  return Any;
}

} // namespace hickory
