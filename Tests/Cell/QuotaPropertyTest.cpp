#include "Cell/QuotaAllotment.h"
#include "Cell/QuotaLedger.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>
#include <random>
#include <rapidcheck.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

constexpr int JobShards = 3;
constexpr const char *Account = "client";
constexpr std::uint64_t FullCap = 20000;
constexpr std::uint64_t SmallestCap = FullCap / 4; ///< Of those that change.
constexpr int Workers = 6;
constexpr std::uint64_t WorkerCpus = 8000;
const ShardMap Map(JobShards);

/// A protection of the protocol that a simulation leaves out.
enum class Missing {
  Nothing,
  Sequence,    ///< Delayed requests and replies count as the latest.
  LedgerEpoch, ///< Owners accept grants of former ledgers.
  ShardEpoch,  ///< Ledgers accept reports of former owners.
  AllReports,  ///< A ledger grants before all owners have reported.
  Unseen,      ///< New owners do not count what former ones may run.
  Stopping,    ///< The journal does not tell which cancelled tasks may run.
};

/// A task that the journal of its shard names.
struct JournaledTask {
  int Shard = 0;
  std::uint64_t Cpus = 0;
  /// Owner that may start it, until it is fenced: the one that has accepted it,
  /// or the latest one whose takeover is complete.
  std::size_t Owner = 0;
  bool Waiting = true;   ///< Its owner may start it.
  bool IsOver = false;   ///< By the journal: done or cancelled.
  bool Stopping = false; ///< By the journal: it is over, and may still run.
};

/// One process as owner of a job shard in one epoch.
struct OwnerTerm {
  int Shard = 0;
  std::uint64_t Epoch = 0;
  QuotaAllotment Allotment{Map};
  std::uint64_t LedgerAtListing = 0;
  bool Listed = false;
  bool Resolved = false;
  bool Fenced = false;                     ///< Workers reject its orders.
  std::size_t FirstOwnTask = 0;            ///< Earlier ones are inherited.
  std::set<std::size_t> SeenTasks;         ///< Inherited ones with a known run.
  std::optional<std::set<int>> OutOfReach; ///< Nothing: no holder has reported.
  std::uint64_t LastSequence = 0;
  std::uint64_t LastEpoch = 0; ///< Of the ledger, in the latest request.
  Clock::time_point ReportedAt{};
};

/// One process as holder of the ledger in one epoch.
struct LedgerTerm {
  std::uint64_t Epoch = 0;
  QuotaLedger Ledger{JobShards};
  std::vector<std::uint64_t> TermsAtListing;
  bool Resolved = false;
};

struct Message {
  std::size_t Owner = 0;
  std::size_t Ledger = 0;
  std::optional<LedgerReport> Request;
  LedgerGrants Reply;
};

struct SimulatedRun {
  std::size_t Owner = 0;
  std::size_t Task = 0;
  int Worker = 0;
  RunId Run;
  Resources Demand;
  bool Ordered = true; ///< The start order is still under way.
  bool Running = false;
};

/// Ledgers, owners, runs, workers out of reach and messages in any order, with
/// a random choice of events.
class QuotaSimulation {
public:
  explicit QuotaSimulation(std::uint64_t Seed, Missing Left = Missing::Nothing,
                           bool ChangesCaps = false)
      : Random_(Seed), Missing_(Left), ChangesCaps_(ChangesCaps) {
    takeOverLedger();
    for (int Shard = 0; Shard < JobShards; ++Shard)
      takeOverShard(Shard);
    for (int I = 0; I < 40; ++I)
      calmStep();
  }

