#include "Emulator/EmulatedCells.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <list>

namespace hickory::emulator {

namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

/// Limits of the process in its settings, and bounds of the checks.
constexpr std::size_t MemoryMb = 60;
constexpr std::size_t Descriptors = 400;
/// What may wait for a process that does not read is not waited for longer.
constexpr std::chrono::seconds SendTime{15};
/// Time for the process to read what it has received.
constexpr std::chrono::seconds ReadTime{3};
/// Clients repeat a refused request up to four times.
constexpr int Attempts = 5;

constexpr std::size_t LongestBody = 262144;
/// The job has to fit into a record of the store, which has at most 262,144
/// bytes with what is stored beside the body.
constexpr std::size_t LongestStorableBody = 260000;
constexpr std::size_t LargeChunk = 32768;
/// Far over any limit of a body.
constexpr std::size_t AnnouncedBytes = 50'000'000;
/// Below the limit of 1 MiB that the process had when the test was written.
constexpr std::size_t HeldBytes = 900'000;
constexpr int LargeChunkClients = 300;
constexpr int OneByteChunkClients = 40;
constexpr std::size_t OneByteChunks = 131072;
constexpr int TooLongClients = 100;
constexpr int EndlessClients = 20;
constexpr int IdleClients = 600;
constexpr int NeverReadingClients = 100;
/// More answers than the kernel keeps for a client that does not read.
constexpr std::size_t EndlessRequests = 100'000;

const std::string Start = "POST /plain/00000000000000ff HTTP/1.1\r\n"
                          "Host: plain.example\r\n";
const std::string ChunkedStart = Start + "Transfer-Encoding: chunked\r\n\r\n";

/// Returns the body in chunks, without the last chunk.
std::string chunksOf(const std::string &Body, std::size_t ChunkBytes) {
  std::string Text;
  for (std::size_t Begin = 0; Begin < Body.size(); Begin += ChunkBytes) {
    const std::string Chunk = Body.substr(Begin, ChunkBytes);
    Text += fmt::format("{:x}\r\n{}\r\n", Chunk.size(), Chunk);
  }
  return Text;
}

/// Chunks with Bytes bytes in all, without the last chunk of a body.
std::string chunks(std::size_t Bytes, std::size_t ChunkBytes) {
  return chunksOf(std::string(Bytes, 'x'), ChunkBytes);
}

/// Clients that send a text, then leave their connections open.
class Crowd {
public:
  explicit Crowd(tcp::endpoint Target) : Target_(Target) {}

  void add(int Clients, const std::string &Text, std::size_t Repetitions = 1) {
    for (int Number = 0; Number < Clients; ++Number) {
      tcp::socket &Socket = Sockets_.emplace_back(Context_);
      asio::co_spawn(Context_, send(Socket, Text, Repetitions), asio::detached);
    }
  }
  /// Sends until all is sent or SendTime has passed, and ReadTime longer.
  template <typename Observer> void run(Observer Observe) {
    auto Deadline = Steady::now() + SendTime;
    bool IsSent = false;
    while (Steady::now() < Deadline) {
      Context_.restart();
      Context_.run_for(20ms);
      Observe();
      if (!std::exchange(IsSent, Ended_ == Sockets_.size()) && IsSent)
        Deadline = Steady::now() + ReadTime;
      std::this_thread::sleep_for(5ms);
    }
  }

private:
  asio::awaitable<void> send(tcp::socket &Socket, const std::string &Text,
                             std::size_t Repetitions) {
    std::error_code Error;
    co_await Socket.async_connect(
        Target_, asio::redirect_error(asio::use_awaitable, Error));
    // A refused client has no more to send.
    for (std::size_t Round = 0; Round < Repetitions && !Error; ++Round)
      co_await asio::async_write(
          Socket, asio::buffer(Text),
          asio::redirect_error(asio::use_awaitable, Error));
    ++Ended_;
  }

  tcp::endpoint Target_;
  std::size_t Ended_ = 0;
  asio::io_context Context_{1};
  std::list<tcp::socket> Sockets_;
};

} // namespace

