#include "Gateway/SubmitBody.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

namespace hickory {

using nlohmann::json;

namespace {

constexpr SubmitBodyOptions ForJobs{.IsJob = true};
constexpr SubmitBodyOptions ForRequests{};

class SubmitBodyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SubmitBodyTest);
  CPPUNIT_TEST(testRequest);
  CPPUNIT_TEST(testJob);
  CPPUNIT_TEST(testMalformed);
  CPPUNIT_TEST(testUnknownField);
  CPPUNIT_TEST(testWrongType);
  CPPUNIT_TEST(testTooLong);
  CPPUNIT_TEST(testOutOfRange);
  CPPUNIT_TEST(testBadKey);
  CPPUNIT_TEST(testMissing);
  CPPUNIT_TEST(testInvalidText);
  CPPUNIT_TEST(testAnyBytes);
  CPPUNIT_TEST(testCancelBody);
  CPPUNIT_TEST_SUITE_END();

public:
  void testRequest() {
    json Body = request();
    Body["key"] = "a/1";
    Body["payload"] = "text";
    Body["team"] = "t";
    Body["timeout_ms"] = 250;
    const auto Parsed = parseSubmitBody(Body.dump(), ForRequests);
    CPPUNIT_ASSERT(Parsed.has_value());
    CPPUNIT_ASSERT(!Parsed->is_job());
    CPPUNIT_ASSERT_EQUAL(std::string("a/1"), Parsed->key());
    CPPUNIT_ASSERT_EQUAL(std::string("text"), Parsed->payload());
    CPPUNIT_ASSERT_EQUAL(std::string("m"), Parsed->member());
    CPPUNIT_ASSERT_EQUAL(std::string("t"), Parsed->team());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Parsed->job_class());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(250), Parsed->timeout_ms());
    const auto Shortest = parseSubmitBody(request().dump(), ForRequests);
    CPPUNIT_ASSERT(Shortest.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(10000), Shortest->timeout_ms());
    CPPUNIT_ASSERT(Shortest->key().empty());
  }

  void testJob() {
    json Body = job();
    Body["tasks"] = 3;
    Body["memory_mb"] = 20;
    Body["accelerators"] = 2;
    Body["run_ms"] = 5000;
    const auto Parsed = parseSubmitBody(Body.dump(), ForJobs);
    CPPUNIT_ASSERT(Parsed.has_value());
    CPPUNIT_ASSERT(Parsed->is_job());
    CPPUNIT_ASSERT_EQUAL(3U, Parsed->tasks());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), Parsed->per_task().cpus_milli());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(20), Parsed->per_task().memory_mb());
    CPPUNIT_ASSERT_EQUAL(2U, Parsed->per_task().accelerators());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(5000), Parsed->declared_run_ms());
    CPPUNIT_ASSERT_EQUAL(1U, parseSubmitBody(job().dump(), ForJobs)->tasks());
  }

  void testMalformed() {
    for (const char *Body : {"", "{", "[]", "1", "null", "\"a\"", "{}{}"})
      refused("malformed_body", Body, ForRequests);
  }

  /// A misspelt field would be ignored silently.
  void testUnknownField() {
    json Body = request();
    Body["paylod"] = "x";
    refused("unknown_field", Body.dump(), ForRequests);
    // Fields of jobs are unknown in requests and the other way round.
    Body = request();
    Body["tasks"] = 1;
    refused("unknown_field", Body.dump(), ForRequests);
    Body = job();
    Body["payload"] = "x";
    refused("unknown_field", Body.dump(), ForJobs);
  }

  void testWrongType() {
    for (const char *Name : {"key", "member", "team", "class", "payload"})
      for (const json &Value : {json(1), json(nullptr), json(true),
                                json::array(), json::object()}) {
        json Body = request();
        Body[Name] = Value;
        refused("wrong_type", Body.dump(), ForRequests);
      }
  }

  void testTooLong() {
    const std::vector<std::pair<const char *, std::size_t>> Limits = {
        {"key", 256}, {"member", 128}, {"team", 128}, {"class", 128}};
    for (const auto &[Name, Limit] : Limits) {
      json Body = request();
      Body[Name] = std::string(Limit, 'x');
      CPPUNIT_ASSERT(parseSubmitBody(Body.dump(), ForRequests).has_value());
      Body[Name] = std::string(Limit + 1, 'x');
      refused("too_long", Body.dump(), ForRequests);
    }
  }

  /// Negative, fractional and overflowing quantities must not wrap around.
  void testOutOfRange() {
    for (const char *Name : {"timeout_ms", "tasks", "cpus_milli", "memory_mb",
                             "accelerators", "run_ms"})
      for (const json &Value :
           {json(-1), json(1.5), json("1"), json(nullptr), json(true),
            json(18446744073709551615ULL), json(1e30), json(1000000000001)}) {
        json Body = job();
        Body[Name] = Value;
        refused("out_of_range", Body.dump(), ForJobs);
      }
    json Body = job();
    Body["tasks"] = 0;
    refused("out_of_range", Body.dump(), ForJobs);
    Body["tasks"] = 2147483648U;
    refused("out_of_range", Body.dump(), ForJobs);
    Body = job();
    Body["accelerators"] = 1000001;
    refused("out_of_range", Body.dump(), ForJobs);
    Body = request();
    Body["timeout_ms"] = 0;
    refused("out_of_range", Body.dump(), ForRequests);
    Body["timeout_ms"] = 600001;
    refused("out_of_range", Body.dump(), ForRequests);
    Body["timeout_ms"] = 600000;
    CPPUNIT_ASSERT(parseSubmitBody(Body.dump(), ForRequests).has_value());
  }

  /// '#' separates key and task in names of tasks and executions.
  void testBadKey() {
    for (const std::string &Key :
         {std::string("a#1"), std::string("a b"), std::string("a\n"),
          std::string("a\0b", 3), std::string("\x7f")}) {
      json Body = request();
      Body["key"] = Key;
      refused("bad_key", Body.dump(), ForRequests);
    }
  }

  void testMissing() {
    for (const char *Value : {"", static_cast<const char *>(nullptr)}) {
      json Body = request();
      json JobBody = job();
      if (Value == nullptr) {
        Body.erase("member");
        JobBody.erase("class");
      } else {
        Body["member"] = Value;
        JobBody["class"] = Value;
      }
      refused("missing_member", Body.dump(), ForRequests);
      refused("missing_class", JobBody.dump(), ForJobs);
    }
    json Body = job();
    Body.erase("cpus_milli");
    refused("missing_size", Body.dump(), ForJobs);
    Body["cpus_milli"] = 0;
    refused("missing_size", Body.dump(), ForJobs);
  }

  /// Text fields that are not UTF-8 cannot be sent to other instances.
  void testInvalidText() {
    refused("malformed_body",
            "{\"member\":\"m\xff\",\"class\":\"c\",\"payload\":\"\"}",
            ForRequests);
  }

  /// No input may throw, and what is accepted is complete.
  void testAnyBytes() {
    CPPUNIT_ASSERT(rc::check("any bytes are refused or parsed", [] {
      auto Body = *rc::gen::arbitrary<std::string>();
      (void)parseSubmitBody(Body, ForRequests);
      (void)parseCancelBody(Body);
      // Damage in a valid body reaches deeper.
      std::string Damaged = job().dump();
      const auto At = *rc::gen::inRange<std::size_t>(0, Damaged.size());
      Damaged[At] = *rc::gen::arbitrary<char>();
      const auto Parsed = parseSubmitBody(Damaged, ForJobs);
      if (Parsed) {
        RC_ASSERT(Parsed->tasks() >= 1U);
        RC_ASSERT(Parsed->per_task().cpus_milli() >= 1U);
        RC_ASSERT(!Parsed->member().empty());
        RC_ASSERT(!Parsed->job_class().empty());
      }
    }));
  }

  void testCancelBody() {
    const auto Parsed = parseCancelBody(R"({"keys": ["a", "b"]})");
    CPPUNIT_ASSERT(Parsed.has_value());
    CPPUNIT_ASSERT((*Parsed == std::vector<std::string>{"a", "b"}));
    for (const char *Body :
         {"", "[]", "{}", R"({"keys": "a"})", R"({"keys": [], "more": 1})"})
      CPPUNIT_ASSERT_EQUAL(std::string("malformed_body"),
                           parseCancelBody(Body).error().Code);
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_type"),
                         parseCancelBody(R"({"keys": [1]})").error().Code);
    json Many;
    Many["keys"] = std::vector<std::string>(20000, "k");
    CPPUNIT_ASSERT(parseCancelBody(Many.dump()).has_value());
    Many["keys"].push_back("k");
    CPPUNIT_ASSERT_EQUAL(std::string("too_long"),
                         parseCancelBody(Many.dump()).error().Code);
  }

private:
  static json request() { return {{"member", "m"}, {"class", "c"}}; }
  static json job() {
    return {{"member", "m"}, {"class", "c"}, {"cpus_milli", 100}};
  }
  static void refused(const std::string &Code, const std::string &Body,
                      const SubmitBodyOptions &Options) {
    const auto Parsed = parseSubmitBody(Body, Options);
    CPPUNIT_ASSERT_MESSAGE(Body, !Parsed.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Body, Code, Parsed.error().Code);
    CPPUNIT_ASSERT(!Parsed.error().Message.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubmitBodyTest);

} // namespace

} // namespace hickory
