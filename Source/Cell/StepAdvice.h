#pragma once

#include "Base/TimerService.h"
#include "Cell/WorkerClient.h"

#include <map>
#include <set>
#include <string>

namespace hickory {

/// What the adviser has said of one step. Which workers are good does not
/// change; tickets lapse.
class StepAdvice {
public:
  struct Good {
    std::string Ticket;
    Clock::time_point ValidUntil{};
  };

  /// AskedAt: tickets count from some time after it.
  void apply(const std::vector<std::string> &Asked, const Advice &Reply,
             Clock::time_point AskedAt) {
    for (const std::string &Worker : Asked)
      if (!Good_.contains(Worker))
        Bad_.insert(Worker);
    for (const Ticket &Item : Reply.Good) {
      Bad_.erase(Item.Worker);
      Good_[Item.Worker] = {.Ticket = Item.Text,
                            .ValidUntil = AskedAt + Reply.Validity};
    }
  }

  [[nodiscard]] bool isBad(const std::string &Worker) const {
    return Bad_.contains(Worker);
  }
  [[nodiscard]] bool isGood(const std::string &Worker) const {
    return Good_.contains(Worker);
  }
  /// Null if there is no ticket that holds until then.
  [[nodiscard]] const std::string *ticketFor(const std::string &Worker,
                                             Clock::time_point Until) const {
    const auto It = Good_.find(Worker);
    return It == Good_.end() || It->second.ValidUntil < Until
               ? nullptr
               : &It->second.Ticket;
  }
  /// A worker's tickets end with its incarnation.
  void dropTicket(const std::string &Worker) {
    if (const auto It = Good_.find(Worker); It != Good_.end())
      It->second.ValidUntil = {};
  }

  bool Asking = false;            ///< A call is waiting or on its way.
  Clock::time_point AskAgainAt{}; ///< No line was free.

private:
  std::map<std::string, Good> Good_;
  std::set<std::string> Bad_;
};

} // namespace hickory
