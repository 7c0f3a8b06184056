#include "Backends/InstanceList.h"

#include "Backends/SignalWait.h"

#include <fmt/format.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <set>

namespace hickory {

namespace {

using nlohmann::json;

/// Throws json::exception if a field is missing or of the wrong type.
Upstream parseUpstream(const json &Item) {
  Upstream Parsed;
  Parsed.Name = Item.at("name").get<std::string>();
  Parsed.Kind = Item.at("kind").get<std::string>() == "executor"
                    ? UpstreamKind::Executor
                    : UpstreamKind::Worker;
  Parsed.Address = Item.at("address").get<std::string>();
  Parsed.Rack = Item.at("rack").get<std::string>();
  Parsed.FailureDomain = Item.at("failure_domain").get<std::string>();
  Parsed.Leaving = Item.value("state", "live") == "leaving";
  Parsed.Total = {Item.value("cpus_milli", std::int64_t{0}),
                  Item.value("memory_mb", std::int64_t{0}),
                  Item.value("accelerators", std::int64_t{0})};
  Parsed.Slots = Item.value("slots", 0U);
  Parsed.Connections = Item.value("connections", 0U);
  return Parsed;
}

} // namespace

InstanceList::InstanceList(InstanceListOptions Options,
                           asio::any_io_executor Executor, TimerService &Timers,
                           HttpClient &Client, OwnershipView &Ownership,
                           Metrics &Counters, EventLog &Events)
    : Options_(std::move(Options)), Executor_(std::move(Executor)),
      Timers_(Timers), Client_(Client), Ownership_(Ownership),
      Counters_(Counters), Events_(Events), Wake_(Executor_),
      Subscribers_(
          std::make_shared<std::map<std::uint64_t, std::function<void()>>>()) {}

asio::awaitable<Result<void>> InstanceList::run() {
  Stopped_ = false;
  while (!Stopped_) {
    co_await poll();
    if (!Stopped_)
      co_await waitUntil(Wake_, Timers_, Timers_.now() + Options_.PollPeriod);
  }
  co_return Result<void>();
}

void InstanceList::stop() {
  Stopped_ = true;
  Wake_.notify();
}

std::string InstanceList::requestUrl() const {
  const char Separator =
      Options_.Url.find('?') == std::string::npos ? '?' : '&';
  std::string Url = fmt::format("{}{}failure_domain={}", Options_.Url,
                                Separator, Options_.FailureDomain);
  // An unchanged list is then answered without its content. In the first
  // measurement the repeated list was most of what crossed the paid link.
  if (KnownSince_)
    Url += fmt::format("&known_version={}", Version_);
  return Url;
}

asio::awaitable<void> InstanceList::poll() {
  HttpClientRequest Request;
  Request.Url = requestUrl();
  Request.MayResend = true;
  Request.Timeout = Options_.Timeout;
  auto Reply = co_await Client_.send(std::move(Request));
  if (Stopped_)
    co_return;
  std::string Problem;
  if (!Reply) {
    Problem = Reply.error().Message;
  } else if (Reply->Status != 200) {
    Problem = fmt::format("the list answered with status {}", Reply->Status);
  } else if (auto Applied = apply(Reply->Body); !Applied) {
    Problem = Applied.error().Message;
  }
  if (!Problem.empty())
    Counters_.count("hickory_instance_list_failures_total");
  if (!Problem.empty() != Down_) {
    Down_ = !Problem.empty();
    if (Down_)
      LOG(WARNING) << "list: the last good list stays in use: " << Problem;
    else
      LOG(INFO) << "list: good again at version " << Version_;
    Events_.emit("list", Down_ ? "list_down" : "list_up",
                 {{"version", Version_}, {"detail", Problem}});
  }
}

Result<void> InstanceList::apply(const std::string &Document) {
  std::uint64_t Version = 0;
  std::map<std::string, Upstream> Listed;
  try {
    const json Parsed = json::parse(Document);
    Version = Parsed.at("version").get<std::uint64_t>();
    if (KnownSince_ && Version == Version_ &&
        Parsed.value("unchanged", false)) {
      OlderLists_ = 0;
      LastGood_ = Timers_.now();
      return {};
    }
    for (const json &Item : Parsed.at("instances")) {
      Upstream One = parseUpstream(Item);
      if (One.FailureDomain == Options_.FailureDomain)
        Listed.emplace(One.Name, std::move(One));
    }
  } catch (const json::exception &Problem) {
    return fail(
        ErrorCode::InvalidArgument,
        fmt::format("the list document is invalid: {}", Problem.what()));
  }
  if (Version < Version_ && ++OlderLists_ < Options_.OlderListsUntilAccepted)
    return fail(ErrorCode::Unavailable,
                fmt::format("version {} of the list is older than version {}",
                            Version, Version_));
  const auto Now = Timers_.now();
  OlderLists_ = 0;
  LastGood_ = Now;
  if (!KnownSince_)
    KnownSince_ = Now;
  // The same version has the same content.
  if (Version == Version_ && !Entries_.empty())
    return {};
  Version_ = Version;

  for (auto &[Name, Item] : Listed) {
    Entry &Known = Entries_[Name];
    // An upstream that comes back, moves or is live again after the list said
    // that it was leaving is a new process; what the old one said is void.
    if (Known.MissingSince || Known.Listed.Address != Item.Address ||
        (Known.Listed.Leaving && !Item.Leaving))
      Known.SaidLeaving = false;
    if (Item.Leaving && !Known.Listed.Leaving)
      Events_.emit("list", "upstream_leaving",
                   {{"upstream", Name}, {"rack", Item.Rack}, {"by", "list"}});
    Known.MissingSince.reset();
    Known.Listed = std::move(Item);
  }
  for (auto It = Entries_.begin(); It != Entries_.end();) {
    Entry &Known = It->second;
    if (!Listed.contains(It->first)) {
      if (!Known.MissingSince) {
        Known.MissingSince = Now;
        Events_.emit("list", "upstream_leaving",
                     {{"upstream", It->first},
                      {"rack", Known.Listed.Rack},
                      {"by", "missing"}});
      } else if (Now - *Known.MissingSince > Options_.MissingRetention) {
        It = Entries_.erase(It);
        continue;
      }
    }
    ++It;
  }
  std::vector<std::string> Racks = racks();
  if (Racks != Racks_) {
    Racks_ = std::move(Racks);
    Ownership_.setRacks(Racks_);
  }
  notify();
  return {};
}

Upstream InstanceList::merged(const Entry &Known) {
  Upstream Merged = Known.Listed;
  if (Known.SaidLeaving || Known.MissingSince)
    Merged.Leaving = true;
  return Merged;
}

std::optional<Upstream> InstanceList::find(const std::string &Name) const {
  const auto It = Entries_.find(Name);
  if (It == Entries_.end())
    return std::nullopt;
  return merged(It->second);
}

std::vector<Upstream> InstanceList::all() const {
  std::vector<Upstream> Found;
  Found.reserve(Entries_.size());
  for (const auto &[Name, Known] : Entries_)
    Found.push_back(merged(Known));
  return Found;
}

std::vector<Upstream> InstanceList::inRack(const std::string &Rack) const {
  std::vector<Upstream> Found = all();
  std::erase_if(Found, [&](const Upstream &One) { return One.Rack != Rack; });
  return Found;
}

std::vector<std::string> InstanceList::racks() const {
  std::set<std::string> Names;
  for (const auto &[Name, Known] : Entries_)
    Names.insert(Known.Listed.Rack);
  return {Names.begin(), Names.end()};
}

void InstanceList::setSaidLeaving(const std::string &Name, bool Leaving) {
  const auto It = Entries_.find(Name);
  if (It == Entries_.end() || It->second.SaidLeaving == Leaving)
    return;
  It->second.SaidLeaving = Leaving;
  if (Leaving)
    Events_.emit(
        "list", "upstream_leaving",
        {{"upstream", Name}, {"rack", It->second.Listed.Rack}, {"by", "self"}});
  notify();
}

Subscription InstanceList::subscribe(std::function<void()> Callback) {
  const std::uint64_t Id = NextSubscriber_++;
  Subscribers_->emplace(Id, std::move(Callback));
  return Subscription([All = Subscribers_, Id] { All->erase(Id); });
}

void InstanceList::notify() {
  // A callback may end its own subscription.
  const auto Current = *Subscribers_;
  for (const auto &[Id, Callback] : Current)
    if (Subscribers_->contains(Id))
      Callback();
}

} // namespace hickory
