#pragma once

#include "Backends/FakeWorker.h"
#include "Backends/RackManager.h"
#include "Fakes/FakeHttpClient.h"
#include "Fakes/FakeOwnershipView.h"
#include "Fakes/FakeTimerService.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cppunit/TestAssert.h>
#include <memory>
#include <optional>

namespace hickory {

using namespace std::chrono_literals;

/// Keeps the ends that it is told about.
class RecordingEndSink final : public TaskEndSink {
public:
  bool Accept = true;
  std::vector<records::TaskEnded> Ended;

  asio::awaitable<bool> taskEnded(records::TaskEnded Item) override {
    if (Accept)
      Ended.push_back(std::move(Item));
    co_return Accept;
  }
};

/// The upstreams of one rack, which outlive several rack owners.
struct RackWorld {
  FakeTimerService Timers;
  asio::io_context Context;
  FakeHttpClient Client{Timers};
  WorkerHistory History;
  std::map<std::string, std::unique_ptr<FakeWorker>> Workers;
  nlohmann::json Instances = nlohmann::json::array();
  std::uint64_t ListVersion = 1;

  static std::string addressOf(const std::string &Name) { return Name + ":1"; }

  FakeWorker &addWorker(const std::string &Name, std::int64_t Cpus = 4000,
                        std::int64_t Memory = 8000) {
    // Clocks of workers differ widely.
    const auto Offset =
        static_cast<std::int64_t>(Workers.size() + 1) * 1'000'000;
    auto &Added = Workers[Name];
    Added = std::make_unique<FakeWorker>(Timers, History, Name, Cpus, Memory,
                                         Offset);
    connect(Name);
    Instances.push_back({{"name", Name},
                         {"kind", "worker"},
                         {"address", addressOf(Name)},
                         {"rack", "r1"},
                         {"failure_domain", "d"},
                         {"state", "live"},
                         {"cpus_milli", Cpus},
                         {"memory_mb", Memory},
                         {"accelerators", 0}});
    return *Added;
  }
  void connect(const std::string &Name) {
    Client.serve(addressOf(Name), [One = Workers.at(Name).get()](
                                      const HttpClientRequest &Request) {
      return One->handle(Request);
    });
  }
  void addExecutor(const std::string &Name,
                   FakeHttpClient::AsyncRequestHandler Handler, int Slots = 8) {
    Client.serveAsync(addressOf(Name), std::move(Handler));
    Instances.push_back({{"name", Name},
                         {"kind", "executor"},
                         {"address", addressOf(Name)},
                         {"rack", "r1"},
                         {"failure_domain", "d"},
                         {"state", "live"},
                         {"slots", Slots},
                         {"connections", 64}});
  }
  [[nodiscard]] std::string list() const {
    return nlohmann::json{{"version", ListVersion}, {"instances", Instances}}
        .dump();
  }

  /// Lets time pass in small steps.
  void run(Clock::duration Duration, Clock::duration Step = 5ms) {
    const auto End = Timers.now() + Duration;
    pollAll();
    while (Timers.now() < End) {
      Timers.advance(std::min<Clock::duration>(Step, End - Timers.now()));
      pollAll();
    }
  }
  void pollAll() {
    Context.restart();
    Context.poll();
  }
};

/// One instance of the scheduler that may own the rack.
struct RackOwner {
  RackWorld &World;
  FakeOwnershipView Ownership;
  Metrics Counters;
  EventLog Events;
  RecordingEndSink Ends;
  InstanceList Upstreams;
  RackManager Manager;

  static RackManagerOptions withSeed(RackManagerOptions Options) {
    if (Options.Seed == 0)
      Options.Seed = 1;
    // Lists in tests are complete from the start.
    Options.ListHistory = std::chrono::milliseconds(0);
    return Options;
  }

  explicit RackOwner(RackWorld &World, RackManagerOptions Options = {})
      : World(World), Ownership(World.Timers), Events(World.Timers, {}),
        Upstreams({.Url = "http://list:1/v1/instances", .FailureDomain = "d"},
                  World.Context.get_executor(), World.Timers, World.Client,
                  Ownership, Counters, Events),
        Manager(withSeed(Options), World.Context.get_executor(), World.Timers,
                World.Client, Ownership, Upstreams, Ends, Counters, Events) {
    CPPUNIT_ASSERT(Upstreams.apply(World.list()).has_value());
    asio::co_spawn(World.Context, Manager.run(), asio::detached);
    World.pollAll();
  }
  /// Lets all calls in progress end, because they refer to this object. The
  /// test's network faults end first; their variables may be gone already.
  ~RackOwner() {
    World.Client.ChooseFault = nullptr;
    Manager.stop();
    World.run(10s, 100ms);
  }

  /// Becomes the owner and waits until the workers have been read.
  void own(bool PreviousOwnerExpired = false) {
    Ownership.acquire("rack/r1", PreviousOwnerExpired);
    World.run(PreviousOwnerExpired ? 2200ms : 50ms);
  }

  [[nodiscard]] peer::PlaceRequest placeRequest(const std::string &Key,
                                                std::int64_t Cpus = 1000,
                                                std::uint32_t Attempt = 1,
                                                std::int64_t RunMs = 0) const {
    peer::PlaceRequest Request;
    Request.set_key(Key);
    Request.set_attempt(Attempt);
    Request.set_rack("r1");
    Request.set_target_incarnation(Ownership.Incarnation);
    Request.set_member("kernvaal");
    Request.mutable_resources()->set_cpus_milli(
        static_cast<std::uint64_t>(Cpus));
    Request.mutable_resources()->set_memory_mb(100);
    Request.set_run_ms(RunMs);
    Request.set_service(RunMs == 0);
    return Request;
  }

  /// Starts the call; the value appears when it has ended.
  std::shared_ptr<std::optional<peer::PlaceReply>>
  beginPlace(peer::PlaceRequest Request) {
    return begin(Manager.place(std::move(Request)));
  }
  template <typename T>
  std::shared_ptr<std::optional<T>> begin(asio::awaitable<T> Call) {
    auto Slot = std::make_shared<std::optional<T>>();
    asio::co_spawn(World.Context, std::move(Call),
                   [Slot](const std::exception_ptr &Problem, T Value) {
                     if (Problem)
                       std::rethrow_exception(Problem);
                     *Slot = std::move(Value);
                   });
    World.pollAll();
    return Slot;
  }
  /// Lets time pass until the call has ended.
  template <typename T> T finish(asio::awaitable<T> Call) {
    auto Slot = begin(std::move(Call));
    for (int I = 0; I < 20000 && !Slot->has_value(); ++I)
      World.run(5ms);
    CPPUNIT_ASSERT_MESSAGE("the call did not end", Slot->has_value());
    return **Slot;
  }
  peer::PlaceReply place(peer::PlaceRequest Request) {
    return finish(Manager.place(std::move(Request)));
  }
  peer::TaskStatusReply status(const std::string &Key, bool Fence,
                               std::uint32_t Attempt = 1) {
    peer::TaskStatusRequest Request;
    Request.set_key(Key);
    Request.set_attempt(Attempt);
    Request.set_rack("r1");
    Request.set_fence(Fence);
    return finish(Manager.taskStatus(std::move(Request)));
  }
  [[nodiscard]] bool hasEvent(const std::string &Name) const {
    return Events.linesFrom(0).find("\"event\":\"" + Name + "\"") !=
           std::string::npos;
  }
};

} // namespace hickory
