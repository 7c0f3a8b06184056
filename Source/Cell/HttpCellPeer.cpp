#include "Cell/HttpCellPeer.h"

namespace hickory {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::string_view PathPrefix = "/cell/";
constexpr std::chrono::milliseconds ShortTimeout{1000};
/// Short, as no other call is sent to the holder meanwhile.
constexpr std::chrono::milliseconds QuotaTimeout{500};
/// For a transfer of many records that goes on.
constexpr std::chrono::milliseconds TransferTimeout{8000};
/// Added to twice the time that the adviser needs for a call.
constexpr std::chrono::milliseconds AdviceMargin{700};
/// Short, as the caller does not join the group meanwhile.
constexpr std::chrono::milliseconds RemovalTimeout{300};
/// Longer than all attempts to start a run at the worker.
constexpr std::chrono::milliseconds PlaceTimeout{2600};
/// Longer than JobOwnerOptions::WriteTimeout, so that the owner's answer
/// arrives in time.
constexpr std::chrono::milliseconds WriteTimeout{1600};

template <typename T> Result<T> decode(const Result<std::string> &Body) {
  if (!Body)
    return tl::unexpected<Error>(Body.error());
  const json Parsed = json::parse(*Body, nullptr, false);
  if (Parsed.is_discarded())
    return fail(ErrorCode::Unavailable, "the peer's answer is not JSON");
  try {
    return Parsed.get<T>();
  } catch (const std::exception &Failure) {
    return fail(ErrorCode::Unavailable,
                std::string("the peer's answer is incomplete: ") +
                    Failure.what());
  }
}

} // namespace

// A refused placement or submission counts as proof that it had no effect, so
// these calls are sent only once. So are calls for which a second attempt costs
// more than it gains.
const HttpCellPeer::CallKind HttpCellPeer::Place{"place", PlaceTimeout, false};
const HttpCellPeer::CallKind HttpCellPeer::Stop{"stop", ShortTimeout, true};
const HttpCellPeer::CallKind HttpCellPeer::Preempt{"room", ShortTimeout, false};
const HttpCellPeer::CallKind HttpCellPeer::ReportEnds{"ends", WriteTimeout,
                                                      true};
const HttpCellPeer::CallKind HttpCellPeer::Exchange{"exchange", ShortTimeout,
                                                    true};
const HttpCellPeer::CallKind HttpCellPeer::Quota{"quota", QuotaTimeout, true};
const HttpCellPeer::CallKind HttpCellPeer::Advise{"advise", AdviceMargin,
                                                  false};
const HttpCellPeer::CallKind HttpCellPeer::RemoveMember{"relieve",
                                                        RemovalTimeout, true};
const HttpCellPeer::CallKind HttpCellPeer::RelayRecords{
    "records", TransferTimeout, true, ShortTimeout};
const HttpCellPeer::CallKind HttpCellPeer::Submit{"submit", WriteTimeout,
                                                  false};
const HttpCellPeer::CallKind HttpCellPeer::State{"state", WriteTimeout, true};
const HttpCellPeer::CallKind HttpCellPeer::Cancel{"cancel", WriteTimeout, true};

asio::awaitable<Result<std::string>>
HttpCellPeer::call(std::string Address, CallKind Kind, std::string Body) {
  HttpClientRequest Request{.Method = "POST",
                            .Url = "http://" + Address +
                                   std::string(PathPrefix) + Kind.Name,
                            .Body = std::move(Body),
                            .Timeout = Kind.Timeout,
                            .IdleTimeout = Kind.IdleTimeout,
                            .MayResend = Kind.MayResend};
  auto Reply = co_await Client_.send(std::move(Request));
  if (!Reply)
    co_return tl::unexpected<Error>(Reply.error());
  if (Reply->Status != 200)
    co_return fail(ErrorCode::Unavailable,
                   "peer answered " + std::to_string(Reply->Status));
  co_return std::move(Reply->Body);
}

template <typename Reply>
asio::awaitable<Result<Reply>> HttpCellPeer::send(std::string Address,
                                                  CallKind Kind, json Request) {
  co_return decode<Reply>(
      co_await call(std::move(Address), Kind, Request.dump()));
}

asio::awaitable<Result<PlaceReply>> HttpCellPeer::place(std::string Address,
                                                        PlaceRequest Request) {
  if (Address == OwnAddress_)
    co_return co_await Local_->place(std::move(Request));
  co_return co_await send<PlaceReply>(std::move(Address), Place, json(Request));
}

asio::awaitable<Result<StopReply>> HttpCellPeer::stop(std::string Address,
                                                      StopRequest Request) {
  if (Address == OwnAddress_)
    co_return Local_->stop(Request);
  co_return co_await send<StopReply>(std::move(Address), Stop, json(Request));
}

asio::awaitable<Result<PreemptReply>>
HttpCellPeer::preempt(std::string Address, PreemptRequest Request) {
  if (Address == OwnAddress_)
    co_return Local_->preempt(Request);
  co_return co_await send<PreemptReply>(std::move(Address), Preempt,
                                        json(Request));
}

