#pragma once

#include "Cell/CellNodeBench.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>

namespace hickory {

/// Load and size of a cell with queues for gangs, batches and short tasks.
struct MixedLoadOptions {
  std::uint64_t Seed = 1;
  int Owners = 18;
  /// Processes that own no shards and only carry calls for advice.
  int Helpers = 129;
  int Workers = 1100;
  /// Multiple of the usual rate of each queue, at which 0.8 of the processors
  /// are asked for.
  double Load = 1.4;
  std::chrono::milliseconds Arrivals{10000};
  /// Time after the last arrival until the result is taken.
  std::chrono::milliseconds Tail{12000};
  /// One process after the other is killed with this time between them, and
  /// starts again after RestartDelay; 0: none.
  std::chrono::milliseconds StopInterval{0};
  std::chrono::milliseconds RestartDelay{800};
  /// Share of the processes that are killed at the same moment.
  double KilledShare = 0;
  /// Time of that moment from the first arrival; nothing: at a third of the
  /// arrivals.
  std::optional<std::chrono::milliseconds> KillAt;
  /// From BurstBegin on, gangs and checks arrive at multiples of their rates.
  std::chrono::milliseconds BurstBegin{0};
  std::chrono::milliseconds BurstLength{0};
  double GangBurst = 1;
  double CheckBurst = 1;
  // Each of these removes one cause for which gangs may wait.
  bool InstantAdvice = false;
  bool LastingTickets = false;
  bool AllWorkersGood = false;
  bool ExactEstimates = false;
  bool GangsOnly = false;
  DispatcherOptions Dispatching;
};

/// A value with a lognormal distribution.
struct SkewedValue {
  double Mean = 1;
  double Spread = 0; ///< Standard deviation of the logarithm.
  double Maximum = 1;

  double draw(std::mt19937_64 &Random) const {
    const double Mu = std::log(Mean) - Spread * Spread / 2;
    return std::min(Maximum,
                    std::lognormal_distribution<double>(Mu, Spread)(Random));
  }
};

/// Shape of the jobs of one queue.
struct JobShape {
  double PerSecond = 1;
  SkewedValue Steps, Tasks, Cpus, MemoryMb, Milliseconds;
  /// Standard deviation of the logarithm of estimates.
  double EstimateError = 0;
  double CheckpointingShare = 0;
  double GangShare = 0;
};

/// Many workers and owners under a mix of queues, each of which needs advice.
class MixedLoadBench : public CellNodeBench {
public:
  static constexpr const char *GangQueue = "gangs";

  /// A submitted job and when it ended.
  struct TrackedJob {
    std::string Queue;
    int Shard = 0;
    int Tasks = 0; ///< Of the widest step.
    double Work = 0;
    Clock::time_point SubmittedAt{};
    std::chrono::milliseconds Objective{0};
    std::chrono::milliseconds RunTime{0}; ///< Of all steps, one after another.
    std::optional<Clock::time_point> CompletedAt;

    [[nodiscard]] bool inTime() const {
      return CompletedAt && *CompletedAt - SubmittedAt <= Objective;
    }
    /// Returns the time up to Now in which the job did not run.
    [[nodiscard]] Clock::duration waited(Clock::time_point Now) const {
      return CompletedAt.value_or(Now) - SubmittedAt - RunTime;
    }
    /// Returns the share of the job's worth that is earned.
    [[nodiscard]] bool served() const {
      return CompletedAt && *CompletedAt - SubmittedAt <= 3 * Objective;
    }
  };

  explicit MixedLoadBench(MixedLoadOptions Options)
      : CellNodeBench(Options.Owners), Options_(Options),
        Random_(Options.Seed) {
    addQueues();
    Environment.Dispatching = Options.Dispatching;
    Environment.Network.Latency = std::chrono::milliseconds(4);
    Environment.AdviceRuleOf = [this](const std::string &Step) {
      return &Rules_.at(queueOf(Step));
    };
    Environment.Workers.ChoosePlan = [this](const std::string &Task, int) {
      const auto Name = TaskName::parse(Task);
      return RunPlan{.Duration = Durations_.at(Name->Job).at(
                         static_cast<std::size_t>(Name->Step))};
    };
    for (int I = 0; I < Options.Workers; ++I)
      addWorker(fmt::format("w{:04}", I), 32000, 65536);
    for (int I = 0; I < Options.Owners + Options.Helpers; ++I) {
      startNode(fmt::format("p{:03}:1", I));
      run(std::chrono::milliseconds(13));
    }
    run(std::chrono::milliseconds(4000));
  }

