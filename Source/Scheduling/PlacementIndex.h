#pragma once

#include "Scheduling/PlacementCost.h"
#include "Scheduling/PlacementPolicy.h"

#include <array>
#include <functional>
#include <map>

namespace hickory {

/// Best fit in logarithmic time. Workers are kept in buckets by free
/// accelerators and by the band of their free memory to processors. A bucket
/// is a search tree ordered by the larger free amount, in which each node knows
/// the largest smaller amount below it, so the first worker that fits is found
/// without visiting those that do not.
class PlacementIndex final : public PlacementPolicy {
public:
  explicit PlacementIndex(PlacementRule Rule = {}) : Rule_(Rule) {}

  [[nodiscard]] std::optional<WorkerHandle>
  choose(const PlacementRequest &Request) const override;

  [[nodiscard]] const PlacementRule &rule() const { return Rule_; }

  /// Largest free amount of each resource on any available worker, each taken
  /// by itself. Takes time linear in the number of buckets.
  [[nodiscard]] Resources largestFree() const;

protected:
  void onAvailable(WorkerHandle Worker, const Resources &Free) override;
  void onUnavailable(WorkerHandle Worker) override;

private:
  static constexpr WorkerHandle None = ~WorkerHandle(0);

  /// Tree node of one worker; the trees are treaps.
  struct Node {
    WorkerHandle Left = None;
    WorkerHandle Right = None;
    std::uint32_t Priority = 0;
    std::uint64_t Primary = 0;   ///< Orders the tree.
    std::uint64_t Secondary = 0; ///< The other of processors and memory.
    std::uint64_t MaxSecondary = 0;
    std::uint64_t Rank = 0;
    std::size_t Band = 0;
    bool Present = false;
  };
  using Buckets = std::array<WorkerHandle, PlacementRule::Bands>;
  using Accept = std::function<bool(WorkerHandle)>;

  [[nodiscard]] std::optional<WorkerHandle>
  search(const PlacementRequest &Request, const Accept *Check) const;
  [[nodiscard]] WorkerHandle firstFit(WorkerHandle Root, std::uint64_t Primary,
                                      std::uint64_t Secondary,
                                      const Accept *Check) const;
  [[nodiscard]] bool before(WorkerHandle A, WorkerHandle B) const;
  void refresh(WorkerHandle Root);
  void split(WorkerHandle Root, WorkerHandle At, WorkerHandle &Smaller,
             WorkerHandle &Larger);
  WorkerHandle merge(WorkerHandle Smaller, WorkerHandle Larger);
  void insert(WorkerHandle &Root, WorkerHandle Worker);
  void erase(WorkerHandle &Root, WorkerHandle Worker);

  PlacementRule Rule_;
  std::vector<Node> Nodes_;
  /// By accelerator rank, see PlacementRule::cost.
  std::map<std::uint64_t, Buckets> Ranks_;
};

} // namespace hickory
