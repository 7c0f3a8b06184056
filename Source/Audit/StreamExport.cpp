#include "Audit/StreamExport.h"

#include "Config/TomlNode.h"
#include "Platform.pb.h"

#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <optional>
#include <string_view>

namespace hickory {

namespace {

constexpr std::string_view FileSignature = "HPLOG001";

void appendFrame(std::string &Out, std::string_view Frame) {
  const auto Size = static_cast<std::uint32_t>(Frame.size());
  for (int Shift = 0; Shift < 32; Shift += 8)
    Out.push_back(static_cast<char>((Size >> Shift) & 0xFF));
  Out += Frame;
}

/// Removes one frame from the front of Text and returns its content; empty if
/// the frame is incomplete.
std::optional<std::string_view> takeFrame(std::string_view &Text) {
  if (Text.size() < 4)
    return std::nullopt;
  std::uint32_t Size = 0;
  for (int I = 3; I >= 0; --I)
    Size = (Size << 8) | static_cast<unsigned char>(Text[I]);
  Text.remove_prefix(4);
  if (Text.size() < Size)
    return std::nullopt;
  const std::string_view Frame = Text.substr(0, Size);
  Text.remove_prefix(Size);
  return Frame;
}

} // namespace

asio::awaitable<Result<StreamExport>> fetchStream(LogClient &Client,
                                                  std::string Stream) {
  StreamExport Out;
  Out.Stream = Stream;
  LogReadOptions Options;
  bool First = true;
  while (true) {
    const auto Page = co_await Client.read(Stream, Options);
    if (!Page)
      co_return tl::unexpected(Page.error());
    if (First)
      Out.Earliest = Page->Earliest;
    else if (Page->Earliest > Options.From)
      co_return fail(
          ErrorCode::Unavailable,
          fmt::format("{}: entries were deleted while they were read; "
                      "run the audit again",
                      Stream));
    First = false;
    if (Page->Entries.empty()) {
      if (Page->Earliest <= Options.From)
        co_return Out;
      Options.From = Page->Earliest;
      continue;
    }
    Out.Entries.insert(Out.Entries.end(), Page->Entries.begin(),
                       Page->Entries.end());
    // Without this check, a service that does not return a later offset would
    // be read in an endless loop.
    if (Page->Next <= Options.From)
      co_return fail(ErrorCode::Internal,
                     fmt::format("{}: the log service returned entries but no "
                                 "later offset to read from",
                                 Stream));
    Options.From = Page->Next;
  }
}

Result<StreamExport> readExport(const std::string &Path) {
  const auto Text = readTextFile(Path);
  if (!Text)
    return tl::unexpected(Text.error());
  std::string_view Remaining = *Text;
  if (!Remaining.starts_with(FileSignature))
    return fail(ErrorCode::InvalidArgument,
                fmt::format("{}: is not an export file; create one with "
                            "hickory-audit --export",
                            Path));
  Remaining.remove_prefix(FileSignature.size());
  const auto DamagedFile = [&] {
    return fail(ErrorCode::InvalidArgument,
                fmt::format("{}: is truncated or damaged at byte {}", Path,
                            Text->size() - Remaining.size()));
  };
  StreamExport Out;
  const auto Name = takeFrame(Remaining);
  const auto Earliest = takeFrame(Remaining);
  if (!Name || !Earliest)
    return DamagedFile();
  Out.Stream = std::string(*Name);
  const auto [Stop, Failure] = std::from_chars(
      Earliest->data(), Earliest->data() + Earliest->size(), Out.Earliest);
  if (Failure != std::errc() || Stop != Earliest->data() + Earliest->size())
    return DamagedFile();
  while (!Remaining.empty()) {
    const auto Frame = takeFrame(Remaining);
    platform::Entry Entry;
    if (!Frame ||
        !Entry.ParseFromArray(Frame->data(), static_cast<int>(Frame->size())))
      return DamagedFile();
    Out.Entries.push_back({Entry.offset(), Entry.payload()});
  }
  return Out;
}

Result<void> writeExport(const std::string &Path, const StreamExport &Content) {
  std::string Out(FileSignature);
  appendFrame(Out, Content.Stream);
  appendFrame(Out, std::to_string(Content.Earliest));
  for (const LogEntry &Exported : Content.Entries) {
    platform::Entry Entry;
    Entry.set_offset(Exported.Offset);
    Entry.set_payload(Exported.Payload);
    appendFrame(Out, Entry.SerializeAsString());
  }
  std::ofstream File(Path, std::ios::binary | std::ios::trunc);
  File << Out;
  File.close();
  if (!File)
    return fail(ErrorCode::InvalidArgument,
                fmt::format("{}: cannot be written", Path));
  return {};
}

} // namespace hickory
