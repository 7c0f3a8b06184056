#pragma once

#include "Base/Random.h"
#include "Membership/DomainState.h"
#include "Membership/OwnershipOptions.h"
#include "Peers/PeerDirectory.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickory {

/// How often each kind of fault occurs, as a factor of the usual rate.
struct SimulationRates {
  double Pause = 1;
  double Kill = 1;
  double Drain = 1;
  double LogOutage = 1;  ///< For all instances.
  double SlotOutage = 1; ///< Reads, appends or both of one instance.
  double PeerOutage = 1; ///< Between two instances.
  double SlowAppend = 1; ///< Appends that arrive seconds later.
  double LostAnswer = 1; ///< Appends that take effect without an answer.
  double SlowRead = 1;   ///< Readers that lag.

  /// No faults but those that a test asks for.
  static SimulationRates none() { return {0, 0, 0, 0, 0, 0, 0, 0, 0}; }
};

struct SimulationOptions {
  std::uint64_t Seed = 0;
  std::chrono::seconds Length{60};
  /// Clock rates lie between 1 - ClockSpread and 1 + ClockSpread. With 2.4% two
  /// clocks differ by less than the margin of 5%.
  double ClockSpread = 0.024;
  /// Absent: drawn from the seed.
  std::optional<SimulationRates> Rates;
  OwnershipOptions Ownership;
  DomainState::Faults StateFaults;
};

/// Three instances of a failure domain with a shared in-memory log, each with
/// its own clock, under random faults. All choices follow from the seed.
class DomainSimulation {
public:
  explicit DomainSimulation(SimulationOptions Options);
  ~DomainSimulation();

  /// Runs to the end, or to the first moment at which a rule is broken; then
  /// says which.
  std::optional<std::string> run();

  /// Runs for this time only.
  void advance(Clock::duration Length);
  [[nodiscard]] const std::optional<std::string> &violation() const {
    return Violation_;
  }

  // Scripted faults. Instances are numbered from 0; their slots are a, b, c.
  void kill(std::size_t Index, Clock::duration StartAfter);
  void pause(std::size_t Index, Clock::duration Length);
  void drain(std::size_t Index);
  void stopLog(Clock::duration Length);
  void stopAppends(std::size_t Index, Clock::duration Length);
  void stopReads(std::size_t Index, Clock::duration Length);
  void cutPeers(std::size_t Left, std::size_t Right, Clock::duration Length);
  /// Number of shards that the instance holds now.
  [[nodiscard]] std::size_t heldBy(std::size_t Index) const;
  [[nodiscard]] std::size_t shardCount() const { return Shards_.size(); }
  [[nodiscard]] bool running(std::size_t Index) const;

  struct Totals {
    std::uint64_t Acquired = 0;
    std::uint64_t Expired = 0;
    std::uint64_t ConsentExtensions = 0;
    std::uint64_t OwnExpiries = 0;
    std::uint64_t Drains = 0;
    std::uint64_t Snapshots = 0;
    std::uint64_t Duplicates = 0;
    std::uint64_t Calls = 0; ///< Between instances.
  };
  [[nodiscard]] const Totals &totals() const { return Totals_; }
  [[nodiscard]] const std::vector<records::RecordBatch> &log() const {
    return Log_;
  }

private:
  struct Process;
  class Appender;
  class Peers;
  using Duration = Clock::duration;
  using Time = Clock::time_point;

  [[nodiscard]] bool chance(double Probability);
  Duration between(Duration Low, Duration High);
  void at(Time When, std::function<void()> Action);
  void startProcess(std::size_t Index);
  void endProcess(std::size_t Index);
  void step();
  void injectFaults();
  void runProcess(Process &Subject);
  void readLog(Process &Subject);
  void onAcquired(Process &Subject, const std::string &Shard, bool Expired);
  void checkRules(const std::string &After);
  void compareWithReplay(const Process &Subject);
  [[nodiscard]] Process *findProcess(std::size_t Index, std::uint64_t Id);
  /// Sends a call from a process to a slot. Deliver runs in the receiver and
  /// returns what is to run in the caller.
  void send(const Process &From, const std::string &Slot,
            std::function<std::function<void()>(Process &)> Deliver,
            std::function<void()> Refused);
  void append(const Process &From, const records::RecordBatch &Batch,
              std::function<void(bool)> Answer);

  SimulationOptions Options_;
  SimulationRates Rates_;
  Random Random_;
  Time Now_{std::chrono::hours(1)};
  std::multimap<Time, std::function<void()>> Events_;
  PeerDirectory Directory_;
  std::vector<std::unique_ptr<Process>> Processes_; ///< Null: not running.
  std::vector<Time> StartAt_;
  std::uint64_t NextProcess_ = 1;

  std::vector<records::RecordBatch> Log_; ///< The offset is the index.
  std::set<std::pair<std::uint64_t, std::uint64_t>> Appended_;
  Time LogDownUntil_;
  std::vector<Time> AppendDownUntil_;
  std::vector<Time> ReadDownUntil_;
  std::map<std::pair<std::size_t, std::size_t>, Time> PeersCutUntil_;

  std::vector<std::string> Shards_;
  /// Epoch and time at which a shard was last acquired from an owner that had
  /// not released it.
  std::map<std::string, std::pair<std::uint64_t, Time>> TakenOver_;
  std::optional<std::string> Violation_;
  Totals Totals_;
};

} // namespace hickory