  void runFaults(int Steps) {
    for (int I = 0; I < Steps && Violation_.empty(); ++I)
      faultyStep();
  }
  /// Completes the takeovers, ends all that runs, and lets one shard ask for
  /// the whole cap without faults for 2 s. Returns what it has running then.
  std::uint64_t useAfterCalm() {
    Messages_.clear();
    for (std::size_t I = 0; I < Runs_.size(); ++I)
      settle(I);
    Runs_.clear();
    for (std::size_t I = 0; I < 40; ++I)
      calmStep();
    const std::size_t Owner = current(number(0, JobShards - 1));
    for (int Passed = 0; Passed < 2000; Passed += 20) {
      start(Owner, accept(Owner, 1000, 20), false);
      calmStep();
    }
    arriveAll();
    return running();
  }
  [[nodiscard]] std::uint64_t cap() const { return CapByVersion_[Version_]; }
  [[nodiscard]] const std::string &violation() const { return Violation_; }

private:
  std::uint64_t number(std::uint64_t From, std::uint64_t To) {
    return std::uniform_int_distribution<std::uint64_t>(From, To)(Random_);
  }
  int number(int From, int To) {
    return std::uniform_int_distribution<int>(From, To)(Random_);
  }
  std::size_t indexIn(std::size_t Size) {
    return static_cast<std::size_t>(number(std::uint64_t{0}, Size - 1));
  }
  std::size_t current(int Shard) const {
    std::size_t Found = 0;
    for (std::size_t I = 0; I < Owners_.size(); ++I)
      if (Owners_[I]->Shard == Shard)
        Found = I;
    return Found;
  }
  [[nodiscard]] std::uint64_t running() const {
    std::uint64_t Sum = 0;
    for (const SimulatedRun &Each : Runs_)
      Sum += Each.Running ? Each.Demand.CpusMilli : 0;
    return Sum;
  }

  void takeOverLedger() {
    auto &New = Ledgers_.emplace_back(std::make_unique<LedgerTerm>());
    New->Epoch = Ledgers_.size();
    New->Ledger.setCaps(capsOf(LedgerVersion_), LedgerVersion_);
  }
  void takeOverShard(int Shard) {
    auto New = std::make_unique<OwnerTerm>();
    New->Shard = Shard;
    New->Epoch = ++LastEpoch_;
    New->FirstOwnTask = Tasks_.size();
    New->Allotment.openShard(Shard, New->Epoch);
    New->Allotment.setCaps(capsOf(Version_), Version_);
    Owners_.push_back(std::move(New));
    updateInherited(Owners_.size() - 1);
  }
  /// Returns true if the owner's journal accepts appends.
  bool isCurrent(std::size_t Index) const {
    return current(Owners_[Index]->Shard) == Index;
  }
  /// Tells the owner's allotment what the journal and the workers say.
  void updateInherited(std::size_t Index) {
    OwnerTerm &Owner = *Owners_[Index];
    InheritedDemand Demand;
    std::uint64_t Unseen = 0;
    for (std::size_t I = 0; I < Owner.FirstOwnTask; ++I) {
      const JournaledTask &Task = Tasks_[I];
      const bool MayRun = !Task.IsOver || Task.Stopping;
      if (Task.Shard == Owner.Shard && MayRun && !Owner.SeenTasks.contains(I))
        Unseen += Task.Cpus;
    }
    if (Missing_ != Missing::Unseen)
      Demand.UnseenTasks[Account] = {.CpusMilli = Unseen};
    if (Owner.OutOfReach) {
      Demand.OutOfReach.emplace();
      for (const int Worker : *Owner.OutOfReach)
        Demand.OutOfReach->emplace(std::to_string(Worker),
                                   Resources{.CpusMilli = WorkerCpus});
    }
    Owner.Allotment.setInherited(Owner.Shard, std::move(Demand));
  }
  QuotaCaps capsOf(std::uint64_t Version) const {
    return {{Account, {.CpusMilli = CapByVersion_[Version]}}};
  }
  /// The store lists the holders for a takeover.
  void list() {
    LedgerTerm &Ledger = *Ledgers_.back();
    if (Ledger.TermsAtListing.empty())
      for (int Shard = 0; Shard < JobShards; ++Shard)
        Ledger.TermsAtListing.push_back(Owners_[current(Shard)]->Epoch);
    for (int Shard = 0; Shard < JobShards; ++Shard) {
      OwnerTerm &Owner = *Owners_[current(Shard)];
      if (!Owner.Listed)
        Owner.LedgerAtListing = Ledgers_.back()->Epoch;
      Owner.Listed = true;
      Owner.Allotment.noteLedgerEpoch(Map.shardOf(Account),
                                      Owner.LedgerAtListing);
      Owner.Allotment.setLedgerKnown(Shard, Map.shardOf(Account));
    }
  }
  void resolveLedger() {
    LedgerTerm &Term = *Ledgers_.back();
    if (Term.Resolved || Term.TermsAtListing.empty())
      return;
    Term.Resolved = true;
    for (int Shard = 0; Shard < JobShards; ++Shard) {
      const auto Epoch = Term.TermsAtListing[static_cast<std::size_t>(Shard)];
      Term.Ledger.noteTerm(Shard, Epoch);
      Term.Ledger.noteListed(Shard, Epoch);
    }
    if (Missing_ == Missing::AllReports)
      for (int Shard = 0; Shard < JobShards; ++Shard)
        Term.Ledger.apply(
            {.Shard = Shard,
             .Epoch = Term.TermsAtListing[static_cast<std::size_t>(Shard)],
             .Resolved = true},
            0, Now_);
  }
  /// All holders report the runs on workers within reach to the new owner, and
  /// reject the orders of earlier ones from then on.
  void reportRuns(int Shard) {
    const std::size_t Index = current(Shard);
    OwnerTerm &New = *Owners_[Index];
    if (New.Resolved || !New.Listed)
      return;
    for (const auto &Each : Owners_)
      Each->Fenced =
          Each->Fenced || (Each->Shard == Shard && Each->Epoch < New.Epoch);
    const std::set<int> OutOfReach = SilentWorkers_;
    std::erase_if(Runs_, [&](const SimulatedRun &Each) {
      return Each.Ordered && Owners_[Each.Owner]->Fenced &&
             !OutOfReach.contains(Each.Worker);
    });
    for (SimulatedRun &Each : Runs_) {
      if (Owners_[Each.Owner]->Shard != Shard ||
          OutOfReach.contains(Each.Worker) || Each.Owner == Index)
        continue;
      Each.Owner = Index;
      New.SeenTasks.insert(Each.Task);
      New.Allotment.beginRun(Shard, Account, Each.Run, Each.Demand, Now_, true);
    }
    if (!New.OutOfReach)
      New.OutOfReach = OutOfReach;
    std::erase_if(*New.OutOfReach, [&OutOfReach](int Worker) {
      return !OutOfReach.contains(Worker);
    });
  }
  /// Completes the takeover if all runs are known.
  void resolveShard(int Shard) {
    const std::size_t Index = current(Shard);
    OwnerTerm &New = *Owners_[Index];
    if (New.Resolved || !New.OutOfReach || !New.OutOfReach->empty())
      return;
    for (std::size_t I = 0; I < New.FirstOwnTask; ++I)
      if (Tasks_[I].Shard == Shard) {
        Tasks_[I].Owner = Index;
        Tasks_[I].Waiting = !Tasks_[I].IsOver && !isRunning(I);
      }
    New.Allotment.setResolved(Shard);
    New.Resolved = true;
  }
  bool isRunning(std::size_t Task) const {
    return std::ranges::any_of(
        Runs_, [Task](const SimulatedRun &Each) { return Each.Task == Task; });
  }
  /// A worker falls silent or answers again, or all silent ones have lost their
  /// runs as the leases have ended.
  void changeReach() {
    if (SilentWorkers_.empty() || number(0, 2) == 0) {
      SilentWorkers_.insert(number(0, Workers - 1));
    } else if (number(0, 1) == 0) {
      SilentWorkers_.erase(SilentWorkers_.begin());
    } else {
      std::erase_if(Runs_, [this](const SimulatedRun &Each) {
        return SilentWorkers_.contains(Each.Worker) &&
               Owners_[Each.Owner]->Fenced;
      });
    }
  }

