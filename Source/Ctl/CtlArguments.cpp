#include "Ctl/CtlArguments.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <memory>
#include <optional>
#include <popt.h>

namespace hickory {

namespace {

enum class OptionType { Flag, Text, Number };

struct OptionSpec {
  const char *Name;
  const char *Argument; ///< Null for a flag.
  const char *Description;
  OptionType Type = OptionType::Text;
  std::uint64_t Minimum = 0;
  std::uint64_t Maximum = UINT64_MAX;
};

struct CommandSpec {
  const char *Name;
  const char *Usage;
  const char *Summary;
  std::vector<const char *> Options;
  std::size_t MinimumPositional = 0;
  std::size_t MaximumPositional = 0;
};

const std::vector<OptionSpec> &optionSpecs() {
  static const std::vector<OptionSpec> Specs = {
      {"help", nullptr, "Show this help", OptionType::Flag},
      {"server", "IP:PORT[,...]",
       "Instances to contact, in this order (default 127.0.0.1:8080)"},
      {"output", "table|json", "Output format (default table)"},
      {"timeout-ms", "MS", "Give up after this time (default 10000)",
       OptionType::Number, 1, 86'400'000},
      {"key", "KEY", "Idempotency key; lists show only entries with this key"},
      {"author", "NAME", "Author of the change (default: name of the user)"},
      {"id", "ID",
       "Id of the change set; repeat it to retry after a lost "
       "response"},
      {"based-on", "VERSION",
       "Configuration version from which the files were created",
       OptionType::Number, 0, UINT64_MAX},
      {"prune", nullptr, "Remove objects that the files do not contain",
       OptionType::Flag},
      {"offline", nullptr, "Check the files without a server",
       OptionType::Flag},
      {"request", nullptr, "A request, handled by an executor",
       OptionType::Flag},
      {"job", nullptr, "A job, run as tasks on workers", OptionType::Flag},
      {"member", "NAME", "Member to whose share the work is charged"},
      {"team", "NAME", "Team of the member"},
      {"class", "NAME", "Job class"},
      {"payload", "TEXT", "Payload of the request"},
      {"payload-file", "PATH", "File with the payload of the request"},
      {"tasks", "N", "Number of tasks (default 1)", OptionType::Number, 1,
       1'000'000},
      {"cpus-milli", "N", "Thousandths of a processor per task (default 1000)",
       OptionType::Number, 0, 1'000'000'000},
      {"memory-mb", "N", "MB of memory per task (default 256)",
       OptionType::Number, 0, 1'000'000'000},
      {"accelerators", "N", "Accelerators per task (default 0)",
       OptionType::Number, 0, 1'000'000},
      {"run-ms", "MS", "Declared run time of a task (default 1000)",
       OptionType::Number, 0, 2'678'400'000},
      {"wait", nullptr, "Wait until the job has ended", OptionType::Flag},
      {"interval-ms", "MS", "Time between two queries (default 500)",
       OptionType::Number, 10, 3'600'000},
  };
  return Specs;
}

const std::vector<CommandSpec> &commandSpecs() {
  static const std::vector<CommandSpec> Specs = {
      {"check",
       "check PATH",
       "Check configuration files without changing anything",
       {"prune", "based-on", "offline"},
       1,
       1},
      {"apply",
       "apply PATH",
       "Apply configuration files",
       {"prune", "based-on", "author", "id"},
       1,
       1},
      {"show",
       "show [KIND[.NAME]]",
       "Show the configuration in force",
       {},
       0,
       1},
      {"diff",
       "diff PATH",
       "Compare files with the configuration in force",
       {"prune"},
       1,
       1},
      {"submit",
       "submit --request|--job --member=NAME --class=NAME",
       "Submit a request or a job",
       {"request", "job", "member", "team", "class", "payload", "payload-file",
        "tasks", "cpus-milli", "memory-mb", "accelerators", "run-ms", "wait",
        "interval-ms"}},
      {"watch",
       "watch [KEY]",
       "Print the state of a job or request until it has an outcome",
       {"request", "interval-ms"},
       0,
       1},
      {"cancel", "cancel KEY...", "Cancel jobs", {}, 0, 100000},
      {"workers", "workers", "List workers and executors", {}},
      {"tasks", "tasks", "List tasks", {}},
      {"queues", "queues", "List queues", {}},
      {"shares", "shares", "List the resource usage of members and teams", {}},
      {"status", "status", "Show the state of an instance", {}},
      {"drain",
       "drain --server=IP:PORT",
       "Make one instance finish its work and stop",
       {}},
  };
  return Specs;
}

std::string generalHelp() {
  std::string Text =
      "Usage: hickoryctl COMMAND [OPTION...]\n\nCommands (each has --help):\n";
  for (const CommandSpec &Command : commandSpecs())
    Text += fmt::format("  {:<9} {}\n", Command.Name, Command.Summary);
  Text += "\nExit codes: 0 success, 1 diff found differences, 2 wrong usage or "
          "input,\n3 rejected, 4 conflict, 5 no server reached, 6 not found, "
          "7 not run, 8 failed\nor cancelled, 9 outcome unknown, 10 "
          "overloaded, 11 internal error\n";
  return Text;
}

const CommandSpec *findCommand(const std::string &Name) {
  for (const CommandSpec &Command : commandSpecs())
    if (Command.Name == Name)
      return &Command;
  return nullptr;
}

std::vector<const OptionSpec *> findOptions(const CommandSpec &Command) {
  std::vector<const char *> Names = {"server", "output", "timeout-ms", "key",
                                     "help"};
  Names.insert(Names.begin(), Command.Options.begin(), Command.Options.end());
  std::vector<const OptionSpec *> CommandOptions;
  for (const std::string Name : Names)
    for (const OptionSpec &Spec : optionSpecs())
      if (Spec.Name == Name)
        CommandOptions.push_back(&Spec);
  return CommandOptions;
}

std::string helpText(poptContext Context, const CommandSpec &Command) {
  char *Buffer = nullptr;
  std::size_t Size = 0;
  std::FILE *Stream = open_memstream(&Buffer, &Size);
  if (Stream == nullptr)
    return {};
  poptPrintHelp(Context, Stream, 0);
  std::fclose(Stream);
  std::string Text = fmt::format("{}.\n", Command.Summary);
  Text.append(Buffer, Size);
  std::free(Buffer);
  return Text;
}

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

Result<void> checkValue(const OptionSpec &Spec, const std::string &Value) {
  if (Spec.Type == OptionType::Number) {
    const auto Number = parseNumber(Value);
    if (!Number || *Number < Spec.Minimum || *Number > Spec.Maximum)
      return fail(ErrorCode::InvalidArgument,
                  fmt::format("--{}={}: write an integer from {} to {}",
                              Spec.Name, Value, Spec.Minimum, Spec.Maximum));
  }
  if (std::string_view(Spec.Name) == "output" && Value != "table" &&
      Value != "json")
    return fail(ErrorCode::InvalidArgument,
                fmt::format("--output={}: write table or json", Value));
  return {};
}

Result<CtlArguments> parseCommand(const CommandSpec &Command,
                                  std::vector<std::string> Args) {
  const std::vector<const OptionSpec *> Specs = findOptions(Command);
  std::vector<poptOption> Table;
  for (std::size_t I = 0; I < Specs.size(); ++I) {
    const OptionSpec &Spec = *Specs[I];
    Table.push_back(
        {Spec.Name, '\0',
         static_cast<unsigned>(Spec.Argument == nullptr ? POPT_ARG_NONE
                                                        : POPT_ARG_STRING),
         nullptr, static_cast<int>(I) + 1, Spec.Description, Spec.Argument});
  }
  Table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  Args.insert(Args.begin(), "hickoryctl");
  std::vector<const char *> ArgPointers;
  ArgPointers.reserve(Args.size() + 1);
  for (const std::string &Arg : Args)
    ArgPointers.push_back(Arg.c_str());
  ArgPointers.push_back(nullptr);
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext("hickoryctl", static_cast<int>(Args.size()),
                     ArgPointers.data(), Table.data(), 0),
      &poptFreeContext);
  const std::string Usage = std::string(Command.Usage) + " [OPTION...]";
  poptSetOtherOptionHelp(Context.get(), Usage.c_str());

  CtlArguments Parsed;
  Parsed.Command = Command.Name;
  int Code = 0;
  while ((Code = poptGetNextOpt(Context.get())) > 0) {
    const OptionSpec &Spec = *Specs.at(static_cast<std::size_t>(Code) - 1);
    if (Spec.Argument == nullptr) {
      Parsed.Options[Spec.Name] = "1";
      continue;
    }
    const std::unique_ptr<char, void (*)(void *)> Value(
        poptGetOptArg(Context.get()), &std::free);
    Parsed.Options[Spec.Name] = Value ? Value.get() : "";
    if (auto Checked = checkValue(Spec, Parsed.Options[Spec.Name]); !Checked)
      return tl::unexpected(Checked.error());
  }
  if (Code < -1)
    return fail(
        ErrorCode::InvalidArgument,
        fmt::format("{}: {}; see hickoryctl {} --help",
                    poptBadOption(Context.get(), POPT_BADOPTION_NOALIAS),
                    poptStrerror(Code), Command.Name));
  if (Parsed.hasOption("help")) {
    Parsed.Help = helpText(Context.get(), Command);
    return Parsed;
  }
  if (const char **Positional = poptGetArgs(Context.get()))
    for (; *Positional != nullptr; ++Positional)
      Parsed.Positional.emplace_back(*Positional);
  if (Parsed.Positional.size() < Command.MinimumPositional ||
      Parsed.Positional.size() > Command.MaximumPositional)
    return fail(ErrorCode::InvalidArgument,
                fmt::format("write: hickoryctl {}; see hickoryctl {} --help",
                            Command.Usage, Command.Name));
  return Parsed;
}

} // namespace

std::string CtlArguments::getText(const std::string &Name,
                                  const std::string &Default) const {
  const auto It = Options.find(Name);
  return It == Options.end() ? Default : It->second;
}

std::uint64_t CtlArguments::getNumber(const std::string &Name,
                                      std::uint64_t Default) const {
  const auto It = Options.find(Name);
  return It == Options.end() ? Default
                             : parseNumber(It->second).value_or(Default);
}

std::chrono::milliseconds
CtlArguments::getDuration(const std::string &Name,
                          std::chrono::milliseconds Default) const {
  return std::chrono::milliseconds(
      getNumber(Name, static_cast<std::uint64_t>(Default.count())));
}

Result<CtlArguments> parseCtlArguments(const std::vector<std::string> &Args) {
  if (Args.empty())
    return fail(ErrorCode::InvalidArgument, generalHelp());
  if (Args.front() == "--help" || Args.front() == "help") {
    CtlArguments Parsed;
    Parsed.Help = generalHelp();
    return Parsed;
  }
  const CommandSpec *Command = findCommand(Args.front());
  if (Command == nullptr) {
    std::vector<std::string> Names;
    for (const CommandSpec &Candidate : commandSpecs())
      Names.emplace_back(Candidate.Name);
    return fail(ErrorCode::InvalidArgument,
                fmt::format("\"{}\" is not a command; write one of {} first",
                            Args.front(), fmt::join(Names, ", ")));
  }
  return parseCommand(*Command,
                      std::vector<std::string>(Args.begin() + 1, Args.end()));
}

} // namespace hickory
