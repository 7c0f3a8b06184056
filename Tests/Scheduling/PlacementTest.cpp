#include "Scheduling/PlacementIndex.h"

#include "Base/Random.h"
#include "Bench/ScanBestFit.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace hickory {

namespace {

Resources randomNeed(Random &Numbers) {
  return {.CpusMilli = 250 * Numbers.below(33),
          .MemoryMb = 512 * Numbers.below(33),
          .Accelerators = Numbers.below(4) == 0 ? Numbers.below(4) : 0};
}

PlacementWorker randomWorker(Random &Numbers, int Number) {
  PlacementWorker Worker{
      .Name = "w" + std::to_string(Number),
      .Rack = "r" + std::to_string(Numbers.below(4)),
      .FailureDomain = "d" + std::to_string(Numbers.below(2)),
      .Capacity = {.CpusMilli = 8000 * (1 + Numbers.below(4)),
                   .MemoryMb = 16384 * (1 + Numbers.below(4)),
                   .Accelerators = Numbers.below(3) == 0 ? 4UL : 0UL},
      .Committed = {}};
  return Worker;
}

/// Applies the same random operations to several policies and tracks what is
/// committed.
class RandomOperations {
public:
  RandomOperations(std::uint64_t Seed, std::vector<PlacementPolicy *> Policies)
      : Numbers_(Seed), Policies_(std::move(Policies)) {
    for (int Count = 0; Count < 12; ++Count)
      add();
  }

  void step() {
    const WorkerHandle Worker =
        static_cast<WorkerHandle>(Numbers_.below(Policies_[0]->handleEnd()));
    switch (Numbers_.below(8)) {
    case 0:
      if (Policies_[0]->size() < 40)
        add();
      break;
    case 1:
      if (Numbers_.below(4) == 0 && Policies_[0]->size() > 4) {
        std::erase_if(Held_, [&](const auto &H) { return H.first == Worker; });
        for (PlacementPolicy *Policy : Policies_)
          (void)Policy->removeWorker(Worker);
      }
      break;
    case 2: {
      const bool Aside = Numbers_.below(3) == 0;
      for (PlacementPolicy *Policy : Policies_)
        (void)Policy->setAside(Worker, Aside);
      break;
    }
    case 3: {
      const PlacementWorker NewSize = randomWorker(Numbers_, 0);
      for (PlacementPolicy *Policy : Policies_)
        (void)Policy->setCapacity(Worker, NewSize.Capacity);
      break;
    }
    case 4:
      if (!Held_.empty()) {
        const std::size_t At = Numbers_.below(Held_.size());
        for (PlacementPolicy *Policy : Policies_)
          CPPUNIT_ASSERT(Policy->release(Held_[At].first, Held_[At].second));
        Held_.erase(Held_.begin() + static_cast<std::ptrdiff_t>(At));
      }
      break;
    default: {
      // Also commits on workers that choose() did not return.
      const Resources Need = randomNeed(Numbers_);
      bool Done = false;
      for (PlacementPolicy *Policy : Policies_)
        Done = Policy->commit(Worker, Need).has_value();
      if (Done)
        Held_.emplace_back(Worker, Need);
    }
    }
  }

  [[nodiscard]] bool isWithinCapacity() const {
    for (const PlacementPolicy *Policy : Policies_) {
      Resources Sum;
      for (WorkerHandle Worker = 0; Worker < Policy->handleEnd(); ++Worker)
        if (Policy->contains(Worker)) {
          const PlacementWorker &Entry = Policy->worker(Worker);
          if (!Entry.Committed.fitsIn(Entry.Capacity))
            return false;
          CPPUNIT_ASSERT(Sum.add(Entry.Committed));
        }
      CPPUNIT_ASSERT(Sum == Policy->totalCommitted());
    }
    return true;
  }

  Random &numbers() { return Numbers_; }

private:
  void add() {
    const PlacementWorker Worker = randomWorker(Numbers_, Next_++);
    for (PlacementPolicy *Policy : Policies_)
      CPPUNIT_ASSERT(Policy->addWorker(Worker));
  }

  Random Numbers_;
  std::vector<PlacementPolicy *> Policies_;
  std::vector<std::pair<WorkerHandle, Resources>> Held_;
  int Next_ = 0;
};

bool staysWithinCapacity(std::uint64_t Seed, bool SkipCheck) {
  PlacementIndex Index;
  if (SkipCheck)
    Index.skipCapacityCheckForTest();
  RandomOperations Operations(Seed, {&Index});
  for (int Step = 0; Step < 300; ++Step) {
    Operations.step();
    if (!Operations.isWithinCapacity())
      return false;
  }
  return true;
}

/// Fills workers at random, then places gangs. Returns true if every gang was
/// placed as a whole or left no resources committed.
bool areGangsAllOrNothing(std::uint64_t Seed, bool KeepPartial) {
  PlacementIndex Index;
  if (KeepPartial)
    Index.keepPartialGangsForTest();
  RandomOperations Operations(Seed, {&Index});
  for (int Step = 0; Step < 100; ++Step)
    Operations.step();
  for (int Gang = 0; Gang < 10; ++Gang) {
    const PlacementRequest Request{.Need = randomNeed(Operations.numbers())};
    const auto Count =
        static_cast<std::uint32_t>(1 + Operations.numbers().below(24));
    Resources Expected = Index.totalCommitted();
    const auto Placed = Index.placeGang(Request, Count);
    if (Placed) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(Count), Placed->size());
      CPPUNIT_ASSERT(Expected.add(Request.Need.times(Count).value()));
    }
    if (!(Expected == Index.totalCommitted()))
      return false;
  }
  return Operations.isWithinCapacity();
}

} // namespace

class PlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(committedNeverExceedsCapacity);
  CPPUNIT_TEST(testDetectsMissingCapacityCheck);
  CPPUNIT_TEST(indexChoosesLikeLinearScan);
  CPPUNIT_TEST(gangIsPlacedAllOrNothing);
  CPPUNIT_TEST(testDetectsPartialGang);
  CPPUNIT_TEST(processorWorkLeavesAcceleratorWorkersFree);
  CPPUNIT_TEST(servicesSpreadOverRacksAndDomains);
  CPPUNIT_TEST(workerSetAsideGetsNoNewWork);
  CPPUNIT_TEST(capacityBelowCommittedIsRejected);
  CPPUNIT_TEST(largestFreeEqualsMaximumOverWorkers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a worker whose committed resources exceed its capacity
  // (guarantee 1).
  void committedNeverExceedsCapacity() {
    CPPUNIT_ASSERT(
        rc::check("committed stays within capacity", [](std::uint64_t Seed) {
          RC_ASSERT(staysWithinCapacity(Seed, false));
        }));
  }

  // The same operations must fail without the check in commit(); otherwise
  // committedNeverExceedsCapacity could not detect a missing check.
  void testDetectsMissingCapacityCheck() {
    CPPUNIT_ASSERT(!staysWithinCapacity(1, true));
  }

  // Guards against an index that misses the best worker, or any worker, after a
  // sequence of changes. A linear scan is the reference.
  void indexChoosesLikeLinearScan() {
    CPPUNIT_ASSERT(rc::check(
        "index and scan choose at equal cost", [](std::uint64_t Seed) {
          PlacementRule Rule;
          Rule.ScarceWeight = static_cast<double>(Seed % 3);
          Rule.PlentifulWeight = static_cast<double>(Seed % 5) / 4;
          PlacementIndex Index(Rule);
          ScanBestFit Scan(Rule);
          RandomOperations Operations(Seed, {&Index, &Scan});
          for (int Step = 0; Step < 200; ++Step) {
            Operations.step();
            PlacementRequest Request{.Need = randomNeed(Operations.numbers())};
            if (Step % 3 == 0)
              Request.ExcludedWorkers = {0, 3, 5};
            if (Step % 5 == 0)
              Request.AvoidedRacks = {"r0", "r2"};
            const auto FromIndex = Index.choose(Request);
            const auto FromScan = Scan.choose(Request);
            RC_ASSERT(FromIndex.has_value() == FromScan.has_value());
            if (!FromIndex)
              continue;
            const auto Cost = [&](WorkerHandle Worker) {
              return Rule.cost(Request.Need, Index.freeOn(Worker),
                               Index.worker(Worker).Capacity.Accelerators > 0,
                               Index.memoryScarce());
            };
            RC_ASSERT(Request.Need.fitsIn(Index.freeOn(*FromIndex)));
            RC_ASSERT(Cost(*FromIndex) == Cost(*FromScan));
          }
        }));
  }

  // Guards against a gang whose tasks stay committed although others did not
  // fit.
  void gangIsPlacedAllOrNothing() {
    CPPUNIT_ASSERT(rc::check("gangs are placed whole", [](std::uint64_t Seed) {
      RC_ASSERT(areGangsAllOrNothing(Seed, false));
    }));
  }

  void testDetectsPartialGang() {
    bool Detected = false;
    for (std::uint64_t Seed = 1; Seed <= 20 && !Detected; ++Seed)
      Detected = !areGangsAllOrNothing(Seed, true);
    CPPUNIT_ASSERT(Detected);
  }

  // Guards against accelerators that stay idle because work that does not need
  // them uses the processors of their workers.
  void processorWorkLeavesAcceleratorWorkersFree() {
    PlacementIndex Index;
    const auto Plain = Index.addWorker({.Name = "plain",
                                        .Rack = "r",
                                        .FailureDomain = "d",
                                        .Capacity = {32000, 131072, 0},
                                        .Committed = {}});
    const auto Rich = Index.addWorker({.Name = "rich",
                                       .Rack = "r",
                                       .FailureDomain = "d",
                                       .Capacity = {4000, 8192, 4},
                                       .Committed = {}});
    const PlacementRequest Work{.Need = {4000, 8192, 0}};
    // The tighter fit on the accelerator worker must not be preferred.
    for (int Count = 0; Count < 8; ++Count)
      CPPUNIT_ASSERT_EQUAL(*Plain, Index.place(Work).value());
    CPPUNIT_ASSERT_EQUAL(*Rich, Index.place(Work).value());
    CPPUNIT_ASSERT(!Index.place(Work).has_value());
  }

  // Guards against a service that one rack or failure domain can take down
  // although there is capacity elsewhere.
  void servicesSpreadOverRacksAndDomains() {
    PlacementIndex Index;
    for (int Number = 0; Number < 12; ++Number)
      CPPUNIT_ASSERT(
          Index.addWorker({.Name = "w" + std::to_string(Number),
                           .Rack = "r" + std::to_string(Number / 3),
                           .FailureDomain = "d" + std::to_string(Number / 6),
                           .Capacity = {8000, 16384, 0},
                           .Committed = {}}));
    PlacementRequest Service{.Need = {1000, 1024, 0}};
    for (int Copy = 0; Copy < 4; ++Copy) {
      const WorkerHandle Worker = Index.place(Service).value();
      const std::string Rack = Index.worker(Worker).Rack;
      CPPUNIT_ASSERT(!Service.AvoidedRacks.contains(Rack));
      Service.AvoidedRacks.insert(Rack);
    }
    CPPUNIT_ASSERT(Index.place(Service).has_value());
    Service.AvoidedRacks.clear();
    Service.AvoidedDomains = {"d0"};
    CPPUNIT_ASSERT_EQUAL(
        std::string("d1"),
        Index.worker(Index.place(Service).value()).FailureDomain);
  }

  // Guards against new work on a worker that is set aside, for example because
  // it fails every start.
  void workerSetAsideGetsNoNewWork() {
    PlacementIndex Index;
    const auto Worker = Index.addWorker({.Name = "w",
                                         .Rack = "r",
                                         .FailureDomain = "d",
                                         .Capacity = {8000, 16384, 0},
                                         .Committed = {}});
    const PlacementRequest Work{.Need = {1000, 1024, 0}};
    CPPUNIT_ASSERT(Index.place(Work).has_value());
    CPPUNIT_ASSERT(Index.setAside(*Worker, true).has_value());
    CPPUNIT_ASSERT(!Index.choose(Work).has_value());
    CPPUNIT_ASSERT(Index.release(*Worker, Work.Need).has_value());
    CPPUNIT_ASSERT(!Index.choose(Work).has_value());
    CPPUNIT_ASSERT(Index.setAside(*Worker, false).has_value());
    CPPUNIT_ASSERT(Index.choose(Work).has_value());
  }

  // Guards against a reduced capacity that silently overcommits a worker.
  void capacityBelowCommittedIsRejected() {
    PlacementIndex Index;
    const auto Worker = Index.addWorker({.Name = "w",
                                         .Rack = "r",
                                         .FailureDomain = "d",
                                         .Capacity = {8000, 16384, 0},
                                         .Committed = {4000, 4096, 0}});
    const auto Shrunk = Index.setCapacity(*Worker, {2000, 16384, 0});
    CPPUNIT_ASSERT(!Shrunk && Shrunk.error().Code == ErrorCode::Conflict);
    CPPUNIT_ASSERT(!Index.release(*Worker, {5000, 0, 0}).has_value());
    CPPUNIT_ASSERT(Index.setCapacity(*Worker, {4000, 4096, 0}).has_value());
    CPPUNIT_ASSERT(!Index.choose({.Need = {1, 0, 0}}).has_value());
    CPPUNIT_ASSERT(
        !Index.update(*Worker, {4000, 4096, 0}, {4001, 0, 0}).has_value());
    CPPUNIT_ASSERT(
        Index.update(*Worker, {8000, 8192, 0}, {1000, 0, 0}).has_value());
    CPPUNIT_ASSERT(Index.freeOn(*Worker) == (Resources{7000, 8192, 0}));
    CPPUNIT_ASSERT(Index.totalCommitted() == (Resources{1000, 0, 0}));
    const auto Twice = Index.addWorker({.Name = "w",
                                        .Rack = {},
                                        .FailureDomain = {},
                                        .Capacity = {},
                                        .Committed = {}});
    CPPUNIT_ASSERT(!Twice.has_value());
  }

  // Guards against summaries that hide free capacity from other instances.
  void largestFreeEqualsMaximumOverWorkers() {
    CPPUNIT_ASSERT(rc::check("largest free", [](std::uint64_t Seed) {
      PlacementIndex Index;
      RandomOperations Operations(Seed, {&Index});
      for (int Step = 0; Step < 60; ++Step)
        Operations.step();
      Resources Expected;
      for (WorkerHandle Worker = 0; Worker < Index.handleEnd(); ++Worker)
        if (Index.contains(Worker) && !Index.worker(Worker).SetAside) {
          const Resources Free = Index.freeOn(Worker);
          Expected.CpusMilli = std::max(Expected.CpusMilli, Free.CpusMilli);
          Expected.MemoryMb = std::max(Expected.MemoryMb, Free.MemoryMb);
          Expected.Accelerators =
              std::max(Expected.Accelerators, Free.Accelerators);
        }
      RC_ASSERT(Index.largestFree() == Expected);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace hickory