  /// Returns the first of Count new tasks that the owner has accepted; nothing
  /// if its journal accepts no appends.
  std::optional<std::size_t> accept(std::size_t Index, std::uint64_t Cpus,
                                    int Count) {
    if (!isCurrent(Index))
      return std::nullopt;
    const std::size_t First = Tasks_.size();
    for (int I = 0; I < Count; ++I)
      Tasks_.push_back(
          {.Shard = Owners_[Index]->Shard, .Cpus = Cpus, .Owner = Index});
    return First;
  }
  /// Returns the first of some waiting tasks that the owner may start.
  std::optional<std::size_t> findWaiting(std::size_t Index) {
    std::vector<std::size_t> Found;
    for (std::size_t I = 0; I < Tasks_.size(); ++I)
      if (Tasks_[I].Owner == Index && Tasks_[I].Waiting)
        Found.push_back(I);
    return Found.empty() ? std::nullopt
                         : std::optional(Found[indexIn(Found.size())]);
  }
  /// The job of the task is cancelled, and its runs go on.
  void cancel(std::size_t Index) {
    JournaledTask &Task = Tasks_[Index];
    OwnerTerm &Owner = *Owners_[current(Task.Shard)];
    if (Task.IsOver)
      return;
    Task.IsOver = true;
    const bool Inherited = Index < Owner.FirstOwnTask;
    const bool MayRun = Inherited && !Owner.Resolved ? true : isRunning(Index);
    Task.Stopping = MayRun && Missing_ != Missing::Stopping;
    if (&Owner == Owners_[Task.Owner].get())
      Task.Waiting = false;
  }
  void cancelAll(int Shard) {
    for (std::size_t I = 0; I < Tasks_.size(); ++I)
      if (Tasks_[I].Shard == Shard)
        cancel(I);
  }
  std::optional<int> workerFor(std::uint64_t Cpus) {
    const int First = number(0, Workers - 1);
    for (int I = 0; I < Workers; ++I) {
      const int Worker = (First + I) % Workers;
      std::uint64_t Sum = Cpus;
      for (const SimulatedRun &Each : Runs_)
        Sum += Each.Worker == Worker ? Each.Demand.CpusMilli : 0;
      if (Sum <= WorkerCpus)
        return Worker;
    }
    return std::nullopt;
  }

