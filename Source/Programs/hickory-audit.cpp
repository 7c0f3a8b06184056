// Checks the record that a cell keeps in the log service, without trusting the
// daemons that wrote it.
#include "Audit/Auditor.h"
#include "Config/TomlNode.h"
#include "Http/CurlHttpClient.h"

// The HTTP client of the log service.
#if __has_include("Log/HttpLogClient.h")
#include "Log/HttpLogClient.h"
#define HICKORY_HAS_LOG_CLIENT 1
#endif

#include <algorithm>
#include <array>
#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <cstdlib>
#include <filesystem>
#include <glog/logging.h>
#include <iostream>
#include <memory>
#include <optional>
#include <popt.h>

namespace hickory {

namespace {

constexpr int ExitFindings = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnreadable = 3;

int complain(const std::string &Message, int Code) {
  std::cerr << "hickory-audit: " << Message << "\n";
  return Code;
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Items;
  for (std::size_t Start = 0; Start < Text.size();) {
    const std::size_t End = std::min(Text.find(',', Start), Text.size());
    Items.push_back(Text.substr(Start, End - Start));
    Start = End + 1;
  }
  return Items;
}

Result<std::vector<StreamExport>>
fetchAll(const std::string &Url, const std::vector<std::string> &Streams) {
#ifdef HICKORY_HAS_LOG_CLIENT
  asio::io_context Context(1);
  CurlHttpClient Http(Context);
  HttpLogClient Client(Http, Url, std::chrono::seconds(30));
  std::vector<StreamExport> Out;
  for (const std::string &Stream : Streams) {
    std::optional<Result<StreamExport>> Fetched;
    asio::co_spawn(
        Context, fetchStream(Client, Stream),
        [&](const std::exception_ptr &Failure, Result<StreamExport> Content) {
          if (!Failure)
            Fetched = std::move(Content);
        });
    Context.restart();
    while (!Fetched && Context.run_one() > 0) {
    }
    if (!Fetched)
      return fail(ErrorCode::Internal, Stream + ": could not be read");
    if (!*Fetched)
      return tl::unexpected(Fetched->error());
    Out.push_back(std::move(**Fetched));
  }
  return Out;
#else
  (void)Url;
  (void)Streams;
  return fail(ErrorCode::InvalidArgument,
              "this build cannot read the log service; use --file");
#endif
}

struct ToolOptions {
  std::string Log;
  std::string Streams;
  std::string Files;
  std::string Export;
  std::string Heads;
  std::string Output = "text";
  std::string Capacity;
  long long FromMs = -1;
  long long ToMs = -1;
  int AllEnded = 0;
};

int runTool(const ToolOptions &Options, const std::vector<std::string> &Rest) {
  AuditOptions Audit;
  Audit.PendingIsFinding = Options.AllEnded != 0;
  if (Options.FromMs >= 0)
    Audit.FromMs = Options.FromMs;
  if (Options.ToMs >= 0)
    Audit.ToMs = Options.ToMs;
  if (Options.Output != "text" && Options.Output != "json")
    return complain("--output=" + Options.Output + ": write text or json",
                    ExitUsage);
  if (!Options.Capacity.empty()) {
    std::array<double, 3> Amounts{};
    const std::vector<std::string> Parts = splitList(Options.Capacity);
    bool Good = Parts.size() == Amounts.size();
    for (std::size_t I = 0; Good && I < Parts.size(); ++I) {
      char *End = nullptr;
      Amounts.at(I) = std::strtod(Parts[I].c_str(), &End);
      Good = !Parts[I].empty() && *End == '\0' && Amounts.at(I) >= 0;
    }
    if (!Good)
      return complain("--capacity=" + Options.Capacity +
                          ": write CPUS_MILLI,MEMORY_MB,ACCELERATORS",
                      ExitUsage);
    Audit.TotalCapacity = {Amounts[0], Amounts[1], Amounts[2]};
  }
  if (!Options.Heads.empty()) {
    const auto Text = readTextFile(Options.Heads);
    if (!Text)
      return complain(Text.error().Message, ExitUsage);
    auto Heads = parseHeads(*Text);
    if (!Heads)
      return complain(Options.Heads + ": " + Heads.error().Message, ExitUsage);
    Audit.EarlierHeads = std::move(*Heads);
  }
  std::vector<StreamExport> Streams;
  std::vector<std::string> Files = splitList(Options.Files);
  Files.insert(Files.end(), Rest.begin(), Rest.end());
  for (const std::string &Path : Files) {
    auto Content = readExport(Path);
    if (!Content)
      return complain(Content.error().Message, ExitUnreadable);
    Streams.push_back(std::move(*Content));
  }
  if (!Options.Log.empty()) {
    const std::vector<std::string> Names = splitList(Options.Streams);
    if (Names.empty())
      return complain("name the streams, for example "
                      "--streams=config,domain.paarl-a",
                      ExitUsage);
    auto Fetched = fetchAll(Options.Log, Names);
    if (!Fetched)
      return complain(Fetched.error().Message, ExitUnreadable);
    for (StreamExport &Content : *Fetched)
      Streams.push_back(std::move(Content));
  }
  if (Streams.empty())
    return complain("name the log service with --log=URL or export files with "
                    "--file=PATH; see --help",
                    ExitUsage);
  if (!Options.Export.empty())
    for (const StreamExport &Content : Streams) {
      const std::string Path =
          (std::filesystem::path(Options.Export) / (Content.Stream + ".hplog"))
              .string();
      if (const auto Written = writeExport(Path, Content); !Written)
        return complain(Written.error().Message, ExitUsage);
    }
  const AuditReport Report = auditStreams(Streams, Audit);
  std::cout << (Options.Output == "json" ? Report.toJson() + "\n"
                                         : Report.toText());
  return Report.hasPassed() ? 0 : ExitFindings;
}

} // namespace

} // namespace hickory

