#include "Cell/WorkerList.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

/// Records of the form SERVICE/ANYTHING.
class FakeRecords final : public CellRecords {
public:
  [[nodiscard]] Result<WorkerEntry>
  parseWorker(const std::string &Key, const std::string &Value) const override {
    ++Parsed;
    const std::size_t Slash = Value.find('/');
    if (Slash == std::string::npos)
      return fail(ErrorCode::InvalidArgument, "no slash");
    return WorkerEntry{.Id = Key, .Service = Value.substr(0, Slash)};
  }
  [[nodiscard]] std::optional<CellConfiguration>
  parseConfiguration(const std::string & /*Key*/,
                     const std::string & /*Value*/) const override {
    return std::nullopt;
  }
  mutable int Parsed = 0;
};

} // namespace

class WorkerListTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerListTest);
  CPPUNIT_TEST(testHeartbeatsCostOnlyTheirOwnRecord);
  CPPUNIT_TEST(testWorkerThatBecomesUnreadableIsRemoved);
  CPPUNIT_TEST(testUnusableEntryIsReportedOnceAndHidesNoOther);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a cost of each heartbeat that grows with the number of all
  // workers.
  void testHeartbeatsCostOnlyTheirOwnRecord() {
    FakeRecords Records;
    WorkerList List(Records);
    std::map<std::string, std::string> Values;
    std::set<std::string> All;
    for (int I = 0; I < 1000; ++I) {
      Values["w" + std::to_string(I)] = "pool/1";
      All.insert("w" + std::to_string(I));
    }
    CPPUNIT_ASSERT(List.apply(Values, All));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1000), List.workers().size());
    Records.Parsed = 0;
    Values["w7"] = "pool/2";
    CPPUNIT_ASSERT(!List.apply(Values, {"w7"}));
    CPPUNIT_ASSERT_EQUAL(1, Records.Parsed);
    Values["w7"] = "other/3";
    CPPUNIT_ASSERT(List.apply(Values, {"w7"}));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), List.workers().at("w7").Service);
  }

  // Guards against an unusable entry without a log line, or with one for each
  // of its heartbeats.
  void testUnusableEntryIsReportedOnceAndHidesNoOther() {
    FakeRecords Records;
    WorkerList List(Records);
    std::map<std::string, std::string> Values = {
        {"a", "pool/1"}, {"b", "odd"}, {"c", "pool/1"}};
    CPPUNIT_ASSERT(List.apply(Values, {"a", "b", "c"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), List.workers().size());
    const auto Rejected = List.takeRejected();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Rejected.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Rejected[0].Key);
    CPPUNIT_ASSERT_EQUAL(std::string("no slash"), Rejected[0].Reason);
    Values["b"] = "odd again";
    List.apply(Values, {"b"});
    CPPUNIT_ASSERT(List.takeRejected().empty());
    Values["b"] = "pool/2";
    CPPUNIT_ASSERT(List.apply(Values, {"b"}));
    Values["b"] = "odd";
    List.apply(Values, {"b"});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), List.takeRejected().size());
  }

  // Guards against a worker that stays in use after its entry is gone or can't
  // be read any more.
  void testWorkerThatBecomesUnreadableIsRemoved() {
    FakeRecords Records;
    WorkerList List(Records);
    std::map<std::string, std::string> Values = {{"a", "pool/1"},
                                                 {"b", "pool/1"}};
    List.apply(Values, {"a", "b"});
    Values["a"] = "unreadable";
    Values.erase("b");
    CPPUNIT_ASSERT(List.apply(Values, {"a", "b"}));
    CPPUNIT_ASSERT(List.workers().empty());
    CPPUNIT_ASSERT(!List.apply(Values, {"a", "b"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerListTest);

} // namespace hickory
