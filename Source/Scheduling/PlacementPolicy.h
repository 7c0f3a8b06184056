#pragma once

#include "Scheduling/Resources.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

/// Number of a worker within one policy object. Reused after removal.
using WorkerHandle = std::uint32_t;

/// A worker as the placement code sees it.
struct PlacementWorker {
  std::string Name;
  std::string Rack;
  std::string FailureDomain;
  Resources Capacity;
  Resources Committed;
  bool SetAside = false; ///< Gets no new work; what runs there stays counted.
};

/// What a task asks of a worker.
struct PlacementRequest {
  Resources Need;
  /// Never chosen, for example because an earlier attempt failed there.
  std::set<WorkerHandle> ExcludedWorkers = {};
  /// Used only if no other rack or failure domain has room. Services list the
  /// places where they run already.
  std::set<std::string> AvoidedRacks = {};
  std::set<std::string> AvoidedDomains = {};
};

/// Keeps the committed resources of a set of workers and chooses where a task
/// goes. The bookkeeping is the same for every policy: the committed amount of
/// a worker never exceeds its capacity.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;

  /// Fails if the name is taken or Committed exceeds Capacity.
  Result<WorkerHandle> addWorker(PlacementWorker Worker);
  Result<void> removeWorker(WorkerHandle Worker);
  /// Replaces both amounts, for example after the worker's state was read.
  /// Fails with Conflict, and changes nothing, if Committed exceeds Capacity;
  /// set the worker aside and stop tasks first.
  Result<void> update(WorkerHandle Worker, const Resources &Capacity,
                      const Resources &Committed);
  /// update() with the committed amount as it is.
  Result<void> setCapacity(WorkerHandle Worker, const Resources &Capacity);
  Result<void> setAside(WorkerHandle Worker, bool Aside);

  /// Fails with Overloaded, and changes nothing, if Amount does not fit.
  Result<void> commit(WorkerHandle Worker, const Resources &Amount);
  /// Fails if more than the committed amount would be released.
  Result<void> release(WorkerHandle Worker, const Resources &Amount);

  /// A worker on which the request fits, or none. Commits nothing.
  [[nodiscard]] virtual std::optional<WorkerHandle>
  choose(const PlacementRequest &Request) const = 0;

  /// Chooses and commits.
  Result<WorkerHandle> place(const PlacementRequest &Request);
  /// Places Count tasks or none of them.
  Result<std::vector<WorkerHandle>> placeGang(const PlacementRequest &Request,
                                              std::uint32_t Count);

  [[nodiscard]] std::optional<WorkerHandle> find(const std::string &Name) const;
  [[nodiscard]] bool contains(WorkerHandle Worker) const {
    return Worker < Slots_.size() && Slots_[Worker].has_value();
  }
  /// The worker must exist.
  [[nodiscard]] const PlacementWorker &worker(WorkerHandle Worker) const;
  [[nodiscard]] Resources freeOn(WorkerHandle Worker) const;
  [[nodiscard]] std::size_t size() const { return ByName_.size(); }
  /// One more than the largest handle in use.
  [[nodiscard]] WorkerHandle handleEnd() const {
    return static_cast<WorkerHandle>(Slots_.size());
  }
  [[nodiscard]] const Resources &totalCapacity() const { return Capacity_; }
  [[nodiscard]] const Resources &totalCommitted() const { return Committed_; }
  /// True if memory is committed to a larger part than processors.
  [[nodiscard]] bool memoryScarce() const;

  /// Test-only: lets commit() pass its capacity check, so that a test can show
  /// that it notices a missing check.
  void skipCapacityCheckForTest() { SkipCapacityCheck_ = true; }
  /// Test-only: lets placeGang() keep the part that it could place.
  void keepPartialGangsForTest() { KeepPartialGangs_ = true; }

protected:
  /// Called after a worker was added or its free resources changed, and before
  /// it is removed. SetAside workers are reported as removed.
  virtual void onAvailable(WorkerHandle Worker, const Resources &Free) = 0;
  virtual void onUnavailable(WorkerHandle Worker) = 0;

  /// Whether the request's hard conditions hold for the worker.
  [[nodiscard]] bool eligible(WorkerHandle Worker,
                              const PlacementRequest &Request) const;
  [[nodiscard]] bool avoided(WorkerHandle Worker,
                             const PlacementRequest &Request) const;

private:
  Result<void> checkKnown(WorkerHandle Worker) const;
  void announce(WorkerHandle Worker);

  std::vector<std::optional<PlacementWorker>> Slots_;
  std::vector<WorkerHandle> Vacant_;
  std::unordered_map<std::string, WorkerHandle> ByName_;
  Resources Capacity_;
  Resources Committed_;
  bool SkipCapacityCheck_ = false;
  bool KeepPartialGangs_ = false;
};

} // namespace hickory
