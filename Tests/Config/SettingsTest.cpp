#include "Config/Settings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace hickory {

using namespace std::chrono_literals;

namespace {

const std::string Instance = R"([instance]
slot = "pa-1"
failure_domain = "paarl-a"
region = "western-cape"
)";
const std::string Network = R"([gateway]
address = "127.0.0.1"
port = 8080
[peer]
address = "127.0.0.1"
port = 7100
[platform]
log_url = "http://127.0.0.1:7000"
list_url = "http://127.0.0.1:7001"
)";
const std::string Domains = R"([[domain]]
name = "paarl-a"
region = "western-cape"
[[domain.slot]]
name = "pa-1"
peer_address = "127.0.0.1:7100"
gateway_address = "127.0.0.1:8080"
[[domain.slot]]
name = "pa-2"
peer_address = "127.0.0.1:7101"
[[domain]]
name = "midrand-a"
region = "gauteng"
[[domain.slot]]
name = "ma-1"
peer_address = "127.0.0.1:7102"
)";

void expectProblem(const std::string &Text, const std::string &Wanted) {
  const Result<Settings> Parsed = parseSettings(Text, "test.toml");
  CPPUNIT_ASSERT_MESSAGE("not refused: " + Wanted, !Parsed.has_value());
  CPPUNIT_ASSERT(Parsed.error().Code == ErrorCode::InvalidArgument);
  CPPUNIT_ASSERT_MESSAGE(Parsed.error().Message,
                         Parsed.error().Message.find(Wanted) !=
                             std::string::npos);
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  const std::size_t At = Text.find(From);
  CPPUNIT_ASSERT(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

} // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(readsCompleteFile);
  CPPUNIT_TEST(appliesDefaults);
  CPPUNIT_TEST(reportsAllProblemsWithTheirLines);
  CPPUNIT_TEST(refusesImpossibleLeases);
  CPPUNIT_TEST(refusesWrongPlaceOfInstance);
  CPPUNIT_TEST(refusesDuplicateSlots);
  CPPUNIT_TEST(refusesWrongTypesAndAddresses);
  CPPUNIT_TEST(reportsLineOfSyntaxFault);
  CPPUNIT_TEST(reportsMissingFile);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against keys that are accepted but not stored.
  void readsCompleteFile() {
    const auto Good = parseSettings(Instance + Network + R"(log_timeout_ms = 300
list_period_ms = 700
[log]
linger_ms = 125
snapshot_records = 50
snapshot_period_s = 30
[lease]
instance_lease_ms = 800
heartbeat_ms = 200
clock_margin_percent = 10
start_lease_ms = 300
run_lease_ms = 6000
consent_ms = 700
preferred_wait_ms = 100
[workers]
heartbeat_ms = 250
request_timeout_ms = 150
[requests]
default_timeout_ms = 4000
retry_budget_percent = 20
[sharing]
summary_period_ms = 500
link_price_per_mb = 0.25
[events]
file = "/tmp/events"
capacity = 100
)" + Domains,
                                    "test.toml");
    CPPUNIT_ASSERT_MESSAGE(Good ? "" : Good.error().Message, Good.has_value());
    CPPUNIT_ASSERT(Good->Platform.LogTimeout == 300ms);
    CPPUNIT_ASSERT(Good->Platform.ListPeriod == 700ms);
    CPPUNIT_ASSERT(Good->Log.Linger == 125ms);
    CPPUNIT_ASSERT_EQUAL(50U, Good->Log.SnapshotRecords);
    CPPUNIT_ASSERT(Good->Log.SnapshotPeriod == 30s);
    CPPUNIT_ASSERT(Good->Lease.InstanceLease == 800ms);
    CPPUNIT_ASSERT(Good->Lease.Heartbeat == 200ms);
    CPPUNIT_ASSERT(Good->Lease.StartLease == 300ms);
    CPPUNIT_ASSERT(Good->Lease.RunLease == 6000ms);
    CPPUNIT_ASSERT(Good->Lease.Consent == 700ms);
    CPPUNIT_ASSERT(Good->Lease.PreferredWait == 100ms);
    CPPUNIT_ASSERT(Good->Lease.withMargin(800ms) == 880ms);
    CPPUNIT_ASSERT(Good->Workers.Heartbeat == 250ms);
    CPPUNIT_ASSERT(Good->Workers.RequestTimeout == 150ms);
    CPPUNIT_ASSERT(Good->Requests.DefaultTimeout == 4000ms);
    CPPUNIT_ASSERT_EQUAL(20U, Good->Requests.RetryBudgetPercent);
    CPPUNIT_ASSERT(Good->Sharing.SummaryPeriod == 500ms);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, Good->Sharing.LinkPricePerMb, 1e-9);
    CPPUNIT_ASSERT_EQUAL(std::string("/tmp/events"), Good->Events.File);
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), Good->Events.Capacity);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8080"),
                         Good->Domains[0].Slots[0].GatewayAddress);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Good->Directory.Slots.size());
    CPPUNIT_ASSERT_EQUAL(std::string("gauteng"),
                         Good->Directory.find("ma-1")->Region);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         Good->Directory.inDomain("paarl-a").size());
    CPPUNIT_ASSERT((Good->domainNames() ==
                    std::vector<std::string>{"midrand-a", "paarl-a"}));
  }

  // Guards against defaults that differ from the design page.
  void appliesDefaults() {
    const auto Parsed = parseSettings(Instance + Network + Domains, "t");
    CPPUNIT_ASSERT_MESSAGE(Parsed ? "" : Parsed.error().Message,
                           Parsed.has_value());
    CPPUNIT_ASSERT(Parsed->Lease.InstanceLease == 8s);
    CPPUNIT_ASSERT(Parsed->Lease.Heartbeat == 2s);
    CPPUNIT_ASSERT(Parsed->Lease.withMargin(8s) == 8400ms);
    CPPUNIT_ASSERT(Parsed->Lease.withMargin(Parsed->Lease.RunLease) == 63s);
    CPPUNIT_ASSERT(Parsed->Log.SnapshotPeriod == 600s);
    CPPUNIT_ASSERT_EQUAL(10U, Parsed->Requests.RetryBudgetPercent);
  }

  // Guards against an operator who has to start the daemon once per mistake.
  void reportsAllProblemsWithTheirLines() {
    const std::string Text = Instance + "slott = 1\n" + Network +
                             "[workers]\nheartbeat_ms = \"2s\"\n"
                             "[requests]\nretry_budget_percent = 101\n" +
                             Domains;
    expectProblem(Text, "test.toml:5: instance.slott: is not a known key");
    expectProblem(Text, "workers.heartbeat_ms: is a string; write an integer "
                        "in milliseconds from 10 to 120000");
    expectProblem(Text, "requests.retry_budget_percent: is 101; write an "
                        "integer in percent from 0 to 100");
    expectProblem("", "instance.slot: is missing");
    expectProblem("", "gateway.port: is missing");
    expectProblem("", "domain: is missing");
  }

  // Guards against leases that cannot keep the guarantees of the design page.
  void refusesImpossibleLeases() {
    const std::string Base = Instance + Network + Domains + "[lease]\n";
    expectProblem(Base + "instance_lease_ms = 6000\nconsent_ms = 6000\n",
                  "lease.instance_lease_ms: is 6000 with heartbeat_ms = 2000; "
                  "write more than 6000");
    expectProblem(Base + "consent_ms = 8001\n", "lease.consent_ms: is 8001");
    expectProblem(Base + "consent_ms = 2000\n", "lease.consent_ms: is 2000");
    expectProblem(Base + "start_lease_ms = 8000\n", "lease.start_lease_ms");
    expectProblem(Base + "run_lease_ms = 15999\n", "lease.run_lease_ms");
    expectProblem(Base + "preferred_wait_ms = 8000\n",
                  "lease.preferred_wait_ms");
    expectProblem(Instance + Network + "log_timeout_ms = 8000\n" + Domains,
                  "platform.log_timeout_ms: is 8000");
    expectProblem(Base + "[workers]\nheartbeat_ms = 20000\n",
                  "workers.heartbeat_ms");
  }

  // Guards against an instance that runs under another instance's name.
  void refusesWrongPlaceOfInstance() {
    const std::string Text = Instance + Network + Domains;
    expectProblem(replaced(Text, "slot = \"pa-1\"", "slot = \"ma-1\""),
                  "instance.slot: is \"ma-1\", which is not a slot");
    expectProblem(replaced(Text, "failure_domain = \"paarl-a\"",
                           "failure_domain = \"paarl-z\""),
                  "instance.failure_domain: is \"paarl-z\"");
    expectProblem(
        replaced(Text, "region = \"western-cape\"", "region = \"gauteng\""),
        "instance.region: is \"gauteng\"");
  }

  // Guards against two instances that would share a membership record.
  void refusesDuplicateSlots() {
    const std::string Text = Instance + Network + Domains;
    expectProblem(replaced(Text, "name = \"ma-1\"", "name = \"pa-2\""),
                  "domain.slot.name: \"pa-2\" is used in line");
    expectProblem(replaced(Text, "127.0.0.1:7102", "127.0.0.1:7101"),
                  "domain.slot.peer_address: \"127.0.0.1:7101\" is used");
    expectProblem(replaced(Text, "name = \"midrand-a\"", "name = \"paarl-a\""),
                  "domain.name: \"paarl-a\" is used in line");
  }

  // Guards against host names, which the environment cannot resolve.
  void refusesWrongTypesAndAddresses() {
    const std::string Text = Instance + Network + Domains;
    expectProblem(replaced(Text, "\"127.0.0.1:7102\"", "\"localhost:7102\""),
                  "write an IP number and a port");
    expectProblem(replaced(Text, "\"127.0.0.1:7102\"", "\"127.0.0.1:0\""),
                  "write an IP number and a port");
    expectProblem(replaced(Text, "http://127.0.0.1:7000", "127.0.0.1:7000"),
                  "platform.log_url");
    expectProblem(replaced(Text, "port = 8080", "port = 65536"),
                  "gateway.port: is 65536");
    expectProblem("instance = 3\n", "instance: is an integer; write a table");
    expectProblem("domain = 3\n", "domain: is an integer; write an array of "
                                  "tables [[domain]]");
    expectProblem(Text + "[sharing]\nlink_price_per_mb = nan\n",
                  "sharing.link_price_per_mb");
    expectProblem(Text + "[gateways]\n", "gateways: is not a known key");
  }

  // Guards against syntax errors without a place to look at.
  void reportsLineOfSyntaxFault() {
    expectProblem("[instance]\nslot = pa-1\n", "test.toml:2:");
  }

  // Guards against a file error that does not say which file.
  void reportsMissingFile() {
    const auto Loaded = loadSettings("/nonexistent/hickoryd.toml");
    CPPUNIT_ASSERT(!Loaded);
    CPPUNIT_ASSERT(Loaded.error().Code == ErrorCode::NotFound);
    CPPUNIT_ASSERT(Loaded.error().Message.find("/nonexistent/hickoryd.toml") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace hickory
