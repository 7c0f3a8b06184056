#pragma once

#include "Base/Error.h"
#include "Cell/PeerMessages.h"

#include <asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace hickory {

/// Handles the calls of other processes of the cell.
class CellHandler {
public:
  virtual ~CellHandler() = default;
  virtual asio::awaitable<PlaceReply> place(PlaceRequest Request) = 0;
  virtual StopReply stop(const StopRequest &Request) = 0;
  /// Stops preemptible runs of lower priority to free capacity.
  virtual PreemptReply preempt(const PreemptRequest &Request) = 0;
  virtual asio::awaitable<EndsReply> reportEnds(EndsRequest Request) = 0;
  virtual ExchangeReply exchange(const ExchangeRequest &Request) = 0;
  /// Reports what jobs use of the caps of accounts whose ledgers the receiver
  /// holds, and asks for more.
  virtual QuotaReply quota(const QuotaRequest &Request) = 0;
  /// Calls the adviser on behalf of another process whose own channel is busy
  /// or does not carry calls of this kind.
  virtual asio::awaitable<AdviseReply> advise(AdviseRequest Request) = 0;
  /// Removes a process that does not reach the store from the group.
  virtual asio::awaitable<RemoveMemberReply>
  removeMember(RemoveMemberRequest Request) = 0;
  /// Returns records of the configuration topic to a process that does not
  /// read them from the store.
  virtual asio::awaitable<RecordsReply>
  relayRecords(RecordsRequest Request) = 0;
  virtual asio::awaitable<SubmitReply> submit(JobSpec Job) = 0;
  virtual asio::awaitable<JobStateReply> state(JobReference Job) = 0;
  virtual asio::awaitable<SubmitReply> cancel(JobReference Job) = 0;
};

/// Calls the process at an address, which may be the caller itself. After an
/// error the call may still be executed unless the error says that it had no
/// effect.
class CellPeer {
public:
  virtual ~CellPeer() = default;
  virtual asio::awaitable<Result<PlaceReply>> place(std::string Address,
                                                    PlaceRequest Request) = 0;
  virtual asio::awaitable<Result<StopReply>> stop(std::string Address,
                                                  StopRequest Request) = 0;
  virtual asio::awaitable<Result<PreemptReply>>
  preempt(std::string Address, PreemptRequest Request) = 0;
  virtual asio::awaitable<Result<EndsReply>>
  reportEnds(std::string Address, EndsRequest Request) = 0;
  virtual asio::awaitable<Result<ExchangeReply>>
  exchange(std::string Address, ExchangeRequest Request) = 0;
  virtual asio::awaitable<Result<QuotaReply>> quota(std::string Address,
                                                    QuotaRequest Request) = 0;
  virtual asio::awaitable<Result<AdviseReply>>
  advise(std::string Address, AdviseRequest Request) = 0;
  virtual asio::awaitable<Result<RemoveMemberReply>>
  removeMember(std::string Address, RemoveMemberRequest Request) = 0;
  virtual asio::awaitable<Result<RecordsReply>>
  relayRecords(std::string Address, RecordsRequest Request) = 0;
  virtual asio::awaitable<Result<SubmitReply>> submit(std::string Address,
                                                      JobSpec Job) = 0;
  virtual asio::awaitable<Result<JobStateReply>> state(std::string Address,
                                                       JobReference Job) = 0;
  virtual asio::awaitable<Result<SubmitReply>> cancel(std::string Address,
                                                      JobReference Job) = 0;
};

} // namespace hickory
