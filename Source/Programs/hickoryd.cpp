// The scheduler's daemon: one process per entry instance.
#include "Base/SignalWatch.h"
#include "Config/Settings.h"
#include "Daemon/Daemon.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <glog/logging.h>
#include <iostream>
#include <popt.h>
#include <unistd.h>

namespace {

struct Arguments {
  std::string SettingsPath;
  std::string RemovedProtection;
  bool CheckOnly = false;
};

/// Prints an error and returns false if the command line is not usable.
bool parseArguments(int Count, char **Values, Arguments &Parsed) {
  const char *Path = nullptr;
  const char *Removed = nullptr;
  int CheckOnly = 0;
  const poptOption Options[] = {
      {"settings", 's', POPT_ARG_STRING, static_cast<void *>(&Path), 0,
       "settings file (TOML)", "FILE"},
      {"check-settings", 0, POPT_ARG_NONE, &CheckOnly, 0,
       "check the settings, then exit", nullptr},
      {"test-remove-protection", 0, POPT_ARG_STRING,
       static_cast<void *>(&Removed), 0,
       "for tests only: run without one protection", "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext(
      "hickoryd", Count, const_cast<const char **>(Values), Options, 0);
  const int Code = poptGetNextOpt(Context);
  const bool Usable = Code == -1 && Path != nullptr;
  if (Code < -1)
    std::cerr << "hickoryd: " << poptBadOption(Context, 0) << ": "
              << poptStrerror(Code) << "; see --help\n";
  else if (Path == nullptr)
    std::cerr << "hickoryd: give a settings file with --settings=FILE\n";
  Parsed.SettingsPath = Path == nullptr ? "" : Path;
  Parsed.RemovedProtection = Removed == nullptr ? "" : Removed;
  Parsed.CheckOnly = CheckOnly != 0;
  poptFreeContext(Context);
  return Usable;
}

/// Returns false for an unknown name.
bool removeProtection(const std::string &Name, hickory::DaemonFaults &Faults) {
  if (Name.empty())
    return true;
  if (Name == "lease-check")
    Faults.Ownership.SkipLeaseCheck = true;
  else if (Name == "expiry-wait")
    Faults.Ownership.ExpireOnSilence = true;
  else if (Name == "intent")
    Faults.SkipIntent = true;
  else if (Name == "recovery-check")
    Faults.SkipRecoveryCheck = true;
  else
    return false;
  LOG(WARNING) << "daemon: running without the protection " << Name;
  return true;
}

} // namespace

int main(int Count, char **Values) {
  // A line written to a log whose reader has exited must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  google::InitGoogleLogging(Values[0]);
  // Instances have no disk: logs go to standard error only.
  FLAGS_logtostderr = true;
  Arguments Given;
  if (!parseArguments(Count, Values, Given))
    return 2;
  const auto Settings = hickory::loadSettings(Given.SettingsPath);
  if (!Settings) {
    std::cerr << Settings.error().Message << "\n";
    return 2;
  }
  if (Given.CheckOnly) {
    std::cout << "settings are valid\n";
    return 0;
  }
  hickory::DaemonFaults Faults;
  if (!removeProtection(Given.RemovedProtection, Faults)) {
    std::cerr << "hickoryd: no protection is called " << Given.RemovedProtection
              << "\n";
    return 2;
  }
  asio::io_context Context(1);
  // Set before the parts are built, so that an early signal drains as well. The
  // default action of SIGHUP would cut off all requests.
  asio::signal_set Signals(Context, SIGTERM, SIGINT, SIGHUP);
  hickory::Daemon Instance(Context, *Settings, Faults);
  int Status = 0;
  Instance.onStopped([&](bool Clean) {
    Status = Clean ? 0 : 1;
    Context.stop();
  });
  hickory::watchSignals(Signals, [&Instance](int Number) {
    if (Number == SIGHUP)
      Instance.logReloadRequest();
    else
      Instance.requestDrain();
  });
  if (const auto Started = Instance.start(); !Started) {
    std::cerr << "hickoryd: " << Started.error().Message << "\n";
    return 1;
  }
  Context.run();
  // Skips destructors: suspended coroutines refer to components that would be
  // destroyed before them, and the process leaves nothing behind that needs
  // cleanup.
  std::cout.flush();
  _exit(Status);
}
