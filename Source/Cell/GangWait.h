#pragma once

#include "Cell/Placement.h"

namespace hickory {

/// What a waiting gang still needs.
enum class GangWaitReason {
  /// The workers known to be good could not run it even if they were empty:
  /// the adviser has to be asked about more workers.
  Advice,
  Capacity, ///< The workers known to be good do not have enough free capacity.
  Tickets,  ///< They have, but too few tickets are valid.
};

const char *nameOf(GangWaitReason Reason);

/// Number of tasks of a waiting gang for which there is capacity on several
/// sets of workers, each of which contains the next.
struct GangWait {
  int Tasks = 0; ///< Of the gang.
  int SlotsWhenEmpty = 0;
  int FreeSlots = 0;
  int GoodSlotsWhenEmpty = 0; ///< On workers known to be good.
  int GoodFreeSlots = 0;
  int TicketedFreeSlots = 0; ///< On workers with a ticket valid until then.

  [[nodiscard]] GangWaitReason reason() const;
};

/// Counts the capacity of the candidates for a gang that no earlier gang has
/// claimed. Without advice, all workers count as good and as having a ticket.
GangWait describeGangWait(const PlacementNeed &Need,
                          const std::vector<Candidate> &Candidates,
                          const StepAdvice *Advice,
                          Clock::time_point ValidUntil);

} // namespace hickory