int main(int Count, char **Words) {
  using namespace hickory;
  google::InitGoogleLogging(Words[0]);
  FLAGS_logtostderr = true;
  ToolOptions Options;
  struct TextOption {
    const char *Name;
    const char *Argument;
    const char *Description;
    std::string *Target;
  };
  const std::array<TextOption, 7> Texts = {{
      {"log", "URL", "Read from this log service, http://IP:PORT",
       &Options.Log},
      {"streams", "NAME[,...]",
       "Streams to read, such as config,domain.paarl-a", &Options.Streams},
      {"file", "PATH[,...]", "Read export files", &Options.Files},
      {"export", "FOLDER", "Also write what was read to export files",
       &Options.Export},
      {"heads", "PATH",
       "Compare with the report that an earlier audit wrote with "
       "--output=json",
       &Options.Heads},
      {"output", "text|json", "Form of the report (default text)",
       &Options.Output},
      {"capacity", "CPUS_MILLI,MEMORY_MB,ACCELERATORS",
       "Capacity that shares are of (default: the declared pools)",
       &Options.Capacity},
  }};
  std::vector<poptOption> Table;
  for (std::size_t I = 0; I < Texts.size(); ++I)
    Table.push_back({Texts.at(I).Name, '\0', POPT_ARG_STRING, nullptr,
                     static_cast<int>(I) + 1, Texts.at(I).Description,
                     Texts.at(I).Argument});
  Table.push_back({"from-ms", '\0', POPT_ARG_LONGLONG, &Options.FromMs, 0,
                   "Start of the period for shares, in ms since 1970", "MS"});
  Table.push_back({"to-ms", '\0', POPT_ARG_LONGLONG, &Options.ToMs, 0,
                   "End of the period for shares, in ms since 1970", "MS"});
  Table.push_back({"all-ended", '\0', POPT_ARG_NONE, &Options.AllEnded, 0,
                   "A job without an outcome is a finding", nullptr});
  Table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                   "Help options:", nullptr});
  Table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext("hickory-audit", Count, const_cast<const char **>(Words),
                     Table.data(), 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(
      Context.get(), "[OPTION...] [EXPORT_FILE...]\n"
                     "Exit codes: 0 the record adds up, 1 findings, 2 wrong "
                     "usage, 3 the record cannot be read");
  int Code = 0;
  while ((Code = poptGetNextOpt(Context.get())) > 0) {
    const std::unique_ptr<char, void (*)(void *)> Value(
        poptGetOptArg(Context.get()), &std::free);
    *Texts.at(static_cast<std::size_t>(Code) - 1).Target =
        Value ? Value.get() : "";
  }
  if (Code < -1)
    return complain(
        std::string(poptBadOption(Context.get(), POPT_BADOPTION_NOALIAS)) +
            ": " + poptStrerror(Code) + "; see --help",
        ExitUsage);
  std::vector<std::string> Rest;
  if (const char **Paths = poptGetArgs(Context.get()))
    for (; *Paths != nullptr; ++Paths)
      Rest.emplace_back(*Paths);
  return runTool(Options, Rest);
}
