#include "Cell/CellConfiguration.h"

namespace hickory {

const QueuePolicy *CellConfiguration::findQueue(const std::string &Host,
                                                const std::string &Path) const {
  const QueuePolicy *Best = nullptr;
  for (const QueuePolicy &Queue : Queues)
    if (Queue.Host == Host && Path.starts_with(Queue.PathPrefix) &&
        (Best == nullptr || Queue.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Queue;
  return Best;
}

const QueuePolicy *
CellConfiguration::findQueueByName(const std::string &Name) const {
  for (const QueuePolicy &Queue : Queues)
    if (Queue.Name == Name)
      return &Queue;
  return nullptr;
}

void CellConfiguration::indexAccounts() {
  AccountIndex.clear();
  if (!Accounts)
    return;
  AccountIndex.reserve(Accounts->size());
  for (std::size_t I = 0; I < Accounts->size(); ++I)
    AccountIndex.emplace((*Accounts)[I].Name, I);
}

const ClientAccount *
CellConfiguration::findAccount(const std::string &Name) const {
  if (!Accounts)
    return nullptr;
  if (AccountIndex.size() == Accounts->size()) {
    const auto Found = AccountIndex.find(Name);
    return Found == AccountIndex.end() ? nullptr : &(*Accounts)[Found->second];
  }
  for (const ClientAccount &Account : *Accounts)
    if (Account.Name == Name)
      return &Account;
  return nullptr;
}

} // namespace hickory
