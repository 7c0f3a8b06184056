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

constexpr const char *Sound = R"(
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

/// What is wrong with a file; empty if nothing is.
std::string faultOf(const std::string &Text) {
  try {
    const auto Parsed = parseToml(Text, "test");
    if (!Parsed)
      return Parsed.error().Message;
    const json File = jsonFrom(*Parsed);
    checkTopLevel(File);
    const auto Platform = readEmulatorSettings(
        {File.value("platform", json::object()), "platform"});
    readLoadSettings({File.value("load", json::object()), "load"}, Platform);
  } catch (const SettingsError &Failure) {
    return Failure.what();
  }
  return {};
}

std::string replaced(const std::string &Old, const std::string &New) {
  std::string Text = Sound;
  const std::size_t Where = Text.find(Old);
  CPPUNIT_ASSERT(Where != std::string::npos);
  return Text.replace(Where, Old.size(), New);
}

void assertFault(const std::string &Text, const std::string &Part) {
  const std::string Fault = faultOf(Text);
  CPPUNIT_ASSERT_MESSAGE(Fault, Fault.find(Part) != std::string::npos);
  CPPUNIT_ASSERT_MESSAGE(Fault, Fault.find('\n') == std::string::npos);
}

} // namespace

/// A key that is read past would leave a run without the load or the trouble
/// that its author meant.
class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(testSoundSettings);
  CPPUNIT_TEST(testUnknownKeysAreNamed);
  CPPUNIT_TEST(testImpossibleValuesAreNamed);
  CPPUNIT_TEST(testReferencesMustExist);
  CPPUNIT_TEST(testPortInUse);
  CPPUNIT_TEST_SUITE_END();

public:
  void testSoundSettings() {
    CPPUNIT_ASSERT_EQUAL(std::string(), faultOf(Sound));
  }

  void testUnknownKeysAreNamed() {
    assertFault(replaced("workers", "wrokers"), "platform.wrokers");
    assertFault(replaced("cpu = 100 }, {", "cpus = 100 }, {"), "steps[0].cpus");
    assertFault(std::string(Sound) + "[[load.troubles]]\nkind = \"deal-anew\"\n"
                                     "at = 3\n",
                "load.troubles[0].at");
    assertFault(std::string(Sound) + "[extra]\n", "extra");
  }

  void testImpossibleValuesAreNamed() {
    assertFault(replaced("workers = 2", "workers = 0"), "platform.workers");
    assertFault(replaced("seconds = 1", "seconds = -1"), "load.seconds");
    assertFault(replaced("seconds = 1", "seconds = nan"), "load.seconds");
    assertFault(replaced("workers = 2", "workers = \"2\""), "an integer");
    assertFault(replaced("queue = \"q\"", "queue = \"q\"\nper-second = -4"),
                "per-second");
    assertFault(std::string(Sound) + "[[load.troubles]]\nkind = \"quake\"\n",
                "quake");
    assertFault(std::string(Sound) + "[[load.troubles]]\n"
                                     "kind = \"kill-instance\"\n"
                                     "instance = 3\n",
                "load.troubles[0].instance");
    assertFault("[platform", "not valid TOML");
  }

  void testReferencesMustExist() {
    assertFault(replaced("queue = \"q\"", "queue = \"r\""), "\"r\"");
    assertFault(replaced("depends-on = [0]", "depends-on = [1]"), "step 1");
  }

  void testPortInUse() {
    asio::io_context Context;
    asio::ip::tcp::acceptor Taken(Context,
                                  {asio::ip::address_v4::loopback(), 0});
    const std::string File =
        (std::filesystem::temp_directory_path() /
         fmt::format("hickorypick-settings-{}.toml", ::getpid()))
            .string();
    writeFile(File, replaced("workers = 2",
                             fmt::format("workers = 2\ncontrol-port = {}",
                                         Taken.local_endpoint().port())));
    ChildProcess Emulator({std::string(TOOL_FOLDER) + "/platform-emulator",
                           "--settings=" + File});
    const int Status = Emulator.wait();
    std::filesystem::remove(File);
    CPPUNIT_ASSERT_EQUAL(2, Status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace hickory::emulator
