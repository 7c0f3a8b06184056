#pragma once

#include "Cell/PeerMessages.h"
#include "Cell/WorkerClient.h"
#include "Cell/WorkerPool.h"

#include <map>
#include <string>

namespace hickory {

/// What this process knows of the room on all workers: exact for its own
/// workers, as of the latest exchange less its own placements for others.
class CapacityView {
public:
  explicit CapacityView(const WorkerPool &Pool) : Pool_(Pool) {}

  void updateWorkers(std::map<std::string, WorkerEntry> Workers) {
    Workers_ = std::move(Workers);
  }
  void applyLoads(const std::vector<WorkerLoad> &Loads);
  /// A placement is on its way, was answered, or has ended.
  void reserve(const std::string &Worker, const Resources &Demand);
  void placed(const std::string &Worker, const Resources &Demand);
  void released(const std::string &Worker, const Resources &Demand);
  /// The worker's holder took no work; it is not used until the next exchange.
  void refused(const std::string &Worker);

  struct WorkerCapacity {
    Resources Free;
    bool Usable = false;
    bool Local = false;
    bool Suspect = false; ///< To be used only if many others are, too.
  };
  [[nodiscard]] WorkerCapacity capacityOn(const std::string &Worker) const;
  [[nodiscard]] const std::map<std::string, WorkerEntry> &workers() const {
    return Workers_;
  }

private:
  struct Remote {
    Resources Free;
    Resources OnItsWay;
    bool Usable = false;
    bool Suspect = false;
  };

  const WorkerPool &Pool_;
  std::map<std::string, WorkerEntry> Workers_;
  std::map<std::string, Remote> Remote_;
};

} // namespace hickory
