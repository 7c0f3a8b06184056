#pragma once

#include "Base/Hash.h"
#include "Base/Random.h"
#include "Bench/BenchResult.h"
#include "Cell/ClientAccounts.h"
#include "Fakes/FakeTimerService.h"

#include <chrono>
#include <fmt/format.h>
#include <glog/logging.h>

namespace hickory {

/// Measures the time to check a key, and to put a configuration into force,
/// with 20, 2,000 and 20,000 accounts of two keys. The wrong keys differ from a
/// listed one in the last character, in the first one, or in their length.
class AccountsBench {
public:
  AccountsBench(std::uint64_t Seed, bool Quick) : Seed_(Seed), Quick_(Quick) {}

  void run() {
    for (const std::size_t Accounts : {20UL, 2000UL, 20000UL})
      measure(Accounts);
  }

private:
  using SteadyClock = std::chrono::steady_clock;

  static double microsecondsSince(SteadyClock::time_point Start) {
    return std::chrono::duration<double, std::micro>(SteadyClock::now() - Start)
        .count();
  }

  void measure(std::size_t AccountCount) {
    Random RandomSource(Seed_);
    std::vector<std::string> Keys;
    CellConfiguration Configuration;
    Configuration.Accounts.emplace();
    for (std::size_t I = 0; I < AccountCount; ++I) {
      ClientAccount Account{.Name = fmt::format("account-{}", I)};
      for (int Key = 0; Key < 2; ++Key) {
        Keys.push_back(fmt::format("{:016x}{:016x}", RandomSource.next(),
                                   RandomSource.next()));
        Account.KeyDigests.push_back(sha256(Keys.back()));
      }
      Configuration.Accounts->push_back(std::move(Account));
    }
    FakeTimerService Timers;
    EventLog Events(Timers, {.Process = "bench"});
    Metrics Counters;
    ClientAccounts Accounts(Timers, Events, Counters);
    const auto Start = SteadyClock::now();
    Configuration.indexAccounts();
    Accounts.update(Configuration);
    const double RebuildUs = microsecondsSince(Start);
    printResult(
        {{"bench", "accounts"},
         {"accounts", AccountCount},
         {"keys", Keys.size()},
         {"rebuild_us", rounded(RebuildUs, 1)},
         {"right_key_us", check(Accounts, Keys, "", true)},
         {"last_character_wrong_us", check(Accounts, Keys, "last", false)},
         {"first_character_wrong_us", check(Accounts, Keys, "first", false)},
         {"short_key_us", check(Accounts, Keys, "short", false)}});
  }

  /// Returns the mean time of a check.
  double check(const ClientAccounts &Accounts,
               const std::vector<std::string> &Keys, const std::string &Change,
               bool IsKnown) const {
    Random RandomSource(Seed_ + 1);
    std::vector<std::string> Headers;
    for (int I = 0; I < 4096; ++I) {
      std::string Key = Keys[RandomSource.below(Keys.size())];
      if (Change == "last")
        Key.back() = 'x';
      else if (Change == "first")
        Key.front() = 'x';
      else if (Change == "short")
        Key.resize(4);
      Headers.push_back("Token " + Key);
    }
    const std::size_t Checks = Quick_ ? 20000 : 1000000;
    std::size_t Known = 0;
    const auto Start = SteadyClock::now();
    for (std::size_t I = 0; I < Checks; ++I)
      if (Accounts.authenticate(Headers[I % Headers.size()]) != nullptr)
        ++Known;
    const double Time = microsecondsSince(Start);
    CHECK_EQ(Known, IsKnown ? Checks : 0);
    return rounded(Time / static_cast<double>(Checks));
  }

  std::uint64_t Seed_;
  bool Quick_;
};

} // namespace hickory