asio::awaitable<Result<EndsReply>>
HttpCellPeer::reportEnds(std::string Address, EndsRequest Request) {
  if (Address == OwnAddress_)
    co_return co_await Local_->reportEnds(std::move(Request));
  co_return co_await send<EndsReply>(std::move(Address), ReportEnds,
                                     json(Request));
}

asio::awaitable<Result<ExchangeReply>>
HttpCellPeer::exchange(std::string Address, ExchangeRequest Request) {
  if (Address == OwnAddress_)
    co_return Local_->exchange(Request);
  co_return co_await send<ExchangeReply>(std::move(Address), Exchange,
                                         json(Request));
}

asio::awaitable<Result<QuotaReply>> HttpCellPeer::quota(std::string Address,
                                                        QuotaRequest Request) {
  if (Address == OwnAddress_)
    co_return Local_->quota(Request);
  co_return co_await send<QuotaReply>(std::move(Address), Quota, json(Request));
}

asio::awaitable<Result<AdviseReply>>
HttpCellPeer::advise(std::string Address, AdviseRequest Request) {
  if (Address == OwnAddress_)
    co_return co_await Local_->advise(std::move(Request));
  CallKind Kind = Advise;
  Kind.Timeout += std::chrono::milliseconds(2 * Request.Milliseconds);
  co_return co_await send<AdviseReply>(std::move(Address), Kind, json(Request));
}

asio::awaitable<Result<RemoveMemberReply>>
HttpCellPeer::removeMember(std::string Address, RemoveMemberRequest Request) {
  if (Address == OwnAddress_)
    co_return co_await Local_->removeMember(std::move(Request));
  co_return co_await send<RemoveMemberReply>(std::move(Address), RemoveMember,
                                             json(Request));
}

asio::awaitable<Result<RecordsReply>>
HttpCellPeer::relayRecords(std::string Address, RecordsRequest Request) {
  if (Address == OwnAddress_)
    co_return co_await Local_->relayRecords(Request);
  CallKind Kind = RelayRecords;
  Kind.Timeout += std::chrono::milliseconds(Request.WaitMs);
  Kind.IdleTimeout += std::chrono::milliseconds(Request.WaitMs);
  co_return co_await send<RecordsReply>(std::move(Address), Kind,
                                        json(Request));
}

asio::awaitable<Result<SubmitReply>> HttpCellPeer::submit(std::string Address,
                                                          JobSpec Job) {
  if (Address == OwnAddress_)
    co_return co_await Local_->submit(std::move(Job));
  co_return co_await send<SubmitReply>(std::move(Address), Submit, json(Job));
}

asio::awaitable<Result<JobStateReply>> HttpCellPeer::state(std::string Address,
                                                           JobReference Job) {
  if (Address == OwnAddress_)
    co_return co_await Local_->state(std::move(Job));
  co_return co_await send<JobStateReply>(std::move(Address), State, json(Job));
}

asio::awaitable<Result<SubmitReply>> HttpCellPeer::cancel(std::string Address,
                                                          JobReference Job) {
  if (Address == OwnAddress_)
    co_return co_await Local_->cancel(std::move(Job));
  co_return co_await send<SubmitReply>(std::move(Address), Cancel, json(Job));
}

namespace {

asio::awaitable<json> dispatch(CellHandler &Handler, std::string Name,
                               json Body) {
  if (Name == "place")
    co_return co_await Handler.place(Body.get<PlaceRequest>());
  if (Name == "room")
    co_return Handler.preempt(Body.get<PreemptRequest>());
  if (Name == "ends")
    co_return co_await Handler.reportEnds(Body.get<EndsRequest>());
  if (Name == "exchange")
    co_return Handler.exchange(Body.get<ExchangeRequest>());
  if (Name == "quota")
    co_return Handler.quota(Body.get<QuotaRequest>());
  if (Name == "advise")
    co_return co_await Handler.advise(Body.get<AdviseRequest>());
  if (Name == "relieve")
    co_return co_await Handler.removeMember(Body.get<RemoveMemberRequest>());
  if (Name == "records")
    co_return co_await Handler.relayRecords(Body.get<RecordsRequest>());
  if (Name == "submit")
    co_return co_await Handler.submit(Body.get<JobSpec>());
  if (Name == "state")
    co_return co_await Handler.state(Body.get<JobReference>());
  if (Name == "cancel")
    co_return co_await Handler.cancel(Body.get<JobReference>());
  if (Name == "stop")
    co_return Handler.stop(Body.get<StopRequest>());
  co_return json();
}

} // namespace

asio::awaitable<HttpServerResponse> answerCellCall(CellHandler &Handler,
                                                   HttpServerRequest Request) {
  if (!Request.Path.starts_with(PathPrefix))
    co_return HttpServerResponse{.Status = 404};
  json Body = json::parse(Request.Body, nullptr, false);
  json Reply;
  try {
    Reply = co_await dispatch(Handler, Request.Path.substr(PathPrefix.size()),
                              std::move(Body));
  } catch (const std::exception &Failure) {
    co_return HttpServerResponse{.Status = 400, .Body = Failure.what()};
  }
  if (Reply.is_null())
    co_return HttpServerResponse{.Status = 404};
  co_return HttpServerResponse{.Body = Reply.dump()};
}

} // namespace hickory
