#pragma once

#include "Base/Random.h"
#include "Cell/ClientAccount.h"
#include "Cell/DemandView.h"
#include "Cell/ShareOrder.h"

#include <chrono>
#include <map>
#include <string>

namespace hickory {

/// What a decision is based on.
struct AdmissionInput {
  const DemandView::Sums &Demand;
  const Resources &Total; ///< Capacity of the usable workers.
  const ShareOrder &Shares;
  /// Account of the job; null if it has none.
  const ClientAccount *Account = nullptr;
};

enum class AdmissionReason { Admitted, CellFull, AccountAtCap, AboveShare };

const char *nameOf(AdmissionReason Reason);

struct AdmissionDecision {
  AdmissionReason Reason = AdmissionReason::Admitted;
  /// Time until the job is expected to start.
  std::chrono::milliseconds ExpectedWait{0};
  /// Longest wait with which the job can still have a value.
  std::chrono::milliseconds LongestWait{0};
  std::chrono::milliseconds RetryAfter{0}; ///< Of a rejected job.

  [[nodiscard]] bool admitted() const {
    return Reason == AdmissionReason::Admitted;
  }
  /// HTTP status for the client.
  [[nodiscard]] int status() const;
};

/// Decides whether a new job can be completed within three times its
/// objective, the last time at which it has a value for its caller.
class AdmissionPolicy {
public:
  explicit AdmissionPolicy(std::uint64_t Seed) : Random_(Seed) {}

  /// Age is the time since the first attempt to submit the job.
  AdmissionDecision decide(const JobSpec &Job, std::chrono::milliseconds Age,
                           const AdmissionInput &Input);

private:
  struct Wait {
    AdmissionReason Reason = AdmissionReason::Admitted;
    std::chrono::milliseconds Time{0};
  };
  /// Returns the longest of the expected waits of the job, and its reason.
  static Wait expectedWait(const JobSpec &Job, const AdmissionInput &Input);
  std::chrono::milliseconds retryAfter(std::chrono::milliseconds Excess);

  Random Random_;
  /// Whether the latest decision was a rejection, by account and queue.
  std::map<std::pair<std::string, std::string>, bool> Closed_;
};

} // namespace hickory
