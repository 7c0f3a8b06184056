#include "Audit/ChainAuditor.h"

#include "Base/Hash.h"

#include <fmt/format.h>

namespace hickory {

namespace {

std::string toHex(const std::string &Bytes) {
  std::string Out;
  for (const char Byte : Bytes)
    Out += fmt::format("{:02x}", static_cast<unsigned char>(Byte));
  return Out;
}

} // namespace

ChainAuditor::ChainAuditor(std::string Stream, bool Partial,
                           AuditReport &Report)
    : Stream_(std::move(Stream)), Partial_(Partial), Report_(Report) {}

ChainAuditor::Verdict ChainAuditor::check(const LogEntry &Entry,
                                          const records::RecordBatch &Batch) {
  const std::string Hash = sha256(Entry.Payload);
  const std::uint64_t Sequence = Batch.sequence();
  const auto [It, New] = Chains_.try_emplace(Batch.incarnation());
  Chain &Known = It->second;
  const std::string Who =
      fmt::format("incarnation {:016x} ({})", Batch.incarnation(),
                  Batch.slot().empty() ? "no slot" : Batch.slot());
  if (New) {
    Known.First = Sequence;
    Known.Last = Sequence;
    Known.Hashes.emplace(Sequence, Hash);
    if (Sequence == 1 && !Batch.previous_hash().empty()) {
      find(Entry.Offset,
           fmt::format("{}: the first batch names a previous one", Who));
      return Verdict::Unusable;
    }
    if (Sequence != 1 && !Partial_) {
      find(Entry.Offset,
           fmt::format("{}: starts with batch {}; batches 1 to {} are missing",
                       Who, Sequence, Sequence - 1));
      return Verdict::Unusable;
    }
    return Verdict::New;
  }
  if (Sequence <= Known.Last) {
    const auto Same = Known.Hashes.find(Sequence);
    if (Same != Known.Hashes.end() && Same->second == Hash)
      return Verdict::Duplicate;
    // After a retention cut, the copy of a batch that was cut may remain.
    if (Same == Known.Hashes.end() && Partial_ && Sequence < Known.First)
      return Verdict::Duplicate;
    find(Entry.Offset,
         fmt::format("{}: batch {} is here a second time with other content",
                     Who, Sequence));
    return Verdict::Unusable;
  }
  const std::uint64_t Expected = Known.Last + 1;
  const std::string Previous = Known.Hashes.at(Known.Last);
  Known.Last = Sequence;
  Known.Hashes.emplace(Sequence, Hash);
  if (Sequence != Expected) {
    find(Entry.Offset,
         fmt::format("{}: batch {} follows batch {}; batches in between are "
                     "missing",
                     Who, Sequence, Expected - 1));
    return Verdict::Unusable;
  }
  if (Batch.previous_hash() != Previous) {
    find(Entry.Offset,
         fmt::format("{}: batch {} names another batch {} than the one in the "
                     "stream; one of the two was altered or replaced",
                     Who, Sequence, Sequence - 1));
    return Verdict::Unusable;
  }
  return Verdict::New;
}

void ChainAuditor::checkHeads(const Heads &Earlier) {
  for (const auto &[Incarnation, Head] : Earlier) {
    const auto It = Chains_.find(Incarnation);
    if (It == Chains_.end() || Head.Sequence < It->second.First) {
      if (!Partial_)
        find(0, fmt::format("incarnation {:016x}: batch {} was here in an "
                            "earlier audit and is missing",
                            Incarnation, Head.Sequence));
      continue;
    }
    const auto Hash = It->second.Hashes.find(Head.Sequence);
    if (Hash == It->second.Hashes.end())
      find(0, fmt::format("incarnation {:016x}: batch {} was here in an "
                          "earlier audit and is missing",
                          Incarnation, Head.Sequence));
    else if (toHex(Hash->second) != Head.Hash)
      find(0, fmt::format("incarnation {:016x}: batch {} differs from the one "
                          "that an earlier audit read",
                          Incarnation, Head.Sequence));
  }
}

ChainAuditor::Heads ChainAuditor::heads() const {
  Heads Out;
  for (const auto &[Incarnation, Known] : Chains_)
    Out[Incarnation] = {Known.Last, toHex(Known.Hashes.at(Known.Last))};
  return Out;
}

void ChainAuditor::find(std::uint64_t Offset, std::string Text) {
  Report_.Findings.push_back({Stream_, Offset, std::move(Text)});
}

} // namespace hickory
