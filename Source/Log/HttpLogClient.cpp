#include "Log/HttpLogClient.h"

#include "Http/HttpServer.h"
#include "Platform.pb.h"

#include <fmt/format.h>

namespace hickory {

namespace {

Error errorFromStatus(std::string_view Call, const std::string &Stream,
                      const HttpClientResponse &Response) {
  Error Failure;
  Failure.Message =
      fmt::format("{} of stream {}: log service returned status {}", Call,
                  Stream, Response.Status);
  if (Response.Status == 429 || Response.Status == 503) {
    Failure.Code = ErrorCode::Overloaded;
    if (Response.RetryAfter.count() > 0)
      Failure.RetryAfter = Response.RetryAfter;
  } else if (Response.Status == 404) {
    Failure.Code = ErrorCode::NotFound;
  } else if (Response.Status >= 400 && Response.Status < 500 &&
             Response.Status != 408) {
    Failure.Code = ErrorCode::InvalidArgument;
  } else {
    Failure.Code = ErrorCode::Unavailable;
  }
  return Failure;
}

} // namespace

HttpLogClient::HttpLogClient(HttpClient &Client, std::string BaseUrl,
                             std::chrono::milliseconds Timeout)
    : Client_(Client), BaseUrl_(std::move(BaseUrl)), Timeout_(Timeout) {
  while (!BaseUrl_.empty() && BaseUrl_.back() == '/')
    BaseUrl_.pop_back();
}

std::string HttpLogClient::streamUrl(const std::string &Stream) const {
  return fmt::format("{}/v1/streams/{}", BaseUrl_, percentEncode(Stream));
}

asio::awaitable<Result<std::uint64_t>>
HttpLogClient::append(std::string Stream, std::string Payload) {
  HttpClientRequest Request{.Method = "POST",
                            .Url = streamUrl(Stream),
                            .Body = std::move(Payload),
                            .ContentType = "application/x-protobuf",
                            .Timeout = Timeout_};
  Result<HttpClientResponse> Response =
      co_await Client_.send(std::move(Request));
  if (!Response)
    co_return tl::unexpected<Error>(Response.error());
  if (Response->Status != 200)
    co_return tl::unexpected<Error>(
        errorFromStatus("append", Stream, *Response));
  platform::AppendReply Body;
  if (!Body.ParseFromString(Response->Body))
    co_return fail(
        ErrorCode::Unavailable,
        fmt::format("append to stream {}: response cannot be parsed", Stream));
  co_return Body.offset();
}

asio::awaitable<Result<LogPage>> HttpLogClient::read(std::string Stream,
                                                     LogReadOptions Options) {
  HttpClientRequest Request{
      .Url = fmt::format("{}?from={}&max={}&wait_ms={}", streamUrl(Stream),
                         Options.From, Options.Maximum, Options.Wait.count()),
      .Body = {},
      .ContentType = "application/x-protobuf",
      .Timeout = Timeout_ + Options.Wait,
      .MayResend = true};
  Result<HttpClientResponse> Response =
      co_await Client_.send(std::move(Request));
  if (!Response)
    co_return tl::unexpected<Error>(Response.error());
  if (Response->Status != 200)
    co_return tl::unexpected<Error>(errorFromStatus("read", Stream, *Response));
  platform::ReadReply Body;
  if (!Body.ParseFromString(Response->Body))
    co_return fail(
        ErrorCode::Unavailable,
        fmt::format("read of stream {}: response cannot be parsed", Stream));
  LogPage Page;
  Page.Earliest = Body.earliest();
  Page.Next = Body.next();
  Page.Entries.reserve(Body.entries_size());
  for (platform::Entry &Item : *Body.mutable_entries())
    Page.Entries.push_back(
        LogEntry{Item.offset(), std::move(*Item.mutable_payload())});
  co_return Page;
}

} // namespace hickory
