#include "Http/HttpServer.h"
#include "Peer.grpc.pb.h"
#include "Support/ChildProcess.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <grpcpp/server_builder.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace hickory {

using asio::ip::tcp;

class PortReserverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PortReserverTest);
  CPPUNIT_TEST(daemonsCanListenOnReservedPorts);
  CPPUNIT_TEST(kernelAssignsNoReservedPort);
  CPPUNIT_TEST(exitsOnClosedInputAndOnSignal);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char *Program = TOOL_FOLDER "/port-reserver";

  static std::vector<std::uint16_t> readReservedPorts(ChildProcess &Reserver) {
    return nlohmann::json::parse(Reserver.readLine())
        .get<std::vector<std::uint16_t>>();
  }

  static tcp::endpoint localEndpoint(std::uint16_t Port) {
    return {asio::ip::address_v4::loopback(), Port};
  }

public:
  // Guards against a reservation that prevents the daemons from listening.
  // Covers listeners of Asio, HttpServer and gRPC.
  void daemonsCanListenOnReservedPorts() {
    ChildProcess Reserver({Program, "--count=3"});
    const auto Ports = readReservedPorts(Reserver);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Ports.size());
    asio::io_context Context;

    // Listens twice, as a restarted daemon does.
    for (int Round = 0; Round < 2; ++Round) {
      tcp::acceptor Acceptor(Context, localEndpoint(Ports[0]), true);
      tcp::socket Client(Context);
      Client.connect(localEndpoint(Ports[0]));
      const tcp::socket Served = Acceptor.accept();
      CPPUNIT_ASSERT_EQUAL(Ports[0], Served.local_endpoint().port());
    }

    HttpServerOptions Options;
    Options.Port = Ports[1];
    HttpServer Server(Context, Options,
                      [](HttpServerRequest /*Request*/)
                          -> asio::awaitable<HttpServerResponse> {
                        co_return HttpServerResponse{};
                      });
    Server.start();
    CPPUNIT_ASSERT_EQUAL(Ports[1], Server.port());
    tcp::socket Client(Context);
    Client.connect(localEndpoint(Ports[1]));

    peer::Peer::Service Service;
    grpc::ServerBuilder Builder;
    int SelectedPort = 0;
    Builder.AddListeningPort(fmt::format("127.0.0.1:{}", Ports[2]),
                             grpc::InsecureServerCredentials(), &SelectedPort);
    Builder.RegisterService(&Service);
    const std::unique_ptr<grpc::Server> Grpc = Builder.BuildAndStart();
    CPPUNIT_ASSERT(Grpc != nullptr);
    CPPUNIT_ASSERT_EQUAL(int(Ports[2]), SelectedPort);
    tcp::socket Second(Context);
    Second.connect(localEndpoint(Ports[2]));
    Grpc->Shutdown();
  }

  // Guards against random test failures because another socket takes the port
  // of a stopped daemon.
  void kernelAssignsNoReservedPort() {
    ChildProcess Reserver({Program, "--count=500"});
    const auto Ports = readReservedPorts(Reserver);
    const std::set<std::uint16_t> Reserved(Ports.begin(), Ports.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t(500), Reserved.size());
    asio::io_context Context;

    // Without a listener the connection is refused, as when the daemon is down.
    tcp::socket Refused(Context);
    std::error_code Code;
    Refused.connect(localEndpoint(Ports[0]), Code);
    CPPUNIT_ASSERT(Code == asio::error::connection_refused);

    // Without SO_REUSEADDR a socket cannot bind the port explicitly either.
    tcp::socket NonReusing(Context, tcp::v4());
    NonReusing.bind(localEndpoint(Ports[0]), Code);
    CPPUNIT_ASSERT(Code == asio::error::address_in_use);

    for (int I = 0; I < 5000; ++I) {
      tcp::socket SystemChosen(Context, tcp::v4());
      SystemChosen.set_option(tcp::socket::reuse_address(I % 2 == 0));
      SystemChosen.bind(localEndpoint(0));
      CPPUNIT_ASSERT(!Reserved.contains(SystemChosen.local_endpoint().port()));
    }
    tcp::acceptor Acceptor(Context, localEndpoint(0), true);
    for (int I = 0; I < 2000; ++I) {
      tcp::socket Outgoing(Context);
      Outgoing.connect(Acceptor.local_endpoint());
      CPPUNIT_ASSERT(!Reserved.contains(Outgoing.local_endpoint().port()));
      tcp::socket Served = Acceptor.accept();
      // A reset leaves no connection in TIME_WAIT.
      Served.set_option(asio::socket_base::linger(true, 0));
    }
  }

  // Guards against a reserver that outlives its test or exits too early.
  void exitsOnClosedInputAndOnSignal() {
    ChildProcess First({Program});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), readReservedPorts(First).size());
    First.closeInput();
    CPPUNIT_ASSERT_EQUAL(0, First.wait());
    ChildProcess Second({Program, "--count=2"});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), readReservedPorts(Second).size());
    Second.terminate();
    CPPUNIT_ASSERT_EQUAL(0, Second.wait());
    ChildProcess Third({Program, "--count=0"});
    CPPUNIT_ASSERT_EQUAL(2, Third.wait());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PortReserverTest);

} // namespace hickory