  /// Lets jobs arrive, then waits for them, and checks the history.
  void runLoad() {
    const auto Millisecond = std::chrono::milliseconds(1);
    LoadBegin_ = Environment.Timers.now();
    for (std::chrono::milliseconds Passed{0}; Passed < Options_.Arrivals;
         Passed += Millisecond) {
      for (const auto &[Queue, Shape] : Shapes_)
        for (double Expected = rateOf(Queue, Shape, Passed) / 1000;
             chance(Expected); Expected = 0)
          submitJob(Queue, Shape);
      run(Millisecond);
      stopProcesses(Passed);
      if (Passed.count() % TrackingPeriod.count() == 0)
        trackJobs();
    }
    for (std::chrono::milliseconds Passed{0}; Passed < Options_.Tail;
         Passed += TrackingPeriod) {
      run(TrackingPeriod);
      restartProcesses();
      trackJobs();
    }
  }

  /// Returns the jobs of the queue that arrived between the two times from the
  /// first arrival, those with the most work first.
  [[nodiscard]] std::vector<const TrackedJob *>
  jobsByWork(const std::string &Queue, std::chrono::milliseconds From = {},
             std::chrono::milliseconds To = std::chrono::hours(1)) const {
    std::vector<const TrackedJob *> Found;
    for (const auto &[Id, Job] : Tracked_)
      if (Job.Queue == Queue && Job.SubmittedAt >= LoadBegin_ + From &&
          Job.SubmittedAt < LoadBegin_ + To)
        Found.push_back(&Job);
    std::ranges::sort(Found, std::greater<>(), &TrackedJob::Work);
    return Found;
  }
  static double servedShare(const std::vector<const TrackedJob *> &Jobs) {
    return static_cast<double>(std::ranges::count_if(
               Jobs, [](const TrackedJob *Job) { return Job->served(); })) /
           static_cast<double>(std::max<std::size_t>(1, Jobs.size()));
  }
  static double inTimeShare(const std::vector<const TrackedJob *> &Jobs) {
    return static_cast<double>(std::ranges::count_if(
               Jobs, [](const TrackedJob *Job) { return Job->inTime(); })) /
           static_cast<double>(std::max<std::size_t>(1, Jobs.size()));
  }
  /// Returns the longest time in which one of the jobs did not run.
  [[nodiscard]] std::chrono::milliseconds
  longestWait(const std::vector<const TrackedJob *> &Jobs) const {
    Clock::duration Longest{0};
    for (const TrackedJob *Job : Jobs)
      Longest = std::max(Longest, Job->waited(Environment.Timers.now()));
    return std::chrono::duration_cast<std::chrono::milliseconds>(Longest);
  }
  /// Returns the tenth of the jobs, rounded up, that comes first.
  static std::vector<const TrackedJob *>
  largestTenth(std::vector<const TrackedJob *> JobsByWork) {
    JobsByWork.resize((JobsByWork.size() + 9) / 10);
    return JobsByWork;
  }

