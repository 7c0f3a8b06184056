#pragma once

#include "Cell/StepAdvice.h"
#include "Cell/WorkerClient.h"
#include "Work/JobSpec.h"

#include <string>
#include <vector>

namespace hickory {

/// A worker that could run tasks of a step.
struct Candidate {
  const WorkerEntry *Worker = nullptr;
  Resources Free;
  bool Local = false;    ///< Held by this process.
  int AlreadyPlaced = 0; ///< Tasks of the step that it has.
  bool Suspect = false;  ///< Its runs fail, or take too long.
};

/// Tasks of one step that wait for a place.
struct PlacementNeed {
  const StepSpec *Step = nullptr;
  int Count = 0;
};

struct PlacementOptions {
  /// Share of each worker's processors that only the most urgent queues may
  /// use. Their tasks are small and their objectives shorter than the tasks of
  /// other queues, so that they can't wait for one of those to end.
  double UrgentHeadroom = 0.06;
};

/// Number of tasks of the step that fit on the candidate, at most Count.
int slotsOn(const PlacementNeed &Need, const Candidate &On);
/// The same if nothing else ran there.
int slotsWhenEmpty(const PlacementNeed &Need, const Candidate &On);

/// Leaves out suspect workers, unless so many are that the estimates or the
/// jobs must be wrong instead.
void dropSuspects(std::vector<Candidate> &Candidates);

/// Part of a worker that queues of this priority leave free.
Resources headroomOf(const Resources &Capacity, int Priority,
                     const PlacementOptions &Options);

/// Amount that a queue of this priority may use of a worker.
Resources usableFree(const Resources &Free, const Resources &Capacity,
                     int Priority, const PlacementOptions &Options);

/// Chooses a candidate for each task. Answers loads where the room is scattered
/// over many workers: steps fill the fullest workers first, so that wide holes
/// remain for gangs; gangs take the widest holes, so that they need few
/// workers. A gang is placed whole or not at all; of other steps as much as
/// fits. Returns an index into Candidates for each placed task.
std::vector<std::size_t> placeStep(const PlacementNeed &Need,
                                   const std::vector<Candidate> &Candidates);

/// Chooses the workers to ask the adviser about, given the share of workers
/// that were good for the queue so far. A call costs almost the same for few
/// and for many workers, so that enough are asked at once. Workers whose ticket
/// holds until the given time, which is after the answer, are not asked about
/// again. For a gang without room enough, only new workers are named, so that
/// it is known which ones to claim; later calls wait until there is room.
std::vector<std::string> chooseWorkersToAsk(
    const PlacementNeed &Need, const std::vector<Candidate> &Candidates,
    const StepAdvice &Known, double GoodShare, Clock::time_point HeldUntil);

} // namespace hickory
