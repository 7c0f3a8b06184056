#pragma once

#include "Base/Error.h"
#include "Peers/PeerHandler.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace hickory {

/// Receives calls of other instances over gRPC and passes them to a
/// PeerHandler on the Asio context.
///
/// Other instances take a refused connection as proof that this process is
/// gone. So start() must have succeeded before Ownership runs, and Ownership
/// must have left before stop() closes the port.
class GrpcPeerServer {
public:
  /// ListenAddress is "ip:port"; port 0 lets the system choose.
  GrpcPeerServer(asio::io_context &Context, std::string ListenAddress,
                 PeerHandler &Handler);
  ~GrpcPeerServer();
  GrpcPeerServer(const GrpcPeerServer &) = delete;
  GrpcPeerServer &operator=(const GrpcPeerServer &) = delete;

  /// Binds the address, not shared with any other process, and returns the
  /// port.
  Result<std::uint16_t> start();

  /// Waits until no call is being handled, at most Limit. New calls are still
  /// accepted meanwhile.
  asio::awaitable<void> drain(std::chrono::milliseconds Limit);

  /// Closes the port and cancels the calls that are left. Needs the context to
  /// run only for replies still in progress; these are dropped.
  void stop();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hickory