  /// Returns a table of the jobs by queue and width.
  [[nodiscard]] std::string report() const {
    std::string Text = fmt::format(
        "seed {}: {:.2f} of the processors in use on average\n", Options_.Seed,
        CpuShareSum_ / std::max(1, CpuShareSamples_));
    for (const auto &[Queue, Shape] : Shapes_) {
      const AdviceRule &Rule = Rules_.at(Queue);
      const auto Jobs = jobsByWork(Queue);
      const auto Largest = largestTenth(Jobs);
      Text += fmt::format("{}: served {:.2f}, in time {:.2f}; of the largest "
                          "tenth {:.2f}, {:.2f}; {} calls for advice of {:.0f} "
                          "s\n",
                          Queue, servedShare(Jobs), inTimeShare(Jobs),
                          servedShare(Largest), inTimeShare(Largest),
                          Rule.Calls, Rule.CallTime.count());
      for (const auto &[From, To] : WidthClasses) {
        std::vector<const TrackedJob *> Members;
        for (const TrackedJob *Job : Jobs)
          if (Job->Tasks >= From && Job->Tasks < To)
            Members.push_back(Job);
        if (Members.empty())
          continue;
        Text += fmt::format("  {:3} to {:3} tasks: {:4} jobs, served {:.2f}, "
                            "in time {:.2f}\n",
                            From, To - 1, Members.size(), servedShare(Members),
                            inTimeShare(Members));
      }
    }
    Text += fmt::format("waiting gangs, seen at intervals of 0.5 s: {:.0f} for "
                        "advice, {:.0f} for capacity, {:.0f} for tickets\n",
                        counter("gang_waits_total", "reason=\"advice\""),
                        counter("gang_waits_total", "reason=\"capacity\""),
                        counter("gang_waits_total", "reason=\"tickets\""));
    Text += fmt::format("calls for advice: {:.0f}, {:.0f} refused\n",
                        counter("advice_calls_total"),
                        counter("advice_without_answer_total"));
    Text += fmt::format("gangs withdrawn: {:.0f} for capacity, {:.0f} for "
                        "tickets, {:.0f} for changes\n",
                        counter("gangs_withdrawn_total", "reason=\"capacity\""),
                        counter("gangs_withdrawn_total", "reason=\"tickets\""),
                        counter("gangs_withdrawn_total", "reason=\"changed\""));
    return Text + UseReport_;
  }
  /// Returns a table of the gangs and of the use of processors by time.
  [[nodiscard]] std::string reportByTime() const {
    std::string Text = "arrival s: gangs, served, in time; of the largest "
                       "tenth; longest wait\n";
    constexpr std::chrono::milliseconds Step{2000};
    for (std::chrono::milliseconds From{0}; From < Options_.Arrivals;
         From += Step) {
      const auto Jobs = jobsByWork(GangQueue, From, From + Step);
      const auto Largest = largestTenth(Jobs);
      Text += fmt::format("{:4}: {:3}, {:.2f}, {:.2f}; {:.2f}, {:.2f}; {} ms\n",
                          From.count() / 1000, Jobs.size(), servedShare(Jobs),
                          inTimeShare(Jobs), servedShare(Largest),
                          inTimeShare(Largest), longestWait(Jobs).count());
    }
    return Text;
  }
  /// Returns a counter's sum over all processes.
  [[nodiscard]] double counter(const std::string &Name,
                               const std::string &Labels = "") const {
    double Sum = 0;
    for (TestCellNode *Node : alive())
      Sum += Node->metrics().counterValue(Name, Labels);
    return Sum;
  }

private:
  static constexpr std::chrono::milliseconds TrackingPeriod{100};
  /// Samples of the use of processors for each line of the report.
  static constexpr int UseReportInterval = 20;
  static constexpr std::pair<int, int> WidthClasses[] = {
      {1, 20}, {20, 40}, {40, 60}, {60, 80}, {80, 120}, {120, 1000}};

  void stopProcesses(std::chrono::milliseconds Passed) {
    const auto Stop = [this](TestCellNode &Node) {
      Node.kill();
      RestartAt_[Node.address()] =
          Environment.Timers.now() + Options_.RestartDelay;
    };
    const auto Alive = alive();
    if (Passed == Options_.KillAt.value_or(Options_.Arrivals / 3))
      for (TestCellNode *Node : Alive)
        if (chance(Options_.KilledShare))
          Stop(*Node);
    const bool IsDue = Options_.StopInterval.count() > 0 &&
                       Passed.count() > 0 &&
                       (Passed % Options_.StopInterval).count() == 0;
    const std::string Next = fmt::format("p{:03}:1", NextStopped_);
    if (IsDue) {
      ++NextStopped_;
      for (TestCellNode *Node : Alive)
        if (Node->address() == Next && Node->alive())
          Stop(*Node);
    }
    restartProcesses();
  }
  void restartProcesses() {
    std::erase_if(RestartAt_, [this](const auto &AddressAndTime) {
      if (Environment.Timers.now() < AddressAndTime.second)
        return false;
      startNode(AddressAndTime.first);
      return true;
    });
  }

  [[nodiscard]] double rateOf(const std::string &Queue, const JobShape &Shape,
                              std::chrono::milliseconds Passed) const {
    const bool InBurst = Passed >= Options_.BurstBegin &&
                         Passed < Options_.BurstBegin + Options_.BurstLength;
    double Factor = 1;
    if (InBurst && Queue == GangQueue)
      Factor = Options_.GangBurst;
    if (InBurst && Queue == "checks")
      Factor = Options_.CheckBurst;
    return Shape.PerSecond * Options_.Load * Factor;
  }

