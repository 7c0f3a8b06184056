#include "Cell/GangWait.h"

namespace hickory {

const char *nameOf(GangWaitReason Reason) {
  switch (Reason) {
  case GangWaitReason::Advice:
    return "advice";
  case GangWaitReason::Capacity:
    return "capacity";
  case GangWaitReason::Tickets:
    return "tickets";
  }
  return "capacity";
}

GangWaitReason GangWait::reason() const {
  if (GoodSlotsWhenEmpty < Tasks && GoodSlotsWhenEmpty < SlotsWhenEmpty)
    return GangWaitReason::Advice;
  if (GoodFreeSlots < Tasks)
    return GangWaitReason::Capacity;
  return GangWaitReason::Tickets;
}

GangWait describeGangWait(const PlacementNeed &Need,
                          const std::vector<Candidate> &Candidates,
                          const StepAdvice *Advice,
                          Clock::time_point ValidUntil) {
  GangWait Wait{.Tasks = Need.Count};
  for (const Candidate &Each : Candidates) {
    if (Each.Blocked)
      continue;
    const std::string &Id = Each.Worker->Id;
    const int Empty = slotsWhenEmpty(Need, Each);
    const int Free = slotsOn(Need, Each);
    Wait.SlotsWhenEmpty += Empty;
    Wait.FreeSlots += Free;
    if (Advice != nullptr && !Advice->isGood(Id))
      continue;
    Wait.GoodSlotsWhenEmpty += Empty;
    Wait.GoodFreeSlots += Free;
    if (Advice == nullptr || Advice->ticketFor(Id, ValidUntil) != nullptr)
      Wait.TicketedFreeSlots += Free;
  }
  return Wait;
}

} // namespace hickory
