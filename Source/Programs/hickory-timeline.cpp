// Merges the event logs of all processes of a cell into one time line.
#include "Config/TomlNode.h"
#include "Config/TomlTableReader.h"
#include "Http/CurlHttpClient.h"
#include "Timeline/EventCollector.h"
#include "Timeline/TimelineFilter.h"
#include "Timeline/TimelineWriter.h"

#include <algorithm>
#include <array>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <cstdlib>
#include <glog/logging.h>
#include <iostream>
#include <memory>
#include <popt.h>

namespace hickory {

namespace {

struct ToolOptions {
  std::vector<std::string> Servers;
  std::vector<std::string> Files;
  std::string Format = "text";
  std::string Reference;
  TimelineFilter Filter;
  std::uint64_t From = 0;
};

asio::awaitable<void> fetchEvents(HttpClient &Http, std::string Server,
                                  std::uint64_t From, EventCollector &Events,
                                  bool &Complete) {
  HttpClientRequest Request;
  Request.Url = "http://" + Server + "/v1/events?from=" + std::to_string(From);
  Request.Timeout = std::chrono::seconds(30);
  const auto Response = co_await Http.send(std::move(Request));
  if (Response && Response->Status == 200) {
    Events.addLines(Response->Body);
    co_return;
  }
  Complete = false;
  std::cerr << "hickory-timeline: " << Server << ": "
            << (Response
                    ? "answered with status " + std::to_string(Response->Status)
                    : Response.error().Message)
            << "; its events are missing\n";
}

int runTool(const ToolOptions &Options) {
  EventCollector Collector;
  bool Complete = true;
  for (const std::string &Path : Options.Files) {
    const auto Text = readTextFile(Path);
    if (Text) {
      Collector.addLines(*Text);
      continue;
    }
    Complete = false;
    std::cerr << "hickory-timeline: " << Text.error().Message << "\n";
  }
  if (!Options.Servers.empty()) {
    asio::io_context Context(1);
    CurlHttpClient Http(Context);
    for (const std::string &Server : Options.Servers)
      asio::co_spawn(
          Context, fetchEvents(Http, Server, Options.From, Collector, Complete),
          asio::detached);
    Context.run();
  }
  if (Collector.malformedLines() > 0)
    std::cerr << "hickory-timeline: " << Collector.malformedLines()
              << " lines are not events and were left out\n";
  std::vector<TimelineEvent> Events = Collector.takeEvents();
  if (Events.empty()) {
    std::cerr << "hickory-timeline: no events; name event files or "
                 "--server=IP:PORT\n";
    return 2;
  }
  const ClockAligner Clocks(Events, Options.Reference);
  if (!Options.Reference.empty() && Clocks.reference() != Options.Reference) {
    std::cerr << "hickory-timeline: no events of --reference="
              << Options.Reference << "; write one of the processes:";
    for (const auto &[Run, Offset] : Clocks.offsets())
      std::cerr << " " << Run;
    std::cerr << "\n";
    return 2;
  }
  Clocks.align(Events);
  std::erase_if(Events, [&](const TimelineEvent &Event) {
    return !Options.Filter.matches(Event);
  });
  if (Options.Format == "chrome")
    std::cout << formatChromeTrace(Events, Clocks) << "\n";
  else
    std::cout << formatOffsets(Clocks) << formatTimelineText(Events, Clocks);
  return Complete ? 0 : 1;
}

} // namespace

} // namespace hickory

int main(int Count, char **Words) {
  using namespace hickory;
  google::InitGoogleLogging(Words[0]);
  FLAGS_logtostderr = true;
  ToolOptions Options;
  std::string Servers;
  long long From = 0;
  struct TextOption {
    const char *Name;
    const char *Argument;
    const char *Description;
    std::string *Target;
  };
  const std::array<TextOption, 8> Texts = {{
      {"server", "IP:PORT[,...]", "Fetch events from these instances",
       &Servers},
      {"output", "text|chrome", "Form of the output (default text)",
       &Options.Format},
      {"reference", "PROCESS", "Process whose clock is the time axis",
       &Options.Reference},
      {"key", "KEY", "Only events of this job or request", &Options.Filter.Key},
      {"task", "KEY#INDEX", "Only events of this task", &Options.Filter.Task},
      {"worker", "NAME", "Only events of this worker or executor",
       &Options.Filter.Worker},
      {"instance", "SLOT", "Only events of this process",
       &Options.Filter.Instance},
      {"part", "NAME", "Only events of this part", &Options.Filter.Part},
  }};
  std::vector<poptOption> Table;
  for (std::size_t I = 0; I < Texts.size(); ++I)
    Table.push_back({Texts[I].Name, '\0', POPT_ARG_STRING, nullptr,
                     static_cast<int>(I) + 1, Texts[I].Description,
                     Texts[I].Argument});
  Table.push_back({"from", '\0', POPT_ARG_LONGLONG, &From, 0,
                   "First event sequence to fetch (default 0)", "N"});
  Table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                   "Help options:", nullptr});
  Table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext("hickory-timeline", Count,
                     const_cast<const char **>(Words), Table.data(), 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(Context.get(), "[OPTION...] [EVENT_FILE...]");
  int Code = 0;
  while ((Code = poptGetNextOpt(Context.get())) > 0) {
    const std::unique_ptr<char, void (*)(void *)> Value(
        poptGetOptArg(Context.get()), &std::free);
    *Texts.at(static_cast<std::size_t>(Code) - 1).Target =
        Value ? Value.get() : "";
  }
  if (Code < -1) {
    std::cerr << "hickory-timeline: "
              << poptBadOption(Context.get(), POPT_BADOPTION_NOALIAS) << ": "
              << poptStrerror(Code) << "; see --help\n";
    return 2;
  }
  if (Options.Format != "text" && Options.Format != "chrome") {
    std::cerr << "hickory-timeline: --output=" << Options.Format
              << ": write text or chrome\n";
    return 2;
  }
  if (From < 0) {
    std::cerr << "hickory-timeline: --from=" << From << ": write 0 or more\n";
    return 2;
  }
  Options.From = static_cast<std::uint64_t>(From);
  for (std::size_t Start = 0; Start < Servers.size();) {
    const std::size_t End = std::min(Servers.find(',', Start), Servers.size());
    const std::string Server = Servers.substr(Start, End - Start);
    if (const std::string Wanted = checkEndpoint(Server); !Wanted.empty()) {
      std::cerr << "hickory-timeline: --server=" << Server << ": " << Wanted
                << "\n";
      return 2;
    }
    Options.Servers.push_back(Server);
    Start = End + 1;
  }
  if (const char **Rest = poptGetArgs(Context.get()))
    for (; *Rest != nullptr; ++Rest)
      Options.Files.emplace_back(*Rest);
  return runTool(Options);
}
