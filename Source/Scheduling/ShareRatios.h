#pragma once

#include <string>

namespace hickory {

/// Who has received least of what it is entitled to. The queue asks for it
/// when it compares work of different members and teams.
class ShareRatios {
public:
  virtual ~ShareRatios() = default;

  /// Share held by the member relative to its entitlement; smaller goes first.
  [[nodiscard]] virtual double memberRatio(const std::string &Member) const = 0;
  /// The same for a team among the teams of its member.
  [[nodiscard]] virtual double teamRatio(const std::string &Member,
                                         const std::string &Team) const = 0;
};

} // namespace hickory
