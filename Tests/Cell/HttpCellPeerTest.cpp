#include "Cell/HttpCellPeer.h"

#include "Cell/CellTestBench.h"
#include "Fakes/FakeHttpClient.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace hickory {

namespace {

constexpr const char *Own = "10.0.0.1:80";
constexpr const char *Other = "10.0.0.2:80";

struct PeerBench : CellTestBench {
  PeerBench() {
    Client.serve(Other, [](const HttpClientRequest &) {
      return HttpClientResponse{.Status = 503};
    });
  }
  /// Makes the call and returns whether its request may be resent.
  template <typename T> bool mayResend(asio::awaitable<Result<T>> Call) {
    begin(std::move(Call));
    run(std::chrono::seconds(1));
    return Client.SentRequests.back().MayResend;
  }
  FakeHttpClient Client{Timers};
  HttpCellPeer Peers{Client, Own};
};

} // namespace

class HttpCellPeerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpCellPeerTest);
  CPPUNIT_TEST(testCallsWhoseRefusalIsProofAreSentOnce);
  CPPUNIT_TEST(testCallsThatMayArriveTwiceAreSentAgain);
  CPPUNIT_TEST(testErrorOfARelayContainsNoTextOfARecord);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a task that runs twice: its placement is executed, the
  // connection is reset, and the copy that the HTTP client resends is refused
  // for lack of capacity.
  void testCallsWhoseRefusalIsProofAreSentOnce() {
    PeerBench Bench;
    CPPUNIT_ASSERT(!Bench.mayResend(Bench.Peers.place(Other, PlaceRequest())));
    CPPUNIT_ASSERT(!Bench.mayResend(Bench.Peers.submit(Other, JobSpec())));
  }

  void testCallsThatMayArriveTwiceAreSentAgain() {
    PeerBench Bench;
    CPPUNIT_ASSERT(Bench.mayResend(Bench.Peers.stop(Other, StopRequest())));
    CPPUNIT_ASSERT(
        Bench.mayResend(Bench.Peers.reportEnds(Other, EndsRequest())));
    CPPUNIT_ASSERT(Bench.mayResend(Bench.Peers.state(Other, JobReference())));
    CPPUNIT_ASSERT(Bench.mayResend(Bench.Peers.cancel(Other, JobReference())));
    CPPUNIT_ASSERT(
        Bench.mayResend(Bench.Peers.exchange(Other, ExchangeRequest())));
  }

  // Guards against keys in the log: the texts of errors are logged.
  void testErrorOfARelayContainsNoTextOfARecord() {
    const std::string Incomplete =
        R"({"Current":true,"Records":[{"Key":"secret","Value":5}]})";
    for (const std::string &Body :
         {std::string("secret"), std::string(R"("secret")"),
          std::string(R"(["secret"])"), std::string(R"({"secret":1})"),
          std::string(R"({"Current":"secret"})"),
          std::string(R"({"Current":true,"Keys":"secret"})"), Incomplete}) {
      PeerBench Bench;
      Bench.Client.serve(Other, [&](const HttpClientRequest &) {
        return HttpClientResponse{.Status = 200, .Body = Body};
      });
      const auto Reply =
          Bench.begin(Bench.Peers.relayRecords(Other, RecordsRequest()));
      Bench.run(std::chrono::seconds(1));
      CPPUNIT_ASSERT_MESSAGE(Body, Reply->has_value() && !**Reply);
      CPPUNIT_ASSERT((**Reply).error().Message.find("secret") ==
                     std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCellPeerTest);

} // namespace hickory
