#include "Emulator/KeepAliveClient.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <strings.h>

namespace hickory::emulator {

namespace {

using namespace std::chrono_literals;
using asio::use_awaitable;
using asio::ip::tcp;

/// `loss-slack-ms` of the platform: a request may be lost if its connection
/// ends within this time after its last byte, as the process may not have read
/// it.
constexpr std::chrono::microseconds LossSlack = 200ms;
/// `contact-ms` of the platform: time after an unplanned fault in which
/// requests are not checked.
constexpr std::chrono::microseconds FaultMargin = 3s;
/// Longer than the time that a process has for its stop, so that the end of the
/// connection is seen.
constexpr std::chrono::seconds CallLimit{15};
constexpr std::chrono::milliseconds PollPeriod{20};
constexpr std::size_t MaximumConnections = 80;
constexpr double NewConnectionShare = 0.3;
/// Share of the requests that use the connection that has been idle longest.
constexpr double LongestIdleShare = 0.5;

/// Returns the path of a URL that begins with http://.
std::string pathOf(const std::string &Url) {
  return Url.substr(Url.find('/', std::string_view("http://").size()));
}

std::string serialize(const HttpClientRequest &Request) {
  std::string Text =
      fmt::format("{} {} HTTP/1.1\r\n", Request.Method, pathOf(Request.Url));
  for (const auto &[Name, Value] : Request.Headers)
    Text += fmt::format("{}: {}\r\n", Name, Value);
  return Text + fmt::format("Content-Type: {}\r\nContent-Length: {}\r\n\r\n{}",
                            Request.ContentType, Request.Body.size(),
                            Request.Body);
}

/// Returns the value of a header; empty if it is absent.
std::string headerValue(const std::string &Head, const std::string &Name) {
  for (std::size_t Line = Head.find("\r\n"); Line != std::string::npos;
       Line = Head.find("\r\n", Line + 2)) {
    const char *Text = Head.c_str() + Line + 2;
    if (::strncasecmp(Text, (Name + ": ").c_str(), Name.size() + 2) != 0)
      continue;
    const std::size_t Begin = Line + 2 + Name.size() + 2;
    return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
  }
  return {};
}

} // namespace

asio::awaitable<Result<HttpClientResponse>>
KeepAliveClient::send(HttpClientRequest Request) {
  auto Used = chooseConnection();
  if (Used == nullptr)
    Used = co_await openConnection();
  if (Used == nullptr) {
    ++Outcomes_["no connection"];
    co_return tl::unexpected(
        Error{ErrorCode::ConnectionRefused, "no connection"});
  }
  const auto Sent = std::make_shared<Call>(
      Call{.Name = Request.Method + " " + pathOf(Request.Url),
           .Ended = Notifier(Context_.get_executor())});
  Sent->Pipelined = !Used->Calls.empty();
  Used->Calls.push_back(Sent);
  ++Used->Number;
  // Requests fit into the socket's buffer. A failure is seen by the reader.
  asio::error_code WriteError;
  asio::write(Used->Socket, asio::buffer(serialize(Request)), WriteError);
  Sent->SentUs = wallMicroseconds();
  if (Used->LastUseUs > 0)
    Sent->IdleUs = Sent->SentUs - Used->LastUseUs;
  Used->LastUseUs = Sent->SentUs;
  Sent->Limit = Timers_.after(CallLimit, [this, Used = std::weak_ptr(Used),
                                          Sent = std::weak_ptr(Sent)] {
    if (const auto Open = Used.lock(); Open != nullptr)
      giveUp(*Open, Sent.lock());
  });
  co_await Sent->Ended.wait();
  if (Sent->Response)
    co_return *Sent->Response;
  co_return tl::unexpected(
      Error{ErrorCode::Unavailable, "the connection ended"});
}

std::shared_ptr<KeepAliveClient::Connection>
KeepAliveClient::chooseConnection() {
  const std::size_t CallsBefore = Random_.unit() < PipelinedShare_ ? 1 : 0;
  std::vector<std::shared_ptr<Connection>> Usable;
  for (const auto &Open : Connections_)
    if (!Open->Closing && Open->Calls.size() == CallsBefore)
      Usable.push_back(Open);
  if (Usable.empty() || (Connections_.size() < MaximumConnections &&
                         Random_.unit() < NewConnectionShare))
    return nullptr;
  if (Random_.unit() < LongestIdleShare)
    return *std::min_element(Usable.begin(), Usable.end(),
                             [](const auto &Left, const auto &Right) {
                               return Left->LastUseUs < Right->LastUseUs;
                             });
  return Usable[Random_.below(Usable.size())];
}

asio::awaitable<std::shared_ptr<KeepAliveClient::Connection>>
KeepAliveClient::openConnection() {
  auto Opened = std::make_shared<Connection>(Connection{
      .Socket = tcp::socket(Context_), .Address = Balancer_.pick(Random_)});
  const std::size_t Colon = Opened->Address.find(':');
  try {
    const tcp::endpoint Process(
        asio::ip::make_address(Opened->Address.substr(0, Colon)),
        portOf(Opened->Address));
    co_await Opened->Socket.async_connect(Process, use_awaitable);
  } catch (const std::system_error &) {
    co_return nullptr;
  }
  Connections_.push_back(Opened);
  asio::co_spawn(Context_, readResponses(Opened), asio::detached);
  co_return Opened;
}

asio::awaitable<void>
KeepAliveClient::readResponses(std::shared_ptr<Connection> Used) {
  try {
    for (;;)
      co_await readResponse(*Used);
  } catch (const std::system_error &) {
  }
  std::erase(Connections_, Used);
  for (const auto &Unanswered : Used->Calls)
    end(*Used, *Unanswered, "closed");
  Used->Calls.clear();
}

asio::awaitable<void> KeepAliveClient::readResponse(Connection &Used) {
  const std::size_t HeadSize = co_await asio::async_read_until(
      Used.Socket, asio::dynamic_buffer(Used.Buffer), "\r\n\r\n",
      use_awaitable);
  const std::string Head = Used.Buffer.substr(0, HeadSize);
  const std::string Length = headerValue(Head, "Content-Length");
  const std::size_t Size = HeadSize + (Length.empty() ? 0 : std::stoul(Length));
  if (Used.Buffer.size() < Size)
    co_await asio::async_read(Used.Socket, asio::dynamic_buffer(Used.Buffer),
                              asio::transfer_exactly(Size - Used.Buffer.size()),
                              use_awaitable);
  if (headerValue(Head, "Connection") == "close")
    Used.Closing = true;
  if (Used.Calls.empty()) {
    Lost_.push_back("a response without a request: " + Head);
    throw std::system_error(asio::error::make_error_code(
        asio::error::basic_errors::invalid_argument));
  }
  const auto Answered = Used.Calls.front();
  Used.Calls.pop_front();
  Answered->Response = HttpClientResponse{
      .Status = std::stoi(Head.substr(std::string_view("HTTP/1.1 ").size())),
      .Body = Used.Buffer.substr(HeadSize, Size - HeadSize)};
  Used.Buffer.erase(0, Size);
  Used.LastUseUs = wallMicroseconds();
  end(Used, *Answered, "answered");
}

void KeepAliveClient::giveUp(Connection &Used,
                             const std::shared_ptr<Call> &Sent) {
  if (std::erase(Used.Calls, Sent) == 0)
    return;
  end(Used, *Sent, "given up");
  // A later response would be taken for that to another request.
  Used.Closing = true;
  Used.Socket.close();
}

void KeepAliveClient::end(const Connection &Used, Call &Ended,
                          const std::string &Outcome) {
  const TimeSpan Span{.Begin = Ended.SentUs, .End = wallMicroseconds()};
  const int Status = Ended.Response ? Ended.Response->Status : 0;
  ++Outcomes_[Outcome];
  const nlohmann::json Event = {{"outcome", Outcome},
                                {"call", Ended.Name},
                                {"process", Used.Address},
                                {"status", Status},
                                {"sent_us", Span.Begin},
                                {"ended_us", Span.End},
                                {"idle_us", Ended.IdleUs},
                                {"pipelined", Ended.Pipelined},
                                {"calls_on_connection", Used.Number}};
  HistoryFile_.append(Event);
  if (Outcome == "closed" && Span.End - Span.Begin > LossSlack.count()) {
    if (isChecked(Span))
      Lost_.push_back(Event.dump());
    else
      ++Outcomes_["closed, but not checked"];
  }
  Ended.Ended.notify();
}

bool KeepAliveClient::isChecked(TimeSpan Request) const {
  return std::none_of(
      Unchecked_.begin(), Unchecked_.end(), [&Request](const TimeSpan &Span) {
        return Span.Begin <= Request.End && Request.Begin <= Span.End;
      });
}

void KeepAliveClient::recordUnplannedFault() {
  const std::int64_t Now = wallMicroseconds();
  Unchecked_.push_back({.Begin = Now, .End = Now + FaultMargin.count()});
}

asio::awaitable<void> KeepAliveClient::close() {
  for (const auto &Open : Connections_)
    Open->Socket.close();
  while (!Connections_.empty())
    co_await Timers_.sleepFor(PollPeriod);
}

} // namespace hickory::emulator
