#pragma once

#include "Base/Subscription.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace hickory {

/// Callbacks of one kind of event. A callback may end any subscription, its
/// own included, or the life of the list.
template <typename Argument> class CallbackList {
public:
  using Callback = std::function<void(Argument)>;

  [[nodiscard]] Subscription subscribe(Callback Receiver) {
    const std::uint64_t Id = State_->NextId++;
    State_->Callbacks.emplace(Id, std::move(Receiver));
    return Subscription([Weak = std::weak_ptr(State_), Id] {
      if (const auto State = Weak.lock())
        State->Callbacks.erase(Id);
    });
  }

  void notify(Argument Value) {
    const std::shared_ptr<State> Kept = State_;
    std::vector<std::uint64_t> Ids;
    Ids.reserve(Kept->Callbacks.size());
    for (const auto &[Id, Receiver] : Kept->Callbacks)
      Ids.push_back(Id);
    for (const std::uint64_t Id : Ids)
      if (const auto It = Kept->Callbacks.find(Id);
          It != Kept->Callbacks.end()) {
        // Copied, because the callback may remove itself while it runs.
        const Callback Receiver = It->second;
        Receiver(Value);
      }
  }

private:
  struct State {
    std::uint64_t NextId = 0;
    std::map<std::uint64_t, Callback> Callbacks;
  };
  std::shared_ptr<State> State_ = std::make_shared<State>();
};

} // namespace hickory
