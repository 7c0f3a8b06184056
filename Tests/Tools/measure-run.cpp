// Measures the control cost, waiting times and processor use of a running
// deployment and prints them as one JSON document. Also merges the results of
// several runs into a summary.
#include "Http/CurlHttpClient.h"
#include "Support/ToolProgram.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <cmath>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <unistd.h>

namespace hickory {
namespace {

using nlohmann::json;
namespace fs = std::filesystem;

std::vector<std::string> split(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::stringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Separator);)
    Parts.push_back(Part);
  return Parts;
}

double percentile(std::vector<double> &Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      std::lround(Fraction * static_cast<double>(Values.size() - 1)));
  return Values[Index];
}

/// Returns statistics of the time from acceptance to start by job class, from
/// the event files of a run.
json waitingTimes(const fs::path &Run) {
  std::map<std::string, std::vector<double>> ByClass;
  for (const auto &File : fs::directory_iterator(Run)) {
    if (File.path().extension() != ".events")
      continue;
    std::ifstream Lines(File.path());
    for (std::string Line; std::getline(Lines, Line);) {
      if (Line.find("\"task_placed\"") == std::string::npos)
        continue;
      const json Event = json::parse(Line, nullptr, false);
      if (Event.is_object())
        ByClass[Event["class"]].push_back(Event["waited_ms"]);
    }
  }
  json Result = json::object();
  for (auto &[Class, Values] : ByClass)
    Result[Class] = {{"starts", Values.size()},
                     {"p50_ms", percentile(Values, 0.5)},
                     {"p99_ms", percentile(Values, 0.99)},
                     {"max_ms", percentile(Values, 1)}};
  return Result;
}

/// Returns the mean share of all processors in use between the first and the
/// last event of the worker history.
double meanProcessorUse(const fs::path &Run) {
  const json Upstreams =
      json::parse(tool::readFile((Run / "instances.json").c_str()));
  double Total = 0;
  for (const json &Upstream : Upstreams["instances"])
    Total += Upstream["cpus_milli"].get<double>();
  std::ifstream Lines(Run / "workers.history");
  double Used = 0;
  double UsedTime = 0;
  double FirstUs = 0;
  double LastUs = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    const json Event = json::parse(Line, nullptr, false);
    if (!Event.is_object() || !Event.contains("cpus_milli"))
      continue;
    const double NowUs = Event["wall_us"].get<double>();
    if (FirstUs == 0)
      FirstUs = LastUs = NowUs;
    UsedTime += Used * (NowUs - LastUs);
    LastUs = NowUs;
    const double Amount = Event["cpus_milli"].get<double>();
    Used += Event["event"] == "started" ? Amount : -Amount;
  }
  return LastUs > FirstUs && Total > 0 ? UsedTime / (LastUs - FirstUs) / Total
                                       : 0;
}

/// Returns the processor time in seconds and the resident memory in MB of a
/// process.
json processCost(int Process) {
  const std::string Stat =
      tool::readFile(fmt::format("/proc/{}/stat", Process).c_str());
  // The second field, the program name in parentheses, may contain spaces, so
  // the other fields are read from after the last ')'.
  const std::vector<std::string> Fields =
      split(Stat.substr(Stat.rfind(')') + 2), ' ');
  constexpr std::size_t UserTicks = 11;
  constexpr std::size_t SystemTicks = 12;
  constexpr std::size_t ResidentPages = 21;
  const double TicksPerSecond = static_cast<double>(sysconf(_SC_CLK_TCK));
  return {{"cpu_seconds",
           (std::stod(Fields[UserTicks]) + std::stod(Fields[SystemTicks])) /
               TicksPerSecond},
          {"resident_mb", std::stod(Fields[ResidentPages]) *
                              static_cast<double>(sysconf(_SC_PAGESIZE)) /
                              (1 << 20)}};
}

