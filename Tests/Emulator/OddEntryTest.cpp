#include "Emulator/CellInstance.h"
#include "Http/CurlHttpClient.h"
#include "StandIns/StandInServer.h"
#include "StandIns/StandInSupport.h"
#include "Support/RunCoroutine.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <iostream>
#include <set>

namespace hickory::emulator {

namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

constexpr std::chrono::seconds ReadyTimeout{60};
/// Limits for a machine under load; a process that follows the list needs well
/// under a second.
constexpr std::chrono::seconds FollowTimeout{8};
constexpr std::chrono::seconds JobTimeout{12};
constexpr std::chrono::milliseconds ExchangeFailureTime{6000};
constexpr int Partitions = 4;
/// So many that both processes hold the partition of at least one of them.
constexpr int LaterEntries = 16;
constexpr int JobsPerCell = 4;
constexpr std::size_t CellCount = 2;
constexpr std::size_t NestingDepth = 100000;
/// Six bytes a level: about as many as a record of the store can have.
constexpr std::size_t ObjectNestingDepth = 43000;
constexpr std::size_t LongText = 60000;
constexpr std::size_t LongestKey = 255;

struct OddEntry {
  std::string Name;
  std::string Key;
  std::string Value;
  /// True if the platform's pages allow the entry, which must then only do no
  /// harm.
  bool IsAllowed = false;
  /// Time until the processes are checked. An id that cannot be sent to other
  /// processes does harm only after some failed exchanges.
  std::chrono::milliseconds SettleTime{0};
};

std::string toHex(const std::string &Bytes) {
  std::string Digits;
  for (const char Byte : Bytes)
    Digits += fmt::format("{:02x}", static_cast<unsigned char>(Byte));
  return Digits;
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

} // namespace

/// Runs hickory-cell processes on the emulated platform and stores entries of
/// another writer among those of the workers, one after the other. After each,
/// the processes must run, be ready, have dropped the entry and logged why,
/// read the entries that follow it, and complete jobs. The results of all
/// entries are printed.
class OddEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntryTest);
  CPPUNIT_TEST(testAddress);
  CPPUNIT_TEST(testCapacity);
  CPPUNIT_TEST(testStartTime);
  CPPUNIT_TEST(testShape);
  CPPUNIT_TEST(testNesting);
  CPPUNIT_TEST(testEncoding);
  CPPUNIT_TEST(testKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Worker_ = std::make_unique<StandInServer>(
        Context_, 0, [this](StandInServer::Request Incoming) {
          return answerWorker(std::move(Incoming));
        });
    Worker_->open();
    startProcesses();
  }

  void tearDown() override {
    stopProcesses();
    Worker_.reset();
  }

  // Guards against a worker to which no connection can be opened.
  void testAddress() {
    for (const auto &[Name, Text] :
         std::vector<std::pair<std::string, std::string>>{
             {"port 99999", R"("127.0.0.1:99999")"},
             {"port 65536", R"("127.0.0.1:65536")"},
             {"port 0", R"("127.0.0.1:0")"},
             {"port -1", R"("127.0.0.1:-1")"},
             {"port +80", R"("127.0.0.1:+80")"},
             {"port of 30 digits",
              R"("127.0.0.1:000000000000000000000000009000")"},
             {"no port", R"("127.0.0.1")"},
             {"empty port", R"("127.0.0.1:")"},
             {"port with a path", R"("127.0.0.1:9000/x")"},
             {"user before the address", R"("u@127.0.0.1:9000")"},
             {"address part over 255", R"("127.0.0.256:9000")"},
             {"host name", R"("localhost:9000")"},
             {"IPv6", R"("[::1]:9000")"},
             {"line break", R"("127.0.0.1:9000\r\nX: y")"},
             {"NUL", R"("127.0.0.1:9000\u0000")"},
             {"empty address", R"("")"},
             {"long address", "\"" + std::string(LongText, '1') + ":9000\""},
             {"address is a number", "9000"},
             {"address is null", "null"}})
      play(with("address: " + Name, "address", Text));
    play(without("no address", "address"));
    assertNoFaults();
  }

  // Guards against amounts that do not fit the type they are converted to.
  void testCapacity() {
    for (const char *Amount :
         {"1e300", "-1e300", "1e999", "NaN", "-1", "-0.5", "1.5", "1e19",
          "9223372036854775808", "18446744073709551615", "18446744073709551616",
          "\"8000\"", "null", "[]", "true"})
      for (const char *Member : {"cpu", "mem-mb"})
        play(with(fmt::format("{} {}", Member, Amount), "capacity",
                  fmt::format(R"({{"cpu":8000,"mem-mb":16384,"{}":{}}})",
                              Member, Amount)));
    for (const char *Capacity : {"[]", "null", "8000"})
      play(with(std::string("capacity ") + Capacity, "capacity", Capacity));
    play(without("no capacity", "capacity"));
    assertNoFaults();
  }

  // Guards against a start time that does not fit its type.
  void testStartTime() {
    for (const char *Born :
         {"1e300", "-1e300", "-1", "1.5", "\"1764900000000\"",
          "18446744073709551615", "9223372036854775808", "null", "{}"})
      play(with(std::string("born ") + Born, "born", Born));
    assertNoFaults();
  }

  // Guards against values that are not an object with the usual members.
  void testShape() {
    for (const char *Value : {"[]", "[1,2]", "12", "\"text\"", "null", "true",
                              "{}", "{", "\x01\x02", " "})
      play({.Name = fmt::format("value {}", json(Value).dump()),
            .Key = nextKey(),
            .Value = Value});
    for (const char *Member : {"service", "zone", "state"}) {
      play(without(std::string("no ") + Member, Member));
      play(with(std::string(Member) + " is a list", Member, "[]"));
    }
    play(with("unknown state", "state", "\"resting\""));
    play(with("labels are numbers", "labels", "[1,2]"));
    play(with("labels are an object", "labels", "{\"a\":\"b\"}"));
    OddEntry Twice =
        with("state twice", "x\":0,\"state\":\"draining\",\"y", "0");
    Twice.IsAllowed = true; // The page does not say which of two counts.
    play(Twice);
    assertNoFaults();
  }

  // Guards against recursion on a deeply nested value.
  void testNesting() {
    play({.Name = "value nested 100000 deep",
          .Key = nextKey(),
          .Value = nested(NestingDepth)});
    play({.Name = "value nested 100000 deep, not closed",
          .Key = nextKey(),
          .Value = std::string(NestingDepth, '[')});
    std::string Objects;
    for (std::size_t Depth = 0; Depth < ObjectNestingDepth; ++Depth)
      Objects += "{\"a\":";
    play({.Name = "objects nested 43000 deep",
          .Key = nextKey(),
          .Value = Objects + "1" + std::string(ObjectNestingDepth, '}')});
    for (const char *Member : {"unknown", "labels", "capacity", "born"})
      play(with(fmt::format("{} nested 100000 deep", Member), Member,
                nested(NestingDepth)));
    assertNoFaults();
  }

  // Guards against text that JSON messages and log lines cannot hold.
  void testEncoding() {
    play(with("service not UTF-8", "service", "\"work\xff\xfe\""));
    play(with("label not UTF-8", "labels", "[\"plain\",\"r\xc3\"]"));
    play(with("zone not UTF-8", "zone", "\"\xed\xa0\x80\""));
    play(with("half a surrogate pair", "zone", R"("\ud800")"));
    play(with("unknown member not UTF-8", "unknown", "\"\xff\""));
    play({.Name = "bytes", .Key = nextKey(), .Value = "\xff\xfe\xfd"});
    assertNoFaults();
  }

  // Guards against ids that cannot be sent to a worker, to other processes or
  // to the store.
  void testKey() {
    const std::string Value = entry().dump();
    for (const auto &[Name, Suffix] :
         std::vector<std::pair<std::string, std::string>>{
             {"not UTF-8", "\xff\xfe"},
             {"line break", "\r\nX-Other: y"},
             {"NUL", std::string("\0x", 2)}})
      play({.Name = "key: " + Name,
            .Key = nextKey() + Suffix,
            .Value = Value,
            .SettleTime = ExchangeFailureTime});
    for (const char *Suffix : {"/x", "#1", "@x", " x"})
      play({.Name = std::string("key: ") + Suffix,
            .Key = nextKey() + Suffix,
            .Value = Value,
            .IsAllowed = true,
            .SettleTime = ExchangeFailureTime});
    std::string Long = nextKey();
    Long.resize(LongestKey, 'x');
    // The journal's key of a worker is longer than its id, and a key has at
    // most 255 bytes.
    play({.Name = "key: 255 bytes",
          .Key = Long,
          .Value = Value,
          .SettleTime = ExchangeFailureTime});
    play({.Name = "key: empty",
          .Key = "",
          .Value = Value,
          .SettleTime = ExchangeFailureTime});
    assertNoFaults();
  }

