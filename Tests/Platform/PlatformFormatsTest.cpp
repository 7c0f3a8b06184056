#include "PlatformRecords.h"
#include "PlatformSettings.h"
#include "PlatformStore.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace hickory::platform {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

json workerRecord() {
  return {{"service", "pool"},
          {"address", "10.0.0.9:8080"},
          {"zone", "a"},
          {"state", "ready"},
          {"born", 1700000000000},
          {"capacity", {{"cpu", 16000}, {"mem-mb", 32768}, {"gpu", 1}}},
          {"labels", {"kind", "r1-3"}}};
}

json configuration() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r"},
             {"host", "h.example"},
             {"path-prefix", "/q/"},
             {"service", "pool"},
             {"priority", 1},
             {"max-attempts", 2},
             {"stretch", 2.2},
             {"target-latency-ms", 1200},
             {"advice",
              {{"decide-ms", 450.0}, {"each-ms", 6.5}, {"valid-ms", 2000}}}},
            {{"name", "s"},
             {"host", "h.example"},
             {"path-prefix", "/q/long/"},
             {"service", "pool"}}}}};
}

bool isParsed(const std::string &WorkerRecord) {
  return PlatformRecords().parseWorker("i", WorkerRecord).has_value();
}

} // namespace

class PlatformFormatsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformFormatsTest);
  CPPUNIT_TEST(testWorkerRecord);
  CPPUNIT_TEST(testInvalidWorkerRecordIsNotParsed);
  CPPUNIT_TEST(testWorkerRecordWithNumberOutOfRangeIsNotParsed);
  CPPUNIT_TEST(testWorkerRecordWithUnusableAddressIsNotParsed);
  CPPUNIT_TEST(testWorkerRecordWithUnusableIdIsNotParsed);
  CPPUNIT_TEST(testDeeplyNestedWorkerRecordIsNotParsed);
  CPPUNIT_TEST(testWorkerRecordWithRepeatedMemberIsNotParsed);
  CPPUNIT_TEST(testWorkerRecordWithFractionOfACoreIsParsed);
  CPPUNIT_TEST(testConfigurationWithNumberOutOfRangeIsNotParsed);
  CPPUNIT_TEST(testConfigurationAndLongestPrefix);
  CPPUNIT_TEST(testJobBody);
  CPPUNIT_TEST(testUnusableJobBodies);
  CPPUNIT_TEST(testSettings);
  CPPUNIT_TEST(testRecordWithoutValueIsDecodedWithoutValue);
  CPPUNIT_TEST(propertyDecodedRecordsEqualTheEncodedOnes);
  CPPUNIT_TEST_SUITE_END();

