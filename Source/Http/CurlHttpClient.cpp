#include "Http/CurlHttpClient.h"

#include <asio/async_result.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <cstdlib>
#include <curl/curl.h>
#include <functional>
#include <glog/logging.h>
#include <optional>
#include <unordered_map>

namespace hickory {

namespace {

using Completion = std::function<void(Result<HttpClientResponse>)>;

/// A request in progress.
struct Transfer {
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  HttpClientRequest Request;
  HttpClientResponse Response;
  Completion Done;
  bool SendStarted = false; ///< The request may have been sent.
  /// Time of the latest byte of the response, or of the start.
  std::chrono::steady_clock::time_point LastByteAt =
      std::chrono::steady_clock::now();
  std::optional<asio::steady_timer> IdleTimer; ///< For IdleTimeout.

  ~Transfer() {
    curl_slist_free_all(Headers);
    curl_easy_cleanup(Easy);
  }
};

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *User) {
  auto *Current = static_cast<Transfer *>(User);
  Current->LastByteAt = std::chrono::steady_clock::now();
  Current->Response.Body.append(Data, Size * Count);
  return Size * Count;
}

std::size_t readHeader(char *Data, std::size_t Size, std::size_t Count,
                       void *User) {
  constexpr std::string_view Name = "retry-after:";
  const std::string_view Line(Data, Size * Count);
  static_cast<Transfer *>(User)->LastByteAt = std::chrono::steady_clock::now();
  if (Line.size() > Name.size() &&
      curl_strnequal(Line.data(), Name.data(), Name.size()) != 0) {
    const std::string Value(Line.substr(Name.size()));
    static_cast<Transfer *>(User)->Response.RetryAfter =
        std::chrono::seconds(std::strtol(Value.c_str(), nullptr, 10));
  }
  return Size * Count;
}

/// Called by curl before each transmission of the request; curl resends a
/// request if a reused connection closes without a response. Allows the first
/// transmission, and further ones only if MayResend is set.
int allowRequest(void *User, char * /*RemoteAddress*/, char * /*LocalAddress*/,
                 int /*RemotePort*/, int /*LocalPort*/) {
  auto *Current = static_cast<Transfer *>(User);
  const bool IsFirst = !Current->SendStarted;
  Current->SendStarted = true;
  return IsFirst || Current->Request.MayResend ? CURL_PREREQFUNC_OK
                                               : CURL_PREREQFUNC_ABORT;
}

/// Waits for one of curl's sockets to become ready.
struct SocketWatch {
  asio::posix::stream_descriptor Descriptor;
  int Wanted = 0;
  bool Reading = false;
  bool Writing = false;
};

} // namespace

class CurlHttpClient::Implementation
    : public std::enable_shared_from_this<Implementation> {
public:
  Implementation(asio::io_context &Context, CurlHttpClientOptions Options)
      : Context_(Context), Timer_(Context) {
    static const CURLcode Global = curl_global_init(CURL_GLOBAL_DEFAULT);
    CHECK_EQ(Global, CURLE_OK);
    Multi_ = curl_multi_init();
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION, &onSocket);
    curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION, &onTimer);
    curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, Options.MaximumConnections);
    curl_multi_setopt(Multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      Options.MaximumConnectionsPerHost);
  }

  void close() {
    Closed_ = true;
    Timer_.cancel();
    for (auto &[Easy, Active] : Transfers_)
      curl_multi_remove_handle(Multi_, Easy);
    Transfers_.clear();
    curl_multi_cleanup(Multi_);
    for (auto &[Socket, Watched] : SocketWatches_)
      Watched->Descriptor.release();
    SocketWatches_.clear();
  }

  void startTransfer(HttpClientRequest Request, Completion Done) {
    auto Active = std::make_unique<Transfer>();
    Active->Easy = curl_easy_init();
    Active->Request = std::move(Request);
    Active->Done = std::move(Done);
    CURL *Easy = Active->Easy;
    Transfer &Current = *Active;
    const std::string ContentType =
        "Content-Type: " + Current.Request.ContentType;
    Current.Headers = curl_slist_append(Current.Headers, ContentType.c_str());
    Current.Headers = curl_slist_append(Current.Headers, "Expect:");
    for (const auto &[Name, Value] : Current.Request.Headers)
      Current.Headers =
          curl_slist_append(Current.Headers, (Name + ": " + Value).c_str());
    curl_easy_setopt(Easy, CURLOPT_URL, Current.Request.Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST,
                     Current.Request.Method.c_str());
    if (Current.Request.Method != "GET") {
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Current.Request.Body.data());
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(Current.Request.Body.size()));
    }
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Current.Headers);
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Current);
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &readHeader);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Current);
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
    // The messages are small; curl's default buffer is 16 KB per transfer and
    // connection.
    curl_easy_setopt(Easy, CURLOPT_BUFFERSIZE, 4096L);
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &allowRequest);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Current);
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(Current.Request.Timeout.count()));
    Transfers_.emplace(Easy, std::move(Active));
    curl_multi_add_handle(Multi_, Easy);
    if (Current.Request.IdleTimeout.count() > 0) {
      Current.IdleTimer.emplace(Context_);
      armIdleTimer(Easy, Current);
    }
  }

