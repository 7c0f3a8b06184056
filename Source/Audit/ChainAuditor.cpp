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

ChainAuditor::BatchStatus
ChainAuditor::checkBatch(const LogEntry &Entry,
                         const records::RecordBatch &Batch) {
  const std::string Hash = sha256(Entry.Payload);
  const std::uint64_t Sequence = Batch.sequence();
  const auto [It, Inserted] = Chains_.try_emplace(Batch.incarnation());
  Chain &WriterChain = It->second;
  const std::string Writer =
      fmt::format("incarnation {:016x} ({})", Batch.incarnation(),
                  Batch.slot().empty() ? "no slot" : Batch.slot());
  if (Inserted) {
    WriterChain.First = Sequence;
    WriterChain.Last = Sequence;
    WriterChain.Hashes.emplace(Sequence, Hash);
    if (Sequence == 1 && !Batch.previous_hash().empty()) {
      addFinding(
          Entry.Offset,
          fmt::format("{}: the first batch has the hash of a previous batch",
                      Writer));
      return BatchStatus::Inconsistent;
    }
    if (Sequence != 1 && !Partial_) {
      addFinding(
          Entry.Offset,
          fmt::format("{}: starts with batch {}; batches 1 to {} are missing",
                      Writer, Sequence, Sequence - 1));
      return BatchStatus::Inconsistent;
    }
    return BatchStatus::New;
  }
  if (Sequence <= WriterChain.Last) {
    const auto Existing = WriterChain.Hashes.find(Sequence);
    if (Existing != WriterChain.Hashes.end() && Existing->second == Hash)
      return BatchStatus::Duplicate;
    // After retention deleted a batch, a duplicate of it may remain.
    if (Existing == WriterChain.Hashes.end() && Partial_ &&
        Sequence < WriterChain.First)
      return BatchStatus::Duplicate;
    addFinding(
        Entry.Offset,
        fmt::format("{}: batch {} occurs a second time with other content",
                    Writer, Sequence));
    return BatchStatus::Inconsistent;
  }
  const std::uint64_t Expected = WriterChain.Last + 1;
  const std::string PreviousHash = WriterChain.Hashes.at(WriterChain.Last);
  WriterChain.Last = Sequence;
  WriterChain.Hashes.emplace(Sequence, Hash);
  if (Sequence != Expected) {
    addFinding(
        Entry.Offset,
        fmt::format("{}: batch {} follows batch {}; batches in between are "
                    "missing",
                    Writer, Sequence, Expected - 1));
    return BatchStatus::Inconsistent;
  }
  if (Batch.previous_hash() != PreviousHash) {
    addFinding(
        Entry.Offset,
        fmt::format("{}: batch {} does not have the hash of batch {} in the "
                    "stream; one of the two was altered or replaced",
                    Writer, Sequence, Sequence - 1));
    return BatchStatus::Inconsistent;
  }
  return BatchStatus::New;
}

void ChainAuditor::checkHeads(const Heads &Earlier) {
  for (const auto &[Incarnation, Head] : Earlier) {
    const auto It = Chains_.find(Incarnation);
    if (It == Chains_.end() || Head.Sequence < It->second.First) {
      if (!Partial_)
        addFinding(0,
                   fmt::format("incarnation {:016x}: batch {} was read in an "
                               "earlier audit and is missing",
                               Incarnation, Head.Sequence));
      continue;
    }
    const auto Hash = It->second.Hashes.find(Head.Sequence);
    if (Hash == It->second.Hashes.end())
      addFinding(0, fmt::format("incarnation {:016x}: batch {} was read in an "
                                "earlier audit and is missing",
                                Incarnation, Head.Sequence));
    else if (toHex(Hash->second) != Head.Hash)
      addFinding(
          0, fmt::format("incarnation {:016x}: batch {} differs from the one "
                         "that an earlier audit read",
                         Incarnation, Head.Sequence));
  }
}

ChainAuditor::Heads ChainAuditor::heads() const {
  Heads Out;
  for (const auto &[Incarnation, WriterChain] : Chains_)
    Out[Incarnation] = {WriterChain.Last,
                        toHex(WriterChain.Hashes.at(WriterChain.Last))};
  return Out;
}

void ChainAuditor::addFinding(std::uint64_t Offset, std::string Text) {
  Report_.Findings.push_back({Stream_, Offset, std::move(Text)});
}

} // namespace hickory
