#pragma once

#include "Scheduling/Resources.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

/// Identifies a worker within one policy object. Reused after removal.
using WorkerHandle = std::uint32_t;

/// State of a worker that placement depends on.
struct PlacementWorker {
  std::string Name;
  std::string Rack;
  std::string FailureDomain;
  Resources Capacity;
  Resources Committed;
  bool SetAside = false; ///< Gets no new work; its committed resources stay.
};

/// Requirements of a task on its worker.
struct PlacementRequest {
  Resources Need;
  /// Never chosen, for example because an earlier attempt failed on them.
  std::set<WorkerHandle> ExcludedWorkers = {};
  /// Chosen only if no other rack or failure domain has capacity. Services list
  /// those in which they already run.
  std::set<std::string> AvoidedRacks = {};
  std::set<std::string> AvoidedDomains = {};
};

/// Tracks the committed resources of a set of workers and chooses the worker of
/// a task. Subclasses implement the choice. In every policy the committed
/// amount of a worker never exceeds its capacity.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;

  /// Fails if the name is in use or Committed exceeds Capacity.
  Result<WorkerHandle> addWorker(PlacementWorker Worker);
  Result<void> removeWorker(WorkerHandle Worker);
  /// Replaces both amounts, for example after the worker's state was read.
  /// Fails with Conflict, and changes nothing, if Committed exceeds Capacity;
  /// set the worker aside and stop tasks first.
  Result<void> update(WorkerHandle Worker, const Resources &Capacity,
                      const Resources &Committed);
  /// Like update(), with the present committed amount.
  Result<void> setCapacity(WorkerHandle Worker, const Resources &Capacity);
  /// Excludes a worker from new placements if Aside is true, or includes it
  /// again.
  Result<void> setAside(WorkerHandle Worker, bool Aside);

  /// Fails with Overloaded, and changes nothing, if Amount does not fit.
  Result<void> commit(WorkerHandle Worker, const Resources &Amount);
  /// Fails if Amount exceeds the committed amount.
  Result<void> release(WorkerHandle Worker, const Resources &Amount);

  /// Returns a worker on which the request fits, or nothing. Commits nothing.
  [[nodiscard]] virtual std::optional<WorkerHandle>
  choose(const PlacementRequest &Request) const = 0;

  /// Chooses a worker and commits the resources. Fails with Overloaded if none
  /// fits.
  Result<WorkerHandle> place(const PlacementRequest &Request);
  /// Places Count tasks or none.
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
  /// Upper bound (exclusive) of the handles in use.
  [[nodiscard]] WorkerHandle handleEnd() const {
    return static_cast<WorkerHandle>(Slots_.size());
  }
  [[nodiscard]] const Resources &totalCapacity() const { return Capacity_; }
  [[nodiscard]] const Resources &totalCommitted() const { return Committed_; }
  /// True if a larger fraction of memory than of processors is committed.
  [[nodiscard]] bool memoryScarce() const;

  /// For tests only: makes commit() skip its capacity check, so that a test can
  /// prove that it detects a missing check.
  void skipCapacityCheckForTest() { SkipCapacityCheck_ = true; }
  /// For tests only: makes placeGang() keep the tasks that it could place when
  /// it fails.
  void keepPartialGangsForTest() { KeepPartialGangs_ = true; }

protected:
  /// Called after a worker was added or its free resources changed, unless it
  /// is set aside.
  virtual void onAvailable(WorkerHandle Worker, const Resources &Free) = 0;
  /// Called before a worker is removed, and when it is or stays set aside.
  virtual void onUnavailable(WorkerHandle Worker) = 0;

  /// True if the request does not exclude the worker.
  [[nodiscard]] bool isEligible(WorkerHandle Worker,
                                const PlacementRequest &Request) const;
  [[nodiscard]] bool isAvoided(WorkerHandle Worker,
                               const PlacementRequest &Request) const;

private:
  Result<void> checkExists(WorkerHandle Worker) const;
  void notifyFreeChanged(WorkerHandle Worker);

  std::vector<std::optional<PlacementWorker>> Slots_;
  std::vector<WorkerHandle> FreeHandles_;
  std::unordered_map<std::string, WorkerHandle> ByName_;
  Resources Capacity_;
  Resources Committed_;
  bool SkipCapacityCheck_ = false;
  bool KeepPartialGangs_ = false;
};

} // namespace hickory
