#pragma once

#include "Cell/CellPeer.h"
#include "Http/HttpClient.h"
#include "Http/HttpServer.h"

namespace hickory {

/// Sends calls over HTTP with JSON bodies. Calls to the process itself go
/// directly to its handler.
class HttpCellPeer final : public CellPeer {
public:
  HttpCellPeer(HttpClient &Client, std::string OwnAddress)
      : Client_(Client), OwnAddress_(std::move(OwnAddress)) {}

  /// Must be set before the first call.
  void setLocal(CellHandler &Local) { Local_ = &Local; }

  asio::awaitable<Result<PlaceReply>> place(std::string Address,
                                            PlaceRequest Request) override;
  asio::awaitable<Result<StopReply>> stop(std::string Address,
                                          StopRequest Request) override;
  asio::awaitable<Result<PreemptReply>>
  preempt(std::string Address, PreemptRequest Request) override;
  asio::awaitable<Result<EndsReply>> reportEnds(std::string Address,
                                                EndsRequest Request) override;
  asio::awaitable<Result<ExchangeReply>>
  exchange(std::string Address, ExchangeRequest Request) override;
  asio::awaitable<Result<QuotaReply>> quota(std::string Address,
                                            QuotaRequest Request) override;
  asio::awaitable<Result<AdviseReply>> advise(std::string Address,
                                              AdviseRequest Request) override;
  asio::awaitable<Result<RemoveMemberReply>>
  removeMember(std::string Address, RemoveMemberRequest Request) override;
  asio::awaitable<Result<RecordsReply>>
  relayRecords(std::string Address, RecordsRequest Request) override;
  asio::awaitable<Result<SubmitReply>> submit(std::string Address,
                                              JobSpec Job) override;
  asio::awaitable<Result<JobStateReply>> state(std::string Address,
                                               JobReference Job) override;
  asio::awaitable<Result<SubmitReply>> cancel(std::string Address,
                                              JobReference Job) override;

private:
  struct CallKind {
    const char *Name;
    std::chrono::milliseconds Timeout;
    bool MayResend; ///< See HttpClientRequest.
    /// See HttpClientRequest; 0: only Timeout holds.
    std::chrono::milliseconds IdleTimeout{0};
  };
  static const CallKind Place;
  static const CallKind Stop;
  static const CallKind Preempt;
  static const CallKind ReportEnds;
  static const CallKind Exchange;
  static const CallKind Quota;
  static const CallKind Advise;
  static const CallKind RemoveMember;
  static const CallKind RelayRecords;
  static const CallKind Submit;
  static const CallKind State;
  static const CallKind Cancel;

  asio::awaitable<Result<std::string>> call(std::string Address, CallKind Kind,
                                            std::string Body);

  /// Sends a request and decodes the reply.
  template <typename Reply>
  asio::awaitable<Result<Reply>> send(std::string Address, CallKind Kind,
                                      nlohmann::json Request);

  HttpClient &Client_;
  std::string OwnAddress_;
  CellHandler *Local_ = nullptr;
};

/// Handles an HTTP request that holds one call of another process.
asio::awaitable<HttpServerResponse> answerCellCall(CellHandler &Handler,
                                                   HttpServerRequest Request);

} // namespace hickory
