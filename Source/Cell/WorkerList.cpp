#include "Cell/WorkerList.h"

namespace hickory {

bool WorkerList::apply(const std::map<std::string, std::string> &Values,
                       const std::set<std::string> &Changed) {
  bool Any = false;
  for (const std::string &Key : Changed) {
    const auto Value = Values.find(Key);
    if (Value == Values.end())
      Any |= remove(Key, "");
    else if (auto Entry = Records_.parseWorker(Key, Value->second))
      Any |= store(Key, std::move(*Entry));
    else
      Any |= remove(Key, Entry.error().Message);
  }
  return Any;
}

bool WorkerList::store(const std::string &Key, WorkerEntry Entry) {
  Rejected_.erase(Key);
  const auto [It, IsNew] = Workers_.try_emplace(Key);
  if (!IsNew && It->second == Entry)
    return false;
  It->second = std::move(Entry);
  return true;
}

bool WorkerList::remove(const std::string &Key, const std::string &Reason) {
  if (Reason.empty()) {
    Rejected_.erase(Key);
  } else if (std::string &Known = Rejected_[Key]; Known != Reason) {
    Known = Reason;
    NewlyRejected_.push_back({.Key = Key, .Reason = Reason});
  }
  return Workers_.erase(Key) > 0;
}

} // namespace hickory
