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
#include <unordered_map>

namespace hickory {

namespace {

using Completion = std::function<void(Result<HttpClientResponse>)>;

/// One request in progress.
struct Transfer {
  CURL *Easy = nullptr;
  curl_slist *Headers = nullptr;
  HttpClientRequest Request;
  HttpClientResponse Response;
  Completion Done;
  bool Begun = false; ///< A copy may have been sent.

  ~Transfer() {
    curl_slist_free_all(Headers);
    curl_easy_cleanup(Easy);
  }
};

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *User) {
  static_cast<Transfer *>(User)->Response.Body.append(Data, Size * Count);
  return Size * Count;
}

std::size_t readHeader(char *Data, std::size_t Size, std::size_t Count,
                       void *User) {
  constexpr std::string_view Name = "retry-after:";
  const std::string_view Line(Data, Size * Count);
  if (Line.size() > Name.size() &&
      curl_strnequal(Line.data(), Name.data(), Name.size()) != 0) {
    const std::string Value(Line.substr(Name.size()));
    static_cast<Transfer *>(User)->Response.RetryAfter =
        std::chrono::seconds(std::strtol(Value.c_str(), nullptr, 10));
  }
  return Size * Count;
}

/// Called before each copy of the request. curl sends another one when a
/// connection that it has used before closes without an answer.
int allowCopy(void *User, char * /*RemoteAddress*/, char * /*LocalAddress*/,
              int /*RemotePort*/, int /*LocalPort*/) {
  auto *Item = static_cast<Transfer *>(User);
  const bool First = !Item->Begun;
  Item->Begun = true;
  return First || Item->Request.MayResend ? CURL_PREREQFUNC_OK
                                          : CURL_PREREQFUNC_ABORT;
}

/// Waits for readiness of one of curl's sockets.
struct Watch {
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
    for (auto &[Easy, Item] : Transfers_)
      curl_multi_remove_handle(Multi_, Easy);
    Transfers_.clear();
    curl_multi_cleanup(Multi_);
    for (auto &[Socket, Item] : Watches_)
      Item->Descriptor.release();
    Watches_.clear();
  }

  void begin(HttpClientRequest Request, Completion Done) {
    auto Item = std::make_unique<Transfer>();
    Item->Easy = curl_easy_init();
    Item->Request = std::move(Request);
    Item->Done = std::move(Done);
    CURL *Easy = Item->Easy;
    Transfer &Current = *Item;
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
    // curl's default buffer of 16 KB per transfer and connection is more than
    // the small messages here need.
    curl_easy_setopt(Easy, CURLOPT_BUFFERSIZE, 4096L);
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &allowCopy);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &Current);
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(Current.Request.Timeout.count()));
    Transfers_.emplace(Easy, std::move(Item));
    curl_multi_add_handle(Multi_, Easy);
  }