  /// Starts the task and the following ones that are like it.
  void start(std::size_t Index, std::optional<std::size_t> First, bool Gang) {
    OwnerTerm &Owner = *Owners_[Index];
    if (Owner.Fenced || !First)
      return;
    const std::uint64_t Cpus = Tasks_[*First].Cpus;
    int Count = 0;
    for (std::size_t I = *First; I < Tasks_.size(); ++I, ++Count)
      if (Tasks_[I].Owner != Index || !Tasks_[I].Waiting ||
          Tasks_[I].Cpus != Cpus)
        break;
    // A gang above the cap may start alone, up to the cap and one task.
    if (ChangesCaps_ && Gang)
      Count = std::min(Count, static_cast<int>(SmallestCap / Cpus));
    StepSpec Spec{.Count = Count, .Demand = {.CpusMilli = Cpus}, .Gang = Gang};
    const int Starts = Owner.Allotment.startable(
        {.Shard = Owner.Shard,
         .Account = Account,
         .Name = std::to_string(Cpus) + (Gang ? "g" : "t"),
         .Spec = &Spec},
        Count, Now_);
    if (Gang && Starts != 0 && Starts != Count)
      Violation_ = "part of a gang is started";
    for (int I = 0; I < Starts; ++I) {
      const auto Worker = workerFor(Cpus);
      if (!Worker)
        return;
      const std::size_t Task = *First + static_cast<std::size_t>(I);
      Tasks_[Task].Waiting = false;
      SimulatedRun New{.Owner = Index,
                       .Task = Task,
                       .Worker = *Worker,
                       .Run = {.Task = {.Job = "j", .Index = ++LastRun_},
                               .Run = 1,
                               .Worker = std::to_string(*Worker)},
                       .Demand = Spec.Demand};
      Owner.Allotment.beginRun(Owner.Shard, Account, New.Run, New.Demand, Now_);
      Runs_.push_back(std::move(New));
    }
    if (Starts > 0)
      check();
  }
  /// Checks what runs and what may still start, after a start.
  void check() {
    // Owners that do not have the latest cap may start up to their own.
    std::uint64_t Cap = 0;
    for (const auto &Each : Owners_)
      if (!Each->Fenced)
        Cap = std::max(Cap, Each->Allotment.caps().at(Account).CpusMilli);
    std::uint64_t Sum = 0;
    for (const SimulatedRun &Each : Runs_)
      Sum += Each.Demand.CpusMilli;
    if (Sum > Cap)
      Violation_ = std::to_string(Sum) + " of " + std::to_string(Cap);
  }
  static void arrive(SimulatedRun &Run) {
    Run.Ordered = false;
    Run.Running = true;
  }
  void arriveAll() {
    for (SimulatedRun &Each : Runs_)
      arrive(Each);
  }
  /// The run ends, and its owner learns of it.
  void settle(std::size_t Index) {
    const SimulatedRun &Run = Runs_[Index];
    Owners_[Run.Owner]->Allotment.endRun(Owners_[Run.Owner]->Shard, Run.Run);
  }
  void end(std::size_t Index) {
    const SimulatedRun Run = Runs_[Index];
    if (Run.Ordered || SilentWorkers_.contains(Run.Worker))
      return;
    settle(Index);
    Runs_.erase(Runs_.begin() + static_cast<std::ptrdiff_t>(Index));
    JournaledTask &Task = Tasks_[Run.Task];
    OwnerTerm &Owner = *Owners_[Run.Owner];
    const bool IsFailed = number(0, 2) == 0;
    if (isCurrent(Run.Owner)) {
      Task.IsOver = Task.IsOver || !IsFailed;
      // Of an inherited task, a former owner may start another run.
      Task.Stopping =
          Task.Stopping && !Owner.Resolved && Run.Task < Owner.FirstOwnTask;
    }
    if (IsFailed) {
      Owner.SeenTasks.erase(Run.Task);
      Task.Waiting = !Task.IsOver && Task.Owner == Run.Owner;
    }
  }