private:
  static int onSocket(CURL * /*Easy*/, curl_socket_t Socket, int What,
                      void *User, void * /*SocketUser*/) {
    static_cast<Implementation *>(User)->updateSocket(Socket, What);
    return 0;
  }

  static int onTimer(CURLM * /*Multi*/, long TimeoutMs, void *User) {
    static_cast<Implementation *>(User)->armTimer(TimeoutMs);
    return 0;
  }

  void updateSocket(curl_socket_t Socket, int What) {
    auto It = SocketWatches_.find(Socket);
    if (What == CURL_POLL_REMOVE) {
      if (It != SocketWatches_.end()) {
        It->second->Wanted = 0;
        // curl closes the socket, so Asio must release it first.
        It->second->Descriptor.release();
        SocketWatches_.erase(It);
      }
      return;
    }
    if (It == SocketWatches_.end())
      It = SocketWatches_
               .emplace(Socket,
                        std::make_shared<SocketWatch>(SocketWatch{
                            asio::posix::stream_descriptor(Context_, Socket)}))
               .first;
    It->second->Wanted = What;
    waitForSocket(Socket, It->second);
  }

  void waitForSocket(curl_socket_t Socket,
                     const std::shared_ptr<SocketWatch> &Watched) {
    using asio::posix::descriptor_base;
    if ((Watched->Wanted & CURL_POLL_IN) != 0 && !Watched->Reading) {
      Watched->Reading = true;
      Watched->Descriptor.async_wait(
          descriptor_base::wait_read, [Self = weak_from_this(), Socket,
                                       Watched](const std::error_code &Code) {
            Watched->Reading = false;
            if (auto Alive = Self.lock(); Alive && !Code)
              Alive->onSocketReady(Socket, Watched, CURL_CSELECT_IN);
          });
    }
    if ((Watched->Wanted & CURL_POLL_OUT) != 0 && !Watched->Writing) {
      Watched->Writing = true;
      Watched->Descriptor.async_wait(
          descriptor_base::wait_write, [Self = weak_from_this(), Socket,
                                        Watched](const std::error_code &Code) {
            Watched->Writing = false;
            if (auto Alive = Self.lock(); Alive && !Code)
              Alive->onSocketReady(Socket, Watched, CURL_CSELECT_OUT);
          });
    }
  }

  void onSocketReady(curl_socket_t Socket,
                     const std::shared_ptr<SocketWatch> &Watched, int Events) {
    const auto It = SocketWatches_.find(Socket);
    if (Closed_ || It == SocketWatches_.end() || It->second != Watched)
      return;
    int Running = 0;
    curl_multi_socket_action(Multi_, Socket, Events, &Running);
    finishCompletedTransfers();
    const auto Again = SocketWatches_.find(Socket);
    if (!Closed_ && Again != SocketWatches_.end() && Again->second == Watched)
      waitForSocket(Socket, Watched);
  }

  void armTimer(long TimeoutMs) {
    Timer_.cancel();
    if (TimeoutMs < 0)
      return;
    Timer_.expires_after(std::chrono::milliseconds(TimeoutMs));
    Timer_.async_wait([Self = weak_from_this()](const std::error_code &Code) {
      auto Alive = Self.lock();
      if (Code || !Alive || Alive->Closed_)
        return;
      int Running = 0;
      curl_multi_socket_action(Alive->Multi_, CURL_SOCKET_TIMEOUT, 0, &Running);
      Alive->finishCompletedTransfers();
    });
  }

  void armIdleTimer(CURL *Easy, Transfer &Current) {
    Current.IdleTimer->expires_at(Current.LastByteAt +
                                  Current.Request.IdleTimeout);
    // The timer is destroyed, and its wait cancelled, with the transfer.
    Current.IdleTimer->async_wait(
        [Self = weak_from_this(), Easy](const std::error_code &Code) {
          auto Alive = Self.lock();
          if (!Code && Alive && !Alive->Closed_)
            Alive->checkIdle(Easy);
        });
  }

  /// Fails the transfer if no byte has arrived for its IdleTimeout.
  void checkIdle(CURL *Easy) {
    const auto It = Transfers_.find(Easy);
    if (It == Transfers_.end())
      return;
    Transfer &Current = *It->second;
    if (std::chrono::steady_clock::now() <
        Current.LastByteAt + Current.Request.IdleTimeout)
      armIdleTimer(Easy, Current);
    else
      finishTransfer(Easy, CURLE_OPERATION_TIMEDOUT);
  }

  void finishTransfer(CURL *Easy, CURLcode Code) {
    const auto It = Transfers_.find(Easy);
    CHECK(It != Transfers_.end());
    std::unique_ptr<Transfer> Active = std::move(It->second);
    Transfers_.erase(It);
    Result<HttpClientResponse> Outcome = resultOf(*Active, Code);
    curl_multi_remove_handle(Multi_, Easy);
    // Posted, so that the handler may call the client again.
    asio::post(Context_, [Done = std::move(Active->Done),
                          Outcome = std::move(Outcome)]() mutable {
      Done(std::move(Outcome));
    });
  }

  void finishCompletedTransfers() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      finishTransfer(Message->easy_handle, Message->data.result);
    }
  }

  static Result<HttpClientResponse> resultOf(Transfer &Active, CURLcode Code) {
    if (Code == CURLE_OK) {
      long Status = 0;
      curl_easy_getinfo(Active.Easy, CURLINFO_RESPONSE_CODE, &Status);
      Active.Response.Status = static_cast<int>(Status);
      return std::move(Active.Response);
    }
    const std::string Message = Active.Request.Method + " " +
                                Active.Request.Url + ": " +
                                curl_easy_strerror(Code);
    // If curl sent the request on a kept-alive connection that was closed
    // without a response, the connection for the resend may be refused although
    // the first copy was received. Therefore every error after the first
    // transmission leaves open whether the request had an effect.
    if (Active.SendStarted)
      return fail(Code == CURLE_OPERATION_TIMEDOUT ? ErrorCode::Timeout
                                                   : ErrorCode::Unavailable,
                  Message);
    long SystemError = 0;
    curl_easy_getinfo(Active.Easy, CURLINFO_OS_ERRNO, &SystemError);
    if (Code == CURLE_COULDNT_CONNECT)
      return fail(SystemError == ECONNREFUSED ? ErrorCode::ConnectionRefused
                                              : ErrorCode::NotSent,
                  Message);
    if (Code == CURLE_URL_MALFORMAT || Code == CURLE_UNSUPPORTED_PROTOCOL)
      return fail(ErrorCode::NotSent, Message);
    if (Code == CURLE_OPERATION_TIMEDOUT) {
      // Without a connection nothing was sent.
      curl_off_t Connect = 0;
      curl_easy_getinfo(Active.Easy, CURLINFO_PRETRANSFER_TIME_T, &Connect);
      return fail(Connect == 0 ? ErrorCode::NotSent : ErrorCode::Timeout,
                  Message);
    }
    return fail(ErrorCode::Unavailable, Message);
  }

  asio::io_context &Context_;
  asio::steady_timer Timer_;
  CURLM *Multi_ = nullptr;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>>
      SocketWatches_;
  bool Closed_ = false;
};

CurlHttpClient::CurlHttpClient(asio::io_context &Context,
                               CurlHttpClientOptions Options)
    : Implementation_(std::make_shared<Implementation>(Context, Options)) {}

CurlHttpClient::~CurlHttpClient() { Implementation_->close(); }

asio::awaitable<Result<HttpClientResponse>>
CurlHttpClient::send(HttpClientRequest Request) {
  auto Start = [Client = Implementation_](auto Handler,
                                          HttpClientRequest Sent) {
    auto Shared = std::make_shared<decltype(Handler)>(std::move(Handler));
    Client->startTransfer(std::move(Sent),
                          [Shared](Result<HttpClientResponse> Value) {
                            (*Shared)(std::move(Value));
                          });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(Result<HttpClientResponse>)>(
      Start, asio::use_awaitable, std::move(Request));
}

} // namespace hickory
