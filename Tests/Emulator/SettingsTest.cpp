#include "Emulator/LoadSettings.h"

#include "StandIns/StandInSupport.h"
#include "Support/ChildProcess.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>

namespace hickory::emulator {

namespace {

constexpr const char *ValidSettings = R"(
[platform]
workers = 2
[[platform.routes]]
name = "q"
[load]
seconds = 1
[[load.kinds]]
name = "k"
queue = "q"
steps = [{ cpu = 100 }, { cpu = 100, depends-on = [0] }]
)";

/// Returns the error message for the text of a settings file; empty if the
/// settings are valid.
std::string errorOf(const std::string &Text) {
  try {
    const auto Parsed = parseToml(Text, "test");
    if (!Parsed)
      return Parsed.error().Message;
    const json File = tomlToJson(*Parsed);
    checkTopLevel(File);
    const auto Platform = readEmulatorSettings(
        {File.value("platform", json::object()), "platform"});
    readLoadSettings({File.value("load", json::object()), "load"}, Platform);
  } catch (const SettingsError &Exception) {
    return Exception.what();
  }
  return {};
}

std::string settingsWithReplacement(const std::string &Old,
                                    const std::string &New) {
  std::string Text = ValidSettings;
  const std::size_t Position = Text.find(Old);
  CPPUNIT_ASSERT(Position != std::string::npos);
  return Text.replace(Position, Old.size(), New);
}

void assertError(const std::string &Text, const std::string &ExpectedText) {
  const std::string Message = errorOf(Text);
  CPPUNIT_ASSERT_MESSAGE(Message,
                         Message.find(ExpectedText) != std::string::npos);
  CPPUNIT_ASSERT_MESSAGE(Message, Message.find('\n') == std::string::npos);
}

} // namespace

/// Guards against settings that are ignored: a run with a misspelled key would
/// not have the load or the faults that its author intended.
class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(testValidSettingsAreAccepted);
  CPPUNIT_TEST(testUnknownKeyIsNamedInError);
  CPPUNIT_TEST(testInvalidValueIsNamedInError);
  CPPUNIT_TEST(testReferencesMustExist);
  CPPUNIT_TEST(testControlPortInUseExitsWithStatus2);
  CPPUNIT_TEST_SUITE_END();

public:
  void testValidSettingsAreAccepted() {
    CPPUNIT_ASSERT_EQUAL(std::string(), errorOf(ValidSettings));
  }

  void testUnknownKeyIsNamedInError() {
    assertError(settingsWithReplacement("workers", "wrokers"),
                "platform.wrokers");
    assertError(settingsWithReplacement("cpu = 100 }, {", "cpus = 100 }, {"),
                "steps[0].cpus");
    assertError(std::string(ValidSettings) +
                    "[[load.troubles]]\nkind = \"deal-anew\"\n"
                    "at = 3\n",
                "load.troubles[0].at");
    assertError(std::string(ValidSettings) + "[extra]\n", "extra");
  }

  void testInvalidValueIsNamedInError() {
    assertError(settingsWithReplacement("workers = 2", "workers = 0"),
                "platform.workers");
    assertError(settingsWithReplacement("seconds = 1", "seconds = -1"),
                "load.seconds");
    assertError(settingsWithReplacement("seconds = 1", "seconds = nan"),
                "load.seconds");
    assertError(settingsWithReplacement("workers = 2", "workers = \"2\""),
                "an integer");
    assertError(settingsWithReplacement("queue = \"q\"",
                                        "queue = \"q\"\nper-second = -4"),
                "per-second");
    assertError(settingsWithReplacement("workers = 2",
                                        "workers = 2\ncrash-down-ms = 0"),
                "platform.crash-down-ms");
    assertError(settingsWithReplacement("queue = \"q\"",
                                        "queue = \"q\"\ncrash-share = 1.5"),
                "load.kinds[0].crash-share");
    assertError(settingsWithReplacement("queue = \"q\"",
                                        "queue = \"q\"\ncrash-after-ms = -1"),
                "load.kinds[0].crash-after-ms");
    // Its first task would end before it crashes a worker.
    assertError(settingsWithReplacement("queue = \"q\"",
                                        "queue = \"q\"\ncrash-share = 0.5\n"
                                        "crash-after-ms = 50"),
                "crash-after-ms must be less");
    assertError(std::string(ValidSettings) +
                    "[[load.troubles]]\nkind = \"quake\"\n",
                "quake");
    assertError(std::string(ValidSettings) + "[[load.troubles]]\n"
                                             "kind = \"kill-instance\"\n"
                                             "instance = 3\n",
                "load.troubles[0].instance");
    assertError("[platform", "not valid TOML");
  }

  void testReferencesMustExist() {
    assertError(settingsWithReplacement("queue = \"q\"", "queue = \"r\""),
                "\"r\"");
    assertError(settingsWithReplacement("depends-on = [0]", "depends-on = [1]"),
                "step 1");
  }

  void testControlPortInUseExitsWithStatus2() {
    asio::io_context Context;
    asio::ip::tcp::acceptor UsedPort(Context,
                                     {asio::ip::address_v4::loopback(), 0});
    const std::string File =
        (std::filesystem::temp_directory_path() /
         fmt::format("hickorypick-settings-{}.toml", ::getpid()))
            .string();
    writeFile(File, settingsWithReplacement(
                        "workers = 2",
                        fmt::format("workers = 2\ncontrol-port = {}",
                                    UsedPort.local_endpoint().port())));
    ChildProcess Emulator({std::string(TOOL_FOLDER) + "/platform-emulator",
                           "--settings=" + File});
    const int ExitStatus = Emulator.wait();
    std::filesystem::remove(File);
    CPPUNIT_ASSERT_EQUAL(2, ExitStatus);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace hickory::emulator
