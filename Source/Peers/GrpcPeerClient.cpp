#include "Peers/GrpcPeerClient.h"

#include "Base/Notifier.h"
#include "Peer.grpc.pb.h"
#include "Peers/TcpProbe.h"

#include <asio/post.hpp>
#include <atomic>
#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <map>
#include <set>

namespace hickory {

namespace {

using std::chrono::milliseconds;
using AsyncStub = class peer::Peer::Stub::async;

/// Channel settings: little memory and traffic, quick reconnection.
grpc::ChannelArguments channelArguments() {
  grpc::ChannelArguments Arguments;
  // Only the caller knows whether a request may be sent again.
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  // Also the limit of one connection attempt.
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1000);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 10000);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 3000);
  Arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
  // Bandwidth probes would cost bytes on the paid link.
  Arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Arguments.SetInt(GRPC_ARG_TCP_READ_CHUNK_SIZE, 4096);
  Arguments.SetInt(GRPC_ARG_TCP_MAX_READ_CHUNK_SIZE, 64 << 10);
  Arguments.SetMaxReceiveMessageSize(16 << 20);
  return Arguments;
}

/// True if gRPC found no connection to send the call on.
bool neverSent(const grpc::Status &Status) {
  return Status.error_code() == grpc::StatusCode::UNAVAILABLE &&
         Status.error_message().starts_with(
             "failed to connect to all addresses");
}

/// Calls in progress. The set is used on the Asio thread only; the count is
/// lowered by gRPC's threads.
struct ActiveCalls {
  std::set<grpc::ClientContext *> Contexts;
  std::atomic<int> Count{0};
};

template <typename Reply> struct CallState {
  explicit CallState(const asio::any_io_executor &Executor)
      : Finished(Executor) {}
  grpc::ClientContext Context;
  Reply Answer;
  grpc::Status Status;
  Notifier Finished;
};

} // namespace

struct GrpcPeerClient::Channels {
  struct Channel {
    std::string Address;
    std::string Label;
    std::shared_ptr<grpc::Channel> Link;
    std::unique_ptr<peer::Peer::Stub> Stub;
  };

  template <typename Request, typename Reply>
  using Method = void (AsyncStub::*)(grpc::ClientContext *, const Request *,
                                     Reply *,
                                     std::function<void(grpc::Status)>);

  Channels(asio::io_context &Context, const PeerDirectory &Directory,
           Metrics &Counters)
      : Context(Context), Directory(Directory), Counters(Counters) {}

  /// Null for an unknown slot.
  Channel *find(const std::string &Slot) {
    const auto Known = BySlot.find(Slot);
    if (Known != BySlot.end())
      return &Known->second;
    const PeerSlot *Entry = Directory.find(Slot);
    if (!Entry)
      return nullptr;
    Channel &Added = BySlot[Slot];
    Added.Address = Entry->Address;
    Added.Label = Entry->FailureDomain == Directory.SelfDomain ? "domain"
                  : Entry->Region == Directory.SelfRegion      ? "region"
                                                               : "other_region";
    Added.Label = fmt::format("link=\"{}\"", Added.Label);
    Added.Link = grpc::CreateCustomChannel(
        (Entry->Address.starts_with('[') ? "ipv6:" : "ipv4:") + Entry->Address,
        grpc::InsecureChannelCredentials(), channelArguments());
    Added.Stub = peer::Peer::NewStub(Added.Link);
    return &Added;
  }

