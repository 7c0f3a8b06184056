#pragma once

#include "Work/JobSpec.h"

#include <nlohmann/json.hpp>
#include <string>

namespace hickory {

/// What the jobs of one account and priority have running and waiting at one
/// owner.
struct AccountLoad {
  std::string Account;
  int Priority = 0;
  Resources Running; ///< Demand of the tasks that run or are being placed.
  /// Demand of the tasks that could start now.
  Resources WaitingDemand;
  /// Demand times estimated milliseconds of all tasks that have not started.
  Resources WaitingWork;
  /// Jobs a second that were submitted in the last seconds, accepted or not.
  double JobsPerSecond = 0;

  /// Adds the amounts of Other, whose account and priority are ignored.
  void add(const AccountLoad &Other) {
    (void)Running.add(Other.Running);
    (void)WaitingDemand.add(Other.WaitingDemand);
    (void)WaitingWork.add(Other.WaitingWork);
    JobsPerSecond += Other.JobsPerSecond;
  }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(AccountLoad, Account, Priority,
                                                Running, WaitingDemand,
                                                WaitingWork, JobsPerSecond)

} // namespace hickory
