#pragma once

#include <string>

namespace hickory {

/// Shares that members and teams hold relative to their entitlement. JobQueue
/// orders the work of different members and teams by them.
class ShareRatios {
public:
  virtual ~ShareRatios() = default;

  /// Share that the member holds divided by its entitlement; smaller goes
  /// first.
  [[nodiscard]] virtual double memberRatio(const std::string &Member) const = 0;
  /// Share that the team holds divided by its entitlement within its member.
  [[nodiscard]] virtual double teamRatio(const std::string &Member,
                                         const std::string &Team) const = 0;
};

} // namespace hickory
