#pragma once

#include "Base/TimerService.h"
#include "Cell/AdviserChannel.h"
#include "Cell/CellPeer.h"
#include "Cell/WorkerClient.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace hickory {

struct AdviceCall {
  std::string Step;
  std::vector<std::string> Workers;
  AdviceCost Cost;
};

struct AdviceRouterOptions {
  std::string Address; ///< Of this process, for others.
  AdviserChannelOptions Line;
  /// Calls of each kind, long and short, that others make for this process at
  /// a time.
  int MostThroughPeers = 6;
  /// Processes asked until one has a free line.
  std::size_t PeersAsked = 3;
  /// Beyond twice the time that the adviser needs for the calls on the line.
  std::chrono::milliseconds AnswerMargin{700};
};

/// Sends calls to the adviser over the line of this process, or over that of
/// another process whose line is kept for such calls.
class AdviceRouter {
public:
  using Addresses = std::function<std::set<std::string>()>;

  AdviceRouter(TimerService &Timers, AdviceClient &Adviser, CellPeer &Peers,
               AdviceRouterOptions Options);

  /// Processes that own shards, this one included, and processes that don't.
  void setProcessLists(Addresses Owners, Addresses Helpers) {
    Owners_ = std::move(Owners);
    Helpers_ = std::move(Helpers);
  }

  /// False if a call of this cost would find no line.
  [[nodiscard]] bool canAsk(const AdviceCost &Cost) const;
  /// Error Overloaded: no line was free.
  asio::awaitable<Result<Advice>> ask(AdviceCall Call);
  /// Asks for another process unless the line is taken.
  asio::awaitable<AdviseReply> askOnBehalfOfPeer(AdviseRequest Request);

private:
  [[nodiscard]] bool ownLineTakes(const AdviceCost &Cost) const;
  /// Other processes whose lines carry such calls.
  [[nodiscard]] std::vector<std::string> peersFor(const AdviceCost &Cost) const;
  asio::awaitable<Result<Advice>> askOnOwnLine(AdviceCall Call);
  asio::awaitable<Result<Advice>> askThroughPeers(AdviceCall Call);

  TimerService &Timers_;
  AdviceClient &Adviser_;
  CellPeer &Peers_;
  AdviceRouterOptions Options_;
  Addresses Owners_;
  Addresses Helpers_;
  AdviserChannel Line_;
  int LongThroughPeers_ = 0;
  int ShortThroughPeers_ = 0;
  std::size_t NextPeer_;
};

} // namespace hickory
