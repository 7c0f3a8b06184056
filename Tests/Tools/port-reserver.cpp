// Reserves TCP ports on 127.0.0.1 for tests. It binds sockets without
// listening, prints the ports as one JSON array and keeps the sockets until
// SIGTERM or until standard input closes. Meanwhile the kernel gives the ports
// to nobody else, but a process that sets SO_REUSEADDR can listen on them.
#include "Support/ToolProgram.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <functional>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

int main(int Count, const char **Arguments) {
  using namespace hickory;
  using asio::ip::tcp;
  int Ports = 1;
  const poptOption Table[] = {
      {"count", 0, POPT_ARG_INT, &Ports, 0, "number of ports", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::initLogging(Arguments[0]);
  tool::parseOptions(Count, Arguments, Table);
  if (Ports < 1) {
    std::fprintf(stderr, "%s: --count must be positive\n", Arguments[0]);
    return 2;
  }

  asio::io_context Context(1);
  const tool::TerminationSignals Signals(Context);
  std::vector<tcp::socket> Sockets;
  nlohmann::json Reserved = nlohmann::json::array();
  for (int I = 0; I < Ports; ++I) {
    tcp::socket &Socket = Sockets.emplace_back(Context, tcp::v4());
    Socket.set_option(tcp::socket::reuse_address(true));
    std::error_code Code;
    Socket.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0), Code);
    if (Code) {
      std::fprintf(stderr, "%s: bind of port %d of %d: %s\n", Arguments[0],
                   I + 1, Ports, Code.message().c_str());
      return 1;
    }
    Reserved.push_back(Socket.local_endpoint().port());
  }
  std::printf("%s\n", Reserved.dump().c_str());
  std::fflush(stdout);

  // Only a pipe, socket or terminal can close later; /dev/null and files are
  // at their end from the start and do not end the program.
  struct stat Kind {};
  const bool Watched = ::fstat(STDIN_FILENO, &Kind) == 0 &&
                       (S_ISFIFO(Kind.st_mode) || S_ISSOCK(Kind.st_mode) ||
                        ::isatty(STDIN_FILENO) != 0);
  asio::posix::stream_descriptor Input(Context);
  std::array<char, 256> Ignored{};
  std::function<void()> ReadNext = [&] {
    Input.async_read_some(asio::buffer(Ignored),
                          [&](const std::error_code &Failure, std::size_t) {
                            if (Failure)
                              Context.stop();
                            else
                              ReadNext();
                          });
  };
  if (Watched) {
    Input.assign(::dup(STDIN_FILENO));
    ReadNext();
  }
  Context.run();
  return 0;
}
