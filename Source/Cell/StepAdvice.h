#pragma once

#include "Base/TimerService.h"
#include "Cell/WorkerClient.h"

#include <string>
#include <unordered_map>
#include <unordered_set>

namespace hickory {

/// The adviser's answers about one step. Whether a worker is good for the step
/// does not change; tickets expire.
class StepAdvice {
public:
  struct GoodWorker {
    std::string Ticket;
    Clock::time_point ValidUntil{};
  };

  /// Adds a reply about the asked workers. The validity of the tickets begins
  /// at ValidFrom.
  void apply(const std::vector<std::string> &Asked, const Advice &Reply,
             Clock::time_point ValidFrom) {
    for (const std::string &Worker : Asked)
      if (!Good_.contains(Worker))
        Bad_.insert(Worker);
    for (const Ticket &Each : Reply.Good) {
      Bad_.erase(Each.Worker);
      Good_[Each.Worker] = {.Ticket = Each.Text,
                            .ValidUntil = ValidFrom + Reply.Validity};
    }
  }

  [[nodiscard]] bool isBad(const std::string &Worker) const {
    return Bad_.contains(Worker);
  }
  [[nodiscard]] bool isGood(const std::string &Worker) const {
    return Good_.contains(Worker);
  }
  /// Returns the worker's ticket; null if there is none that is valid until the
  /// given time.
  [[nodiscard]] const std::string *ticketFor(const std::string &Worker,
                                             Clock::time_point Until) const {
    const auto It = Good_.find(Worker);
    return It == Good_.end() || It->second.ValidUntil < Until
               ? nullptr
               : &It->second.Ticket;
  }
  /// Discards the worker's ticket, for example because the worker has
  /// restarted.
  void invalidateTicket(const std::string &Worker) {
    if (const auto It = Good_.find(Worker); It != Good_.end())
      It->second.ValidUntil = {};
  }

  /// Records that a call about the workers is in flight.
  void beginCall(const std::vector<std::string> &Workers) {
    ++CallsInFlight_;
    Pending_.insert(Workers.begin(), Workers.end());
  }
  /// Records that a call about the workers was answered or has failed.
  void endCall(const std::vector<std::string> &Workers) {
    --CallsInFlight_;
    for (const std::string &Worker : Workers)
      Pending_.erase(Worker);
  }
  [[nodiscard]] int callsInFlight() const { return CallsInFlight_; }
  /// Returns true while a call about the worker is in flight.
  [[nodiscard]] bool isPending(const std::string &Worker) const {
    return Pending_.contains(Worker);
  }

  Clock::time_point RetryAt{}; ///< Time of the next attempt to ask.

private:
  int CallsInFlight_ = 0;
  std::unordered_set<std::string> Pending_;
  std::unordered_map<std::string, GoodWorker> Good_;
  std::unordered_set<std::string> Bad_;
};

} // namespace hickory
