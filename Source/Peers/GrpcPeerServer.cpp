#include "Peers/GrpcPeerServer.h"

#include "Peer.grpc.pb.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <glog/logging.h>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <set>

namespace hickory {

namespace {

/// Calls that have not been finished. Calls arrive on gRPC's threads and are
/// finished on the Asio thread, and gRPC's shutdown waits until every call is
/// finished, also those that the Asio thread has not seen yet. So this is the
/// one place with a lock.
class OpenCalls {
public:
  /// False if the server is stopping.
  bool add(grpc::ServerUnaryReactor *Call) {
    const std::lock_guard Guard(Mutex_);
    if (!Stopping_)
      Calls_.insert(Call);
    return !Stopping_;
  }
  /// False if the call was finished by stop(); its messages are gone then.
  bool remove(grpc::ServerUnaryReactor *Call) {
    const std::lock_guard Guard(Mutex_);
    return Calls_.erase(Call) > 0;
  }
  [[nodiscard]] bool empty() const {
    const std::lock_guard Guard(Mutex_);
    return Calls_.empty();
  }
  std::set<grpc::ServerUnaryReactor *> stop() {
    const std::lock_guard Guard(Mutex_);
    Stopping_ = true;
    return std::exchange(Calls_, {});
  }

private:
  mutable std::mutex Mutex_;
  std::set<grpc::ServerUnaryReactor *> Calls_;
  bool Stopping_ = false;
};

grpc::Status stoppingStatus() {
  return {grpc::StatusCode::UNAVAILABLE, "this instance is stopping"};
}

template <typename Request, typename Reply>
using HandlerMethod = asio::awaitable<Reply> (PeerHandler::*)(Request);

template <typename Request, typename Reply>
asio::awaitable<void>
handleCall(std::shared_ptr<OpenCalls> Open, PeerHandler &Handler,
           HandlerMethod<Request, Reply> Function,
           grpc::ServerUnaryReactor *Call, Request Message, Reply *Target) {
  Reply Answer = co_await (Handler.*Function)(std::move(Message));
  if (!Open->remove(Call))
    co_return;
  *Target = std::move(Answer);
  Call->Finish(grpc::Status::OK);
}

class Service final : public peer::Peer::CallbackService {
public:
  Service(asio::io_context &Context, PeerHandler &Handler)
      : Context_(Context), Handler_(Handler) {}

  [[nodiscard]] OpenCalls &open() { return *Open_; }

  grpc::ServerUnaryReactor *Hello(grpc::CallbackServerContext *Context,
                                  const peer::HelloRequest *Request,
                                  peer::HelloReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::hello);
  }
  grpc::ServerUnaryReactor *Consent(grpc::CallbackServerContext *Context,
                                    const peer::ConsentRequest *Request,
                                    peer::ConsentReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::consent);
  }
  grpc::ServerUnaryReactor *Submit(grpc::CallbackServerContext *Context,
                                   const peer::SubmitRequest *Request,
                                   peer::SubmitReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::submit);
  }
  grpc::ServerUnaryReactor *Query(grpc::CallbackServerContext *Context,
                                  const peer::QueryRequest *Request,
                                  peer::QueryReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::query);
  }
  grpc::ServerUnaryReactor *Cancel(grpc::CallbackServerContext *Context,
                                   const peer::CancelRequest *Request,
                                   peer::CancelReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::cancel);
  }
  grpc::ServerUnaryReactor *Place(grpc::CallbackServerContext *Context,
                                  const peer::PlaceRequest *Request,
                                  peer::PlaceReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::place);
  }
  grpc::ServerUnaryReactor *Reserve(grpc::CallbackServerContext *Context,
                                    const peer::ReserveRequest *Request,
                                    peer::ReserveReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::reserve);
  }
  grpc::ServerUnaryReactor *TaskStatus(grpc::CallbackServerContext *Context,
                                       const peer::TaskStatusRequest *Request,
                                       peer::TaskStatusReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::taskStatus);
  }
  grpc::ServerUnaryReactor *StopTask(grpc::CallbackServerContext *Context,
                                     const peer::StopTaskRequest *Request,
                                     peer::StopTaskReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::stopTask);
  }
  grpc::ServerUnaryReactor *TaskEnded(grpc::CallbackServerContext *Context,
                                      const peer::TaskEndedNotice *Request,
                                      peer::TaskEndedReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::taskEnded);
  }
  grpc::ServerUnaryReactor *Execute(grpc::CallbackServerContext *Context,
                                    const peer::ExecuteRequest *Request,
                                    peer::ExecuteReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::execute);
  }
  grpc::ServerUnaryReactor *Summary(grpc::CallbackServerContext *Context,
                                    const peer::SummaryRequest *Request,
                                    peer::SummaryReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::summary);
  }
  grpc::ServerUnaryReactor *ConfigTail(grpc::CallbackServerContext *Context,
                                       const peer::ConfigTailRequest *Request,
                                       peer::ConfigTailReply *Reply) override {
    return accept(Context, Request, Reply, &PeerHandler::configTail);
  }

