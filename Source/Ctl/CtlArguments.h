#pragma once

#include "Base/Error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickory {

/// Command line of hickoryctl: one subcommand, its options and its positional
/// arguments.
struct CtlArguments {
  std::string Command;
  std::map<std::string, std::string> Options; ///< By long name; a flag is "1".
  std::vector<std::string> Positional;
  /// Help text to print instead of running the command; empty if help was
  /// not requested.
  std::string Help;

  [[nodiscard]] bool hasOption(const std::string &Name) const {
    return Options.contains(Name);
  }
  /// Returns the value of an option, or Default if it was not given.
  [[nodiscard]] std::string getText(const std::string &Name,
                                    const std::string &Default = {}) const;
  /// Returns the value of a numeric option, or Default if it was not given.
  /// parseCtlArguments() has checked its range.
  [[nodiscard]] std::uint64_t getNumber(const std::string &Name,
                                        std::uint64_t Default) const;
  [[nodiscard]] std::chrono::milliseconds
  getDuration(const std::string &Name, std::chrono::milliseconds Default) const;
};

/// Parses the arguments of hickoryctl, without the program name. Fails with a
/// message that states the correct usage.
Result<CtlArguments> parseCtlArguments(const std::vector<std::string> &Args);

} // namespace hickory
