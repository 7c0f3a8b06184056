#include "Cell/AdviceRouter.h"

#include <algorithm>

namespace hickory {

AdviceRouter::AdviceRouter(TimerService &Timers, AdviceClient &Adviser,
                           CellPeer &Peers, AdviceRouterOptions Options)
    : Timers_(Timers), Adviser_(Adviser), Peers_(Peers),
      Options_(std::move(Options)), Line_(Options_.Line),
      // Processes begin with different peers.
      NextPeer_(std::hash<std::string>()(Options_.Address)) {}

bool AdviceRouter::ownLineTakes(const AdviceCost &Cost) const {
  if (!Line_.takes(Cost, Timers_.now()))
    return false;
  if (!Cost.Long || !Owners_)
    return true;
  const auto ForLong = processesForCalls(true, Owners_(), Helpers_());
  return ForLong.empty() || ForLong.contains(Options_.Address);
}

std::vector<std::string> AdviceRouter::peersFor(const AdviceCost &Cost) const {
  if (!Owners_)
    return {};
  auto Lines = processesForCalls(Cost.Long, Owners_(), Helpers_());
  Lines.erase(Options_.Address);
  return {Lines.begin(), Lines.end()};
}

bool AdviceRouter::canAsk(const AdviceCost &Cost) const {
  if (ownLineTakes(Cost))
    return true;
  const int Open = Cost.Long ? LongThroughPeers_ : ShortThroughPeers_;
  return Open < Options_.MostThroughPeers && !peersFor(Cost).empty();
}

asio::awaitable<Result<Advice>> AdviceRouter::ask(AdviceCall Call) {
  if (ownLineTakes(Call.Cost))
    co_return co_await askOnOwnLine(std::move(Call));
  co_return co_await askThroughPeers(std::move(Call));
}

asio::awaitable<Result<Advice>> AdviceRouter::askOnOwnLine(AdviceCall Call) {
  Line_.begin(Call.Cost, Timers_.now());
  const auto Timeout =
      2 * (Call.Cost.Time + Options_.Line.UrgentWait) + Options_.AnswerMargin;
  auto Reply = co_await Adviser_.ask(std::move(Call.Step),
                                     std::move(Call.Workers), Timeout);
  Line_.end(Timers_.now());
  co_return Reply;
}

asio::awaitable<Result<Advice>> AdviceRouter::askThroughPeers(AdviceCall Call) {
  const auto Lines = peersFor(Call.Cost);
  int &Open = Call.Cost.Long ? LongThroughPeers_ : ShortThroughPeers_;
  ++Open;
  Result<Advice> Found = fail(ErrorCode::Overloaded, "all lines are busy");
  const std::size_t Tries = std::min(Options_.PeersAsked, Lines.size());
  for (std::size_t Try = 0; Try < Tries && !Found; ++Try) {
    AdviseRequest Request{.Step = Call.Step,
                          .Workers = Call.Workers,
                          .Milliseconds = Call.Cost.Time.count(),
                          .Urgent = Call.Cost.Urgent,
                          .Long = Call.Cost.Long};
    const std::string &Peer = Lines[NextPeer_ % Lines.size()];
    ++NextPeer_;
    const auto Reply = co_await Peers_.advise(Peer, std::move(Request));
    if (!Reply || !Reply->Answered)
      continue;
    Advice Answer;
    for (std::size_t I = 0; I < Reply->Good.size(); ++I)
      Answer.Good.push_back(
          {.Worker = Reply->Good[I], .Text = Reply->Tickets.at(I)});
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
  if (!Line_.takes(Call.Cost, Timers_.now()))
    co_return Answer;
  const auto Reply = co_await askOnOwnLine(std::move(Call));
  if (!Reply)
    co_return Answer;
  Answer.Answered = true;
  for (const Ticket &Item : Reply->Good) {
    Answer.Good.push_back(Item.Worker);
    Answer.Tickets.push_back(Item.Text);
  }
  co_return Answer;
}

} // namespace hickory
