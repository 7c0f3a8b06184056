#include "Config/ConfigState.h"

#include "ConfigTestSupport.h"
#include "Fakes/FakeTimerService.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace hickory {

namespace {

/// A small world of names, so that references, conflicts and duplicates occur
/// often.
std::string nameOf(int Number) { return fmt::format("n{}", Number); }

std::string randomToml(const std::string &Kind) {
  const int A = *rc::gen::inRange(0, 3);
  const int B = *rc::gen::inRange(0, 3);
  const int Amount = *rc::gen::inRange(-1, 8);
  if (Kind == "member")
    return "teams = [\"t\"]\n";
  if (Kind == "pool")
    return Amount < 0 ? std::string()
                      : fmt::format("[capacity]\ncpus_milli = {}\n", Amount);
  if (Kind == "policy")
    return Amount < 3 ? std::string()
                      : fmt::format("inherits = \"{}\"\n", nameOf(A));
  if (Kind == "quota")
    return fmt::format("member = \"{}\"\npool = \"{}\"\ncpus_milli = {}\n",
                       nameOf(A), nameOf(B), Amount);
  return fmt::format("pool = \"{}\"\npolicy = \"{}\"\n", nameOf(A), nameOf(B));
}

/// A change set that fits State with the given chance per object.
records::ChangeSet randomChangeSet(const ConfigState &State, int Serial) {
  std::map<ConfigObjectId, std::uint64_t> Versions;
  for (const records::ConfigObject &Object : State.objects())
    Versions[{Object.kind(), Object.name()}] = Object.version();
  records::ChangeSet Changes;
  // Sometimes an id that was used before.
  Changes.set_id(fmt::format(
      "id{}",
      *rc::gen::weightedOneOf<int>(
          {{9, rc::gen::just(Serial)}, {1, rc::gen::inRange(0, Serial + 1)}})));
  const int Count = *rc::gen::inRange(1, 5);
  for (int I = 0; I < Count; ++I) {
    const std::string Kind = *rc::gen::elementOf(configKinds());
    const ConfigObjectId Id{Kind, nameOf(*rc::gen::inRange(0, 3))};
    const auto It = Versions.find(Id);
    std::uint64_t Base = It == Versions.end() ? 0 : It->second;
    if (*rc::gen::inRange(0, 12) == 0)
      Base += 1;
    if (*rc::gen::inRange(0, 4) == 0)
      removeObject(Changes, Kind, Id.Name, Base);
    else
      addObject(Changes, Kind, Id.Name, randomToml(Kind), Base);
  }
  return Changes;
}

/// Fails if the published objects refer to something that does not exist.
void checkNoDanglingReference(const ConfigState &State) {
  std::set<ConfigObjectId> Ids;
  for (const records::ConfigObject &Object : State.objects())
    Ids.insert({Object.kind(), Object.name()});
  for (const records::ConfigObject &Object : State.objects()) {
    std::vector<std::string> Errors;
    const auto Content = parseConfigObject(Object, Errors);
    RC_ASSERT(Content.has_value());
    if (const auto *Quota = std::get_if<QuotaConfig>(&*Content)) {
      RC_ASSERT(Ids.contains({"member", Quota->Member}));
      RC_ASSERT(Ids.contains({"pool", Quota->Pool}));
    } else if (const auto *Class = std::get_if<JobClassObject>(&*Content)) {
      RC_ASSERT(Ids.contains({"policy", Class->Policy}));
      RC_ASSERT(Ids.contains({"pool", Class->Pool}));
      RC_ASSERT(State.jobClass(Object.name()).has_value());
    } else if (const auto *Policy = std::get_if<PolicyObject>(&*Content)) {
      // The chain ends within as many steps as there are objects.
      std::string Next = Policy->Inherits;
      std::size_t Steps = 0;
      while (!Next.empty()) {
        RC_ASSERT(Ids.contains({"policy", Next}));
        RC_ASSERT(++Steps <= Ids.size());
        for (const records::ConfigObject &Other : State.objects())
          if (Other.kind() == "policy" && Other.name() == Next) {
            const auto Parsed = parseConfigObject(Other, Errors);
            Next = std::get<PolicyObject>(*Parsed).Inherits;
            break;
          }
      }
    }
  }
}

std::string bytesOf(const ConfigState &State) {
  const auto Snapshot = State.save();
  return Snapshot ? Snapshot->SerializeAsString() : std::string();
}

} // namespace

class ConfigStatePropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStatePropertyTest);
  CPPUNIT_TEST(replayFromAnySnapshotGivesSameState);
  CPPUNIT_TEST(oneOfTwoChangesWithSameBaseWins);
  CPPUNIT_TEST_SUITE_END();

  FakeTimerService Timers_;

