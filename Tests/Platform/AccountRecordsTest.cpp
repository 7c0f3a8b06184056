#include "AccountRecords.h"

#include "Base/Hash.h"
#include "PlatformRecords.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace hickory::platform {

using nlohmann::json;

namespace {

/// Returns the text of a configuration whose list of accounts is the given
/// text.
std::string recordWith(const std::string &Accounts) {
  return R"({"version":7,"tenants":)" + Accounts +
         R"(,"routes":[{"name":"r","host":"h","path-prefix":"/q/",)"
         R"("service":"s","public":true},{"name":"t","host":"h",)"
         R"("path-prefix":"/t/","service":"s"}]})";
}

std::optional<CellConfiguration> parse(const std::string &Record) {
  return PlatformRecords().parseConfiguration("config", Record);
}

/// Reads a list that has, around the entry, a valid account before and after
/// it. Fails if one of them, or a queue, is lost.
CellConfiguration readEntry(const std::string &Entry) {
  const auto Read =
      parse(recordWith(R"([{"name":"first","api-keys":["k1"]},)" + Entry +
                       R"(,{"name":"last","api-keys":["k2"],"weight":2.5,)"
                       R"("cap":{"cpu":5000,"mem-mb":64,"gpu":1}}])"));
  CPPUNIT_ASSERT_MESSAGE(Entry, Read && Read->Version == 7);
  CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read->Queues.size());
  const ClientAccount *First = Read->findAccount("first");
  const ClientAccount *Last = Read->findAccount("last");
  CPPUNIT_ASSERT_MESSAGE(Entry, First != nullptr && Last != nullptr);
  CPPUNIT_ASSERT(First->KeyDigests == std::vector{sha256("k1")});
  CPPUNIT_ASSERT(Last->KeyDigests == std::vector{sha256("k2")});
  CPPUNIT_ASSERT_EQUAL(2.5, Last->Weight);
  CPPUNIT_ASSERT((Resources{5000, 64, 1}) == Last->Cap);
  return *Read;
}

/// Checks that the entry is reported once, with a text in the reason.
CellConfiguration expectRejection(const std::string &Entry,
                                  const std::string &Reason) {
  CellConfiguration Read = readEntry(Entry);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Entry, std::size_t(1),
                               Read.RejectedAccounts.size());
  const std::string &Given = Read.RejectedAccounts[0].Reason;
  CPPUNIT_ASSERT_MESSAGE(Entry + ": " + Given,
                         Given.find(Reason) != std::string::npos);
  return Read;
}

} // namespace

class AccountRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountRecordsTest);
  CPPUNIT_TEST(testAccountsAreRead);
  CPPUNIT_TEST(testListThatIsMissingOrEmpty);
  CPPUNIT_TEST(testListOfAnotherTypeNeedsKeys);
  CPPUNIT_TEST(testUnusableEntryIsIgnored);
  CPPUNIT_TEST(testUnusableKeyIsIgnored);
  CPPUNIT_TEST(testUnusableWeightIsOne);
  CPPUNIT_TEST(testUnusableCapIsNoLimit);
  CPPUNIT_TEST(testAccountListedTwice);
  CPPUNIT_TEST(testKeyOfTwoAccountsBelongsToTheFirst);
  CPPUNIT_TEST(testEntryThatTheParserRefusesIsIgnored);
  CPPUNIT_TEST(testNumberThatNoDoubleHolds);
  CPPUNIT_TEST(testMalformedRestIsStillRefused);
  CPPUNIT_TEST(testReasonsContainNoKey);
  CPPUNIT_TEST(testPublicOfAnotherTypeNeedsKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void testAccountsAreRead() {
    const auto Read =
        readEntry(R"({"name":"n","api-keys":["a","b","a"],"other":[{}]})");
    CPPUNIT_ASSERT(Read.RejectedAccounts.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Read.Accounts->size());
    const ClientAccount *Account = Read.findAccount("n");
    CPPUNIT_ASSERT(Account != nullptr);
    CPPUNIT_ASSERT((std::vector<std::string>{sha256("a"), sha256("b")}) ==
                   Account->KeyDigests);
    CPPUNIT_ASSERT_EQUAL(1.0, Account->Weight);
    CPPUNIT_ASSERT(Account->Cap.empty());
    CPPUNIT_ASSERT(Read.Queues[0].Public && !Read.Queues[1].Public);
  }

  void testListThatIsMissingOrEmpty() {
    const auto None = parse(R"({"version":1,"routes":[]})");
    CPPUNIT_ASSERT(None && !None->Accounts);
    const auto Empty = parse(recordWith("[]"));
    CPPUNIT_ASSERT(Empty && Empty->Accounts && Empty->Accounts->empty());
  }

  // Guards against open queues because of a mistake in the list.
  void testListOfAnotherTypeNeedsKeys() {
    for (const char *List : {"null", "{}", "5", "\"x\"", "true",
                             R"({"name":"n","api-keys":["k"]})"}) {
      const auto Read = parse(recordWith(List));
      CPPUNIT_ASSERT_MESSAGE(List, Read && Read->Accounts);
      CPPUNIT_ASSERT(Read->Accounts->empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read->RejectedAccounts.size());
    }
  }

  void testUnusableEntryIsIgnored() {
    for (const char *Entry : {"5", "null", "[]", "\"n\""})
      expectRejection(Entry, "not an object");
    for (const char *Entry :
         {"{}", R"({"name":5})", R"({"name":""})", R"({"name":null})"})
      CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                           expectRejection(Entry, "the name").Accounts->size());
  }

  void testUnusableKeyIsIgnored() {
    for (const std::string &Key :
         {std::string("5"), std::string("null"), std::string("\"\""),
          std::string("[\"x\"]"), "\"" + std::string(1025, 'x') + "\""}) {
      const auto Read = expectRejection(
          R"({"name":"n","api-keys":["a",)" + Key + R"(,"b"]})", "api-keys[1]");
      CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                           Read.findAccount("n")->KeyDigests.size());
    }
    for (const char *Keys : {"5", "null", "{}", "\"a\""})
      CPPUNIT_ASSERT(expectRejection(std::string(R"({"name":"n","api-keys":)") +
                                         Keys + "}",
                                     "api-keys is not a list")
                         .findAccount("n")
                         ->KeyDigests.empty());
  }

  void testUnusableWeightIsOne() {
    for (const char *Weight :
         {"0", "-1", "-0.0", "1e300", "\"2\"", "null", "[]", "true",
          "18446744073709551615", "-9223372036854775808"})
      CPPUNIT_ASSERT_EQUAL(
          1.0,
          expectRejection(
              std::string(R"({"name":"n","weight":)") + Weight + "}", "weight")
              .findAccount("n")
              ->Weight);
  }

  // Guards against an amount that no integer holds, and against a limit that
  // is lifted without a trace.
  void testUnusableCapIsNoLimit() {
    for (const char *Amount :
         {"-1", "-0.5", "1e300", "-1e300", "1e13", "\"2\"", "null", "[]",
          "true", "18446744073709551615", "-9223372036854775808"})
      for (const char *Resource : {"cpu", "mem-mb", "gpu"}) {
        const auto Read = expectRejection(
            std::string(R"({"name":"n","api-keys":["k"],"cap":{")") + Resource +
                "\":" + Amount + "}}",
            std::string("cap.") + Resource);
        CPPUNIT_ASSERT(Read.findAccount("n")->Cap.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             Read.findAccount("n")->KeyDigests.size());
      }
    expectRejection(R"({"name":"n","cap":{"cpu":-1}})",
                    "cap.cpu is negative; the resource has no limit");
    expectRejection(R"({"name":"n","cap":{"gpu":1e13}})",
                    "cap.gpu is too large; the resource has no limit");
    for (const char *Cap : {"5", "null", "[]", "\"x\""})
      expectRejection(std::string(R"({"name":"n","cap":)") + Cap + "}",
                      "cap is not an object");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         readEntry(R"({"name":"n","cap":{"cpu":0.5}})")
                             .findAccount("n")
                             ->Cap.CpusMilli);
  }

  void testAccountListedTwice() {
    const auto Read = expectRejection(
        R"({"name":"first","api-keys":["x"],"weight":9})", "listed twice");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read.Accounts->size());
    CPPUNIT_ASSERT_EQUAL(1.0, Read.findAccount("first")->Weight);
  }

  void testKeyOfTwoAccountsBelongsToTheFirst() {
    const auto Read =
        expectRejection(R"({"name":"n","api-keys":["k1","x"]})",
                        "api-keys[0] belongs to an earlier account");
    CPPUNIT_ASSERT(std::vector{sha256("x")} ==
                   Read.findAccount("n")->KeyDigests);
  }

  // Guards against a configuration that does not come into force because the
  // JSON of one account is refused as a whole.
  void testEntryThatTheParserRefusesIsIgnored() {
    constexpr std::size_t Depth = 100000;
    const std::string Nested =
        std::string(Depth, '[') + std::string(Depth, ']');
    std::string Objects;
    for (int I = 0; I < 100; ++I)
      Objects += R"({"a":)";
    Objects += "1" + std::string(100, '}');
    for (const std::string &Entry :
         {std::string(R"({"name":"n","name":"m","api-keys":["x"]})"),
          std::string(R"({"name":"n","cap":{"cpu":1,"cpu":2}})"),
          R"({"name":"n","api-keys":["x"],"other":)" + Nested + "}",
          R"({"name":"n","api-keys":)" + Objects + "}"})
      CPPUNIT_ASSERT_EQUAL(
          std::size_t(2),
          expectRejection(Entry, "a member is repeated").Accounts->size());
    expectRejection(Nested, "not an object");
  }

  // Guards against the same with a number that the parser refuses.
  void testNumberThatNoDoubleHolds() {
    expectRejection(R"({"name":"n","cap":{"cpu":1e400}})", "cap.cpu is too");
    expectRejection(R"({"name":"n","cap":{"cpu":-1e400}})",
                    "cap.cpu is negative");
    expectRejection(R"({"name":"n","weight":1)" + std::string(400, '0') + "}",
                    "weight is too large");
    expectRejection("1e400", "not an object");
    CPPUNIT_ASSERT(
        readEntry(R"({"name":"n","other":-1e309})").RejectedAccounts.empty());
  }

  // Guards against accepting elsewhere what is tolerated in an account.
  void testMalformedRestIsStillRefused() {
    CPPUNIT_ASSERT(!parse(recordWith("[]},")));
    CPPUNIT_ASSERT(!parse(recordWith("[],\"tenants\":[]")));
    CPPUNIT_ASSERT(!parse(recordWith("[],\"version\":8")));
    CPPUNIT_ASSERT(!parse(recordWith("[],\"x\":1e400")));
    CPPUNIT_ASSERT(!parse(recordWith("[],\"x\":{\"a\":1,\"a\":2}")));
    CPPUNIT_ASSERT(!parse(recordWith("[],\"x\":[{\"tenants\":[{\"a\":1,"
                                     "\"a\":2}]}]")));
    CPPUNIT_ASSERT(!parse(recordWith("{\"a\":1,\"a\":2}")));
    CPPUNIT_ASSERT(!parse(recordWith("[{\"name\":\"n\"")));
    CPPUNIT_ASSERT(!parse(
        recordWith("[],\"x\":" + std::string(70, '[') + std::string(70, ']'))));
  }

  void testReasonsContainNoKey() {
    const auto Read = readEntry(
        R"({"name":"n","api-keys":["k1",["secret"],{"secret":1}],)"
        R"("weight":"secret","cap":"secret"},{"name":"o","api-keys":"secret"},)"
        R"({"name":"p","name":"q","api-keys":["secret"]},["secret"],"secret")");
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), Read.RejectedAccounts.size());
    for (const auto &[Name, Reason] : Read.RejectedAccounts) {
      CPPUNIT_ASSERT(Name.find("secret") == std::string::npos);
      CPPUNIT_ASSERT(Reason.find("secret") == std::string::npos);
      CPPUNIT_ASSERT(Reason.find("k1") == std::string::npos);
    }
  }

  // Guards against an open queue because of a mistake.
  void testPublicOfAnotherTypeNeedsKeys() {
    for (const char *Public : {"1", "\"true\"", "null", "[]"}) {
      const auto Read =
          parse(R"({"version":7,"tenants":[],"routes":[{"name":"r","host":"h",)"
                R"("path-prefix":"/q/","service":"s","public":)" +
                std::string(Public) + "}]}");
      CPPUNIT_ASSERT(Read && !Read->Queues[0].Public);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read->RejectedAccounts.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountRecordsTest);

} // namespace hickory::platform
