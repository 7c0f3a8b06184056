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
  Resources Lasting;  ///< Demand of the runs that do not end soon.
  Resources Headroom; ///< Part of the capacity that the step must leave free.
  bool Local = false; ///< This process holds it.
  int AlreadyPlaced = 0; ///< Tasks of the step on it.
  bool Suspect = false;  ///< Its runs fail or are slow.
  bool Blocked = false;  ///< An earlier gang has claimed it.
  /// What the adviser has said of it for the step; null if nothing.
  const WorkerAdvice *Advice = nullptr;
  /// Decides between equal workers for a gang. It differs between steps, so
  /// that processes which place gangs at the same time do not choose, and ask
  /// the adviser about, the same few workers.
  std::uint64_t TieBreak = 0;
};

/// Number of tasks of one step that are to be placed.
struct PlacementNeed {
  const StepSpec *Step = nullptr;
  int Count = 0;
};

struct PlacementOptions {
  /// Share of each worker's processors that is reserved for the most urgent
  /// queues. Their tasks are small, and their latency objectives are shorter
  /// than the tasks of other queues, so that they can't wait for one of those
  /// to end.
  double UrgentHeadroom = 0.06;
  /// Share of each worker's processors that tasks of less urgent queues leave
  /// to waiting gangs: room for a member on most workers. Tasks are small and
  /// take each piece that is free, so that wide gangs would wait for them.
  double WaitingGangShare = 0.5;
  /// Share of each worker's processors that these tasks may use all the same.
  double TaskFloor = 0.3;
};

/// Returns the number of tasks of the step that fit on the candidate, at most
/// Need.Count.
int slotsOn(const PlacementNeed &Need, const Candidate &Target);
/// Returns the same number for the candidate if only what lasts ran on it.
int slotsWhenEmpty(const PlacementNeed &Need, const Candidate &Target);

/// Returns true if all tasks would fit on the candidates if only what lasts ran
/// there.
bool fitsWhenEmpty(const PlacementNeed &Need,
                   const std::vector<Candidate> &Candidates);

/// Removes suspect workers. Keeps all if more than a third is suspect, as the
/// cause is then more likely in the estimates or the jobs.
void dropSuspects(std::vector<Candidate> &Candidates);

/// Returns the part of a worker's capacity that tasks with this demand, of a
/// queue of this priority, must leave free. Of a worker that only one task fits
/// on, it is at most the rest, so that each task that fits on an empty worker
/// can start there.
Resources headroomOf(const Resources &Capacity, const Resources &Demand,
                     int Priority, const PlacementOptions &Options);

/// Returns the part of a worker's free capacity that tasks with this demand may
/// use while gangs of a more urgent queue wait. One task may use it in any
/// case, so that large ones start too. TaskCpusMilli: see WorkerLoad.
Resources freeBesideWaitingGangs(const Resources &Demand, const Resources &Free,
                                 const Resources &Capacity,
                                 std::uint64_t TaskCpusMilli,
                                 const PlacementOptions &Options);

/// Chooses a candidate for each task and returns an index into Candidates for
/// each placed task. A gang is placed completely or not at all; of other steps,
/// as many tasks as fit are placed.
///
/// To limit fragmentation, ordinary steps fill the workers with the least free
/// capacity first (best fit), so that large free blocks remain for gangs. Gangs
/// take the largest free blocks, so that they need few workers.
std::vector<std::size_t> placeStep(const PlacementNeed &Need,
                                   const std::vector<Candidate> &Candidates);

/// Chooses the workers to ask the adviser about. GoodShare is the share of
/// workers that were good for steps of the queue so far. As a call costs almost
/// the same for few and for many workers, it covers enough of them at once.
///
/// Workers with a ticket that is valid until ValidUntil, a time after the
/// expected answer, are not asked about again.
std::vector<std::string> chooseWorkersToAsk(
    const PlacementNeed &Need, const std::vector<Candidate> &Candidates,
    const StepAdvice &Advice, double GoodShare, Clock::time_point ValidUntil);

/// Chooses the workers for the next call about a gang, to learn which ones are
/// good for it: those with the most free capacity, until the gang is expected
/// to know enough good workers whose capacity it can wait for. Workers that
/// were asked about are not chosen again; those in a call in flight count like
/// the ones chosen here.
std::vector<std::string>
chooseWorkersToLearn(const PlacementNeed &Need,
                     const std::vector<Candidate> &Candidates,
                     const StepAdvice &Advice, double GoodShare);

} // namespace hickory