private:
  /// Runs on a gRPC thread.
  template <typename Request, typename Reply>
  grpc::ServerUnaryReactor *accept(grpc::CallbackServerContext *Context,
                                   const Request *Message, Reply *Target,
                                   HandlerMethod<Request, Reply> Function) {
    grpc::ServerUnaryReactor *Call = Context->DefaultReactor();
    if (!Open_->add(Call)) {
      Call->Finish(stoppingStatus());
      return Call;
    }
    // The message is copied here, because stop() may finish the call, which
    // ends the message, before the Asio thread gets to it.
    asio::post(Context_, [Open = Open_, &Handler = Handler_, Asio = &Context_,
                          Function, Call, Copy = *Message, Target]() mutable {
      asio::co_spawn(*Asio,
                     handleCall<Request, Reply>(std::move(Open), Handler,
                                                Function, Call, std::move(Copy),
                                                Target),
                     asio::detached);
    });
    return Call;
  }

  asio::io_context &Context_;
  PeerHandler &Handler_;
  std::shared_ptr<OpenCalls> Open_ = std::make_shared<OpenCalls>();
};

} // namespace

struct GrpcPeerServer::State {
  State(asio::io_context &Context, std::string Address, PeerHandler &Handler)
      : Context(Context), Address(std::move(Address)), Calls(Context, Handler) {
  }

  asio::io_context &Context;
  std::string Address;
  Service Calls;
  std::unique_ptr<grpc::Server> Server;
};

GrpcPeerServer::GrpcPeerServer(asio::io_context &Context,
                               std::string ListenAddress, PeerHandler &Handler)
    : State_(std::make_unique<State>(Context, std::move(ListenAddress),
                                     Handler)) {}

GrpcPeerServer::~GrpcPeerServer() { stop(); }

Result<std::uint16_t> GrpcPeerServer::start() {
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort(State_->Address, grpc::InsecureServerCredentials(),
                           &Port);
  // By default gRPC lets several processes share a port. Ownership relies on
  // one process per address.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 5000);
  Builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  Builder.AddChannelArgument(GRPC_ARG_TCP_READ_CHUNK_SIZE, 4096);
  Builder.AddChannelArgument(GRPC_ARG_TCP_MAX_READ_CHUNK_SIZE, 64 << 10);
  Builder.SetMaxReceiveMessageSize(16 << 20);
  Builder.RegisterService(&State_->Calls);
  State_->Server = Builder.BuildAndStart();
  if (!State_->Server || Port == 0) {
    State_->Server.reset();
    return fail(ErrorCode::Unavailable,
                fmt::format("cannot listen on {}; choose a free address of "
                            "this machine",
                            State_->Address));
  }
  return static_cast<std::uint16_t>(Port);
}

asio::awaitable<void> GrpcPeerServer::drain(std::chrono::milliseconds Limit) {
  asio::steady_timer Timer(State_->Context);
  const auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (!State_->Calls.open().empty() &&
         std::chrono::steady_clock::now() < Deadline) {
    Timer.expires_after(std::chrono::milliseconds(20));
    co_await Timer.async_wait(
        asio::experimental::as_tuple(asio::use_awaitable));
  }
}

void GrpcPeerServer::stop() {
  if (!State_->Server)
    return;
  for (grpc::ServerUnaryReactor *Call : State_->Calls.open().stop())
    Call->Finish(stoppingStatus());
  State_->Server->Shutdown(gpr_now(GPR_CLOCK_MONOTONIC));
  State_->Server->Wait();
  State_->Server.reset();
}

} // namespace hickory
