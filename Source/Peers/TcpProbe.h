#pragma once

#include <asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace hickory {

enum class ProbeResult {
  Connected,
  Refused, ///< The address actively refused: no process listens there.
  Silent,  ///< No answer in time, or any other failure: nothing is known.
};

/// Opens a new TCP connection to "ip:port" and closes it again. Used where the
/// cached state of a gRPC channel would be too old to be proof.
asio::awaitable<ProbeResult> probe(std::string Address,
                                   std::chrono::milliseconds Timeout);

} // namespace hickory