  Message request(std::size_t Index, std::size_t Ledger) {
    OwnerTerm &Owner = *Owners_[Index];
    updateInherited(Index);
    Message New{.Owner = Index, .Ledger = Ledger};
    if (Missing_ == Missing::LedgerEpoch)
      Owner.Allotment.noteLedgerEpoch(Map.shardOf(Account), 1);
    New.Request = Owner.Allotment.report(Map.shardOf(Account), Now_);
    if (!New.Request->Shards.empty())
      Owner.LastSequence = New.Request->Shards.front().Sequence;
    Owner.LastEpoch = New.Request->Epoch;
    Owner.ReportedAt = Now_;
    return New;
  }
  Message answer(const Message &Received) {
    LedgerTerm &Term = *Ledgers_[Received.Ledger];
    Message Answer{.Owner = Received.Owner, .Ledger = Received.Ledger};
    Answer.Reply = {.Ledger = Received.Request->Ledger, .Epoch = Term.Epoch};
    if (Received.Request->Epoch != Term.Epoch &&
        Missing_ != Missing::LedgerEpoch)
      return Answer;
    for (ShardUsageReport Shard : Received.Request->Shards) {
      if (Missing_ == Missing::Sequence)
        Shard.Sequence = ++FreshSequence_;
      const std::uint64_t Epoch = Shard.Epoch;
      if (Missing_ == Missing::ShardEpoch) {
        Shard.Epoch = Owners_[current(Shard.Shard)]->Epoch;
        Shard.Sequence = ++FreshSequence_;
      }
      ShardGrants Grants =
          Term.Ledger.apply(Shard, Received.Request->Version, Now_);
      Grants.Epoch = Epoch;
      Grants.Sequence = Received.Request->Shards.front().Sequence;
      Answer.Reply.Shards.push_back(Grants);
    }
    return Answer;
  }
  void receive(Message Received) {
    OwnerTerm &Owner = *Owners_[Received.Owner];
    if (Missing_ == Missing::LedgerEpoch)
      Received.Reply.Epoch = Owner.LastEpoch;
    if (Missing_ == Missing::Sequence)
      for (ShardGrants &Each : Received.Reply.Shards)
        Each.Sequence = Owner.LastSequence;
    Owner.Allotment.apply(Received.Reply, Now_);
  }
  void deliver(std::size_t Index, bool Again) {
    const Message Received = Messages_[Index];
    if (!Again)
      Messages_.erase(Messages_.begin() + static_cast<std::ptrdiff_t>(Index));
    if (Received.Request)
      Messages_.push_back(answer(Received));
    else
      receive(Received);
  }

  void changeCap() {
    CapByVersion_.push_back(number(1, 4) * SmallestCap);
    Version_ = CapByVersion_.size() - 1;
  }
  void spreadConfiguration() {
    if (number(0, 1) == 0) {
      LedgerVersion_ = Version_;
      Ledgers_.back()->Ledger.setCaps(capsOf(Version_), Version_);
    } else {
      Owners_[indexIn(Owners_.size())]->Allotment.setCaps(capsOf(Version_),
                                                          Version_);
    }
  }

  std::size_t chooseLedger() {
    return number(0, 3) == 0 ? indexIn(Ledgers_.size()) : Ledgers_.size() - 1;
  }

