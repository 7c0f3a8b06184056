#pragma once

#include "Emulator/CellInstance.h"
#include "Http/CurlHttpClient.h"
#include "StandIns/StandInSupport.h"
#include "Support/RunCoroutine.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace hickory::emulator {

using Steady = std::chrono::steady_clock;

/// Some hickory-cell processes on the emulated platform, for tests that inject
/// faults into both. Throws std::runtime_error if they do not start.
class EmulatedCells {
public:
  ~EmulatedCells() { stop(); }

  /// Starts the platform with the given settings file (TOML) and the processes,
  /// and returns once all are ready. Limits overrides those of each process.
  void start(const std::string &PlatformSettings, int Partitions,
             std::size_t Count, const json &Limits = json::object()) {
    Limits_ = Limits;
    Folder_ = "/tmp/hickorypick-cells-XXXXXX";
    if (::mkdtemp(Folder_.data()) == nullptr)
      throw std::runtime_error("cannot create a folder in /tmp");
    writeFile(path("settings.toml"), PlatformSettings);
    const std::string Programs = TOOL_FOLDER;
    Emulator_ = startWithLog(
        path("emulator.log"),
        {Programs + "/platform-emulator", "--settings=" + path("settings.toml"),
         "--ports-file=" + path("ports.json"), "--history=" + path("history"),
         fmt::format("--callers={}", Count)});
    require(
        waitUntil(ReadyTimeout,
                  [&] { return std::filesystem::exists(path("ports.json")); }),
        "the emulator does not start");
    Addresses_ = json::parse(readFile(path("ports.json")));
    EmulatorSettings Platform;
    Platform.Partitions = Partitions;
    int NextAddress = ::getpid() * 110;
    for (std::size_t Number = 0; Number < Count; ++Number)
      startCell(Number, Platform, NextAddress);
    for (std::size_t Number = 0; Number < Count; ++Number)
      require(waitUntil(ReadyTimeout,
                        [&] {
                          return send(Number, ReadyPort,
                                      "GET /api/readiness HTTP/1.1\r\n"
                                      "Host: h\r\n\r\n")
                              .starts_with("HTTP/1.1 200");
                        }),
              "a process is not ready");
  }
  void stop() {
    for (std::size_t Number = 0; Number < Cells_.size(); ++Number)
      signal(Number, SIGCONT);
    Cells_.clear();
    Emulator_.reset();
    if (!Folder_.empty())
      std::filesystem::remove_all(std::exchange(Folder_, {}));
  }

  /// Sends a request on a connection of its own and returns the first bytes of
  /// the response; nothing if there is none.
  std::string send(std::size_t Number, PortIndex Port, std::string Request) {
    return runCoroutine(Context_, exchange(Number, Port, std::move(Request)));
  }
  /// Injects a fault; see platform-emulator.
  void trouble(const json &Fault) {
    HttpClientRequest Request{
        .Method = "POST",
        .Url = "http://" + Addresses_.at("control").get<std::string>() +
               "/trouble",
        .Body = Fault.dump()};
    const auto Reply = runCoroutine(Context_, Client_.send(Request));
    require(Reply && Reply->Status == 200, "the fault is not accepted");
  }
  [[nodiscard]] pid_t processId(std::size_t Number) const {
    return Cells_[Number].Process->id();
  }
  [[nodiscard]] bool hasExited(std::size_t Number) const {
    return Cells_[Number].Process->exitsWithin(std::chrono::milliseconds(0));
  }
  [[nodiscard]] asio::ip::tcp::endpoint endpoint(std::size_t Number,
                                                 PortIndex Port) const {
    return {asio::ip::make_address(Cells_[Number].Ip),
            Cells_[Number].Ports[Port]};
  }
  void signal(std::size_t Number, int Kind) {
    ::kill(Cells_[Number].Process->id(), Kind);
  }
  template <typename Condition>
  bool waitUntil(Steady::duration Timeout, Condition IsMet) {
    const auto Deadline = Steady::now() + Timeout;
    while (!IsMet()) {
      if (Steady::now() > Deadline)
        return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  /// Returns the events of this kind in the log of the process.
  [[nodiscard]] std::vector<json> events(std::size_t Number,
                                         const std::string &Kind) const {
    auto Found = readLines(Cells_[Number].Name + ".log");
    std::erase_if(Found, [&Kind](const json &Event) {
      return Event.value("event", std::string()) != Kind;
    });
    return Found;
  }
  [[nodiscard]] std::size_t countOf(std::size_t Number,
                                    const std::string &Kind) const {
    return events(Number, Kind).size();
  }
  /// Returns the events of the emulated workers.
  [[nodiscard]] std::vector<json> history() const {
    return readLines("history");
  }
  /// Returns the number of the process with this name.
  [[nodiscard]] std::size_t numberOf(const std::string &Name) const {
    const auto It = std::ranges::find(Cells_, Name, &Instance::Name);
    return static_cast<std::size_t>(It - Cells_.begin());
  }

private:
  static constexpr std::chrono::seconds ReadyTimeout{60};

  static void require(bool Condition, const char *Message) {
    if (!Condition)
      throw std::runtime_error(Message);
  }
  [[nodiscard]] std::string path(const std::string &Name) const {
    return Folder_ + "/" + Name;
  }
  void startCell(std::size_t Number, const EmulatorSettings &Platform,
                 int &NextAddress) {
    Instance Cell = findAddress(Context_, NextAddress);
    Cell.Name = fmt::format("cell-{}", Number);
    const std::string Settings = path(Cell.Name + ".json");
    json Document = cellSettings(Cell, Addresses_, Number, Platform);
    Document["limits"].update(Limits_);
    writeFile(Settings, Document.dump());
    Cell.Process = startWithLog(
        path(Cell.Name + ".log"),
        {std::string(TOOL_FOLDER) + "/hickory-cell", "--settings=" + Settings});
    Cells_.push_back(std::move(Cell));
  }
  /// Returns the lines of the file that are JSON objects.
  [[nodiscard]] std::vector<json> readLines(const std::string &Name) const {
    std::vector<json> Lines;
    std::ifstream File(path(Name));
    for (std::string Line; std::getline(File, Line);)
      if (json Parsed = json::parse(Line, nullptr, false); Parsed.is_object())
        Lines.push_back(std::move(Parsed));
    return Lines;
  }
  asio::awaitable<std::string> exchange(std::size_t Number, PortIndex Port,
                                        std::string Request) {
    using asio::use_awaitable;
    const Instance &Cell = Cells_[Number];
    std::string Response;
    try {
      asio::ip::tcp::socket Socket(Context_);
      co_await Socket.async_connect(
          {asio::ip::make_address(Cell.Ip), Cell.Ports[Port]}, use_awaitable);
      co_await asio::async_write(Socket, asio::buffer(Request), use_awaitable);
      Response.resize(ResponseBytes);
      Response.resize(co_await Socket.async_read_some(asio::buffer(Response),
                                                      use_awaitable));
    } catch (const std::system_error &) {
      Response.clear();
    }
    co_return Response;
  }
  static constexpr std::size_t ResponseBytes = 4096;

  std::string Folder_;
  asio::io_context Context_{1};
  CurlHttpClient Client_{Context_};
  std::unique_ptr<ChildProcess> Emulator_;
  std::vector<Instance> Cells_;
  json Addresses_;
  json Limits_;
};

} // namespace hickory::emulator
