#pragma once

#include "Scheduling/PlacementCost.h"
#include "Scheduling/PlacementPolicy.h"

#include <array>
#include <functional>
#include <map>

namespace hickory {

/// Best-fit placement in logarithmic time. Workers are kept in buckets by free
/// accelerators and by the band of their ratio of free memory to processors. A
/// bucket is a search tree ordered by the dominant of the two amounts. Each
/// node stores the maximum of the other amount in its subtree, so that the
/// first worker that fits is found without visiting subtrees without one.
class PlacementIndex final : public PlacementPolicy {
public:
  explicit PlacementIndex(PlacementRule Rule = {}) : Rule_(Rule) {}

  [[nodiscard]] std::optional<WorkerHandle>
  choose(const PlacementRequest &Request) const override;

  [[nodiscard]] const PlacementRule &rule() const { return Rule_; }

  /// Returns the maximum free amount of each resource over all available
  /// workers. The maxima of two resources may belong to different workers.
  /// Takes time linear in the number of buckets.
  [[nodiscard]] Resources largestFree() const;

protected:
  void onAvailable(WorkerHandle Worker, const Resources &Free) override;
  void onUnavailable(WorkerHandle Worker) override;

private:
  static constexpr WorkerHandle None = ~WorkerHandle(0);

  /// Treap node of one worker.
  struct Node {
    WorkerHandle Left = None;
    WorkerHandle Right = None;
    std::uint32_t Priority = 0;
    std::uint64_t Primary = 0;      ///< Sort key of the tree.
    std::uint64_t Secondary = 0;    ///< The other amount.
    std::uint64_t MaxSecondary = 0; ///< In this subtree.
    std::uint64_t Rank = 0;
    std::size_t Band = 0;
    bool IsIndexed = false;
  };
  using Buckets = std::array<WorkerHandle, PlacementRule::Bands>;
  using WorkerFilter = std::function<bool(WorkerHandle)>;

  [[nodiscard]] std::optional<WorkerHandle>
  search(const PlacementRequest &Request, const WorkerFilter *Filter) const;
  [[nodiscard]] WorkerHandle firstFit(WorkerHandle Root, std::uint64_t Primary,
                                      std::uint64_t Secondary,
                                      const WorkerFilter *Filter) const;
  [[nodiscard]] bool isBefore(WorkerHandle A, WorkerHandle B) const;
  void updateMaxSecondary(WorkerHandle Root);
  void split(WorkerHandle Root, WorkerHandle At, WorkerHandle &Smaller,
             WorkerHandle &Larger);
  WorkerHandle merge(WorkerHandle Smaller, WorkerHandle Larger);
  void insert(WorkerHandle &Root, WorkerHandle Worker);
  void erase(WorkerHandle &Root, WorkerHandle Worker);

  PlacementRule Rule_;
  std::vector<Node> Nodes_;
  /// Buckets by accelerator rank, see PlacementRule::cost().
  std::map<std::uint64_t, Buckets> BucketsByRank_;
};

} // namespace hickory
