#include "Cell/WorkerList.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

/// Records of the form SERVICE/ANYTHING.
class FakeRecords final : public CellRecords {
public:
  [[nodiscard]] std::optional<WorkerEntry>
  parseWorker(const std::string &Key, const std::string &Value) const override {
    ++Parsed;
    const std::size_t Slash = Value.find('/');
    if (Slash == std::string::npos)
      return std::nullopt;
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