public:
  // Guards against instances that disagree because they started from different
  // snapshots, and against published states with dangling references.
  void replayFromAnySnapshotGivesSameState() {
    const bool Passed = rc::check(
        "replay from any snapshot point gives the same state", [this] {
          ConfigState Full(Timers_);
          std::vector<records::RecordBatch> Batches;
          std::vector<std::optional<records::ConfigSnapshot>> Points;
          const int Length = *rc::gen::inRange(2, 25);
          // Starts with some objects, so that later references often hold.
          records::ChangeSet Base;
          Base.set_id("base");
          for (const char *Kind : {"member", "pool", "policy"})
            for (int N = 0; N < 2; ++N)
              addObject(Base, Kind, nameOf(N), "");
          Points.push_back(Full.save());
          Batches.push_back(batchOf(Base));
          Full.onBatch(0, Batches.front());
          std::uint64_t LastVersion = 1;
          int AcceptedCount = 0;
          for (int I = 1; I < Length; ++I) {
            Points.push_back(Full.save());
            records::RecordBatch Batch;
            const int Records = *rc::gen::inRange(0, 3);
            for (int R = 0; R < Records; ++R)
              *Batch.add_records()->mutable_change_set() =
                  randomChangeSet(Full, I * 3 + R);
            Full.onBatch(static_cast<std::uint64_t>(I) * 2, Batch);
            Batches.push_back(Batch);
            RC_ASSERT(Full.version() >= LastVersion);
            AcceptedCount += static_cast<int>(Full.version() - LastVersion);
            LastVersion = Full.version();
            checkNoDanglingReference(Full);
          }
          RC_CLASSIFY(AcceptedCount > 0, "with accepted change sets");
          const int From = *rc::gen::inRange(0, Length);
          ConfigState Late(Timers_);
          if (Points[From])
            RC_ASSERT(Late.load(*Points[From]));
          // Batches that the snapshot covers may be delivered again.
          const int Start = *rc::gen::inRange(0, From + 1);
          for (int I = Points[From] ? Start : 0; I < Length; ++I)
            Late.onBatch(static_cast<std::uint64_t>(I) * 2, Batches[I]);
          RC_ASSERT(bytesOf(Late) == bytesOf(Full));
          RC_ASSERT(Late.version() == Full.version());
          // A state that is behind may also skip ahead with a snapshot.
          ConfigState Skipping(Timers_);
          const int Seen = *rc::gen::inRange(0, From + 1);
          for (int I = 0; I < Seen; ++I)
            Skipping.onBatch(static_cast<std::uint64_t>(I) * 2, Batches[I]);
          if (Points[From])
            Skipping.load(*Points[From]);
          for (int I = Points[From] ? From : Seen; I < Length; ++I)
            Skipping.onBatch(static_cast<std::uint64_t>(I) * 2, Batches[I]);
          RC_ASSERT(bytesOf(Skipping) == bytesOf(Full));
        });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against lost updates and against change sets that both fail.
  void oneOfTwoChangesWithSameBaseWins() {
    const bool Passed = rc::check(
        "of two valid change sets with the same base exactly one wins", [this] {
          ConfigState State(Timers_);
          State.onBatch(0, batchOf(cellChangeSet("cell")));
          const int Edits = *rc::gen::inRange(0, 5);
          std::uint64_t Base = 1;
          for (int I = 0; I < Edits; ++I) {
            records::ChangeSet Edit;
            Edit.set_id(fmt::format("edit{}", I));
            addObject(Edit, "policy", "urgent",
                      fmt::format("priority = {}\n", I), Base);
            State.onBatch(State.covered().value() + 1, batchOf(Edit));
            Base = State.version();
          }
          std::vector<records::ChangeSet> Rivals(2);
          for (int I = 0; I < 2; ++I) {
            Rivals[I].set_id(fmt::format("rival{}", I));
            addObject(
                Rivals[I], "policy", "urgent",
                fmt::format("priority = {}\n", *rc::gen::inRange(0, 10000)),
                Base);
            if (*rc::gen::arbitrary<bool>())
              addObject(Rivals[I], "member", fmt::format("extra{}", I), "");
          }
          const int First = *rc::gen::inRange(0, 2);
          const bool OneBatch = *rc::gen::arbitrary<bool>();
          records::RecordBatch Batch = batchOf(Rivals[First]);
          if (OneBatch)
            *Batch.add_records()->mutable_change_set() = Rivals[1 - First];
          State.onBatch(50, Batch);
          if (!OneBatch)
            State.onBatch(51, batchOf(Rivals[1 - First]));
          const auto Winner = State.verdict(Rivals[First].id()).value();
          const auto Loser = State.verdict(Rivals[1 - First].id()).value();
          RC_ASSERT(Winner.Kind == VerdictKind::Accepted);
          RC_ASSERT(Loser.Kind == VerdictKind::Conflict);
          RC_ASSERT(Loser.Object == "policy.urgent");
          RC_ASSERT(Loser.Version == Winner.Version);
          RC_ASSERT(!State.hasMember(fmt::format("extra{}", 1 - First)));
        });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStatePropertyTest);

} // namespace hickory
