#include "Emulator/EmulatedStore.h"

#include "Http/HttpServer.h"

#include <fmt/format.h>
#include <openssl/evp.h>

namespace hickory::emulator {

namespace {

constexpr int BadRequest = 400;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int Expired = 410;
constexpr int WrongEnd = 412;
constexpr int Unavailable = 503;
constexpr std::chrono::seconds LongestQueue{2};
constexpr milliseconds LongestWait{30000};
constexpr std::size_t PageItems = 500;
constexpr std::size_t PageBytes = 1 << 20;
constexpr const char *KeyedPrefix = "keyed.";

StandInServer::Reply reply(int Status, const json &Body) {
  return {.Status = Status, .Body = Body.dump()};
}

std::string base64(const std::string &Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  return Text;
}

std::optional<std::uint64_t> numberIn(const std::string &Query,
                                      const std::string &Name) {
  const std::string Text = queryParameter(Query, Name);
  if (Text.empty() || Text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return std::stoull(Text);
}

bool isClosed(const std::string &Topic) {
  return Topic == "keyed.op" || Topic == "keyed.servers";
}

StandInServer::Reply appendReply(const AppendOutcome &Outcome) {
  switch (Outcome.Status) {
  case AppendOutcome::Kind::Fenced:
    return reply(Conflict, {{"reason", "fenced"}});
  case AppendOutcome::Kind::WrongSequence:
    return reply(Conflict, {{"reason", "seq"}, {"sequence", Outcome.Expected}});
  case AppendOutcome::Kind::WrongEnd:
    return reply(WrongEnd, {{"end", Outcome.End}});
  case AppendOutcome::Kind::Malformed:
    return reply(BadRequest, json::object());
  case AppendOutcome::Kind::Appended:
    break;
  }
  return reply(200, {{"offset", Outcome.Offset}, {"end", Outcome.End}});
}

} // namespace

EmulatedStore::Topic &EmulatedStore::topic(const std::string &Name) {
  const auto It = Topics_.find(Name);
  if (It != Topics_.end())
    return It->second;
  const bool Single = isClosed(Name) || Name == "keyed.status";
  const auto Count =
      static_cast<std::size_t>(Single ? 1 : Settings_.Partitions);
  Topic &Made = Topics_[Name];
  for (std::size_t Number = 0; Number < Count; ++Number)
    Made.Parts.emplace_back(Name.starts_with(KeyedPrefix));
  Made.BusyUntil.resize(Count);
  return Made;
}

LogPartition *EmulatedStore::partition(const Request &Incoming,
                                       std::size_t &Number) {
  const std::string Name = queryParameter(Incoming.Query, "topic");
  Number = numberIn(Incoming.Query, "part").value_or(0);
  if (Name.empty() || Number >= topic(Name).Parts.size())
    return nullptr;
  return &topic(Name).Parts[Number];
}

MemberGroup &EmulatedStore::group(const std::string &Name) {
  return Groups_.try_emplace(Name, Settings_.Partitions).first->second;
}

milliseconds EmulatedStore::groupTime() const {
  auto Refused = RefusedBefore_;
  if (RefusingSince_ != Clock::time_point{})
    Refused += std::chrono::duration_cast<milliseconds>(
        std::min(Timers_.now(), RefusingUntil_) - RefusingSince_);
  return std::chrono::duration_cast<milliseconds>(
             Timers_.now().time_since_epoch()) -
         Refused;
}

void EmulatedStore::refuseFor(milliseconds Time) {
  const auto Now = Timers_.now();
  if (RefusingSince_ != Clock::time_point{})
    RefusedBefore_ += std::chrono::duration_cast<milliseconds>(
        std::min(Now, RefusingUntil_) - RefusingSince_);
  RefusingSince_ = Now;
  RefusingUntil_ = Now + Time;
}

void EmulatedStore::dealAnew() {
  for (auto &[Name, Group] : Groups_)
    Group.dealAnew();
}

void EmulatedStore::dropHistory() {
  for (auto &[Name, Kept] : Topics_)
    for (LogPartition &Part : Kept.Parts)
      Part.trim(Part.end());
}

void EmulatedStore::put(const std::string &Topic, const std::string &Key,
                        const std::string &Value) {
  const std::string Record =
      std::string(1, static_cast<char>(Key.size())) + Key + Value;
  topic(Topic).Parts[0].append(bigEndianText(Record.size(), 4) + Record,
                               std::nullopt, std::nullopt);
  Appended_.wakeAll();
}

asio::awaitable<EmulatedStore::Reply> EmulatedStore::handle(Request Incoming) {
  ++Calls_;
  if (isRefusing())
    co_return reply(Unavailable, json::object());
  const std::string Call = Incoming.Method + " " + Incoming.Path;
  if (Call == "POST /api/log-append")
    co_return co_await append(std::move(Incoming));
  if (Call == "GET /api/log-read")
    co_return co_await read(std::move(Incoming));
  if (Call == "GET /api/log-newest")
    co_return newest(Incoming);
  if (Call == "POST /api/log-trim")
    co_return trim(Incoming);
  if (Call == "GET /api/log-owners")
    co_return owners(Incoming);
  const json Body = json::parse(Incoming.Body, nullptr, false);
  if (!Body.is_object())
    co_return reply(BadRequest, json::object());
  if (Call == "POST /api/log-join")
    co_return join(Body);
  if (Call == "POST /api/log-leave")
    co_return leave(Body);
  if (Call == "POST /api/log-commit")
    co_return commit(Body);
  co_return reply(NotFound, json::object());
}

asio::awaitable<EmulatedStore::Reply> EmulatedStore::append(Request Incoming) {
  std::size_t Number = 0;
  LogPartition *Part = partition(Incoming, Number);
  const std::string Name = queryParameter(Incoming.Query, "topic");
  if (Part == nullptr)
    co_return reply(BadRequest, json::object());
  if (isClosed(Name))
    co_return reply(Forbidden, json::object());
  Clock::time_point &BusyUntil = topic(Name).BusyUntil[Number];
  const auto Now = Timers_.now();
  if (BusyUntil > Now + LongestQueue)
    co_return reply(Unavailable, json::object());
  std::optional<ProducerStamp> Stamp;
  if (const auto Producer = queryParameter(Incoming.Query, "producer");
      !Producer.empty())
    Stamp = ProducerStamp{
        .Producer = Producer,
        .Epoch = numberIn(Incoming.Query, "epoch").value_or(0),
        .Sequence = numberIn(Incoming.Query, "sequence").value_or(0)};
  // Takes effect here, in the order of arrival; the answer follows when the
  // partition has worked through what arrived before.
  const AppendOutcome Outcome =
      Part->append(Incoming.Body, Stamp, numberIn(Incoming.Query, "at"));
  BusyUntil = std::max(BusyUntil, Now) + Settings_.AppendTime;
  const auto Delay = BusyUntil - Now;
  Appended_.wakeAll();
  co_await Timers_.sleepFor(Delay);
  co_return appendReply(Outcome);
}

asio::awaitable<EmulatedStore::Reply> EmulatedStore::read(Request Incoming) {
  std::size_t Number = 0;
  if (partition(Incoming, Number) == nullptr)
    co_return reply(BadRequest, json::object());
  constexpr std::uint64_t DefaultKb = 1024;
  const std::uint64_t From = numberIn(Incoming.Query, "from").value_or(0);
  const std::uint64_t Kb =
      numberIn(Incoming.Query, "max-kb").value_or(DefaultKb);
  const auto WaitMs = static_cast<std::int64_t>(
      numberIn(Incoming.Query, "wait-ms").value_or(0));
  const auto Deadline =
      Timers_.now() + std::min(LongestWait, milliseconds(WaitMs));
  for (;;) {
    const LogPartition &Part = *partition(Incoming, Number);
    if (From < Part.first())
      co_return reply(Expired, {{"first", Part.first()}});
    const auto Now = Timers_.now();
    if (From < Part.end() || Now >= Deadline)
      co_return Reply{.Status = 200, .Body = Part.read(From, Kb * 1024)};
    co_await Appended_.wait(Timers_, Deadline - Now);
    if (isRefusing())
      co_return reply(Unavailable, json::object());
  }
}

EmulatedStore::Reply EmulatedStore::newest(const Request &Incoming) {
  std::size_t Number = 0;
  const LogPartition *Part = partition(Incoming, Number);
  if (Part == nullptr)
    return reply(BadRequest, json::object());
  const std::string After = queryParameter(Incoming.Query, "depends-on");
  json Items = json::array();
  std::size_t Bytes = 0;
  auto It = After.empty() ? Part->newest().begin()
                          : Part->newest().upper_bound(After);
  for (; It != Part->newest().end(); ++It) {
    if (Items.size() == PageItems || Bytes > PageBytes)
      break;
    Bytes += It->second.Value.size();
    Items.push_back({{"key", It->first},
                     {"value", base64(It->second.Value)},
                     {"offset", It->second.Offset}});
  }
  return reply(200, {{"items", std::move(Items)},
                     {"has-more", It != Part->newest().end()},
                     {"end", Part->end()}});
}

EmulatedStore::Reply EmulatedStore::trim(const Request &Incoming) {
  std::size_t Number = 0;
  LogPartition *Part = partition(Incoming, Number);
  const auto Before = numberIn(Incoming.Query, "before");
  if (Part == nullptr || !Before)
    return reply(BadRequest, json::object());
  if (isClosed(queryParameter(Incoming.Query, "topic")))
    return reply(Forbidden, json::object());
  Part->trim(std::min(*Before, Part->end()));
  return reply(200, json::object());
}

EmulatedStore::Reply EmulatedStore::join(const json &Body) {
  const auto Name = Body.value("group", std::string());
  const auto Topics = Body.value("topics", std::vector<std::string>());
  // A group of several topics is not needed by hickory-cell.
  if (Name.empty() || Topics.size() != 1)
    return reply(BadRequest, json::object());
  GroupTopics_[Name] = Topics[0];
  const auto Reply =
      group(Name).join(Body.value("member", std::string()),
                       milliseconds(Body.value("ttl-ms", std::int64_t{1000})),
                       Body.value("generation", std::uint64_t{0}), groupTime());
  json Parts = json::array();
  for (const int Number : Reply.Parts)
    Parts.push_back({Topics[0], Number, Committed_[Name][Number]});
  return reply(200,
               {{"generation", Reply.Generation}, {"parts", std::move(Parts)}});
}

EmulatedStore::Reply EmulatedStore::leave(const json &Body) {
  group(Body.value("group", std::string()))
      .leave(Body.value("member", std::string()), groupTime());
  return reply(200, json::object());
}

EmulatedStore::Reply EmulatedStore::commit(const json &Body) {
  const auto Name = Body.value("group", std::string());
  const int Number = Body.value("part", -1);
  if (Number < 0 || Number >= Settings_.Partitions)
    return reply(BadRequest, json::object());
  if (group(Name).holder(Number) != Body.value("member", std::string()))
    return reply(Conflict, json::object());
  Committed_[Name][Number] = Body.value("offset", std::uint64_t{0});
  return reply(200, json::object());
}

EmulatedStore::Reply EmulatedStore::owners(const Request &Incoming) {
  const std::string Name = queryParameter(Incoming.Query, "group");
  MemberGroup &Group = group(Name);
  Group.expire(groupTime());
  json Rows = json::array();
  for (int Number = 0; Number < Settings_.Partitions; ++Number)
    Rows.push_back({GroupTopics_[Name], Number, Group.holder(Number),
                    Committed_[Name][Number]});
  return reply(200, {{"owners", std::move(Rows)}});
}

} // namespace hickory::emulator
