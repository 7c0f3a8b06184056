#pragma once

#include "Cell/PeerMessages.h"
#include "Cell/ShardMap.h"
#include "Cell/WorkerClient.h"
#include "Cell/WorkerPool.h"

#include <map>
#include <string>

namespace hickory {

/// Free capacity of all workers as known to this process: exact for the workers
/// that it holds; for the others, the load reported in the latest exchange less
/// the placements that this process has made since.
///
/// The dispatcher reads all workers for each step. What identifies a worker is
/// therefore looked up once, when the list of workers changes.
class CapacityView {
  /// A worker as reported by its holder.
  struct RemoteWorker {
    Resources Free;
    Resources InFlight; ///< Demand of placements without an answer.
    bool Usable = false;
    bool Suspect = false;
  };

public:
  struct ListedWorker {
    WorkerEntry Entry;
    int Shard = 0;
    std::uint64_t Hash = 0;                 ///< Of the id.
    const RemoteWorker *Reported = nullptr; ///< Never null.
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

  struct WorkerCapacity {
    Resources Free;
    bool Usable = false;
    bool Local = false;
    bool Suspect = false; ///< See Candidate::Suspect.
  };
  [[nodiscard]] WorkerCapacity capacityOn(const ListedWorker &Worker) const;
  [[nodiscard]] const std::map<std::string, ListedWorker> &workers() const {
    return Workers_;
  }

private:
  const WorkerPool &Pool_;
  ShardMap Map_;
  std::map<std::string, ListedWorker> Workers_;
  /// Also has workers that the list does not name, or no longer names.
  std::map<std::string, RemoteWorker> Remote_;
};

} // namespace hickory
