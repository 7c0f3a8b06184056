#pragma once

#include "Log/LogClient.h"

#include <string>
#include <vector>

namespace hickory {

/// The retained entries of one stream of the log service.
struct StreamExport {
  std::string Stream;
  std::uint64_t Earliest = 0; ///< Above 0 if retention deleted entries.
  std::vector<LogEntry> Entries;
};

/// Reads all retained entries of a stream. Fails if retention deletes entries
/// during the read.
asio::awaitable<Result<StreamExport>> fetchStream(LogClient &Client,
                                                  std::string Stream);

/// Reads an export file, which contains a copy of a stream: the 8 bytes
/// "HPLOG001", then frames. Each frame is a 4-byte little-endian length
/// followed by that many bytes. The first frame is the name of the stream, the
/// second the earliest offset in decimal, and every other one a platform.Entry
/// message. Fails if the file cannot be read or is truncated or damaged.
Result<StreamExport> readExport(const std::string &Path);
/// Writes a file that readExport() can read, replacing an existing one.
Result<void> writeExport(const std::string &Path, const StreamExport &Content);

} // namespace hickory
