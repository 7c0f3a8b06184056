#include "Cell/ClientAccounts.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <fmt/format.h>

namespace hickory {

namespace {

/// Clients with a wrong key may send thousands of calls a second.
constexpr int LoggedRefusalsPerSecond = 2;

constexpr std::string_view Blanks = " \t";

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(
      Left, Right, [](unsigned char First, unsigned char Second) {
        return std::tolower(First) == std::tolower(Second);
      });
}

/// Returns the key in the value of an Authorization header; empty if the value
/// does not have the form of the scheme.
std::string_view keyIn(std::string_view Authorization) {
  const std::size_t SchemeEnd = Authorization.find_first_of(Blanks);
  if (SchemeEnd == std::string_view::npos ||
      !equalsIgnoringCase(Authorization.substr(0, SchemeEnd),
                          ClientAccounts::Scheme))
    return {};
  const std::size_t Start = Authorization.find_first_not_of(Blanks, SchemeEnd);
  if (Start == std::string_view::npos)
    return {};
  const std::size_t End = Authorization.find_last_not_of(Blanks) + 1;
  return Authorization.substr(Start, End - Start);
}

} // namespace

std::size_t
ClientAccounts::DigestHash::operator()(const std::string &Digest) const {
  std::size_t Value = 0;
  std::memcpy(&Value, Digest.data(), std::min(sizeof(Value), Digest.size()));
  return Value;
}

void ClientAccounts::update(const CellConfiguration &Configuration) {
  Required_ = Configuration.Accounts.has_value();
  Names_.clear();
  ByDigest_.clear();
  if (!Required_)
    return;
  std::size_t Keys = 0;
  for (const ClientAccount &Account : *Configuration.Accounts)
    Keys += Account.KeyDigests.size();
  ByDigest_.reserve(Keys);
  Names_.reserve(Configuration.Accounts->size());
  for (const ClientAccount &Account : *Configuration.Accounts) {
    for (const std::string &Digest : Account.KeyDigests)
      ByDigest_.emplace(Digest, Names_.size());
    Names_.push_back(Account.Name);
  }
}

const std::string *
ClientAccounts::authenticate(std::string_view Authorization) const {
  const std::string_view Key = keyIn(Authorization);
  if (Key.empty() || Key.size() > MaximumKeyLength)
    return nullptr;
  const auto Found = ByDigest_.find(sha256(Key));
  return Found == ByDigest_.end() ? nullptr : &Names_[Found->second];
}

void ClientAccounts::countUnauthorized(const std::string &Queue,
                                       std::string_view Authorization) {
  Metrics_.count("requests_unauthorized_total");
  const Clock::time_point Now = Timers_.now();
  if (Now - SecondStart_ >= std::chrono::seconds(1)) {
    SecondStart_ = Now;
    LoggedInSecond_ = 0;
  }
  if (LoggedInSecond_++ >= LoggedRefusalsPerSecond)
    return;
  const std::string_view Key = keyIn(Authorization);
  const char *Reason = "the key belongs to no account";
  if (Authorization.empty())
    Reason = "no Authorization header";
  else if (Key.empty())
    Reason = "the Authorization header has another form";
  else if (Key.size() > MaximumKeyLength)
    Reason = "the key is too long";
  Events_.emit("gateway", "unauthorized",
               {{"queue", Queue}, {"reason", Reason}});
}

void ClientAccounts::countRequest(const std::string &Account, int Status) {
  const bool IsCounted = CountedNames_.contains(Account);
  if (!IsCounted && CountedNames_.size() < MaximumCountedNames)
    CountedNames_.insert(Account);
  const bool HasOwnMetric = CountedNames_.contains(Account);
  Metrics_.count("requests_by_account_total", 1,
                 fmt::format("account=\"{}\",status=\"{}\"",
                             HasOwnMetric ? metricLabelValue(Account) : "other",
                             Status));
}

} // namespace hickory