public:
  void testWorkerRecord() {
    const auto Entry =
        PlatformRecords().parseWorker("i-1", workerRecord().dump());
    CPPUNIT_ASSERT(Entry);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), Entry->Id);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), Entry->Rack);
    CPPUNIT_ASSERT((Resources{16000, 32768, 1}) == Entry->Capacity);
    CPPUNIT_ASSERT(!Entry->Draining);
  }

  void testInvalidWorkerRecordIsNotParsed() {
    const PlatformRecords Records;
    CPPUNIT_ASSERT(!Records.parseWorker("i", "\x01\x02"));
    CPPUNIT_ASSERT(!Records.parseWorker("i", "[]"));
    for (const char *Field : {"service", "address", "state", "capacity"}) {
      json Broken = workerRecord();
      Broken[Field] = 5;
      CPPUNIT_ASSERT(!Records.parseWorker("i", Broken.dump()));
      Broken.erase(Field);
      CPPUNIT_ASSERT(!Records.parseWorker("i", Broken.dump()));
    }
    json Unknown = workerRecord();
    Unknown["state"] = "resting";
    CPPUNIT_ASSERT(!Records.parseWorker("i", Unknown.dump()));
    // As an unsigned number, it would be a capacity without limit.
    json Negative = workerRecord();
    Negative["capacity"]["cpu"] = -1;
    CPPUNIT_ASSERT(!Records.parseWorker("i", Negative.dump()));
  }

  // Guards against casting a number that the type of its field can't hold.
  void testWorkerRecordWithNumberOutOfRangeIsNotParsed() {
    for (const char *Number : {"1e300", "-1", "18446744073709551616", "1e19",
                               "9223372036854775808", "\"5\"", "true"}) {
      for (const char *Amount : {"cpu", "mem-mb", "gpu"}) {
        json Record = workerRecord();
        Record["capacity"][Amount] = json::parse(Number);
        CPPUNIT_ASSERT_MESSAGE(std::string(Amount) + " " + Number,
                               !isParsed(Record.dump()));
      }
      json Record = workerRecord();
      Record["born"] = json::parse(Number);
      CPPUNIT_ASSERT_MESSAGE(std::string("born ") + Number,
                             !isParsed(Record.dump()));
    }
    json Record = workerRecord();
    Record["born"] = 1700000000000.5;
    CPPUNIT_ASSERT(!isParsed(Record.dump()));
  }

  // Guards against calls to a worker that can't be reached by its address.
  void testWorkerRecordWithUnusableAddressIsNotParsed() {
    for (const std::string Address :
         {"10.0.0.9:99999", "10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1",
          "10.0.0.9:", "10.0.0.9", "", ":8080", "10.0.0.9:8080/x",
          "10.0.0.9:80 80", "host.example:8080", "10.0.0.9:8080:1",
          "10.0.0.9:000000008080"}) {
      json Record = workerRecord();
      Record["address"] = Address;
      CPPUNIT_ASSERT_MESSAGE(Address, !isParsed(Record.dump()));
    }
  }

  // Guards against an id that does not fit into a journal key or a message.
  void testWorkerRecordWithUnusableIdIsNotParsed() {
    for (const std::string &Id :
         {std::string(), std::string(255, 'i'), std::string("\xC3\x28"),
          std::string("a b"), std::string("a\r\nX: y")})
      CPPUNIT_ASSERT(!PlatformRecords().parseWorker(Id, workerRecord().dump()));
  }

  // Guards against overflowing the stack in functions that follow the nesting.
  void testDeeplyNestedWorkerRecordIsNotParsed() {
    constexpr std::size_t Depth = 100000;
    const std::string Nested =
        std::string(Depth, '[') + std::string(Depth, ']');
    CPPUNIT_ASSERT(!isParsed(Nested));
    std::string Record = workerRecord().dump();
    Record.insert(1, "\"other\":" + Nested + ",");
    CPPUNIT_ASSERT(!isParsed(Record));
  }

  // Guards against two readers that take different ones of the values.
  void testWorkerRecordWithRepeatedMemberIsNotParsed() {
    std::string Record = workerRecord().dump();
    Record.insert(1, "\"address\":\"10.0.0.8:8080\",");
    CPPUNIT_ASSERT(!isParsed(Record));
  }

  // Guards against dropping a worker that reports parts of a unit.
  void testWorkerRecordWithFractionOfACoreIsParsed() {
    json Record = workerRecord();
    Record["capacity"]["cpu"] = 15999.9;
    const auto Entry = PlatformRecords().parseWorker("i", Record.dump());
    CPPUNIT_ASSERT(Entry);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(15999), Entry->Capacity.CpusMilli);
  }

  void testConfigurationWithNumberOutOfRangeIsNotParsed() {
    for (const char *Field :
         {"priority", "max-attempts", "stretch", "target-latency-ms"}) {
      json Read = configuration();
      Read["routes"][0][Field] = 1e300;
      CPPUNIT_ASSERT_MESSAGE(
          Field, !PlatformRecords().parseConfiguration("config", Read.dump()));
    }
    json Read = configuration();
    Read["version"] = 1e300;
    CPPUNIT_ASSERT(
        !PlatformRecords().parseConfiguration("config", Read.dump()));
  }

  void testConfigurationAndLongestPrefix() {
    const auto Read =
        PlatformRecords().parseConfiguration("config", configuration().dump());
    CPPUNIT_ASSERT(Read && Read->Version == 7);
    const QueuePolicy *Queue = Read->findQueue("h.example", "/q/0123");
    CPPUNIT_ASSERT(Queue != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("r"), Queue->Name);
    CPPUNIT_ASSERT(Queue->Advice && Queue->Advice->Validity == 2s);
    CPPUNIT_ASSERT_EQUAL(std::string("s"),
                         Read->findQueue("h.example", "/q/long/0123")->Name);
    CPPUNIT_ASSERT(Read->findQueue("other.example", "/q/0123") == nullptr);
    CPPUNIT_ASSERT(!PlatformRecords().parseConfiguration("wave/1", "{}"));
  }

  void testJobBody() {
    const json Body = {
        {"spec", "text"},
        {"steps",
         {{{"count", 4}, {"cpu", 500}, {"mem-mb", 256}, {"gang", true}},
          {{"count", 1},
           {"depends-on", {0}},
           {"estimated-ms", 900},
           {"checkpointing", true},
           {"anti-affinity", 2},
           {"requirements", "fast"}}}}};
    const auto Job = parseJob("id", {.Name = "r"}, Body.dump());
    CPPUNIT_ASSERT(Job);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Job->Steps.size());
    CPPUNIT_ASSERT(Job->Steps[0].Gang && Job->Steps[0].Count == 4);
    CPPUNIT_ASSERT(Job->Steps[1].EstimatedDuration == 900ms);
    CPPUNIT_ASSERT(std::vector<std::string>{"fast"} ==
                   Job->Steps[1].RequiredLabels);
    // The format of the journal keeps all fields.
    const json Stored = *Job;
    CPPUNIT_ASSERT(Stored == json(Stored.get<JobSpec>()));
  }

  void testUnusableJobBodies() {
    for (const char *Body :
         {"", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
          R"({"steps":[{"count":1,"depends-on":[0]}]})",
          R"({"steps":[{"count":1000000}]})",
          R"({"steps":[{"count":1,"mem-mb":-1}]})",
          R"({"steps":[{"count":1,"cpu":1e300}]})",
          R"({"steps":[{"count":1e300}]})",
          R"({"steps":[{"count":4294967297}]})", R"({"steps":[{"count":1.5}]})",
          R"({"steps":[{"count":1,"estimated-ms":1e300}]})",
          R"({"steps":[{"count":1,"anti-affinity":-1}]})",
          R"({"steps":[{"count":1}],"repetitions":1e300})",
          R"({"steps":[{"count":1}],"repetitions":2000000000})",
          R"({"steps":[{"count":1}],"repetitions":100001})",
          R"({"steps":[{"count":1},{"count":1,"depends-on":[1e300]}]})",
          R"({"steps":[{"count":1},{"count":1,"depends-on":[4294967296]}]})"})
      CPPUNIT_ASSERT_MESSAGE(Body, !parseJob("id", {}, Body));
  }

  void testSettings() {
    json File = {{"node", "edge-1"},
                 {"ip", "10.1.0.13"},
                 {"zone", "a"},
                 {"bind-addresses",
                  {{"front", "10.1.0.13:8161"}, {"ready", "10.1.0.13:8167"}}},
                 {"internal-ports", {7720, 7735}},
                 {"bounds", {{"hold-max-ms", 10000}}},
                 {"platform", {{"address", "10.200.1.7:8169"}, {"parts", 24}}},
                 {"unknown", {{"field", true}}}};
    const auto Settings = parsePlatformSettings(File.dump());
    CPPUNIT_ASSERT(Settings);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(8161), Settings->ClientEndpoint.Port);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t(7720), Settings->PeerPort);
    CPPUNIT_ASSERT(Settings->MaximumLease == 10s);
    File.erase("platform");
    CPPUNIT_ASSERT(!parsePlatformSettings(File.dump()));
    CPPUNIT_ASSERT(!parsePlatformSettings("not JSON"));
  }

  void testRecordWithoutValueIsDecodedWithoutValue() {
    const auto Records = decodeRecords(encodeRecords({{.Key = "k"}}), 9);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Records.size());
    CPPUNIT_ASSERT(!Records[0].Value && Records[0].Offset == 9);
  }

  void propertyDecodedRecordsEqualTheEncodedOnes() {
    CPPUNIT_ASSERT(rc::check("decoded records equal the encoded ones", [] {
      std::vector<KeyedRecord> Sent;
      const int Count = *rc::gen::inRange(0, 10);
      Sent.reserve(static_cast<std::size_t>(Count));
      for (int I = 0; I < Count; ++I)
        // The format does not distinguish an empty value from a missing one.
        Sent.push_back(
            {.Key = "k" + std::to_string(I),
             .Value = *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>())});
      const std::string Raw = encodeRecords(Sent);
      const auto Read = decodeRecords(Raw, 0);
      RC_ASSERT(Read.size() == Sent.size());
      for (std::size_t I = 0; I < Sent.size(); ++I) {
        RC_ASSERT(Read[I].Key == Sent[I].Key);
        RC_ASSERT(Read[I].Value == Sent[I].Value);
      }
      // A truncated input never yields more records than it contains.
      const auto Cut = *rc::gen::inRange<std::size_t>(0, Raw.size() + 1);
      RC_ASSERT(decodeRecords(Raw.substr(0, Cut), 0).size() <= Sent.size());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformFormatsTest);

} // namespace hickory::platform