  template <typename Request, typename Reply>
  asio::awaitable<std::shared_ptr<CallState<Reply>>>
  attempt(Channel &Target, const Request &Message,
          Method<Request, Reply> Function, milliseconds Timeout,
          bool WaitForConnection) {
    const auto Executor = co_await asio::this_coro::executor;
    auto State = std::make_shared<CallState<Reply>>(Executor);
    State->Context.set_deadline(
        gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC),
                     gpr_time_from_millis(Timeout.count(), GPR_TIMESPAN)));
    State->Context.set_wait_for_ready(WaitForConnection);
    Active->Contexts.insert(&State->Context);
    ++Active->Count;
    // gRPC keeps a reference to Message until the callback runs, so the
    // coroutine must not end before; it is only destroyed with the context,
    // after the client has waited for all callbacks.
    (Target.Stub->async()->*Function)(
        &State->Context, &Message, &State->Answer,
        [State, Active = Active, &Context = Context](grpc::Status Status) {
          State->Status = std::move(Status);
          asio::post(Context, [State] { State->Finished.notify(); });
          --Active->Count;
          Active->Count.notify_all();
        });
    co_await State->Finished.wait();
    Active->Contexts.erase(&State->Context);
    co_return State;
  }

  template <typename Request, typename Reply>
  asio::awaitable<Result<Reply>> call(std::string Slot, Request Message,
                                      milliseconds Timeout,
                                      Method<Request, Reply> Function) {
    Channel *Target = find(Slot);
    if (!Target)
      co_return fail(
          ErrorCode::NotFound,
          fmt::format("slot {} is not in the settings of this cell", Slot));
    const auto Start = std::chrono::steady_clock::now();
    auto State = co_await attempt<Request, Reply>(*Target, Message, Function,
                                                  Timeout, false);
    // gRPC may have answered from the failure of an earlier attempt to connect.
    // Only a new connection shows the state after the call was made.
    if (neverSent(State->Status)) {
      const auto Used = std::chrono::duration_cast<milliseconds>(
          std::chrono::steady_clock::now() - Start);
      const milliseconds Left = std::max(Timeout - Used, milliseconds(0));
      const ProbeResult Probed =
          co_await probe(Target->Address,
                         std::clamp(Left, milliseconds(50), milliseconds(500)));
      if (Probed == ProbeResult::Refused)
        co_return fail(ErrorCode::ConnectionRefused,
                       fmt::format("slot {} refused the connection to {}", Slot,
                                   Target->Address));
      if (Probed == ProbeResult::Connected && Left.count() > 0) {
        // Not a repetition: the first attempt was not sent. Without waiting it
        // would fail like the first one, as reconnection takes a moment.
        grpc::experimental::ChannelResetConnectionBackoff(Target->Link.get());
        State = co_await attempt<Request, Reply>(*Target, Message, Function,
                                                 Left, true);
      }
    }
    if (!neverSent(State->Status))
      Counters.count("peer_bytes_sent_total",
                     static_cast<double>(Message.ByteSizeLong()),
                     Target->Label);
    if (State->Status.ok()) {
      Counters.count("peer_bytes_received_total",
                     static_cast<double>(State->Answer.ByteSizeLong()),
                     Target->Label);
      co_return std::move(State->Answer);
    }
    co_return fail(codeOf(State->Status),
                   fmt::format("call to slot {} at {} failed: {}", Slot,
                               Target->Address, State->Status.error_message()));
  }

  static ErrorCode codeOf(const grpc::Status &Status) {
    if (neverSent(Status))
      return ErrorCode::NotSent;
    switch (Status.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return ErrorCode::Timeout;
    case grpc::StatusCode::CANCELLED:
      return ErrorCode::Cancelled;
    default:
      return ErrorCode::Unavailable;
    }
  }

  asio::io_context &Context;
  const PeerDirectory &Directory;
  Metrics &Counters;
  std::map<std::string, Channel> BySlot;
  std::shared_ptr<ActiveCalls> Active = std::make_shared<ActiveCalls>();
};

GrpcPeerClient::GrpcPeerClient(asio::io_context &Context,
                               const PeerDirectory &Directory,
                               Metrics &Counters)
    : Channels_(std::make_unique<Channels>(Context, Directory, Counters)) {}

GrpcPeerClient::~GrpcPeerClient() {
  for (grpc::ClientContext *Call : Channels_->Active->Contexts)
    Call->TryCancel();
  // Callbacks post to the context, which may end after this object.
  while (const int Count = Channels_->Active->Count.load())
    Channels_->Active->Count.wait(Count);
}

