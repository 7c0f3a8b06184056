#pragma once

#include "Backends/ExecutorSession.h"
#include "Backends/RetryBudget.h"
#include "Peer.pb.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hickory {

/// The executors of one rack: chooses one for each request, repeats what may be
/// repeated, and finds late answers.
class ExecutorPool : public std::enable_shared_from_this<ExecutorPool> {
public:
  ExecutorPool(std::shared_ptr<RackContext> Context, std::string Rack);

  void update(const std::vector<Upstream> &Executors);
  void close();

  /// MaySend is asked immediately before each execute call.
  asio::awaitable<peer::ExecuteReply> execute(peer::ExecuteRequest Request,
                                              std::function<bool()> MaySend);

  [[nodiscard]] bool empty() const { return Sessions_.empty(); }
  [[nodiscard]] std::size_t inFlight() const { return InFlight_; }
  [[nodiscard]] std::uint32_t freeSlots() const;

private:
  using SessionPointer = std::shared_ptr<ExecutorSession>;

  asio::awaitable<peer::ExecuteReply> resolve(peer::ExecuteRequest Request,
                                              std::string Executor);
  asio::awaitable<peer::ExecuteReply> join(std::shared_ptr<Execution> Item,
                                           Clock::time_point Deadline);
  asio::awaitable<peer::ExecuteReply>
  runToEnd(const peer::ExecuteRequest &Request,
           const std::shared_ptr<Execution> &Item,
           const std::function<bool()> &MaySend);
  /// Sends the next try. On failure the reply says why nothing was sent.
  asio::awaitable<std::optional<peer::ExecuteReply>>
  sendTry(const peer::ExecuteRequest &Request,
          const std::shared_ptr<Execution> &Item,
          const std::function<bool()> &MaySend);
  asio::awaitable<void> queryOpenTries(const std::shared_ptr<Execution> &Item);
  [[nodiscard]] bool mayTryAgain(const peer::ExecuteRequest &Request,
                                 const Execution &Item) const;
  [[nodiscard]] SessionPointer pick(const peer::ExecuteRequest &Request,
                                    const Execution &Item);
  [[nodiscard]] SessionPointer find(const std::string &Name) const;
  peer::ExecuteReply finish(const peer::ExecuteRequest &Request,
                            const std::shared_ptr<Execution> &Item);

  std::shared_ptr<RackContext> Context_;
  std::string Rack_;
  std::map<std::string, SessionPointer> Sessions_;
  RetryBudget Budget_;
  std::size_t InFlight_ = 0;
};

} // namespace hickory