/// Returns the values of all samples in the metrics text, by name and labels.
json parseMetrics(const std::string &Text) {
  json Samples = json::object();
  for (const std::string &Line : split(Text, '\n')) {
    const std::size_t Space = Line.rfind(' ');
    if (!Line.starts_with("#") && Space != std::string::npos)
      Samples[Line.substr(0, Space)] = std::stod(Line.substr(Space + 1));
  }
  return Samples;
}

asio::awaitable<void> collectStats(CurlHttpClient &Client, json Targets,
                                   json &Result) {
  for (const auto &[Name, Address] : Targets["gateways"].items()) {
    HttpClientRequest Request{.Url = "http://" + Address.get<std::string>() +
                                     "/metrics"};
    const auto Reply = co_await Client.send(std::move(Request));
    if (Reply)
      Result["instances"][Name]["metrics"] = parseMetrics(Reply->Body);
  }
  for (const char *Source : {"relay", "log"}) {
    if (!Targets.contains(Source))
      continue;
    HttpClientRequest Request{
        .Url = "http://" + Targets[Source].get<std::string>() + "/stats"};
    const auto Reply = co_await Client.send(std::move(Request));
    if (Reply)
      Result[Source] = json::parse(Reply->Body, nullptr, false);
  }
}

/// Returns the transferred bytes by kind of link, within and between regions.
/// Only links between regions have a rate limit.
json linkBytes(const json &Relay) {
  std::map<std::string, double> Bytes;
  for (const json &Link : Relay["links"]) {
    const std::string Name = Link["name"];
    const bool BetweenRegions = Link["rate_bytes_per_s"].get<double>() > 0;
    const std::string Kind = Name.substr(0, Name.find('-'));
    Bytes[Kind + (BetweenRegions ? "_between_regions" : "_within_region")] +=
        Link["bytes_to_target"].get<double>() +
        Link["bytes_to_client"].get<double>();
  }
  return Bytes;
}

json lastLine(const fs::path &Path) {
  std::ifstream File(Path);
  std::string LastLine;
  for (std::string Line; std::getline(File, Line);)
    if (!Line.empty())
      LastLine = Line;
  return json::parse(LastLine, nullptr, false);
}

/// Prints the summary of several runs. Returns the exit status.
int summarizeRuns(const std::vector<std::string> &Runs) {
  json Summary = {{"violations", 0}, {"unaccounted", 0}};
  bool Complete = true;
  for (const std::string &Run : Runs) {
    const fs::path Folder = Run;
    const json Load = lastLine(Folder / "load.json");
    const json Check = lastLine(Folder / "check.out");
    const json Measured = lastLine(Folder / "measure.json");
    if (!Load.is_object() || !Check.is_object() || !Measured.is_object()) {
      Complete = false;
      continue;
    }
    json &Member = Summary["members"][Folder.filename().string()];
    Member["requests_by_outcome"] = Load["outcomes"];
    Member["answer_seconds"] = Load["answer_seconds"];
    Member["waiting_ms_by_class"] = Measured["waiting"];
    Member["processors_in_use"] = Measured["processors_in_use"];
    Member["control_bytes_by_link"] = Measured["link_bytes"];
    Member["violations"] = Check["violations"];
    Summary["violations"] =
        Summary["violations"].get<int>() + Check["violations_total"].get<int>();
    Summary["unaccounted"] =
        Summary["unaccounted"].get<int>() + Load["unaccounted"].get<int>();
  }
  Summary["complete"] = Complete;
  std::cout << Summary.dump() << std::endl;
  return Complete && Summary["violations"] == 0 && Summary["unaccounted"] == 0
             ? 0
             : 1;
}

/// Returns the sum of a counter over all labels.
double counterSum(const json &Metrics, const std::string &Name) {
  double Sum = 0;
  for (const auto &[Sample, Value] : Metrics.items())
    if (Sample == Name || Sample.starts_with(Name + "{"))
      Sum += Value.get<double>();
  return Sum;
}

