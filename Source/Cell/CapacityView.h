#pragma once

#include "Cell/GangClaim.h"
#include "Cell/PeerMessages.h"
#include "Cell/ShardMap.h"
#include "Cell/WorkerClient.h"
#include "Cell/WorkerPool.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Free capacity of all workers as known to this process: exact for the workers
/// that it holds; for the others, the load reported in the latest exchange less
/// the placements that this process has made since.
///
/// The dispatcher reads all workers for each step. What identifies a worker is
/// therefore looked up once, when the list of workers changes, and the loads of
/// the workers that this process holds once in each pass.
class CapacityView {
  /// A worker as reported by its holder.
  struct RemoteWorker {
    Resources Free;
    Resources InFlight; ///< Demand of placements without an answer.
    Resources Lasting;  ///< See WorkerLoad.
    std::uint64_t TaskCpusMilli = 0; ///< See WorkerLoad.
    bool Usable = false;
    bool Suspect = false;
  };

public:
  struct ListedWorker {
    WorkerEntry Entry;
    int Shard = 0;
    std::uint64_t Hash = 0;                 ///< Of the id.
    const RemoteWorker *Reported = nullptr; ///< Never null.
    std::size_t RowIndex = 0;               ///< Within the rows of its service.
  };

  CapacityView(const WorkerPool &Pool, ShardMap Map) : Pool_(Pool), Map_(Map) {}

  /// Applies the platform's complete list of workers.
  void updateWorkers(const std::map<std::string, WorkerEntry> &Workers);
  /// Applies load reports of the workers' holders.
  void applyLoads(const std::vector<WorkerLoad> &Loads);
  /// Subtracts the demand of a placement that is sent to the worker's holder.
  void reserveInFlight(const std::string &Worker, const Resources &Demand);
  /// Records that the holder has answered the placement, or that it failed.
  void clearInFlight(const std::string &Worker, const Resources &Demand);
  /// Returns the demand of a placement that did not start to the free capacity.
  void release(const std::string &Worker, const Resources &Demand);
  /// Excludes the worker, whose holder has rejected a placement, until its next
  /// load report.
  void markUnusable(const std::string &Worker);

  /// Reads the loads of the workers that this process holds, and removes the
  /// marks of claims.
  void refreshHeldWorkers();
  /// A worker as refreshHeldWorkers() has found it. Placements that are sent
  /// later count in its free capacity.
  class Row {
  public:
    explicit Row(const ListedWorker &Listed) : Listed_(&Listed) {}

    [[nodiscard]] const ListedWorker &listed() const { return *Listed_; }
    /// Returns true if this process holds the worker.
    [[nodiscard]] bool isLocal() const { return Local_; }
    [[nodiscard]] bool isUsable() const {
      return Local_ ? Usable_ : Listed_->Reported->Usable;
    }
    /// See Candidate::Suspect.
    [[nodiscard]] bool isSuspect() const {
      return Local_ ? Suspect_ : Listed_->Reported->Suspect;
    }
    /// Returns the claim of gangs on the worker, if there is one.
    [[nodiscard]] const std::optional<WorkerClaim> &claim() const {
      return Claim_;
    }
    /// Returns the demand of the runs that do not end soon.
    [[nodiscard]] const Resources &lasting() const {
      return Local_ ? Lasting_ : Listed_->Reported->Lasting;
    }
    /// See WorkerLoad::TaskCpusMilli.
    [[nodiscard]] std::uint64_t taskCpusMilli() const {
      return Local_ ? TaskCpusMilli_ : Listed_->Reported->TaskCpusMilli;
    }
    [[nodiscard]] Resources free() const {
      return Local_ ? Free_.minusClamped(Listed_->Reported->InFlight)
                    : Listed_->Reported->Free;
    }

  private:
    friend class CapacityView;
    void setHeld(const WorkerLoad &Load);

    const ListedWorker *Listed_;
    // Valid if this process holds the worker.
    Resources Free_;
    bool Local_ = false;
    bool Usable_ = false;
    bool Suspect_ = false;
    Resources Lasting_;
    std::uint64_t TaskCpusMilli_ = 0;
    std::optional<WorkerClaim> Claim_;
  };
  /// Marks the worker as claimed until the next refreshHeldWorkers().
  void markClaimed(const std::string &Worker, const WorkerClaim &Claim);
  /// Returns the capacity of the usable workers that are not draining.
  [[nodiscard]] Resources totalCapacity() const;
  /// Returns the workers of the service that are not draining.
  [[nodiscard]] const std::vector<Row> &
  workersOf(const std::string &Service) const;
  [[nodiscard]] const std::map<std::string, ListedWorker> &workers() const {
    return Workers_;
  }

private:
  void rebuildRows();

  const WorkerPool &Pool_;
  ShardMap Map_;
  std::map<std::string, ListedWorker> Workers_;
  /// Also has workers that the list does not name, or no longer names.
  std::map<std::string, RemoteWorker> Remote_;
  std::map<std::string, std::vector<Row>> Rows_; ///< By service.
};

} // namespace hickory