asio::awaitable<Result<peer::HelloReply>>
GrpcPeerClient::hello(std::string Slot, peer::HelloRequest Request,
                      Millis Timeout) {
  return Channels_->call<peer::HelloRequest, peer::HelloReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::Hello);
}

asio::awaitable<Result<peer::ConsentReply>>
GrpcPeerClient::consent(std::string Slot, peer::ConsentRequest Request,
                        Millis Timeout) {
  return Channels_->call<peer::ConsentRequest, peer::ConsentReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::Consent);
}

asio::awaitable<Result<peer::SubmitReply>>
GrpcPeerClient::submit(std::string Slot, peer::SubmitRequest Request,
                       Millis Timeout) {
  return Channels_->call<peer::SubmitRequest, peer::SubmitReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::Submit);
}

asio::awaitable<Result<peer::QueryReply>>
GrpcPeerClient::query(std::string Slot, peer::QueryRequest Request,
                      Millis Timeout) {
  return Channels_->call<peer::QueryRequest, peer::QueryReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::Query);
}

asio::awaitable<Result<peer::CancelReply>>
GrpcPeerClient::cancel(std::string Slot, peer::CancelRequest Request,
                       Millis Timeout) {
  return Channels_->call<peer::CancelRequest, peer::CancelReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::Cancel);
}

asio::awaitable<Result<peer::PlaceReply>>
GrpcPeerClient::place(std::string Slot, peer::PlaceRequest Request,
                      Millis Timeout) {
  return Channels_->call<peer::PlaceRequest, peer::PlaceReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::Place);
}

asio::awaitable<Result<peer::ReserveReply>>
GrpcPeerClient::reserve(std::string Slot, peer::ReserveRequest Request,
                        Millis Timeout) {
  return Channels_->call<peer::ReserveRequest, peer::ReserveReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::Reserve);
}

asio::awaitable<Result<peer::TaskStatusReply>>
GrpcPeerClient::taskStatus(std::string Slot, peer::TaskStatusRequest Request,
                           Millis Timeout) {
  return Channels_->call<peer::TaskStatusRequest, peer::TaskStatusReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::TaskStatus);
}

asio::awaitable<Result<peer::StopTaskReply>>
GrpcPeerClient::stopTask(std::string Slot, peer::StopTaskRequest Request,
                         Millis Timeout) {
  return Channels_->call<peer::StopTaskRequest, peer::StopTaskReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::StopTask);
}

asio::awaitable<Result<peer::TaskEndedReply>>
GrpcPeerClient::taskEnded(std::string Slot, peer::TaskEndedNotice Notice,
                          Millis Timeout) {
  return Channels_->call<peer::TaskEndedNotice, peer::TaskEndedReply>(
      std::move(Slot), std::move(Notice), Timeout, &AsyncStub::TaskEnded);
}

asio::awaitable<Result<peer::ExecuteReply>>
GrpcPeerClient::execute(std::string Slot, peer::ExecuteRequest Request,
                        Millis Timeout) {
  return Channels_->call<peer::ExecuteRequest, peer::ExecuteReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::Execute);
}

asio::awaitable<Result<peer::SummaryReply>>
GrpcPeerClient::summary(std::string Slot, peer::SummaryRequest Request,
                        Millis Timeout) {
  return Channels_->call<peer::SummaryRequest, peer::SummaryReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::Summary);
}

asio::awaitable<Result<peer::ConfigTailReply>>
GrpcPeerClient::configTail(std::string Slot, peer::ConfigTailRequest Request,
                           Millis Timeout) {
  return Channels_->call<peer::ConfigTailRequest, peer::ConfigTailReply>(
      std::move(Slot), std::move(Request), Timeout, &AsyncStub::ConfigTail);
}

} // namespace hickory