/// Prints the cost per instance and second between two measurements, as the
/// mean over the instances. Returns the exit status.
int printDifference(const std::string &Label, const fs::path &Before,
                    const fs::path &After, double Seconds) {
  const json BeforeStats = lastLine(Before);
  const json AfterStats = lastLine(After);
  if (!BeforeStats.is_object() || !AfterStats.is_object())
    return 1;
  const std::map<std::string, std::string> Rates = {
      {"worker_bytes_per_s", "hickory_worker_bytes_total"},
      {"peer_sent_bytes_per_s", "peer_bytes_sent_total"},
      {"peer_received_bytes_per_s", "peer_bytes_received_total"},
      {"log_appended_bytes_per_s", "hickory_log_appended_bytes_total"},
      {"log_appends_per_s", "hickory_log_appends_total"},
      {"log_reads_per_s", "hickory_log_reads_total"},
      {"starts_per_s", "hickory_task_starts_total"}};
  json Result = {{"benchmark", "control"}, {"case", Label}};
  double Count = 0;
  double ProcessorSeconds = 0;
  double ResidentMb = 0;
  double Keys = 0;
  std::map<std::string, double> Sums;
  for (const auto &[Slot, Current] : AfterStats["instances"].items()) {
    const json &Previous = BeforeStats["instances"][Slot];
    ++Count;
    ProcessorSeconds += Current["process"]["cpu_seconds"].get<double>() -
                        Previous["process"]["cpu_seconds"].get<double>();
    ResidentMb += Current["process"]["resident_mb"].get<double>();
    Keys += Current["metrics"].value("hickory_known_keys", 0.0);
    for (const auto &[Name, Counter] : Rates)
      Sums[Name] += counterSum(Current["metrics"], Counter) -
                    counterSum(Previous["metrics"], Counter);
  }
  Result["core_percent"] = ProcessorSeconds / Count / Seconds * 100;
  Result["resident_mb"] = ResidentMb / Count;
  Result["known_keys"] = Keys / Count;
  for (const auto &[Name, Sum] : Sums)
    Result[Name] = Sum / Count / Seconds;
  const json BytesBefore = linkBytes(BeforeStats["relay"]);
  const json BytesAfter = linkBytes(AfterStats["relay"]);
  for (const auto &[Link, Bytes] : BytesAfter.items())
    Result["link_bytes_per_s"][Link] =
        (Bytes.get<double>() - BytesBefore.value(Link, 0.0)) / Seconds;
  std::cout << Result.dump() << std::endl;
  return 0;
}

/// Prints the merged check results of all seeds as one line. Returns the exit
/// status: success if there are no violations or, with a protection removed, if
/// there is one.
int summarizeSeeds(const fs::path &Results, const std::string &Removed) {
  json Summary = {
      {"histories", 0},           {"operations", 0},
      {"faults", json::object()}, {"violations", json::object()},
      {"unaccounted", 0},         {"incomplete_seeds", json::array()}};
  std::uint64_t Violations = 0;
  for (const auto &Entry : fs::directory_iterator(Results)) {
    if (!Entry.is_directory())
      continue;
    const json Check = lastLine(Entry.path() / "check.out");
    const json Load = lastLine(Entry.path() / "load.json");
    if (!Check.is_object() || !Load.is_object()) {
      Summary["incomplete_seeds"].push_back(Entry.path().filename().string());
      continue;
    }
    Summary["histories"] = Summary["histories"].get<int>() + 1;
    Summary["operations"] =
        Summary["operations"].get<int>() + Check["operations"].get<int>();
    Summary["unaccounted"] =
        Summary["unaccounted"].get<int>() + Load["unaccounted"].get<int>();
    for (const char *Field : {"faults", "violations"})
      for (const auto &[Name, Number] : Check[Field].items())
        Summary[Field][Name] =
            Summary[Field].value(Name, 0) + Number.get<int>();
    Violations += Check["violations_total"].get<std::uint64_t>();
  }
  if (!Removed.empty())
    Summary["removed_protection"] = Removed;
  Summary["violations_total"] = Violations;
  std::cout << Summary.dump() << std::endl;
  if (!Summary["incomplete_seeds"].empty() || Summary["histories"] == 0)
    return 1;
  const bool HasNoViolation = Violations == 0 && Summary["unaccounted"] == 0;
  return HasNoViolation == Removed.empty() ? 0 : 1;
}

} // namespace
} // namespace hickory