  void addQueues() {
    using std::chrono::milliseconds;
    auto &Queues = Environment.Configuration.Queues;
    Queues.clear();
    Shapes_[GangQueue] = {.PerSecond = 8.3,
                          .Steps = {1.2, 0.4, 3},
                          .Tasks = {40, 0.8, 240},
                          .Cpus = {9000, 0.4, 15000},
                          .MemoryMb = {17000, 0.5, 33000},
                          .Milliseconds = {4000, 0.5, 10000},
                          .EstimateError = 0.9,
                          .CheckpointingShare = 0.5,
                          .GangShare = 1};
    addQueue(GangQueue, 1, 2.2, milliseconds(1200), 390, 5.6, 0.3);
    if (Options_.GangsOnly)
      return;
    Shapes_["batches"] = {.PerSecond = 11.2,
                          .Steps = {1.5, 0.4, 3.8},
                          .Tasks = {32, 0.6, 160},
                          .Cpus = {5500, 0.45, 16000},
                          .MemoryMb = {7800, 0.6, 23000},
                          .Milliseconds = {3400, 0.5, 8400},
                          .EstimateError = 0.2,
                          .CheckpointingShare = 0.8};
    addQueue("batches", 2, 4, milliseconds(3000), 140, 2, 0.45);
    Shapes_["checks"] = {.PerSecond = 142,
                         .Steps = {1, 0, 1},
                         .Tasks = {4.5, 0.8, 27},
                         .Cpus = {7800, 0.45, 23000},
                         .MemoryMb = {14000, 0.6, 43000},
                         .Milliseconds = {800, 0.5, 2000},
                         .EstimateError = 0.5,
                         .GangShare = 0.3};
    addQueue("checks", 0, 1.5, milliseconds(300), 11, 0.16, 0.7);
  }

  void addQueue(const std::string &Name, int Priority, double Stretch,
                std::chrono::milliseconds TargetLatency, double DecisionMs,
                double PerWorkerMs, double GoodShare) {
    AdvicePolicy Policy{
        .DecisionTime = std::chrono::duration<double, std::milli>(DecisionMs),
        .TimePerWorker = std::chrono::duration<double, std::milli>(PerWorkerMs),
        .Validity = std::chrono::milliseconds(2000)};
    if (Options_.InstantAdvice) {
      Policy.DecisionTime = std::chrono::milliseconds(1);
      Policy.TimePerWorker = {};
    }
    if (Options_.LastingTickets)
      Policy.Validity = std::chrono::hours(1);
    Rules_[Name] = {.Policy = Policy,
                    .GoodShare = Options_.AllWorkersGood ? 1 : GoodShare};
    Environment.Configuration.Queues.push_back({.Name = Name,
                                                .Service = "pool",
                                                .Priority = Priority,
                                                .MaximumAttempts = 3,
                                                .Stretch = Stretch,
                                                .TargetLatency = TargetLatency,
                                                .Advice = Policy});
  }

  bool chance(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(Random_) < Share;
  }

  void submitJob(const std::string &Queue, const JobShape &Shape) {
    const QueuePolicy *Policy =
        Environment.Configuration.findQueueByName(Queue);
    JobSpec Job{.Id = fmt::format("{:016x}", Random_()), .Queue = *Policy};
    TrackedJob Tracked{.Queue = Queue, .SubmittedAt = Environment.Timers.now()};
    const int Count =
        std::max(1, static_cast<int>(std::lround(Shape.Steps.draw(Random_))));
    std::chrono::milliseconds Chain{0};
    for (int I = 0; I < Count; ++I) {
      const int Tasks =
          std::max(1, static_cast<int>(std::lround(Shape.Tasks.draw(Random_))));
      StepSpec Step = step(Tasks);
      Step.Demand = {.CpusMilli = static_cast<std::uint64_t>(
                         std::max(100.0, Shape.Cpus.draw(Random_))),
                     .MemoryMb = static_cast<std::uint64_t>(
                         std::max(100.0, Shape.MemoryMb.draw(Random_)))};
      const std::chrono::milliseconds Duration(static_cast<std::int64_t>(
          std::max(50.0, Shape.Milliseconds.draw(Random_))));
      Step.EstimatedDuration = estimate(Duration, Shape.EstimateError);
      Step.Gang = chance(Shape.GangShare);
      Step.Checkpointing = chance(Shape.CheckpointingShare);
      if (I > 0)
        Step.DependsOn = {I - 1};
      Chain += Duration;
      Durations_[Job.Id].push_back(Duration);
      Tracked.Tasks = std::max(Tracked.Tasks, Tasks);
      Tracked.Work += static_cast<double>(Tasks) *
                      static_cast<double>(Step.Demand.CpusMilli) *
                      static_cast<double>(Duration.count());
      Job.Steps.push_back(std::move(Step));
    }
    Tracked.Objective = std::chrono::duration_cast<std::chrono::milliseconds>(
                            Chain * Policy->Stretch) +
                        Policy->TargetLatency;
    Tracked.RunTime = Chain;
    Tracked.Shard = ShardMap(Environment.Shards).shardOf(Job.Id);
    Open_.insert(Job.Id);
    Queues_[Job.Id] = Queue;
    Tracked_.emplace(Job.Id, std::move(Tracked));
    const auto Nodes = members();
    submit(*Nodes[Random_() % Nodes.size()], Job);
  }

