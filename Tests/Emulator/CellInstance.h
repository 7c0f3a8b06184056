#pragma once

#include "Emulator/EmulatorSettings.h"
#include "Support/ChildProcess.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace hickory::emulator {

constexpr std::uint16_t MetricsPort = 9190; ///< Fixed in hickory-cell.

/// Time after SIGTERM at which the platform sends SIGKILL (`grace-s`).
constexpr std::chrono::seconds GraceTime{6};

/// A hickory-cell process and its addresses.
struct Instance {
  std::string Name;
  std::string Ip;
  std::vector<std::uint16_t> Ports;
  std::unique_ptr<ChildProcess> Process;
  bool HasActiveFault = false;
  [[nodiscard]] std::string at(std::size_t Index) const {
    return fmt::format("{}:{}", Ip, Ports[Index]);
  }
};

/// Indices of Instance::Ports.
enum PortIndex : std::size_t {
  GatewayPort,
  ReadyPort,
  ControlPort,
  InternalPort,
  PortCount
};

/// Finds a loopback address on which the metrics port is free, and free ports
/// on it. The first address to try depends on the process, so that concurrent
/// runs on one machine use different addresses.
inline Instance findAddress(asio::io_context &Context, int &NextAddress) {
  using asio::ip::tcp;
  for (int Try = 0; Try < 1000; ++Try, ++NextAddress) {
    Instance Free;
    Free.Ip = fmt::format("127.{}.{}.{}", 16 + NextAddress / 62500 % 200,
                          NextAddress / 250 % 250, 2 + NextAddress % 250);
    const auto Address = asio::ip::make_address(Free.Ip);
    try {
      const tcp::acceptor MetricsListener(Context, {Address, MetricsPort});
      std::vector<tcp::acceptor> PortHolders;
      for (std::size_t Index = 0; Index < PortCount; ++Index) {
        PortHolders.emplace_back(Context, tcp::endpoint(Address, 0));
        Free.Ports.push_back(PortHolders.back().local_endpoint().port());
      }
    } catch (const std::system_error &) {
      continue;
    }
    ++NextAddress;
    return Free;
  }
  throw std::runtime_error("no loopback address is free");
}

/// The settings file of one hickory-cell process, in the platform's format.
inline json cellSettings(const Instance &Cell, const json &Addresses,
                         std::size_t Number, const EmulatorSettings &Platform) {
  return {
      {"node", Cell.Name},
      {"role", "cell"},
      {"machine-class", "edge"},
      {"serves", {"edge"}},
      {"ip", Cell.Ip},
      {"zone", "zone-a"},
      {"region", "region-a"},
      {"zones", {{"zone-a", "region-a"}}},
      {"bind-addresses",
       {{"front", Cell.at(GatewayPort)},
        {"ready", Cell.at(ReadyPort)},
        {"control", Cell.at(ControlPort)}}},
      {"internal-ports", {Cell.Ports[InternalPort], Cell.Ports[InternalPort]}},
      {"seeds", json::array()},
      {"bootstrap", true},
      {"limits", {{"cpu-share", 1.0}, {"cores", 1}, {"memory-mb", 260}}},
      {"data-dir", nullptr},
      {"discovery", "platform"},
      {"heartbeat-ms", 1500},
      {"bounds",
       {{"hold-max-ms", Platform.MaximumLease.count()},
        {"stop-ms", Platform.StopDuration.count()},
        {"grace-s", GraceTime.count()},
        {"gang-timeout-ms", Platform.GangTimeout.count()}}},
      {"orders", "call"},
      {"advice", Addresses.at("advisers").at(Number)},
      {"platform",
       {{"address", Addresses.at("stores").at(Number)},
        {"form", "log"},
        {"parts", Platform.Partitions},
        {"append-ms", Platform.AppendDuration.count()},
        {"record-bytes", Platform.Limits.RecordBytes},
        {"call-bytes", Platform.Limits.CallBytes},
        {"ttl-min-ms", 1000}}}};
}

/// Starts a program with its output redirected to a log file. The shell that
/// redirects it is replaced by the program (exec), so that signals reach it.
inline std::unique_ptr<ChildProcess>
startWithLog(const std::string &LogFile, std::vector<std::string> Command) {
  std::vector<std::string> ShellCommand = {
      "/bin/sh", "-c", R"(log=$1; shift; exec "$@" >>"$log" 2>&1)", "sh",
      LogFile};
  ShellCommand.insert(ShellCommand.end(), Command.begin(), Command.end());
  return std::make_unique<ChildProcess>(std::move(ShellCommand));
}

} // namespace hickory::emulator