int main(int Count, const char **Arguments) {
  using namespace hickory;
  char *Folder = nullptr;
  char *Gateways = nullptr;
  char *Relay = nullptr;
  char *Log = nullptr;
  char *Processes = nullptr;
  char *Summary = nullptr;
  char *Proof = nullptr;
  char *Removed = nullptr;
  char *Label = nullptr;
  char *Before = nullptr;
  char *After = nullptr;
  double Seconds = 1;
  const poptOption Table[] = {
      {"run", 0, POPT_ARG_STRING, &Folder, 0, "folder of the run", "DIR"},
      {"gateways", 0, POPT_ARG_STRING, &Gateways, 0, "SLOT=ip:port,...",
       "LIST"},
      {"relay", 0, POPT_ARG_STRING, &Relay, 0, "control address of the relay",
       "ADDRESS"},
      {"log", 0, POPT_ARG_STRING, &Log, 0, "address of the log stand-in",
       "ADDRESS"},
      {"processes", 0, POPT_ARG_STRING, &Processes, 0, "SLOT=pid,...", "LIST"},
      {"summary", 0, POPT_ARG_STRING, &Summary, 0,
       "only merge the results of these folders", "DIR,DIR"},
      {"proof", 0, POPT_ARG_STRING, &Proof, 0,
       "only merge the check results of the seeds in this folder", "DIR"},
      {"removed", 0, POPT_ARG_STRING, &Removed, 0,
       "with --proof: the protection that was removed, if any", "NAME"},
      {"difference", 0, POPT_ARG_STRING, &Label, 0,
       "only print the difference of two measurements, with this label",
       "LABEL"},
      {"before", 0, POPT_ARG_STRING, &Before, 0, "first measurement", "FILE"},
      {"after", 0, POPT_ARG_STRING, &After, 0, "second measurement", "FILE"},
      {"seconds", 0, POPT_ARG_DOUBLE, &Seconds, 0,
       "time between the measurements", "S"},
      POPT_AUTOHELP POPT_TABLEEND};
  tool::initLogging(Arguments[0]);
  tool::parseOptions(Count, Arguments, Table);
  if (Summary != nullptr)
    return summarizeRuns(split(Summary, ','));
  if (Label != nullptr && Before != nullptr && After != nullptr)
    return printDifference(Label, Before, After, Seconds);
  if (Proof != nullptr)
    return summarizeSeeds(Proof, Removed == nullptr ? "" : Removed);
  if (Folder == nullptr || Gateways == nullptr) {
    std::cerr << "--run and --gateways are required; see --help\n";
    return 2;
  }
  json Targets = {{"gateways", json::object()}};
  for (const std::string &Pair : split(Gateways, ','))
    Targets["gateways"][Pair.substr(0, Pair.find('='))] =
        Pair.substr(Pair.find('=') + 1);
  if (Relay != nullptr)
    Targets["relay"] = Relay;
  if (Log != nullptr)
    Targets["log"] = Log;
  json Result = json::object();
  asio::io_context Context(1);
  CurlHttpClient Client(Context);
  asio::co_spawn(Context, collectStats(Client, Targets, Result),
                 [&Context](const std::exception_ptr &) { Context.stop(); });
  Context.run();
  if (Processes != nullptr)
    for (const std::string &Pair : split(Processes, ','))
      Result["instances"][Pair.substr(0, Pair.find('='))]["process"] =
          processCost(std::stoi(Pair.substr(Pair.find('=') + 1)));
  Result["waiting"] = waitingTimes(Folder);
  Result["processors_in_use"] = meanProcessorUse(Folder);
  if (Result.contains("relay"))
    Result["link_bytes"] = linkBytes(Result["relay"]);
  std::cout << Result.dump() << std::endl;
  return 0;
}