  std::chrono::milliseconds estimate(std::chrono::milliseconds Duration,
                                     double Error) {
    if (Options_.ExactEstimates)
      return Duration;
    const double Factor =
        std::lognormal_distribution<double>(0, Error)(Random_);
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(Duration.count()) * Factor));
  }

  void trackJobs() {
    std::map<int, TestCellNode *> Holders;
    for (TestCellNode *Node : alive())
      for (const ShardEpoch &Held : Node->jobs().heldShards())
        Holders[Held.Shard] = Node;
    std::erase_if(Open_, [&](const std::string &Id) {
      TrackedJob &Job = Tracked_.at(Id);
      const auto Holder = Holders.find(Job.Shard);
      if (Holder == Holders.end() ||
          Holder->second->jobs().state(Id).State != "completed")
        return false;
      Job.CompletedAt = Environment.Timers.now();
      return true;
    });
    sampleUse();
  }
  void sampleUse() {
    double Used = 0;
    for (const std::string &Id : Environment.Workers.ids())
      for (const std::string &Task : Environment.Workers.tasksOn(Id))
        Used += static_cast<double>(demandOf(Task).CpusMilli);
    CpuShareSum_ += Used / (32000.0 * Options_.Workers);
    ++CpuShareSamples_;
    if (CpuShareSamples_ % UseReportInterval == 0)
      reportUse();
  }

  /// Appends the use of the processors, as shares, to the report.
  void reportUse() {
    ProcessorUse Sum;
    for (TestCellNode *Node : alive()) {
      const ProcessorUse Use = Node->pool().processorUse();
      for (const auto &[Priority, Cpus] : Use.Running)
        Sum.Running[Priority] += Cpus;
      Sum.Reserved += Use.Reserved;
      Sum.Free += Use.Free;
      Sum.Unusable += Use.Unusable;
    }
    const auto ShareOf = [this](std::uint64_t Cpus) {
      return static_cast<double>(Cpus) / (32000.0 * Options_.Workers);
    };
    UseReport_ += fmt::format(
        "{:5.1f} s: reserved {:.2f}, running checks {:.2f}, gangs {:.2f}, "
        "batches {:.2f}, free {:.2f}, unusable {:.2f}\n",
        std::chrono::duration<double>(Environment.Timers.now() - LoadBegin_)
            .count(),
        ShareOf(Sum.Reserved), ShareOf(Sum.Running[0]), ShareOf(Sum.Running[1]),
        ShareOf(Sum.Running[2]), ShareOf(Sum.Free), ShareOf(Sum.Unusable));
  }

  [[nodiscard]] const std::string &queueOf(const std::string &Name) const {
    return Queues_.at(TaskName::jobOf(Name));
  }

  MixedLoadOptions Options_;
  std::mt19937_64 Random_;
  std::map<std::string, JobShape> Shapes_;    ///< By queue.
  std::map<std::string, AdviceRule> Rules_;   ///< By queue.
  std::map<std::string, std::string> Queues_; ///< By job.
  /// Of the steps, by job.
  std::map<std::string, std::vector<std::chrono::milliseconds>> Durations_;
  std::map<std::string, TrackedJob> Tracked_;
  std::set<std::string> Open_; ///< Jobs that have not completed.
  std::map<std::string, Clock::time_point> RestartAt_; ///< By address.
  int NextStopped_ = 0;
  Clock::time_point LoadBegin_{};
  std::string UseReport_;
  double CpuShareSum_ = 0;
  int CpuShareSamples_ = 0;
};

} // namespace hickory
