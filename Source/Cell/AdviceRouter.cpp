#include "Cell/AdviceRouter.h"

#include <algorithm>

namespace hickory {

AdviceRouter::AdviceRouter(TimerService &Timers, AdviceClient &Adviser,
                           CellPeer &Peers, AdviceRouterOptions Options)
    : Timers_(Timers), Adviser_(Adviser), Peers_(Peers),
      Options_(std::move(Options)), Channel_(Options_.Channel),
      LastShortCallAt_(Timers.now()),
      // Processes start with different peers, to spread the load.
      NextPeer_(std::hash<std::string>()(Options_.Address)) {}

bool AdviceRouter::canOwnChannelAccept(const AdviceCost &Cost) const {
  if (!Channel_.canAccept(Cost, Timers_.now()))
    return false;
  if (!Cost.Long || !Owners_)
    return true;
  const Carriers &ForLong = carriersOf(Cost);
  return ForLong.Own || ForLong.Peers.empty() || isFreeOfShortCalls();
}

const AdviceRouter::Carriers &
AdviceRouter::carriersOf(const AdviceCost &Cost) const {
  const bool Learning = Cost.Long && Cost.Learning;
  Carriers &Known = Learning    ? LearningCarriers_
                    : Cost.Long ? LongCarriers_
                                : ShortCarriers_;
  const Clock::time_point Now = Timers_.now();
  if (!Owners_ ||
      (Known.ListedAt && Now - *Known.ListedAt < Options_.CarrierListLifetime))
    return Known;
  const auto Listed = processesForCalls(Cost.Long, Owners_(), Helpers_());
  Known.Peers.assign(Listed.begin(), Listed.end());
  if (Learning)
    dropProcessesWithoutLearning(Known.Peers);
  Known.Own = std::erase(Known.Peers, Options_.Address) > 0;
  Known.ListedAt = Now;
  std::erase_if(PeerBusyUntil_, [Now](const auto &PeerAndTime) {
    return PeerAndTime.second <= Now;
  });
  return Known;
}

bool AdviceRouter::canAsk(const AdviceCost &Cost) const {
  if (canOwnChannelAccept(Cost))
    return true;
  const int Open = Cost.Long ? LongThroughPeers_ : ShortThroughPeers_;
  return Open < Options_.MaximumCallsThroughPeers && nextPeer(Cost) != nullptr;
}

const std::string *AdviceRouter::nextPeer(const AdviceCost &Cost) const {
  const auto &Peers = carriersOf(Cost).Peers;
  const Clock::time_point Now = Timers_.now();
  for (std::size_t Tried = 0; Tried < Peers.size(); ++Tried) {
    const std::string &Peer = Peers[NextPeer_ % Peers.size()];
    const auto Busy = PeerBusyUntil_.find(Peer);
    if (Busy == PeerBusyUntil_.end() || Busy->second <= Now)
      return &Peer;
    ++NextPeer_;
  }
  return nullptr;
}

void AdviceRouter::recordAnswer(const std::string &Peer,
                                const Result<AdviseReply> &Reply) {
  const Clock::time_point Now = Timers_.now();
  if (Reply && Reply->Answered)
    PeerBusyUntil_.erase(Peer);
  else if (Reply)
    PeerBusyUntil_[Peer] =
        Now + std::clamp(std::chrono::milliseconds(Reply->FreeInMs),
                         Options_.MinimumPeerPause, Options_.MaximumPeerPause);
  else
    PeerBusyUntil_[Peer] = Now + Options_.UnansweredPeerPause;
}

asio::awaitable<Result<Advice>> AdviceRouter::ask(AdviceCall Call) {
  if (canOwnChannelAccept(Call.Cost))
    co_return co_await askOnOwnChannel(std::move(Call));
  co_return co_await askThroughPeers(std::move(Call));
}

asio::awaitable<Result<Advice>> AdviceRouter::askOnOwnChannel(AdviceCall Call) {
  Channel_.beginCall(Call.Cost, Timers_.now());
  if (!Call.Cost.Long)
    LastShortCallAt_ = Timers_.now();
  const auto Timeout =
      2 * (Call.Cost.Time + Options_.Channel.MaximumUrgentWait) +
      Options_.TimeoutMargin;
  auto Reply = co_await Adviser_.ask(std::move(Call.Step),
                                     std::move(Call.Workers), Timeout);
  Channel_.endCall(Timers_.now());
  co_return Reply;
}

asio::awaitable<Result<Advice>> AdviceRouter::askThroughPeers(AdviceCall Call) {
  int &Open = Call.Cost.Long ? LongThroughPeers_ : ShortThroughPeers_;
  ++Open;
  Result<Advice> Found =
      fail(ErrorCode::Overloaded, "all channels to the adviser are busy");
  for (std::size_t Try = 0; Try < Options_.MaximumPeersTried && !Found; ++Try) {
    const std::string *Next = nextPeer(Call.Cost);
    if (Next == nullptr)
      break;
    const std::string Peer = *Next;
    ++NextPeer_;
    if (Call.Cost.Long)
      PeerBusyUntil_[Peer] = Timers_.now() + Call.Cost.Time;
    AdviseRequest Request{.Step = Call.Step,
                          .Workers = Call.Workers,
                          .Milliseconds = Call.Cost.Time.count(),
                          .Urgent = Call.Cost.Urgent,
                          .Long = Call.Cost.Long};
    const auto Reply = co_await Peers_.advise(Peer, std::move(Request));
    recordAnswer(Peer, Reply);
    if (!Reply || !Reply->Answered ||
        Reply->Tickets.size() != Reply->Good.size())
      continue;
    Advice Answer;
    for (std::size_t I = 0; I < Reply->Good.size(); ++I)
      Answer.Good.push_back(
          {.Worker = Reply->Good[I], .Text = Reply->Tickets[I]});
    Found = std::move(Answer);
  }
  --Open;
  co_return Found;
}

asio::awaitable<AdviseReply>
AdviceRouter::askOnBehalfOfPeer(AdviseRequest Request) {
  AdviseReply Answer;
  AdviceCall Call{
      .Step = std::move(Request.Step),
      .Workers = std::move(Request.Workers),
      .Cost = {.Time = std::chrono::milliseconds(Request.Milliseconds),
               .Urgent = Request.Urgent,
               .Long = Request.Long}};
  if (!Channel_.canAccept(Call.Cost, Timers_.now())) {
    Answer.FreeInMs = Channel_.freeIn(Timers_.now()).count();
    co_return Answer;
  }
  const auto Reply = co_await askOnOwnChannel(std::move(Call));
  if (!Reply)
    co_return Answer;
  Answer.Answered = true;
  for (const Ticket &Each : Reply->Good) {
    Answer.Good.push_back(Each.Worker);
    Answer.Tickets.push_back(Each.Text);
  }
  co_return Answer;
}

} // namespace hickory