/// A crowd of clients uses one hickory-cell process. It must live, stay within
/// its memory and descriptors, and answer an ordinary request beside the crowd.
/// How many of the crowd are served, and when, is not checked.
class RequestLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestLimitsTest);
  CPPUNIT_TEST(testUnfinishedLargeChunks);
  CPPUNIT_TEST(testUnfinishedOneByteChunks);
  CPPUNIT_TEST(testAnnouncedTooLongBodies);
  CPPUNIT_TEST(testUnannouncedTooLongBodies);
  CPPUNIT_TEST(testManyConnections);
  CPPUNIT_TEST(testManyInternalConnections);
  CPPUNIT_TEST(testSingleRequestWithinLimitsIsServed);
  CPPUNIT_TEST(testAnswersThatAreNeverRead);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Cells_.start("[platform]\nworkers = 2\nparts = 4\n"
                 "[[platform.routes]]\nname = \"plain\"\n",
                 4, 1, {{"memory-mb", MemoryMb}, {"max-fds", Descriptors}});
  }
  void tearDown() override { Cells_.stop(); }

  // Guards against bodies that are each within the limit of one body, and
  // together use more than the memory of the process.
  void testUnfinishedLargeChunks() {
    const std::string Text = ChunkedStart + chunks(LongestBody - 1, LargeChunk);
    Crowd Clients(Cells_.endpoint(0, GatewayPort));
    Clients.add(LargeChunkClients, Text);
    check(Clients);
  }

  // Guards against a record for each chunk that is larger than the chunk.
  void testUnfinishedOneByteChunks() {
    const std::string Text = ChunkedStart + chunks(OneByteChunks, 1);
    Crowd Clients(Cells_.endpoint(0, GatewayPort));
    Clients.add(OneByteChunkClients, Text);
    check(Clients);
  }

  // Guards against reading a body although its length says that it is refused.
  void testAnnouncedTooLongBodies() {
    const std::string Head =
        Start + fmt::format("Content-Length: {}\r\n\r\n", AnnouncedBytes);
    const std::string Held = Head + std::string(HeldBytes, 'x');
    const std::string Endless = Head + std::string(AnnouncedBytes, 'x');
    Crowd Clients(Cells_.endpoint(0, GatewayPort));
    Clients.add(TooLongClients, Held);
    Clients.add(EndlessClients, Endless);
    check(Clients);
  }

  // The same for bodies whose length is seen only as they arrive.
  void testUnannouncedTooLongBodies() {
    const std::string Held = ChunkedStart + chunks(HeldBytes, LargeChunk);
    const std::string Endless =
        ChunkedStart + chunks(AnnouncedBytes, LargeChunk);
    Crowd Clients(Cells_.endpoint(0, GatewayPort));
    Clients.add(TooLongClients, Held);
    Clients.add(EndlessClients, Endless);
    check(Clients);
  }

  // Guards against connections that take all descriptors of the process.
  void testManyConnections() {
    Crowd Clients(Cells_.endpoint(0, GatewayPort));
    Clients.add(IdleClients / 2, "P");
    Clients.add(IdleClients / 2, ChunkedStart);
    check(Clients);
  }

  void testManyInternalConnections() {
    Crowd Clients(Cells_.endpoint(0, InternalPort));
    Clients.add(IdleClients, "P");
    check(Clients);
  }

  // Guards against a limit that refuses a long body which can be stored, in
  // whatever chunks it comes.
  void testSingleRequestWithinLimitsIsServed() {
    const std::string Begin = R"({"steps":[{"count":1,"cpu":100,"mem-mb":16}],)"
                              R"("spec":")";
    const std::string End = "\"}";
    const std::string Body =
        Begin +
        std::string(LongestStorableBody - Begin.size() - End.size(), 'x') + End;
    int Number = 0;
    for (const std::size_t ChunkBytes :
         {LongestStorableBody, LargeChunk, std::size_t{1}}) {
      const std::string Text = fmt::format("POST /plain/{:016x} HTTP/1.1\r\n"
                                           "Host: plain.example\r\n"
                                           "Content-Type: application/json\r\n"
                                           "Transfer-Encoding: chunked\r\n\r\n",
                                           ++Number) +
                               chunksOf(Body, ChunkBytes) + "0\r\n\r\n";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          fmt::format("chunks of {}", ChunkBytes), std::string("HTTP/1.1 200"),
          Cells_.send(0, GatewayPort, Text).substr(0, 12));
    }
  }

  // Guards against clients that hold all connections, as they send requests and
  // never read the answers.
  void testAnswersThatAreNeverRead() {
    const std::string Host = "Host: plain.example\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), sendOrdinaryRequest());
    Crowd Clients(Cells_.endpoint(0, GatewayPort));
    // A job that is not known, and one that is.
    for (const char *Job : {"00000000000000ff", "0000000000000001"})
      Clients.add(NeverReadingClients / 2,
                  fmt::format("GET /plain/{} HTTP/1.1\r\n", Job) + Host,
                  EndlessRequests);
    check(Clients);
  }

private:
  void check(Crowd &Clients) {
    std::size_t MostDescriptors = 0;
    const auto Observe = [&] {
      MostDescriptors = std::max(MostDescriptors, openDescriptors());
    };
    Clients.run(Observe);
    const std::string Answer = sendOrdinaryRequest();
    CPPUNIT_ASSERT_MESSAGE("the process has exited", !Cells_.hasExited(0));
    Observe();
    const std::size_t Megabytes = peakMemoryMb();
    std::cout << fmt::format(" ({} MB, {} descriptors, \"{}\")", Megabytes,
                             MostDescriptors, Answer);
    CPPUNIT_ASSERT(Megabytes < MemoryMb);
    CPPUNIT_ASSERT(MostDescriptors < Descriptors);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), Answer);
  }

  /// Returns the beginning of the last answer.
  std::string sendOrdinaryRequest() {
    const std::string Body =
        R"({"spec":"s","steps":[{"count":1,"cpu":100,"mem-mb":16}]})";
    const std::string Text = fmt::format(
        "POST /plain/0000000000000001 HTTP/1.1\r\nHost: plain.example\r\n"
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
        Body.size(), Body);
    std::string Answer;
    for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
      Answer = Cells_.send(0, GatewayPort, Text).substr(0, 12);
      if (Answer.ends_with("200"))
        break;
      std::this_thread::sleep_for(1s);
    }
    return Answer;
  }

  [[nodiscard]] std::size_t openDescriptors() const {
    std::error_code Error;
    std::size_t Open = 0;
    for (std::filesystem::directory_iterator
             Entry(fmt::format("/proc/{}/fd", Cells_.processId(0)), Error),
         End;
         !Error && Entry != End; Entry.increment(Error))
      ++Open;
    return Open;
  }

  /// Largest resident memory that the process has had, in MB.
  [[nodiscard]] std::size_t peakMemoryMb() const {
    std::ifstream Status(fmt::format("/proc/{}/status", Cells_.processId(0)));
    const std::string Key = "VmHWM:";
    for (std::string Line; std::getline(Status, Line);)
      if (Line.starts_with(Key))
        return std::stoul(Line.substr(Key.size())) / 1024;
    return std::numeric_limits<std::size_t>::max();
  }

  EmulatedCells Cells_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitsTest);

} // namespace hickory::emulator
