#include "Config/ConfigJson.h"

#include "ConfigTestSupport.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

class ConfigJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigJsonTest);
  CPPUNIT_TEST(changeSetSurvivesRoundTrip);
  CPPUNIT_TEST(verdictSurvivesRoundTrip);
  CPPUNIT_TEST(publishedConfigSurvivesRoundTrip);
  CPPUNIT_TEST(namesPlaceOfWrongField);
  CPPUNIT_TEST_SUITE_END();

  static void expectError(const std::string &Body, const std::string &Wanted) {
    const auto Parsed = changeSetFromJson(Body);
    CPPUNIT_ASSERT_MESSAGE(Body, !Parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(Wanted, Parsed.error().Message);
  }

public:
  // Guards against fields that gateway and hickoryctl encode differently.
  void changeSetSurvivesRoundTrip() {
    records::ChangeSet Changes = cellChangeSet("id \"1\"");
    Changes.set_author("op");
    removeObject(Changes, "policy", "old", UINT64_MAX);
    const auto Parsed = changeSetFromJson(changeSetToJson(Changes));
    CPPUNIT_ASSERT(Parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(Changes.DebugString(), Parsed->DebugString());
  }

  // Guards against a verdict that the caller reads as another one.
  void verdictSurvivesRoundTrip() {
    const std::vector<ConfigVerdict> All = {{.Id = "a",
                                             .Kind = VerdictKind::Accepted,
                                             .Version = 7,
                                             .Object = {},
                                             .Errors = {}},
                                            {.Id = "b",
                                             .Kind = VerdictKind::Conflict,
                                             .Version = 3,
                                             .Object = "pool.main",
                                             .Errors = {}},
                                            {.Id = "c",
                                             .Kind = VerdictKind::Rejected,
                                             .Version = 0,
                                             .Object = {},
                                             .Errors = {"x", "y"}}};
    for (const ConfigVerdict &Verdict : All)
      CPPUNIT_ASSERT(verdictFromJson(verdictToJson(Verdict)) == Verdict);
    CPPUNIT_ASSERT(!verdictFromJson("{\"verdict\":\"maybe\"}"));
  }

  // Guards against objects that are lost on the way to hickoryctl.
  void publishedConfigSurvivesRoundTrip() {
    PublishedConfig Config;
    Config.Version = 4;
    records::ConfigObject Object;
    Object.set_kind("pool");
    Object.set_name("main");
    Object.set_version(2);
    Object.set_toml("failure_domains = []\n");
    Config.Objects.push_back(Object);
    const auto Parsed = publishedConfigFromJson(publishedConfigToJson(Config));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Parsed->Version);
    CPPUNIT_ASSERT_EQUAL(Object.DebugString(),
                         Parsed->Objects.at(0).DebugString());
  }

  // Guards against errors that do not say what to change.
  void namesPlaceOfWrongField() {
    expectError("{", "the body is not valid JSON");
    expectError("[]", "the body must be a JSON object");
    expectError("{}", "objects is missing");
    expectError("{\"objects\":{}}", "objects must be an array");
    expectError("{\"objects\":[],\"x\":1}",
                "x is not a known field; remove it");
    expectError("{\"objects\":[{\"kind\":\"pool\",\"name\":\"a\"}]}",
                "objects[0].toml is missing");
    expectError("{\"objects\":[3]}", "objects[0] must be a JSON object");
    expectError("{\"objects\":[],\"based_on\":[{\"kind\":\"pool\",\"name\":"
                "\"a\",\"version\":-1}]}",
                "based_on[0].version must be an integer of at least 0");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigJsonTest);

} // namespace hickory
