// Checks the recorded histories of one run against every guarantee. Prints the
// first violations of each guarantee and then one JSON summary line. The exit
// status is 1 if there are violations.
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
    // The last line is incomplete if the writing process was killed.
    if (Event.is_object())
      Events.push_back(std::move(Event));
  }
  return Events;
}

/// Returns the "closed" events of all instances from their event files.
hickory::RunHistory::Events
readGatewayClosures(const std::filesystem::path &RunFolder) {
  hickory::RunHistory::Events Closures;
  for (const auto &File : std::filesystem::directory_iterator(RunFolder)) {
    if (File.path().extension() != ".events")
      continue;
    for (nlohmann::json &Event : readEvents(File.path()))
      if (Event.value("event", "") == "closed")
        Closures.push_back(std::move(Event));
  }
  return Closures;
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
    std::cerr << "--run is required; see --help\n";
    return 2;
  }
  const std::filesystem::path RunFolder = Folder;
  RunHistory History{.Client = readEvents(RunFolder / "client.history"),
                     .Workers = readEvents(RunFolder / "workers.history"),
                     .Executors = readEvents(RunFolder / "executors.history"),
                     .Faults = readEvents(RunFolder / "faults.history"),
                     .Probes = readEvents(RunFolder / "probes.history"),
                     .GatewayClosures = readGatewayClosures(RunFolder),
                     .Upstreams = nlohmann::json::parse(tool::readFile(
                         (RunFolder / "instances.json").c_str()))};
  const std::size_t Operations = History.Client.size() / 2;
  std::map<std::string, std::uint64_t> InjectedFaults;
  for (const nlohmann::json &Event : History.Faults)
    ++InjectedFaults[Event.value("fault", "")];
  const auto Results = HistoryChecker(std::move(History)).check();
  nlohmann::json Summary = {{"operations", Operations},
                            {"faults", InjectedFaults}};
  std::uint64_t TotalViolations = 0;
  for (const auto &[Guarantee, Result] : Results) {
    Summary["violations"][Guarantee] = Result.Violations;
    Summary["checked"][Guarantee] = Result.Checked;
    TotalViolations += Result.Violations;
    for (const std::string &Example : Result.Examples)
      std::cout << Guarantee << ": " << Example << "\n";
  }
  Summary["violations_total"] = TotalViolations;
  std::cout << Summary.dump() << std::endl;
  return TotalViolations == 0 ? 0 : 1;
}
