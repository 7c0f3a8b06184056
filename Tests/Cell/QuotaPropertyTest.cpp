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
const ShardMap Map(JobShards);

/// A protection of the protocol that a simulation leaves out.
enum class Missing {
  Nothing,
  Sequence,    ///< Delayed requests and replies count as the latest.
  LedgerEpoch, ///< Owners accept grants of former ledgers.
  ShardEpoch,  ///< Ledgers accept reports of former owners.
  AllReports,  ///< A ledger grants before all owners have reported.
};

/// One process as owner of a job shard in one epoch.
struct OwnerTerm {
  int Shard = 0;
  std::uint64_t Epoch = 0;
  QuotaAllotment Allotment{Map};
  std::uint64_t LedgerAtListing = 0;
  bool Listed = false;
  bool Resolved = false;
  bool Fenced = false; ///< Workers reject its orders.
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
  RunId Run;
  Resources Demand;
  bool Ordered = true; ///< The start order is still under way.
  bool Running = false;
};

/// Ledgers, owners, runs and messages in any order, with a random choice of
/// events.
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
      start(Owner, 1000, 20, false);
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
    New->Allotment.openShard(Shard, New->Epoch);
    New->Allotment.setCaps(capsOf(Version_), Version_);
    Owners_.push_back(std::move(New));
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
    }
  }
  void resolveLedger() {
    LedgerTerm &Term = *Ledgers_.back();
    if (Term.Resolved || Term.TermsAtListing.empty())
      return;
    Term.Resolved = true;
    for (int Shard = 0; Shard < JobShards; ++Shard)
      Term.Ledger.noteTerm(
          Shard, Term.TermsAtListing[static_cast<std::size_t>(Shard)]);
    Term.Ledger.setResolved();
    if (Missing_ == Missing::AllReports)
      for (int Shard = 0; Shard < JobShards; ++Shard)
        Term.Ledger.apply(
            {.Shard = Shard,
             .Epoch = Term.TermsAtListing[static_cast<std::size_t>(Shard)],
             .Resolved = true},
            0, Now_);
  }
  /// All holders report to the new owner, and reject earlier ones from then on.
  void resolveShard(int Shard) {
    const std::size_t Index = current(Shard);
    OwnerTerm &New = *Owners_[Index];
    if (New.Resolved || !New.Listed)
      return;
    for (const auto &Each : Owners_)
      Each->Fenced =
          Each->Fenced || (Each->Shard == Shard && Each->Epoch < New.Epoch);
    std::erase_if(Runs_, [&](const SimulatedRun &Each) {
      return Each.Ordered && Owners_[Each.Owner]->Fenced;
    });
    for (SimulatedRun &Each : Runs_)
      if (Owners_[Each.Owner]->Shard == Shard) {
        Each.Owner = Index;
        New.Allotment.beginRun(Shard, Account, Each.Run, Each.Demand, Now_);
      }
    New.Allotment.noteLedgerEpoch(Map.shardOf(Account), New.LedgerAtListing);
    New.Allotment.setResolved(Shard);
    New.Resolved = true;
  }

  void start(std::size_t Index, std::uint64_t Cpus, int Count, bool Gang) {
    OwnerTerm &Owner = *Owners_[Index];
    if (Owner.Fenced)
      return;
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
      SimulatedRun New{.Owner = Index,
                       .Run = {.Task = {.Job = "j", .Index = ++LastRun_},
                               .Run = 1,
                               .Worker = "w"},
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
    if (Runs_[Index].Ordered)
      return;
    settle(Index);
    Runs_.erase(Runs_.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  Message request(std::size_t Index, std::size_t Ledger) {
    OwnerTerm &Owner = *Owners_[Index];
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

  void faultyStep() {
    const int Event = number(0, 199);
    Now_ += std::chrono::milliseconds(number(0, 10));
    // Mostly current owners and ledgers; the others are frozen and wake.
    const std::size_t Owner = number(0, 3) == 0
                                  ? indexIn(Owners_.size())
                                  : current(number(0, JobShards - 1));
    if (Event < 50)
      start(Owner, number(std::uint64_t{1}, std::uint64_t{4}) * 1000,
            number(1, 5), number(0, 3) == 0);
    else if (Event < 65 && !Runs_.empty())
      arrive(Runs_[indexIn(Runs_.size())]);
    else if (Event < 85 && !Runs_.empty())
      end(indexIn(Runs_.size()));
    else if (Event < 108)
      Messages_.push_back(request(Owner, number(0, 3) == 0
                                             ? indexIn(Ledgers_.size())
                                             : Ledgers_.size() - 1));
    else if (Event < 180 && !Messages_.empty())
      deliver(indexIn(Messages_.size()), number(0, 9) == 0);
    else if (Event < 184 && !Messages_.empty())
      Messages_.erase(Messages_.begin());
    else if (Event < 185)
      takeOverShard(number(0, JobShards - 1));
    else if (Event < 186)
      takeOverLedger();
    else if (Event < 190)
      list();
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
    list();
    resolveLedger();
    LedgerVersion_ = Version_;
    Ledgers_.back()->Ledger.setCaps(capsOf(Version_), Version_);
    for (int Shard = 0; Shard < JobShards; ++Shard) {
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
  std::vector<Message> Messages_;
  std::uint64_t LastEpoch_ = 0;
  std::uint64_t FreshSequence_ = 0;
  int LastRun_ = 0;
  std::string Violation_;
};

/// Returns the number of simulations in which the sum exceeds the cap.
int violationsWithout(Missing Protection) {
  int Found = 0;
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
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
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against more than the cap running after any order of grants, lost
  // and delayed messages, takeovers, starts and ends, and against amounts that
  // nobody uses and nobody gets.
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
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaPropertyTest);

} // namespace hickory
