#pragma once

#include "Base/TimerService.h"
#include "Cell/WorkerClient.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

/// What the adviser has said of one worker for one step.
struct WorkerAdvice {
  bool Answered = false; ///< The adviser has answered about the worker.
  bool Good = false;     ///< The worker may run the step.
  bool Pending = false;  ///< A call about the worker is in flight.
  std::string Ticket;
  Clock::time_point ValidUntil{}; ///< Of the ticket.

  [[nodiscard]] bool isBad() const { return Answered && !Good; }
  [[nodiscard]] bool hasTicket(Clock::time_point Until) const {
    return Good && ValidUntil >= Until;
  }
};

/// The adviser's answers about one step. Whether a worker is good for the step
/// does not change; tickets expire.
class StepAdvice {
public:
  /// Adds a reply about the asked workers. The validity of the tickets begins
  /// at ValidFrom.
  void apply(const std::vector<std::string> &Asked, const Advice &Reply,
             Clock::time_point ValidFrom) {
    // A worker that was good may be back as another kind.
    for (const std::string &Worker : Asked) {
      WorkerAdvice &Known = Workers_[Worker];
      Known.Answered = true;
      Known.Good = false;
    }
    for (const Ticket &Each : Reply.Good) {
      WorkerAdvice &Known = Workers_[Each.Worker];
      Known.Answered = true;
      Known.Good = true;
      Known.Ticket = Each.Text;
      Known.ValidUntil = ValidFrom + Reply.Validity;
    }
  }

  /// Returns what is known of the worker; null if it was never asked about. The
  /// pointer remains valid as long as this object.
  [[nodiscard]] const WorkerAdvice *find(const std::string &Worker) const {
    const auto It = Workers_.find(Worker);
    return It == Workers_.end() ? nullptr : &It->second;
  }
  /// Returns the same faster if it was called before for this position and id.
  /// Position is the worker's place in a list, which may change; IdHash is the
  /// hash of its id.
  [[nodiscard]] const WorkerAdvice *findAt(std::size_t Position,
                                           std::uint64_t IdHash,
                                           const std::string &Worker) const {
    if (Position >= Cache_.size())
      Cache_.resize(Position + 1);
    CachedSearch &Cached = Cache_[Position];
    const bool IsCurrent =
        Cached.IdHash == IdHash &&
        (Cached.Found != nullptr || Cached.WorkersKnown == Workers_.size());
    if (!IsCurrent)
      Cached = {.IdHash = IdHash,
                .Found = find(Worker),
                .WorkersKnown = Workers_.size()};
    return Cached.Found;
  }
  [[nodiscard]] bool isBad(const std::string &Worker) const {
    const WorkerAdvice *Known = find(Worker);
    return Known != nullptr && Known->isBad();
  }
  [[nodiscard]] bool isGood(const std::string &Worker) const {
    const WorkerAdvice *Known = find(Worker);
    return Known != nullptr && Known->Good;
  }
  /// Returns the worker's ticket; null if there is none that is valid until the
  /// given time.
  [[nodiscard]] const std::string *ticketFor(const std::string &Worker,
                                             Clock::time_point Until) const {
    const WorkerAdvice *Known = find(Worker);
    return Known != nullptr && Known->hasTicket(Until) ? &Known->Ticket
                                                       : nullptr;
  }
  /// Discards the worker's ticket, for example because the worker has
  /// restarted.
  void invalidateTicket(const std::string &Worker) {
    if (const auto It = Workers_.find(Worker); It != Workers_.end())
      It->second.ValidUntil = {};
  }

  /// Records that a call about the workers is in flight.
  void beginCall(const std::vector<std::string> &Workers) {
    ++CallsInFlight_;
    for (const std::string &Worker : Workers)
      Workers_[Worker].Pending = true;
  }
  /// Records that a call about the workers was answered or has failed.
  void endCall(const std::vector<std::string> &Workers) {
    --CallsInFlight_;
    for (const std::string &Worker : Workers)
      Workers_[Worker].Pending = false;
  }
  [[nodiscard]] int callsInFlight() const { return CallsInFlight_; }
  /// Returns true while a call about the worker is in flight.
  [[nodiscard]] bool isPending(const std::string &Worker) const {
    const WorkerAdvice *Known = find(Worker);
    return Known != nullptr && Known->Pending;
  }

  Clock::time_point RetryAt{}; ///< Time of the next attempt to ask.

private:
  /// The result of a search, which stays valid while it is found, or while no
  /// worker is added.
  struct CachedSearch {
    std::uint64_t IdHash = 0;
    const WorkerAdvice *Found = nullptr;
    std::size_t WorkersKnown = 0;
  };

  int CallsInFlight_ = 0;
  std::unordered_map<std::string, WorkerAdvice> Workers_;
  mutable std::vector<CachedSearch> Cache_; ///< By position.
};

} // namespace hickory
