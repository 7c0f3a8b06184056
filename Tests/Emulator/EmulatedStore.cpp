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
constexpr int Gone = 410;
constexpr int PreconditionFailed = 412;
constexpr int ServiceUnavailable = 503;
constexpr std::chrono::seconds MaximumAppendBacklog{2};
constexpr milliseconds MaximumReadWait{30000};
constexpr std::size_t MaximumPageItems = 500;
constexpr std::size_t MaximumPageBytes = 1 << 20;
constexpr const char *KeyedPrefix = "keyed.";

StandInServer::Reply reply(int Status, const json &Body) {
  // Keys may be any bytes; JSON has no form for those that are not UTF-8.
  return {.Status = Status,
          .Body = Body.dump(-1, ' ', false, json::error_handler_t::replace)};
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

bool isReadOnlyTopic(const std::string &Topic) {
  return Topic == "keyed.op" || Topic == "keyed.servers";
}

StandInServer::Reply replyFromOutcome(const AppendOutcome &Outcome) {
  switch (Outcome.Status) {
  case AppendOutcome::Kind::Fenced:
    return reply(Conflict, {{"reason", "fenced"}});
  case AppendOutcome::Kind::SequenceMismatch:
    return reply(Conflict, {{"reason", "seq"}, {"sequence", Outcome.Expected}});
  case AppendOutcome::Kind::EndMismatch:
    return reply(PreconditionFailed, {{"end", Outcome.End}});
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
  const bool HasOnePartition = isReadOnlyTopic(Name) || Name == "keyed.status";
  const auto PartitionCount =
      static_cast<std::size_t>(HasOnePartition ? 1 : Settings_.Partitions);
  Topic &Created = Topics_[Name];
  for (std::size_t Number = 0; Number < PartitionCount; ++Number)
    Created.Partitions.emplace_back(Name.starts_with(KeyedPrefix),
                                    Settings_.Limits);
  Created.BusyUntil.resize(PartitionCount);
  return Created;
}

LogPartition *EmulatedStore::findPartition(const Request &Incoming,
                                           std::size_t &Number) {
  const std::string Name = queryParameter(Incoming.Query, "topic");
  Number = numberIn(Incoming.Query, "part").value_or(0);
  if (Name.empty() || Number >= topic(Name).Partitions.size())
    return nullptr;
  return &topic(Name).Partitions[Number];
}

ConsumerGroup &EmulatedStore::group(const std::string &Name) {
  return Groups_.try_emplace(Name, Settings_.Partitions).first->second;
}

milliseconds EmulatedStore::groupClock() const {
  auto OutageTime = PastOutageTime_;
  if (OutageStart_ != Clock::time_point{})
    OutageTime += std::chrono::duration_cast<milliseconds>(
        std::min(Timers_.now(), OutageEnd_) - OutageStart_);
  return std::chrono::duration_cast<milliseconds>(
             Timers_.now().time_since_epoch()) -
         OutageTime;
}

void EmulatedStore::startOutage(milliseconds Duration) {
  const auto Now = Timers_.now();
  if (OutageStart_ != Clock::time_point{})
    PastOutageTime_ += std::chrono::duration_cast<milliseconds>(
        std::min(Now, OutageEnd_) - OutageStart_);
  OutageStart_ = Now;
  OutageEnd_ = Now + Duration;
}

void EmulatedStore::reassignAll() {
  for (auto &[Name, Group] : Groups_)
    Group.reassignAll();
}

void EmulatedStore::trimAll() {
  for (auto &[Name, Stored] : Topics_)
    for (LogPartition &Partition : Stored.Partitions)
      Partition.trim(Partition.end());
}

void EmulatedStore::putRecord(const std::string &Topic, const std::string &Key,
                              const std::string &Value) {
  const std::string Record =
      std::string(1, static_cast<char>(Key.size())) + Key + Value;
  topic(Topic).Partitions[0].append(bigEndianText(Record.size(), 4) + Record,
                                    std::nullopt, std::nullopt);
  Appended_.wakeAll();
}

asio::awaitable<EmulatedStore::Reply> EmulatedStore::handle(Request Incoming) {
  ++CallCount_;
  if (isInOutage())
    co_return reply(ServiceUnavailable, json::object());
  const std::string Call = Incoming.Method + " " + Incoming.Path;
  if (Call == "POST /api/log-append")
    co_return co_await append(std::move(Incoming));
  if (Call == "GET /api/log-read")
    co_return co_await read(std::move(Incoming));
  if (Call == "GET /api/log-newest")
    co_return latestByKey(Incoming);
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
  LogPartition *Partition = findPartition(Incoming, Number);
  const std::string Name = queryParameter(Incoming.Query, "topic");
  if (Partition == nullptr)
    co_return reply(BadRequest, json::object());
  if (isReadOnlyTopic(Name))
    co_return reply(Forbidden, json::object());
  Clock::time_point &BusyUntil = topic(Name).BusyUntil[Number];
  const auto Now = Timers_.now();
  if (BusyUntil > Now + MaximumAppendBacklog)
    co_return reply(ServiceUnavailable, json::object());
  std::optional<ProducerSequence> Producer;
  if (const auto ProducerId = queryParameter(Incoming.Query, "producer");
      !ProducerId.empty())
    Producer = ProducerSequence{
        .ProducerId = ProducerId,
        .Epoch = numberIn(Incoming.Query, "epoch").value_or(0),
        .Sequence = numberIn(Incoming.Query, "sequence").value_or(0)};
  // The append takes effect here, in order of arrival. Its answer is delayed
  // until the partition has processed all earlier appends.
  const AppendOutcome Outcome = Partition->append(
      Incoming.Body, Producer, numberIn(Incoming.Query, "at"));
  BusyUntil = std::max(BusyUntil, Now) + Settings_.AppendDuration;
  const auto ReplyDelay = BusyUntil - Now;
  Appended_.wakeAll();
  co_await Timers_.sleepFor(ReplyDelay);
  co_return replyFromOutcome(Outcome);
}

asio::awaitable<EmulatedStore::Reply> EmulatedStore::read(Request Incoming) {
  std::size_t Number = 0;
  if (findPartition(Incoming, Number) == nullptr)
    co_return reply(BadRequest, json::object());
  constexpr std::uint64_t DefaultKb = 1024;
  const std::uint64_t From = numberIn(Incoming.Query, "from").value_or(0);
  const std::uint64_t Kb =
      numberIn(Incoming.Query, "max-kb").value_or(DefaultKb);
  const auto WaitMs = static_cast<std::int64_t>(
      numberIn(Incoming.Query, "wait-ms").value_or(0));
  const auto Deadline =
      Timers_.now() + std::min(MaximumReadWait, milliseconds(WaitMs));
  for (;;) {
    const LogPartition &Partition = *findPartition(Incoming, Number);
    if (From < Partition.first())
      co_return reply(Gone, {{"first", Partition.first()}});
    const auto Now = Timers_.now();
    if (From < Partition.end() || Now >= Deadline)
      co_return Reply{.Status = 200, .Body = Partition.read(From, Kb * 1024)};
    co_await Appended_.wait(Timers_, Deadline - Now);
    if (isInOutage())
      co_return reply(ServiceUnavailable, json::object());
  }
}

EmulatedStore::Reply EmulatedStore::latestByKey(const Request &Incoming) {
  std::size_t Number = 0;
  const LogPartition *Partition = findPartition(Incoming, Number);
  if (Partition == nullptr)
    return reply(BadRequest, json::object());
  const std::string After = queryParameter(Incoming.Query, "depends-on");
  json Items = json::array();
  std::size_t Bytes = 0;
  auto It = After.empty() ? Partition->latestByKey().begin()
                          : Partition->latestByKey().upper_bound(After);
  for (; It != Partition->latestByKey().end(); ++It) {
    if (Items.size() == MaximumPageItems || Bytes > MaximumPageBytes)
      break;
    Bytes += It->second.Value.size();
    Items.push_back({{"key", It->first},
                     {"value", base64(It->second.Value)},
                     {"offset", It->second.Offset}});
  }
  return reply(200, {{"items", std::move(Items)},
                     {"has-more", It != Partition->latestByKey().end()},
                     {"end", Partition->end()}});
}

EmulatedStore::Reply EmulatedStore::trim(const Request &Incoming) {
  std::size_t Number = 0;
  LogPartition *Partition = findPartition(Incoming, Number);
  const auto Before = numberIn(Incoming.Query, "before");
  if (Partition == nullptr || !Before)
    return reply(BadRequest, json::object());
  if (isReadOnlyTopic(queryParameter(Incoming.Query, "topic")))
    return reply(Forbidden, json::object());
  Partition->trim(std::min(*Before, Partition->end()));
  return reply(200, json::object());
}

EmulatedStore::Reply EmulatedStore::join(const json &Body) {
  const auto Name = Body.value("group", std::string());
  const auto Topics = Body.value("topics", std::vector<std::string>());
  // hickory-cell needs no groups of several topics.
  if (Name.empty() || Topics.size() != 1)
    return reply(BadRequest, json::object());
  TopicByGroup_[Name] = Topics[0];
  const auto Reply = group(Name).join(
      Body.value("member", std::string()),
      milliseconds(Body.value("ttl-ms", std::int64_t{1000})),
      Body.value("generation", std::uint64_t{0}), groupClock());
  json Partitions = json::array();
  for (const int Number : Reply.Partitions)
    Partitions.push_back({Topics[0], Number, CommittedOffsets_[Name][Number]});
  return reply(200, {{"generation", Reply.Generation},
                     {"parts", std::move(Partitions)}});
}

EmulatedStore::Reply EmulatedStore::leave(const json &Body) {
  group(Body.value("group", std::string()))
      .leave(Body.value("member", std::string()), groupClock());
  return reply(200, json::object());
}

EmulatedStore::Reply EmulatedStore::commit(const json &Body) {
  const auto Name = Body.value("group", std::string());
  const int Number = Body.value("part", -1);
  if (Number < 0 || Number >= Settings_.Partitions)
    return reply(BadRequest, json::object());
  if (group(Name).holder(Number) != Body.value("member", std::string()))
    return reply(Conflict, json::object());
  CommittedOffsets_[Name][Number] = Body.value("offset", std::uint64_t{0});
  return reply(200, json::object());
}

EmulatedStore::Reply EmulatedStore::owners(const Request &Incoming) {
  const std::string Name = queryParameter(Incoming.Query, "group");
  ConsumerGroup &Group = group(Name);
  Group.expire(groupClock());
  json Owners = json::array();
  for (int Number = 0; Number < Settings_.Partitions; ++Number)
    Owners.push_back({TopicByGroup_[Name], Number, Group.holder(Number),
                      CommittedOffsets_[Name][Number]});
  return reply(200, {{"owners", std::move(Owners)}});
}

} // namespace hickory::emulator
