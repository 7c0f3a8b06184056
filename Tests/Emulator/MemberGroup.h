#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickory::emulator {

/// A group of the store: deals the partitions of a topic evenly to its members.
/// A partition goes from one member to another only when the former one has
/// joined with the generation that took it away, has left, or has lapsed. Times
/// are those of the store's clock, which stands still while the store is down.
class MemberGroup {
public:
  using Time = std::chrono::milliseconds;

  explicit MemberGroup(int Partitions) : Parts_(Partitions) {}

  struct Reply {
    std::uint64_t Generation = 0;
    std::vector<int> Parts;
  };

  Reply join(const std::string &Member, Time Ttl, std::uint64_t Generation,
             Time Now) {
    expire(Now);
    const bool New = !Members_.contains(Member);
    Members_[Member] = {.Ttl = Ttl, .LastSeen = Now};
    if (New)
      change();
    for (Part &Item : Parts_)
      if (Item.Holder == Member && Item.Target != Member &&
          Generation >= Item.TakenAt)
        Item.Holder = Item.Target;
    Reply Listed{.Generation = Generation_, .Parts = {}};
    for (std::size_t Number = 0; Number < Parts_.size(); ++Number)
      if (Parts_[Number].Holder == Member && Parts_[Number].Target == Member)
        Listed.Parts.push_back(static_cast<int>(Number));
    return Listed;
  }

  void leave(const std::string &Member, Time Now) {
    expire(Now);
    if (Members_.erase(Member) != 0)
      change();
  }

  void expire(Time Now) {
    if (std::erase_if(Members_, [Now](const auto &Item) {
          return Now - Item.second.LastSeen > Item.second.Ttl;
        }) != 0)
      change();
  }

  /// Deals every partition to another member at once, if there is one.
  void dealAnew() {
    if (Members_.empty())
      return;
    ++Generation_;
    for (Part &Item : Parts_) {
      auto Next = Members_.upper_bound(Item.Target);
      if (Next == Members_.end())
        Next = Members_.begin();
      Item = {
          .Target = Next->first, .Holder = Next->first, .TakenAt = Generation_};
    }
  }

  /// Empty for a partition without a member.
  [[nodiscard]] const std::string &holder(int Partition) const {
    return Parts_[static_cast<std::size_t>(Partition)].Holder;
  }
  [[nodiscard]] std::size_t partitions() const { return Parts_.size(); }
  [[nodiscard]] std::uint64_t generation() const { return Generation_; }

private:
  struct Member {
    Time Ttl{0};
    Time LastSeen{0};
  };
  struct Part {
    std::string Target;        ///< Whose it is in the newest generation.
    std::string Holder;        ///< Differs until the former holder gives it up.
    std::uint64_t TakenAt = 0; ///< Generation in which Target last changed.
  };

  void change() {
    ++Generation_;
    std::map<std::string, std::size_t> Load;
    for (const auto &[Name, Ignored] : Members_)
      Load[Name] = 0;
    if (Load.empty()) {
      for (Part &Item : Parts_)
        Item = {.Target = {}, .Holder = {}, .TakenAt = Generation_};
      return;
    }
    const std::size_t Most = (Parts_.size() + Load.size() - 1) / Load.size();
    const std::size_t Least = Parts_.size() / Load.size();
    std::vector<Part *> Free;
    std::size_t Above = Parts_.size() % Load.size();
    for (Part &Item : Parts_) {
      const auto Owner = Load.find(Item.Target);
      if (Owner == Load.end() || Owner->second >= Most ||
          (Owner->second == Least && Above == 0)) {
        Free.push_back(&Item);
        continue;
      }
      if (Owner->second == Least)
        --Above;
      ++Owner->second;
    }
    for (Part *Item : Free) {
      const auto Fewest = std::min_element(
          Load.begin(), Load.end(), [](const auto &Left, const auto &Right) {
            return Left.second < Right.second;
          });
      ++Fewest->second;
      Item->Target = Fewest->first;
      Item->TakenAt = Generation_;
    }
    for (Part &Item : Parts_)
      if (!Members_.contains(Item.Holder))
        Item.Holder = Item.Target;
  }

  std::vector<Part> Parts_;
  std::map<std::string, Member> Members_;
  std::uint64_t Generation_ = 0;
};

} // namespace hickory::emulator
