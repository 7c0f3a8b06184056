#include "Cell/ClientAccounts.h"

#include "Base/Hash.h"
#include "Cell/CellTestBench.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

using namespace std::chrono_literals;

namespace {

ClientAccount account(const std::string &Name,
                      const std::vector<std::string> &Keys) {
  ClientAccount Made{.Name = Name};
  for (const std::string &Key : Keys)
    Made.KeyDigests.push_back(sha256(Key));
  return Made;
}

struct AccountsBench : CellTestBench {
  void use(std::vector<ClientAccount> Listed) {
    Configuration.Accounts = std::move(Listed);
    Configuration.indexAccounts();
    Accounts.update(Configuration);
  }
  /// Returns the name of the account, or "-".
  std::string nameFor(const std::string &Header) const {
    const std::string *Name = Accounts.authenticate(Header);
    return Name == nullptr ? "-" : *Name;
  }
  std::size_t countLines(const std::string &Text) const {
    const std::string Lines = Events.linesFrom(0);
    std::size_t Count = 0;
    for (std::size_t At = Lines.find(Text); At != std::string::npos;
         At = Lines.find(Text, At + 1))
      ++Count;
    return Count;
  }
  CellConfiguration Configuration;
  Metrics Counters;
  ClientAccounts Accounts{Timers, Events, Counters};
};

} // namespace

class ClientAccountsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientAccountsTest);
  CPPUNIT_TEST(testKeyBelongsToItsAccount);
  CPPUNIT_TEST(testUnusualHeadersAreRefused);
  CPPUNIT_TEST(testWithdrawnKeyIsRefused);
  CPPUNIT_TEST(testEmptyListRefusesAllKeysAndNoListNeedsNone);
  CPPUNIT_TEST(testRefusalIsCountedAndLoggedWithoutKey);
  CPPUNIT_TEST(testNumberOfMetricsIsBounded);
  CPPUNIT_TEST(testNamesAreEscapedInMetrics);
  CPPUNIT_TEST(testAccountIsFoundByNameWithAndWithoutIndex);
  CPPUNIT_TEST_SUITE_END();