  void faultyStep() {
    const int Event = number(0, 199);
    Now_ += std::chrono::milliseconds(number(0, 10));
    // Mostly current owners and ledgers; the others are frozen and wake.
    const std::size_t Owner = number(0, 3) == 0
                                  ? indexIn(Owners_.size())
                                  : current(number(0, JobShards - 1));
    if (Event < 30)
      start(Owner,
            accept(Owner, number(std::uint64_t{1}, std::uint64_t{4}) * 1000,
                   number(1, 5)),
            number(0, 3) == 0);
    else if (Event < 50)
      start(Owner, findWaiting(Owner), false);
    else if (Event < 65 && !Runs_.empty())
      arrive(Runs_[indexIn(Runs_.size())]);
    else if (Event < 85 && !Runs_.empty())
      end(indexIn(Runs_.size()));
    else if (Event < 108)
      Messages_.push_back(request(Owner, chooseLedger()));
    else if (Event < 180 && !Messages_.empty())
      deliver(indexIn(Messages_.size()), number(0, 9) == 0);
    else if (Event < 184 && !Messages_.empty())
      Messages_.erase(Messages_.begin());
    else if (Event < 185)
      takeOverShard(number(0, JobShards - 1));
    else if (Event < 186)
      takeOverLedger();
    else if (Event < 189)
      list();
    else if (Event < 191)
      reportRuns(number(0, JobShards - 1));
    else if (Event < 192)
      changeReach();
    else if (Event < 193 && !Runs_.empty())
      cancel(Runs_[indexIn(Runs_.size())].Task);
    else if (Event < 194)
      cancelAll(number(0, JobShards - 1));
    else if (Event < 195)
      resolveShard(number(0, JobShards - 1));
    else if (Event < 198)
      resolveLedger();
    else if (Event < 199 && ChangesCaps_)
      changeCap();
    else
      spreadConfiguration();
  }

  /// 20 ms without faults.
  void calmStep() {
    Now_ += 20ms;
    SilentWorkers_.clear();
    list();
    resolveLedger();
    LedgerVersion_ = Version_;
    Ledgers_.back()->Ledger.setCaps(capsOf(Version_), Version_);
    for (int Shard = 0; Shard < JobShards; ++Shard) {
      reportRuns(Shard);
      resolveShard(Shard);
      const std::size_t Index = current(Shard);
      OwnerTerm &Owner = *Owners_[Index];
      Owner.Allotment.setCaps(capsOf(Version_), Version_);
      if (Owner.Allotment.ledgersToCall(Now_).empty() &&
          Now_ - Owner.ReportedAt < 1s &&
          Owner.ReportedAt != Clock::time_point{})
        continue;
      receive(answer(request(Index, Ledgers_.size() - 1)));
    }
  }

  std::mt19937_64 Random_;
  Missing Missing_;
  bool ChangesCaps_;
  Clock::time_point Now_{1h};
  std::vector<std::uint64_t> CapByVersion_{0, FullCap};
  std::uint64_t Version_ = 1;
  std::uint64_t LedgerVersion_ = 1;
  std::vector<std::unique_ptr<OwnerTerm>> Owners_;
  std::vector<std::unique_ptr<LedgerTerm>> Ledgers_;
  std::vector<SimulatedRun> Runs_;
  std::vector<JournaledTask> Tasks_;
  std::set<int> SilentWorkers_;
  std::vector<Message> Messages_;
  std::uint64_t LastEpoch_ = 0;
  std::uint64_t FreshSequence_ = 0;
  int LastRun_ = 0;
  std::string Violation_;
};

/// Returns the number of simulations in which the sum exceeds the cap.
int violationsWithout(Missing Protection) {
  int Found = 0;
  for (std::uint64_t Seed = 0; Seed < 800; ++Seed) {
    QuotaSimulation Simulation(Seed, Protection);
    Simulation.runFaults(2500);
    Found += Simulation.violation().empty() ? 0 : 1;
  }
  return Found;
}

} // namespace

class QuotaPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaPropertyTest);
  CPPUNIT_TEST(propertySumStaysWithinCap);
  CPPUNIT_TEST(propertySumStaysWithinChangingCap);
  CPPUNIT_TEST(testRemovedProtectionsAreFound);
  CPPUNIT_TEST(testLedgersAndNewOwnersAwaitLists);
  CPPUNIT_TEST(testInheritedRunsCountUnderANewCap);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against more than the cap running after any order of grants, lost
  // and delayed messages, takeovers beside workers out of reach, starts, ends
  // and cancelled jobs, and against amounts that nobody uses and nobody gets.
  void propertySumStaysWithinCap() {
    CPPUNIT_ASSERT(rc::check("the sum stays within the cap", [] {
      const auto Seed =
          *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1U << 31));
      QuotaSimulation Simulation(Seed);
      Simulation.runFaults(3000);
      RC_ASSERT(Simulation.violation() == std::string());
      RC_ASSERT(Simulation.useAfterCalm() == FullCap);
      RC_ASSERT(Simulation.violation() == std::string());
    }));
  }

  // Guards against starts above a cap that has become smaller.
  void propertySumStaysWithinChangingCap() {
    CPPUNIT_ASSERT(rc::check("the sum stays within a changing cap", [] {
      const auto Seed =
          *rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(0, 1U << 31));
      QuotaSimulation Simulation(Seed, Missing::Nothing, true);
      Simulation.runFaults(3000);
      RC_ASSERT(Simulation.violation() == std::string());
      RC_ASSERT(Simulation.useAfterCalm() == Simulation.cap());
      RC_ASSERT(Simulation.violation() == std::string());
    }));
  }

  // Guards against a simulation that does not reach what the protections are
  // for.
  void testRemovedProtectionsAreFound() {
    CPPUNIT_ASSERT_EQUAL(0, violationsWithout(Missing::Nothing));
    CPPUNIT_ASSERT(violationsWithout(Missing::Sequence) > 0);
    CPPUNIT_ASSERT(violationsWithout(Missing::LedgerEpoch) > 0);
    CPPUNIT_ASSERT(violationsWithout(Missing::ShardEpoch) > 0);
    CPPUNIT_ASSERT(violationsWithout(Missing::AllReports) > 0);
    CPPUNIT_ASSERT(violationsWithout(Missing::Unseen) > 0);
    CPPUNIT_ASSERT(violationsWithout(Missing::Stopping) > 0);
  }

  // Guards against a new ledger that opens without the report of an owner which
  // it does not know, while this owner gets amounts from the former ledger.
  void testLedgersAndNewOwnersAwaitLists() {
    const int Number = Map.shardOf(Account);
    QuotaLedger Ledger(JobShards);
    Ledger.setCaps({{Account, {.CpusMilli = FullCap}}}, 1);
    for (int Shard = 0; Shard < JobShards; ++Shard)
      Ledger.apply({.Shard = Shard, .Epoch = 1, .Sequence = 1}, 1, {});
    CPPUNIT_ASSERT(!Ledger.isOpen());
    for (int Shard = 0; Shard < JobShards; ++Shard)
      Ledger.noteListed(Shard, Shard == 0 ? 2 : 1);
    Ledger.apply({.Shard = 1, .Epoch = 1, .Sequence = 2}, 1, {});
    CPPUNIT_ASSERT(!Ledger.isOpen());
    Ledger.apply({.Shard = 0, .Epoch = 2, .Sequence = 1}, 1, {});
    CPPUNIT_ASSERT(Ledger.isOpen());

    QuotaAllotment Owner(Map);
    Owner.setCaps({{Account, {.CpusMilli = FullCap}}}, 1);
    Owner.openShard(0, 2);
    CPPUNIT_ASSERT(Owner.report(Number, {}).Shards.empty());
    Owner.setLedgerKnown(0, Number);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Owner.report(Number, {}).Shards.size());
  }

  // Guards against runs of a former owner that do not count, as the account had
  // no cap yet when that owner reported last.
  void testInheritedRunsCountUnderANewCap() {
    QuotaLedger Ledger(JobShards);
    Ledger.setCaps({}, 1);
    for (int Shard = 0; Shard < JobShards; ++Shard) {
      Ledger.noteListed(Shard, 1);
      Ledger.apply({.Shard = Shard, .Epoch = 1, .Sequence = 1}, 1, {});
    }
    Ledger.setCaps({{Account, {.CpusMilli = FullCap}}}, 2);
    AccountUsage Inherited{.Account = Account,
                           .Unseen = {.CpusMilli = FullCap}};
    ShardUsageReport NewOwner{.Shard = 0, .Epoch = 2, .Sequence = 1};
    NewOwner.Accounts.push_back(Inherited);
    Ledger.apply(NewOwner, 2, {});
    AccountUsage Waiting{.Account = Account,
                         .Wanted = {.CpusMilli = 1000},
                         .Minimum = {.CpusMilli = 1000}};
    ShardUsageReport Other{
        .Shard = 1, .Epoch = 1, .Resolved = true, .Sequence = 2};
    Other.Accounts.push_back(Waiting);
    const ShardGrants Answer = Ledger.apply(Other, 2, {});
    CPPUNIT_ASSERT(Answer.Accounts.at(0).Granted.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaPropertyTest);

} // namespace hickory
