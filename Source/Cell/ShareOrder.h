#pragma once

#include "Cell/ClientAccount.h"
#include "Cell/DemandView.h"
#include "Scheduling/FairShare.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickory {

struct ShareOrderOptions {
  bool ByUsage = true; ///< Compare what runs with the account's share.
  bool ByRate = true;  ///< Compare the rate of submissions with the weight.
};

/// Decides which jobs are above the share of their account while others have
/// work waiting in the same priority. Two signals:
/// - What the account has running exceeds 1.25 times its share of the capacity
///   that its priority uses or could use.
/// - The account submits more jobs a second than its weight. Then the part of
///   its jobs that exceeds the weight is above the share, chosen by the hash of
///   the id, so that all owners choose alike without a message, and the account
///   keeps what it is entitled to.
class ShareOrder {
public:
  explicit ShareOrder(TimerService &Timers, ShareOrderOptions Options = {})
      : Shares_(Timers, {.DefaultShare = MinimumShare}), Options_(Options) {}

  void update(const DemandView::Sums &Demand, const Resources &Total,
              const std::vector<ClientAccount> &Accounts);
  void clear() { Entries_.clear(); }

  /// Returns true if the account runs more than 1.25 times its share.
  [[nodiscard]] bool isAboveUsage(const std::string &Account,
                                  int Priority) const;
  /// Returns true if the job is one of those that exceed the account's rate.
  [[nodiscard]] bool isBeyondRate(const std::string &Account, int Priority,
                                  const std::string &JobId) const;
  /// Returns the dominant share that the account should hold in the priority; 0
  /// if it has no demand there.
  [[nodiscard]] double shareOf(const std::string &Account, int Priority) const;
  /// Returns the part of the account's jobs that its rate permits.
  [[nodiscard]] double permittedPart(const std::string &Account,
                                     int Priority) const;
  /// Returns the number of accounts that are above their share by a signal.
  [[nodiscard]] std::size_t accountsAbove() const;
  /// Returns one of them; empty if there is none.
  [[nodiscard]] std::string exampleAbove() const;

private:
  /// Share of an account of negligible weight; not 0, as shares are divided by
  /// it.
  static constexpr double MinimumShare = 1e-9;
  struct Entry {
    double Share = 0;
    bool AboveUsage = false;
    double PermittedPart = 1;
  };
  [[nodiscard]] std::set<std::string> namesAbove() const;
  [[nodiscard]] const Entry *find(const std::string &Account,
                                  int Priority) const;

  FairShare Shares_;
  ShareOrderOptions Options_;
  std::map<int, std::map<std::string, Entry>> Entries_; ///< By priority.
};

} // namespace hickory
