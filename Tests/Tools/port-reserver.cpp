// Reserves TCP ports on 127.0.0.1 for tests. Binds sockets without listening,
// prints the ports as one JSON array and keeps the sockets open until SIGTERM
// or until standard input closes. The kernel does not assign these ports to any
// other socket, but a process that sets SO_REUSEADDR can listen on them.
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
  int PortCount = 1;
  const poptOption Table[] = {
      {"count", 0, POPT_ARG_INT, &PortCount, 0, "number of ports", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::initLogging(Arguments[0]);
  tool::parseOptions(Count, Arguments, Table);
  if (PortCount < 1) {
    std::fprintf(stderr, "%s: --count must be positive\n", Arguments[0]);
    return 2;
  }

  asio::io_context Context(1);
  const tool::TerminationSignals Signals(Context);
  std::vector<tcp::socket> Sockets;
  nlohmann::json ReservedPorts = nlohmann::json::array();
  for (int I = 0; I < PortCount; ++I) {
    tcp::socket &Socket = Sockets.emplace_back(Context, tcp::v4());
    Socket.set_option(tcp::socket::reuse_address(true));
    std::error_code Code;
    Socket.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0), Code);
    if (Code) {
      std::fprintf(stderr, "%s: cannot bind port %d of %d: %s\n", Arguments[0],
                   I + 1, PortCount, Code.message().c_str());
      return 1;
    }
    ReservedPorts.push_back(Socket.local_endpoint().port());
  }
  std::printf("%s\n", ReservedPorts.dump().c_str());
  std::fflush(stdout);

  // Only a pipe, socket or terminal can reach its end later. /dev/null and
  // regular files are at their end from the start and must not stop the
  // program.
  struct stat InputStatus {};
  const bool InputCanClose =
      ::fstat(STDIN_FILENO, &InputStatus) == 0 &&
      (S_ISFIFO(InputStatus.st_mode) || S_ISSOCK(InputStatus.st_mode) ||
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
  if (InputCanClose) {
    Input.assign(::dup(STDIN_FILENO));
    ReadNext();
  }
  Context.run();
  return 0;
}
