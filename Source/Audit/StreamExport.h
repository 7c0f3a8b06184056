#pragma once

#include "Log/LogClient.h"

#include <string>
#include <vector>

namespace hickory {

/// The retained content of one stream of the log service.
struct StreamExport {
  std::string Stream;
  std::uint64_t Earliest = 0; ///< Above 0: earlier entries were cut.
  std::vector<LogEntry> Entries;
};

/// Reads all retained entries of a stream.
asio::awaitable<Result<StreamExport>> fetchStream(LogClient &Client,
                                                  std::string Stream);

/// Export files keep a copy of a stream: the 8 bytes "HPLOG001", then frames
/// of a 4-byte little-endian length and that many bytes. The first frame is
/// the name of the stream, the second the earliest offset in decimal, and
/// every other one a platform.Entry message.
Result<StreamExport> readExport(const std::string &Path);
Result<void> writeExport(const std::string &Path, const StreamExport &Content);

} // namespace hickory
