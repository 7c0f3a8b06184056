#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace hickory {

/// A request whose response has not been written completely.
struct RequestInFlight {
  std::string Call; ///< Method and path.
  std::chrono::milliseconds Age{0};
};

/// What a graceful stop needs of a server.
class DrainableServer {
public:
  virtual ~DrainableServer() = default;

  /// Makes responses close their connections, so that clients do not send their
  /// next request to a process that is about to exit.
  virtual void closeAfterResponse() = 0;
  /// Closes the listener. Open connections are served as before.
  virtual void stop() = 0;
  /// Answers all requests in flight with 504, as their outcome is not known,
  /// and all later ones with 503, as they are not handled.
  virtual void answerRemaining() = 0;
  [[nodiscard]] virtual std::size_t requestsInFlight() const = 0;
  /// Number of requests received since the start.
  [[nodiscard]] virtual std::uint64_t requestsReceived() const = 0;
  /// The request in flight that was received first.
  [[nodiscard]] virtual std::optional<RequestInFlight>
  oldestRequest() const = 0;
};

} // namespace hickory
