#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickory::emulator {

/// A consumer group of the store: assigns the partitions of a topic evenly to
/// its members. A partition passes to its new assignee only after the previous
/// holder has confirmed the reassignment by joining with its generation, has
/// left, or has expired. All times are of the store's clock, which is stopped
/// during an outage of the store.
class ConsumerGroup {
public:
  using Time = std::chrono::milliseconds;

  explicit ConsumerGroup(int Partitions) : Partitions_(Partitions) {}

  struct Assignment {
    std::uint64_t Generation = 0;
    std::vector<int> Partitions;
  };

  /// Adds a member or renews its membership for Ttl. Generation is the one that
  /// the member received last. Returns the partitions that the member holds.
  Assignment join(const std::string &Member, Time Ttl, std::uint64_t Generation,
                  Time Now) {
    expire(Now);
    const bool IsNew = !Members_.contains(Member);
    Members_[Member] = {.Ttl = Ttl, .LastJoin = Now};
    if (IsNew)
      rebalance();
    for (PartitionState &Partition : Partitions_)
      if (Partition.Holder == Member && Partition.Assignee != Member &&
          Generation >= Partition.AssignedGeneration)
        Partition.Holder = Partition.Assignee;
    Assignment Result{.Generation = Generation_, .Partitions = {}};
    for (std::size_t Number = 0; Number < Partitions_.size(); ++Number)
      if (Partitions_[Number].Holder == Member &&
          Partitions_[Number].Assignee == Member)
        Result.Partitions.push_back(static_cast<int>(Number));
    return Result;
  }

  void leave(const std::string &Member, Time Now) {
    expire(Now);
    if (Members_.erase(Member) != 0)
      rebalance();
  }

  /// Removes the members that have not joined again within their Ttl.
  void expire(Time Now) {
    if (std::erase_if(Members_, [Now](const auto &Entry) {
          return Now - Entry.second.LastJoin > Entry.second.Ttl;
        }) != 0)
      rebalance();
  }

  /// Moves every partition to the next member by name at once, without waiting
  /// for the previous holder.
  void reassignAll() {
    if (Members_.empty())
      return;
    ++Generation_;
    for (PartitionState &Partition : Partitions_) {
      auto NextMember = Members_.upper_bound(Partition.Assignee);
      if (NextMember == Members_.end())
        NextMember = Members_.begin();
      Partition = {.Assignee = NextMember->first,
                   .Holder = NextMember->first,
                   .AssignedGeneration = Generation_};
    }
  }

  /// The member that holds the partition; empty if there is none.
  [[nodiscard]] const std::string &holder(int Partition) const {
    return Partitions_[static_cast<std::size_t>(Partition)].Holder;
  }
  [[nodiscard]] std::size_t partitions() const { return Partitions_.size(); }
  [[nodiscard]] std::uint64_t generation() const { return Generation_; }

private:
  struct Member {
    Time Ttl{0};
    Time LastJoin{0};
  };
  struct PartitionState {
    std::string Assignee; ///< Member that the latest generation assigns it to.
    /// Differs from Assignee until the previous holder gives the partition up.
    std::string Holder;
    /// Generation in which Assignee last changed.
    std::uint64_t AssignedGeneration = 0;
  };

  /// Starts a generation that spreads the partitions evenly over the members.
  /// Partitions stay with their assignees as far as that allows.
  void rebalance() {
    ++Generation_;
    std::map<std::string, std::size_t> CountByMember;
    for (const auto &[Name, Ignored] : Members_)
      CountByMember[Name] = 0;
    if (CountByMember.empty()) {
      for (PartitionState &Partition : Partitions_)
        Partition = {
            .Assignee = {}, .Holder = {}, .AssignedGeneration = Generation_};
      return;
    }
    const std::size_t MaximumCount =
        (Partitions_.size() + CountByMember.size() - 1) / CountByMember.size();
    const std::size_t MinimumCount = Partitions_.size() / CountByMember.size();
    std::vector<PartitionState *> Unassigned;
    std::size_t MembersWithExtra = Partitions_.size() % CountByMember.size();
    for (PartitionState &Partition : Partitions_) {
      const auto Assigned = CountByMember.find(Partition.Assignee);
      if (Assigned == CountByMember.end() || Assigned->second >= MaximumCount ||
          (Assigned->second == MinimumCount && MembersWithExtra == 0)) {
        Unassigned.push_back(&Partition);
        continue;
      }
      if (Assigned->second == MinimumCount)
        --MembersWithExtra;
      ++Assigned->second;
    }
    for (PartitionState *Partition : Unassigned) {
      const auto LeastLoaded =
          std::min_element(CountByMember.begin(), CountByMember.end(),
                           [](const auto &Left, const auto &Right) {
                             return Left.second < Right.second;
                           });
      ++LeastLoaded->second;
      Partition->Assignee = LeastLoaded->first;
      Partition->AssignedGeneration = Generation_;
    }
    for (PartitionState &Partition : Partitions_)
      if (!Members_.contains(Partition.Holder))
        Partition.Holder = Partition.Assignee;
  }

  std::vector<PartitionState> Partitions_;
  std::map<std::string, Member> Members_;
  std::uint64_t Generation_ = 0;
};

} // namespace hickory::emulator
