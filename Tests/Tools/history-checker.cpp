// Decides from the recorded histories of one run whether every guarantee held.
// Prints the shortest explanations of violations and one JSON summary line;
// exit status 1 if there are any.
#include "Support/ToolProgram.h"
#include "Tools/HistoryChecker.h"

#include <filesystem>
#include <iostream>

namespace {

hickory::RunHistory::Events readEvents(const std::filesystem::path &Path) {
  hickory::RunHistory::Events Events;
  std::ifstream File(Path);
  for (std::string Line; std::getline(File, Line);) {
    nlohmann::json Event = nlohmann::json::parse(Line, nullptr, false);
    // The last line of a file may be cut when its process was killed.
    if (Event.is_object())
      Events.push_back(std::move(Event));
  }
  return Events;
}

/// The events with which all instances closed their gateways.
hickory::RunHistory::Events readStops(const std::filesystem::path &Run) {
  hickory::RunHistory::Events Stops;
  for (const auto &File : std::filesystem::directory_iterator(Run)) {
    if (File.path().extension() != ".events")
      continue;
    for (nlohmann::json &Event : readEvents(File.path()))
      if (Event.value("event", "") == "closed")
        Stops.push_back(std::move(Event));
  }
  return Stops;
}

} // namespace

int main(int Count, const char **Arguments) {
  using namespace hickory;
  char *Folder = nullptr;
  const poptOption Table[] = {{"run", 0, POPT_ARG_STRING, &Folder, 0,
                               "folder with the histories of one run", "DIR"},
                              POPT_AUTOHELP POPT_TABLEEND};
  tool::initLogging(Arguments[0]);
  tool::parseOptions(Count, Arguments, Table);
  if (Folder == nullptr) {
    std::cerr << "give --run; see --help\n";
    return 2;
  }
  const std::filesystem::path Run = Folder;
  RunHistory History{.Client = readEvents(Run / "client.history"),
                     .Workers = readEvents(Run / "workers.history"),
                     .Executors = readEvents(Run / "executors.history"),
                     .Faults = readEvents(Run / "faults.history"),
                     .Probes = readEvents(Run / "probes.history"),
                     .Stops = readStops(Run),
                     .Upstreams = nlohmann::json::parse(
                         tool::readFile((Run / "instances.json").c_str()))};
  const std::size_t Operations = History.Client.size() / 2;
  std::map<std::string, std::uint64_t> Injected;
  for (const nlohmann::json &Event : History.Faults)
    ++Injected[Event.value("fault", "")];
  const auto Findings = HistoryChecker(std::move(History)).check();
  nlohmann::json Summary = {{"operations", Operations}, {"faults", Injected}};
  std::uint64_t Total = 0;
  for (const auto &[Guarantee, Found] : Findings) {
    Summary["violations"][Guarantee] = Found.Violations;
    Summary["checked"][Guarantee] = Found.Checked;
    Total += Found.Violations;
    for (const std::string &Example : Found.Examples)
      std::cout << Guarantee << ": " << Example << "\n";
  }
  Summary["violations_total"] = Total;
  std::cout << Summary.dump() << std::endl;
  return Total == 0 ? 0 : 1;
}