private:
  static int onSocket(CURL * /*Easy*/, curl_socket_t Socket, int What,
                      void *User, void * /*SocketUser*/) {
    static_cast<Implementation *>(User)->watch(Socket, What);
    return 0;
  }

  static int onTimer(CURLM * /*Multi*/, long TimeoutMs, void *User) {
    static_cast<Implementation *>(User)->armTimer(TimeoutMs);
    return 0;
  }

  void watch(curl_socket_t Socket, int What) {
    auto It = Watches_.find(Socket);
    if (What == CURL_POLL_REMOVE) {
      if (It != Watches_.end()) {
        It->second->Wanted = 0;
        // curl closes the socket; Asio must let go of it first.
        It->second->Descriptor.release();
        Watches_.erase(It);
      }
      return;
    }
    if (It == Watches_.end())
      It = Watches_
               .emplace(Socket,
                        std::make_shared<Watch>(Watch{
                            asio::posix::stream_descriptor(Context_, Socket)}))
               .first;
    It->second->Wanted = What;
    waitReady(Socket, It->second);
  }

  void waitReady(curl_socket_t Socket, const std::shared_ptr<Watch> &Item) {
    using asio::posix::descriptor_base;
    if ((Item->Wanted & CURL_POLL_IN) != 0 && !Item->Reading) {
      Item->Reading = true;
      Item->Descriptor.async_wait(
          descriptor_base::wait_read,
          [Self = weak_from_this(), Socket, Item](const std::error_code &Code) {
            Item->Reading = false;
            if (auto Alive = Self.lock(); Alive && !Code)
              Alive->ready(Socket, Item, CURL_CSELECT_IN);
          });
    }
    if ((Item->Wanted & CURL_POLL_OUT) != 0 && !Item->Writing) {
      Item->Writing = true;
      Item->Descriptor.async_wait(
          descriptor_base::wait_write,
          [Self = weak_from_this(), Socket, Item](const std::error_code &Code) {
            Item->Writing = false;
            if (auto Alive = Self.lock(); Alive && !Code)
              Alive->ready(Socket, Item, CURL_CSELECT_OUT);
          });
    }
  }

  void ready(curl_socket_t Socket, const std::shared_ptr<Watch> &Item,
             int Events) {
    const auto It = Watches_.find(Socket);
    if (Closed_ || It == Watches_.end() || It->second != Item)
      return;
    int Running = 0;
    curl_multi_socket_action(Multi_, Socket, Events, &Running);
    finishCompleted();
    const auto Again = Watches_.find(Socket);
    if (!Closed_ && Again != Watches_.end() && Again->second == Item)
      waitReady(Socket, Item);
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
      Alive->finishCompleted();
    });
  }

  void finishCompleted() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi_, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      CURL *Easy = Message->easy_handle;
      const CURLcode Code = Message->data.result;
      const auto It = Transfers_.find(Easy);
      CHECK(It != Transfers_.end());
      std::unique_ptr<Transfer> Item = std::move(It->second);
      Transfers_.erase(It);
      Result<HttpClientResponse> Outcome = outcomeOf(*Item, Code);
      curl_multi_remove_handle(Multi_, Easy);
      // Posted, so that the receiver may send again from its handler.
      asio::post(Context_, [Done = std::move(Item->Done),
                            Outcome = std::move(Outcome)]() mutable {
        Done(std::move(Outcome));
      });
    }
  }

  static Result<HttpClientResponse> outcomeOf(Transfer &Item, CURLcode Code) {
    if (Code == CURLE_OK) {
      long Status = 0;
      curl_easy_getinfo(Item.Easy, CURLINFO_RESPONSE_CODE, &Status);
      Item.Response.Status = static_cast<int>(Status);
      return std::move(Item.Response);
    }
    const std::string Message = Item.Request.Method + " " + Item.Request.Url +
                                ": " + curl_easy_strerror(Code);
    // If curl sent the request on a kept-alive connection that was closed
    // without an answer, the connection for the repetition may be refused
    // although the first copy was received.
    if (Item.Begun)
      return fail(Code == CURLE_OPERATION_TIMEDOUT ? ErrorCode::Timeout
                                                   : ErrorCode::Unavailable,
                  Message);
    long SystemError = 0;
    curl_easy_getinfo(Item.Easy, CURLINFO_OS_ERRNO, &SystemError);
    if (Code == CURLE_COULDNT_CONNECT)
      return fail(SystemError == ECONNREFUSED ? ErrorCode::ConnectionRefused
                                              : ErrorCode::NotSent,
                  Message);
    if (Code == CURLE_URL_MALFORMAT || Code == CURLE_UNSUPPORTED_PROTOCOL)
      return fail(ErrorCode::NotSent, Message);
    if (Code == CURLE_OPERATION_TIMEDOUT) {
      // Without a connection nothing can have been sent.
      curl_off_t Connect = 0;
      curl_easy_getinfo(Item.Easy, CURLINFO_PRETRANSFER_TIME_T, &Connect);
      return fail(Connect == 0 ? ErrorCode::NotSent : ErrorCode::Timeout,
                  Message);
    }
    return fail(ErrorCode::Unavailable, Message);
  }

  asio::io_context &Context_;
  asio::steady_timer Timer_;
  CURLM *Multi_ = nullptr;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> Watches_;
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
    Client->begin(std::move(Sent), [Shared](Result<HttpClientResponse> Value) {
      (*Shared)(std::move(Value));
    });
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(Result<HttpClientResponse>)>(
      Start, asio::use_awaitable, std::move(Request));
}

} // namespace hickory