public:
  void testKeyBelongsToItsAccount() {
    AccountsBench Bench;
    Bench.use({account("a", {"k1", "k2"}), account("b", {"k 3"})});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Bench.nameFor("Token k1"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Bench.nameFor("tOKEN \t k2 "));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Bench.nameFor("token k 3"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Bench.Accounts.keys());
  }

  // Guards against a failure of the process, or against access, by a header
  // that no usual client sends.
  void testUnusualHeadersAreRefused() {
    AccountsBench Bench;
    Bench.use({account("a", {"k1", std::string(1024, 'x')})});
    for (const std::string &Header : {std::string(),
                                      std::string(" "),
                                      std::string("Token"),
                                      std::string("Token "),
                                      std::string("Token \t "),
                                      std::string("k1"),
                                      std::string("Bearer k1"),
                                      std::string("Tokenk1"),
                                      std::string("Token=k1"),
                                      std::string("Token K1"),
                                      std::string("Token k1,"),
                                      std::string("Token k"),
                                      std::string(" Token k1"),
                                      std::string("Token k1\0", 9),
                                      std::string("\0Token k1", 9),
                                      std::string("Token \xFF\xFE"),
                                      "Token " + std::string(1025, 'x'),
                                      "Token " + std::string(10240, 'k'),
                                      std::string(10240, ' '),
                                      std::string(10240, 'T')})
      CPPUNIT_ASSERT_EQUAL(std::string("-"), Bench.nameFor(Header));
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         Bench.nameFor("Token " + std::string(1024, 'x')));
  }

  // Guards against an index that keeps keys of the former configuration.
  void testWithdrawnKeyIsRefused() {
    AccountsBench Bench;
    Bench.use({account("a", {"k1", "k2"}), account("b", {"k3"})});
    Bench.use({account("b", {"k2"})});
    CPPUNIT_ASSERT_EQUAL(std::string("-"), Bench.nameFor("Token k1"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Bench.nameFor("Token k2"));
    CPPUNIT_ASSERT_EQUAL(std::string("-"), Bench.nameFor("Token k3"));
  }

  void testEmptyListRefusesAllKeysAndNoListNeedsNone() {
    AccountsBench Bench;
    Bench.Accounts.update(Bench.Configuration);
    CPPUNIT_ASSERT(!Bench.Accounts.isRequired());
    Bench.use({});
    CPPUNIT_ASSERT(Bench.Accounts.isRequired());
    CPPUNIT_ASSERT_EQUAL(std::string("-"), Bench.nameFor("Token k1"));
  }

  // Guards against a key in the log, and against a log that clients can flood.
  void testRefusalIsCountedAndLoggedWithoutKey() {
    AccountsBench Bench;
    Bench.use({account("a", {"k1"})});
    for (const char *Header : {"", "Basic secret", "Token secret"}) {
      Bench.run(1s);
      Bench.Accounts.countUnauthorized("q", Header);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Bench.countLines("\"unauthorized\""));
    Bench.run(1s);
    for (int I = 0; I < 100; ++I)
      Bench.Accounts.countUnauthorized("q", "Token secret");
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Bench.countLines("\"unauthorized\""));
    CPPUNIT_ASSERT_EQUAL(
        103.0, Bench.Counters.counterValue("requests_unauthorized_total"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Bench.countLines("secret"));
    CPPUNIT_ASSERT(Bench.Counters.render().find("secret") == std::string::npos);
  }

  // Guards against metrics that grow with the accounts, also over many
  // configurations.
  void testNumberOfMetricsIsBounded() {
    AccountsBench Bench;
    for (int I = 0; I < 1000; ++I)
      Bench.Accounts.countRequest("a" + std::to_string(I), 200);
    Bench.Accounts.countRequest("a0", 200);
    CPPUNIT_ASSERT_EQUAL(
        2.0, Bench.Counters.counterValue("requests_by_account_total",
                                         "account=\"a0\",status=\"200\""));
    CPPUNIT_ASSERT_EQUAL(
        936.0, Bench.Counters.counterValue("requests_by_account_total",
                                           "account=\"other\",status=\"200\""));
    CPPUNIT_ASSERT_EQUAL(
        0.0, Bench.Counters.counterValue("requests_by_account_total",
                                         "account=\"a64\",status=\"200\""));
  }

  // Guards against a name that makes all metrics unreadable.
  void testNamesAreEscapedInMetrics() {
    AccountsBench Bench;
    Bench.Accounts.countRequest("a\"b\\c\nd", 200);
    CPPUNIT_ASSERT_EQUAL(
        1.0, Bench.Counters.counterValue("requests_by_account_total",
                                         "account=\"a\\\"b\\\\c\\nd\","
                                         "status=\"200\""));
    // 63 bytes and a character of two bytes, which does not fit.
    const std::string Long(63, 'x');
    Bench.Accounts.countRequest(Long + "\xC3\xA9", 200);
    CPPUNIT_ASSERT_EQUAL(1.0, Bench.Counters.counterValue(
                                  "requests_by_account_total",
                                  "account=\"" + Long + "\",status=\"200\""));
  }

  void testAccountIsFoundByNameWithAndWithoutIndex() {
    CellConfiguration Configuration;
    CPPUNIT_ASSERT(Configuration.findAccount("a") == nullptr);
    Configuration.Accounts = {account("b", {}), account("a", {})};
    CPPUNIT_ASSERT(Configuration.findAccount("a") ==
                   &(*Configuration.Accounts)[1]);
    Configuration.indexAccounts();
    CPPUNIT_ASSERT(Configuration.findAccount("a") ==
                   &(*Configuration.Accounts)[1]);
    CPPUNIT_ASSERT(Configuration.findAccount("c") == nullptr);
    // A copy has an index of its own accounts.
    const CellConfiguration Copy = Configuration;
    CPPUNIT_ASSERT(Copy.findAccount("b") == &(*Copy.Accounts)[0]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientAccountsTest);

} // namespace hickory