private:
  std::string nextKey() { return fmt::format("odd-{:03}-", ++Entries_); }

  /// An entry that is in order, of a worker that rejects all calls.
  [[nodiscard]] json entry() const {
    return {{"service", "workers"},
            {"address", Worker_->address()},
            {"zone", "zone-a"},
            {"version", "1"},
            {"slots", 64},
            {"state", "ready"},
            {"cold-remaining-ms", 0},
            {"sequence", 1},
            {"born", 1764900000000},
            {"labels", {"plain", "rack-0"}},
            {"capacity", {{"cpu", 8000}, {"mem-mb", 16384}, {"gpu", 0}}}};
  }

  OddEntry without(const std::string &Name, const std::string &Member) {
    json Value = entry();
    Value.erase(Member);
    return {.Name = Name, .Key = nextKey(), .Value = Value.dump()};
  }

  /// Member and Text are written as they are.
  OddEntry with(const std::string &Name, const std::string &Member,
                const std::string &Text) {
    json Value = entry();
    Value.erase(Member);
    std::string Raw = Value.dump();
    Raw.pop_back();
    Raw += ",\"" + Member + "\":" + Text + "}";
    return {.Name = Name, .Key = nextKey(), .Value = Raw};
  }

  [[nodiscard]] std::string path(const std::string &Name) const {
    return Folder_ + "/" + Name;
  }

  asio::awaitable<std::optional<StandInServer::Reply>>
  answerWorker(StandInServer::Request Incoming) {
    Contacted_.insert(Incoming.Headers["x-expected-instance"]);
    co_return StandInServer::Reply{.Status = 503, .Body = "{}"};
  }

  void startProcesses() {
    Folder_ = "/tmp/hickorypick-odd-XXXXXX";
    CPPUNIT_ASSERT(::mkdtemp(Folder_.data()) != nullptr);
    writeFile(path("settings.toml"),
              fmt::format("[platform]\nworkers = 2\nparts = {}\n"
                          "[[platform.routes]]\nname = \"plain\"\n",
                          Partitions));
    const std::string Programs = TOOL_FOLDER;
    Emulator_ = startWithLog(path("emulator.log"),
                             {Programs + "/platform-emulator",
                              "--settings=" + path("settings.toml"),
                              "--ports-file=" + path("ports.json"),
                              fmt::format("--callers={}", CellCount)});
    while (!std::filesystem::exists(path("ports.json")))
      CPPUNIT_ASSERT(!Emulator_->exitsWithin(20ms));
    Addresses_ = json::parse(readFile(path("ports.json")));
    EmulatorSettings Platform;
    Platform.Partitions = Partitions;
    int NextAddress = ::getpid() * 110;
    for (std::size_t Number = 0; Number < CellCount; ++Number) {
      Instance Cell = findAddress(Context_, NextAddress);
      Cell.Name = fmt::format("cell-{}", Number);
      const std::string Settings = path(Cell.Name + ".json");
      writeFile(Settings,
                cellSettings(Cell, Addresses_, Number, Platform).dump());
      Cell.Process =
          startWithLog(path(Cell.Name + ".log"),
                       {Programs + "/hickory-cell", "--settings=" + Settings});
      Cells_.push_back(std::move(Cell));
    }
    for (const Instance &Cell : Cells_)
      CPPUNIT_ASSERT_MESSAGE(
          Cell.Name, waitUntil(ReadyTimeout, [&] { return isReady(Cell); }));
    // Without odd entries, all jobs complete.
    CPPUNIT_ASSERT_EQUAL(0, incompleteJobs());
  }

  void stopProcesses() {
    Cells_.clear();
    Emulator_.reset();
    std::filesystem::remove_all(Folder_);
  }

  template <typename Condition>
  bool waitUntil(Steady::duration Timeout, Condition IsMet) {
    const auto Deadline = Steady::now() + Timeout;
    while (!IsMet()) {
      if (Steady::now() > Deadline)
        return false;
      Context_.restart();
      Context_.run_for(20ms);
    }
    return true;
  }

  HttpClientResponse send(std::string Method, std::string Url,
                          std::string Body = "") {
    HttpClientRequest Request{.Method = std::move(Method),
                              .Url = std::move(Url),
                              .Body = std::move(Body),
                              .Timeout = 2000ms,
                              .MayResend = true};
    Request.Headers.emplace_back("Host", "plain.example");
    const auto Reply = runCoroutine(Context_, Client_.send(std::move(Request)));
    return Reply ? *Reply : HttpClientResponse{.Status = 0};
  }

  bool isReady(const Instance &Cell) {
    return send("GET", "http://" + Cell.at(ReadyPort) + "/api/readiness")
               .Status == 200;
  }

  void put(const std::string &Key, const std::string &Value) {
    const json Command = {
        {"kind", "put-entry"}, {"key", toHex(Key)}, {"value", toHex(Value)}};
    CPPUNIT_ASSERT_EQUAL(
        200,
        send("POST",
             "http://" + Addresses_["control"].get<std::string>() + "/trouble",
             Command.dump())
            .Status);
  }

  /// Returns false if the processes do not read the entries that were stored
  /// last.
  bool readsLaterEntries() {
    const int First = LaterCount_;
    LaterCount_ += LaterEntries;
    const auto Name = [](int Number) {
      return fmt::format("later-{}", Number);
    };
    for (int Number = First; Number < LaterCount_; ++Number)
      put(Name(Number), entry().dump());
    const bool AllRead = waitUntil(FollowTimeout, [&] {
      for (int Number = First; Number < LaterCount_; ++Number)
        if (!Contacted_.contains(Name(Number)))
          return false;
      return true;
    });
    for (int Number = First; Number < LaterCount_; ++Number)
      put(Name(Number), "");
    return AllRead;
  }

  /// Whether a process has taken the entry: it has called the worker or has
  /// recorded it.
  bool isTaken(const std::string &Key) {
    if (Contacted_.contains(Key))
      return true;
    if (Key.empty())
      return false;
    for (int Partition = 0; Partition < Partitions; ++Partition)
      if (send("GET",
               fmt::format("http://{}/api/log-read?topic=keyed.journal&part={}"
                           "&from=0&max-kb=16384",
                           Addresses_["stores"][0].get<std::string>(),
                           Partition))
              .Body.find("w/" + Key) != std::string::npos)
        return true;
    return false;
  }

  /// Whether the log of each process has a line that names the entry and a
  /// reason.
  bool isDropLogged(const std::string &Key) {
    const std::string Marker =
        Key.empty() ? R"("worker":"")" : Key.substr(0, nextKeyLength());
    for (const Instance &Cell : Cells_) {
      std::istringstream Log(readFile(path(Cell.Name + ".log")));
      bool Found = false;
      for (std::string Line; !Found && std::getline(Log, Line);)
        Found = Line.find(Marker) != std::string::npos &&
                Line.find("\"reason\"") != std::string::npos;
      if (!Found)
        return false;
    }
    return true;
  }

  static std::size_t nextKeyLength() { return std::string("odd-000-").size(); }

  /// Returns the number of jobs that did not complete, of JobsPerCell for each
  /// process.
  int incompleteJobs() {
    std::vector<std::string> Urls;
    json Step = {
        {"count", 2}, {"cpu", 100}, {"mem-mb", 16}, {"estimated-ms", 100}};
    Step["ms"] = 100;
    const json Plan = {{"queue", "plain"}, {"steps", {Step}}};
    Step.erase("ms");
    const std::string Body =
        json{{"spec", Plan.dump()}, {"steps", {Step}}}.dump();
    for (const Instance &Cell : Cells_)
      for (int Job = 0; Job < JobsPerCell; ++Job) {
        Urls.push_back(fmt::format("http://{}/plain/{:016x}",
                                   Cell.at(GatewayPort), ++Jobs_));
        waitUntil(JobTimeout, [&] {
          return send("POST", Urls.back(), Body).Status == 200;
        });
      }
    waitUntil(JobTimeout, [&] {
      std::erase_if(Urls, [&](const std::string &Url) {
        return send("GET", Url).Body.find("completed") != std::string::npos;
      });
      return Urls.empty();
    });
    return static_cast<int>(Urls.size());
  }

  void play(const OddEntry &Odd) {
    put(Odd.Key, Odd.Value);
    Context_.restart();
    Context_.run_for(Odd.SettleTime);
    std::vector<std::string> Seen;
    if (!readsLaterEntries())
      Seen.emplace_back("later entries not read");
    const int Incomplete = incompleteJobs();
    if (Incomplete > 0)
      Seen.push_back(fmt::format("{} of {} jobs not completed", Incomplete,
                                 JobsPerCell * CellCount));
    bool MustRestart = !Seen.empty();
    for (const Instance &Cell : Cells_) {
      if (Cell.Process->exitsWithin(0ms)) {
        Seen.push_back(Cell.Name + " exited");
        MustRestart = true;
      } else if (!isReady(Cell)) {
        Seen.push_back(Cell.Name + " not ready");
        MustRestart = true;
      }
    }
    const bool Taken = isTaken(Odd.Key);
    if (Taken && !Odd.IsAllowed)
      Seen.emplace_back("taken as a worker");
    if (!Odd.IsAllowed && !isDropLogged(Odd.Key))
      Seen.emplace_back("drop not logged");
    std::string Text;
    for (const std::string &Fault : Seen)
      Text += (Text.empty() ? "" : "; ") + Fault;
    std::cerr << "odd entry | " << Odd.Name << " | "
              << (!Text.empty() ? Text
                  : Taken       ? "taken, harmless"
                                : "dropped")
              << " |\n";
    if (!Text.empty())
      Faults_ += "\n" + Odd.Name + ": " + Text;
    put(Odd.Key, "");
    // Processes keep a worker for some time after its entry.
    if (Taken && Odd.SettleTime > 0ms)
      MustRestart = true;
    if (MustRestart) {
      printLastWarnings(Odd);
      stopProcesses();
      startProcesses();
    }
    Contacted_.erase(Odd.Key);
  }

  void printLastWarnings(const OddEntry &Odd) const {
    for (const Instance &Cell : Cells_) {
      std::istringstream Log(readFile(path(Cell.Name + ".log")));
      std::string Tail;
      for (std::string Line; std::getline(Log, Line);)
        if (Line.find("terminate") != std::string::npos ||
            Line.find("Check failed") != std::string::npos ||
            Line.find("what()") != std::string::npos ||
            (!Line.empty() && (Line[0] == 'W' || Line[0] == 'E')))
          Tail = Line;
      std::cerr << "  " << Odd.Name << ", last warning of " << Cell.Name << ": "
                << Tail << "\n";
    }
  }

  void assertNoFaults() const { CPPUNIT_ASSERT_EQUAL(std::string(), Faults_); }

  std::string Folder_;
  asio::io_context Context_{1};
  CurlHttpClient Client_{Context_};
  std::unique_ptr<StandInServer> Worker_;
  std::unique_ptr<ChildProcess> Emulator_;
  std::vector<Instance> Cells_;
  json Addresses_;
  std::set<std::string> Contacted_; ///< Ids of the workers that were called.
  int Entries_ = 0;
  int LaterCount_ = 0;
  int Jobs_ = 0;
  std::string Faults_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntryTest);

} // namespace hickory::emulator
