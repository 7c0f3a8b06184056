#pragma once

#include <chrono>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <unistd.h>
#include <vector>

namespace hickory {

/// Wall clock time in microseconds since the Unix epoch, comparable between all
/// processes on a machine.
inline std::int64_t wallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Appends JSON lines to a file; does nothing if the name is empty. Throws
/// std::runtime_error if the file cannot be written.
class HistoryFile {
public:
  explicit HistoryFile(const std::string &Name) {
    if (Name.empty())
      return;
    File_ =
        ::open(Name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (File_ < 0)
      throw std::runtime_error("cannot open the history file " + Name);
  }
  ~HistoryFile() {
    if (File_ >= 0)
      ::close(File_);
  }
  HistoryFile(const HistoryFile &) = delete;
  HistoryFile &operator=(const HistoryFile &) = delete;

  void append(const nlohmann::json &Event) {
    if (File_ < 0)
      return;
    const std::string Line = Event.dump() + "\n";
    if (::write(File_, Line.data(), Line.size()) !=
        static_cast<ssize_t>(Line.size()))
      throw std::runtime_error("cannot write the history file");
  }

private:
  int File_ = -1;
};

inline std::string readFile(const std::string &Name) {
  const std::ifstream Stream(Name);
  if (!Stream)
    throw std::runtime_error("cannot read " + Name);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

/// Writes a file. It appears under its name only when it is complete.
inline void writeFile(const std::string &Name, const std::string &Text) {
  const std::string Partial = Name + ".partial";
  {
    std::ofstream Stream(Partial);
    Stream << Text;
    if (!Stream.flush())
      throw std::runtime_error("cannot write " + Partial);
  }
  if (::rename(Partial.c_str(), Name.c_str()) != 0)
    throw std::runtime_error("cannot rename " + Partial);
}

/// Reads port numbers from a file, one per line; returns none if the name is
/// empty.
inline std::vector<std::uint16_t> readPorts(const std::string &Name) {
  std::vector<std::uint16_t> Ports;
  if (Name.empty())
    return Ports;
  std::istringstream Text(readFile(Name));
  int Port = 0;
  while (Text >> Port)
    Ports.push_back(static_cast<std::uint16_t>(Port));
  return Ports;
}

/// The port of "ip:port"; 0 if there is none.
inline std::uint16_t portOf(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  return Colon == std::string::npos
             ? 0
             : static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1)));
}

/// Reads the instances of one kind from a file in the format of the platform's
/// instance list.
inline std::vector<nlohmann::json> readInstances(const std::string &Name,
                                                 const std::string &Kind) {
  std::vector<nlohmann::json> Instances;
  const auto Document = nlohmann::json::parse(readFile(Name));
  for (const auto &Instance : Document.at("instances"))
    if (Instance.at("kind") == Kind)
      Instances.push_back(Instance);
  return Instances;
}

} // namespace hickory
