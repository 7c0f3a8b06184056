#pragma once

#include "Base/TimerService.h"
#include "Cell/AdviserChannel.h"
#include "Cell/CellPeer.h"
#include "Cell/WorkerClient.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickory {

/// A request for advice: which of the workers may run the step.
struct AdviceCall {
  std::string Step;
  std::vector<std::string> Workers;
  AdviceCost Cost;
};

struct AdviceRouterOptions {
  std::string Address; ///< At which other processes reach this one.
  AdviserChannelOptions Channel;
  /// Maximum number of calls of each kind, long and short, that peers make on
  /// behalf of this process at a time.
  int MaximumCallsThroughPeers = 40;
  /// Maximum number of peers tried until one has a free channel.
  std::size_t MaximumPeersTried = 8;
  /// Bounds of the time for which a peer that has refused a call gets none.
  std::chrono::milliseconds MinimumPeerPause{40};
  std::chrono::milliseconds MaximumPeerPause{1500};
  /// Time for which a peer that has not answered a call gets none.
  std::chrono::milliseconds UnansweredPeerPause{1000};
  /// Time for which the processes that carry calls are taken as known.
  std::chrono::milliseconds CarrierListLifetime{100};
  /// The channel of a process carries its own long calls, whatever it is
  /// assigned to, once no short call has used it for this time. While only
  /// gangs wait, half of the channels would be idle otherwise.
  std::chrono::milliseconds ShortCallMemory{1000};
  /// Added to twice the sum of the call's estimated time and of
  /// AdviserChannelOptions::MaximumUrgentWait.
  std::chrono::milliseconds TimeoutMargin{700};
};

/// Sends calls to the adviser through the channel of this process, or through
/// that of a peer which is assigned to calls of their kind.
class AdviceRouter {
public:
  using Addresses = std::function<std::set<std::string>()>;

  AdviceRouter(TimerService &Timers, AdviceClient &Adviser, CellPeer &Peers,
               AdviceRouterOptions Options);

  /// Sets the functions that return the addresses of processes that own shards,
  /// including this one, and of processes that own none (helpers).
  void setProcessLists(Addresses Owners, Addresses Helpers) {
    Owners_ = std::move(Owners);
    Helpers_ = std::move(Helpers);
  }

  /// Returns false if no channel is available to a call of this cost.
  [[nodiscard]] bool canAsk(const AdviceCost &Cost) const;
  /// Sends the call through the own channel if that accepts it, else through a
  /// peer. Fails with Overloaded if there is no peer for it or none of those
  /// that were tried answered, and with the adviser's error if a call through
  /// the own channel fails.
  asio::awaitable<Result<Advice>> ask(AdviceCall Call);
  /// Sends a peer's call through the own channel; Answered is false if the
  /// channel is busy or the call failed.
  asio::awaitable<AdviseReply> askOnBehalfOfPeer(AdviseRequest Request);

private:
  /// The processes whose channels carry calls of one kind.
  struct Carriers {
    std::vector<std::string> Peers;
    bool Own = false; ///< This process is one of them.
    std::optional<Clock::time_point> ListedAt;
  };

  [[nodiscard]] bool canOwnChannelAccept(const AdviceCost &Cost) const;
  /// Returns true if no short call has used the own channel for a while.
  [[nodiscard]] bool isFreeOfShortCalls() const {
    return Timers_.now() - LastShortCallAt_ >= Options_.ShortCallMemory;
  }
  [[nodiscard]] const Carriers &carriersOf(const AdviceCost &Cost) const;
  /// Returns the next peer for the call whose channel is not known to be busy;
  /// null if there is none.
  [[nodiscard]] const std::string *nextPeer(const AdviceCost &Cost) const;
  /// Records when the peer may take another call.
  void recordAnswer(const std::string &Peer, const Result<AdviseReply> &Reply);
  asio::awaitable<Result<Advice>> askOnOwnChannel(AdviceCall Call);
  asio::awaitable<Result<Advice>> askThroughPeers(AdviceCall Call);

  TimerService &Timers_;
  AdviceClient &Adviser_;
  CellPeer &Peers_;
  AdviceRouterOptions Options_;
  Addresses Owners_;
  Addresses Helpers_;
  AdviserChannel Channel_;
  mutable Carriers LongCarriers_;
  mutable Carriers LearningCarriers_; ///< See dropProcessesWithoutLearning().
  mutable Carriers ShortCarriers_;
  int LongThroughPeers_ = 0;
  int ShortThroughPeers_ = 0;
  Clock::time_point LastShortCallAt_; ///< On the own channel.
  mutable std::size_t NextPeer_;      ///< Round-robin counter.
  /// Times until which peers are known to take no further call. A peer carries
  /// one long call at a time.
  mutable std::unordered_map<std::string, Clock::time_point> PeerBusyUntil_;
};

} // namespace hickory
