#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <sstream>
#include <string>

namespace hickory::tool {

/// Parses the command line into the variables of a popt table. On an error,
/// prints a message and exits with status 2.
inline void parseOptions(int Count, const char **Arguments,
                         const poptOption *Table) {
  poptContext Options =
      poptGetContext(Arguments[0], Count, Arguments, Table, 0);
  int Code = 0;
  while ((Code = poptGetNextOpt(Options)) > 0) {
  }
  const char *Extra = poptGetArg(Options);
  if (Code < -1 || Extra != nullptr) {
    std::fprintf(stderr, "%s: %s: %s (see --help)\n", Arguments[0],
                 Code < -1 ? poptBadOption(Options, 0) : Extra,
                 Code < -1 ? poptStrerror(Code) : "unexpected argument");
    std::exit(2);
  }
  poptFreeContext(Options);
}

inline void initLogging(const char *Program) {
  google::InitGoogleLogging(Program);
  FLAGS_logtostderr = true;
}

/// Writes the port to a file. The file appears under its name only when it is
/// complete. Does nothing if the path is null.
inline void writePortFile(const char *Path, std::uint16_t Port) {
  if (Path == nullptr)
    return;
  const std::string Temporary = std::string(Path) + ".new";
  {
    std::ofstream File(Temporary);
    File << Port << '\n';
    if (!File.flush())
      LOG(FATAL) << "cannot write port file " << Temporary;
  }
  if (std::rename(Temporary.c_str(), Path) != 0)
    PLOG(FATAL) << "cannot write port file " << Path;
}

/// Returns the text of a file; ends the program if it cannot be read.
inline std::string readFile(const char *Path) {
  const std::ifstream File(Path);
  if (!File)
    PLOG(FATAL) << "cannot read " << Path;
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Stops the context on SIGTERM or SIGINT. Must be constructed before the
/// program signals that it is ready; otherwise an early signal kills it.
class TerminationSignals {
public:
  explicit TerminationSignals(asio::io_context &Context)
      : Signals_(Context, SIGTERM, SIGINT) {
    Signals_.async_wait([&Context](const std::error_code &Code, int) {
      if (!Code)
        Context.stop();
    });
  }

private:
  asio::signal_set Signals_;
};

} // namespace hickory::tool
