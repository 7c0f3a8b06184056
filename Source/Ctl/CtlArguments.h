#pragma once

#include "Base/Error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hickory {

/// Command line of hickoryctl: one subcommand, its options and the rest.
struct CtlArguments {
  std::string Command;
  std::map<std::string, std::string> Options; ///< By long name; flags are "1".
  std::vector<std::string> Rest;
  std::string Help; ///< Not empty: print it and do nothing else.

  [[nodiscard]] bool has(const std::string &Name) const {
    return Options.contains(Name);
  }
  [[nodiscard]] std::string text(const std::string &Name,
                                 const std::string &Default = {}) const;
  /// Checked against its range when parsed.
  [[nodiscard]] std::uint64_t number(const std::string &Name,
                                     std::uint64_t Default) const;
  [[nodiscard]] std::chrono::milliseconds
  duration(const std::string &Name, std::chrono::milliseconds Default) const;
};

/// Arguments without the program's name. The error says what to write instead.
Result<CtlArguments> parseCtlArguments(const std::vector<std::string> &Words);

} // namespace hickory
