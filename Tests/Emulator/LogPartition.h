#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickory::emulator {

/// Identifies one append of a producer, so that a repeated append is detected
/// and a producer with an older epoch is fenced.
struct ProducerSequence {
  std::string ProducerId;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
};

struct AppendOutcome {
  enum class Kind {
    Appended,
    Fenced,
    SequenceMismatch,
    EndMismatch,
    Malformed ///< Or too long.
  };
  Kind Status = Kind::Appended;
  std::uint64_t Offset = 0; ///< Offset of the first appended record.
  std::uint64_t End = 0;    ///< End of the partition after the append.
  /// Sequence number that the producer must send next; set only with
  /// SequenceMismatch.
  std::uint64_t Expected = 0;
};

/// The lowest Bytes bytes of Value, most significant byte first.
inline std::string bigEndianText(std::uint64_t Value, int Bytes) {
  std::string Text;
  for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8)
    Text.push_back(static_cast<char>((Value >> Shift) & 0xFF));
  return Text;
}

/// Largest sizes that the store accepts.
struct AppendLimits {
  std::size_t RecordBytes = 262144; ///< Without the length.
  std::size_t CallBytes = 2097152;  ///< Of all records.
};

/// One partition of a topic of the store. A partition of a keyed topic also
/// keeps the latest record of each key.
class LogPartition {
public:
  struct LatestRecord {
    std::string Value;
    std::uint64_t Offset = 0;
  };

  explicit LogPartition(bool Keyed, AppendLimits Limits = {})
      : Keyed_(Keyed), Limits_(Limits) {}

  /// Appends all records of Body, or none. Body holds length-prefixed records.
  /// With ExpectedEnd, fails with EndMismatch unless it is the current end.
  /// Without records, only checks Producer and registers its epoch.
  AppendOutcome append(std::string_view Body,
                       const std::optional<ProducerSequence> &Producer,
                       std::optional<std::uint64_t> ExpectedEnd) {
    std::vector<std::string> Records;
    if (!parseRecords(Body, Records))
      return {.Status = AppendOutcome::Kind::Malformed, .End = end()};
    if (Producer)
      if (const auto Answer = checkProducer(*Producer, Records.empty()))
        return *Answer;
    if (ExpectedEnd && *ExpectedEnd != end())
      return {.Status = AppendOutcome::Kind::EndMismatch, .End = end()};
    AppendOutcome Outcome{.Offset = end()};
    for (std::string &Record : Records)
      addRecord(std::move(Record));
    Outcome.End = end();
    if (Producer && !Records.empty())
      storeOutcome(*Producer, Outcome);
    return Outcome;
  }

  /// Returns the end and the first offset (8 bytes each), then records from
  /// offset From on, each with a length prefix of 4 bytes. Returns at most
  /// MaximumBytes of records, but at least one record if there is one.
  [[nodiscard]] std::string read(std::uint64_t From,
                                 std::size_t MaximumBytes) const {
    std::string Response = bigEndianText(end(), 8) + bigEndianText(First_, 8);
    const std::size_t HeaderBytes = Response.size();
    for (std::uint64_t Offset = From; Offset < end(); ++Offset) {
      const std::string &Record = Records_[Offset - First_];
      if (Response.size() > HeaderBytes &&
          Response.size() + Record.size() + 4 > MaximumBytes + HeaderBytes)
        break;
      Response += bigEndianText(Record.size(), 4) + Record;
    }
    return Response;
  }

  /// Removes the records before an offset. The latest record of each key is
  /// still available from latestByKey().
  void trim(std::uint64_t Before) {
    while (First_ < Before && !Records_.empty()) {
      Records_.pop_front();
      ++First_;
    }
  }

  [[nodiscard]] std::uint64_t first() const { return First_; }
  [[nodiscard]] std::uint64_t end() const { return First_ + Records_.size(); }
  [[nodiscard]] const std::map<std::string, LatestRecord> &latestByKey() const {
    return LatestByKey_;
  }

private:
  struct ProducerState {
    std::uint64_t Epoch = 0;
    std::optional<std::uint64_t> LastSequence;
    /// By sequence number.
    std::map<std::uint64_t, AppendOutcome> RecentOutcomes;
  };
  static constexpr std::size_t MaximumRecentOutcomes = 5;

  /// Returns the outcome of an append that must not append anything: one that
  /// is rejected, repeated or has no records. Returns nothing otherwise.
  std::optional<AppendOutcome> checkProducer(const ProducerSequence &Producer,
                                             bool HasNoRecords) {
    ProducerState &State = Producers_[Producer.ProducerId];
    if (Producer.Epoch < State.Epoch)
      return AppendOutcome{.Status = AppendOutcome::Kind::Fenced, .End = end()};
    if (Producer.Epoch > State.Epoch) {
      State = {};
      State.Epoch = Producer.Epoch;
    }
    if (HasNoRecords)
      return AppendOutcome{.Offset = end(), .End = end()};
    if (const auto It = State.RecentOutcomes.find(Producer.Sequence);
        It != State.RecentOutcomes.end())
      return It->second;
    if (State.LastSequence && Producer.Sequence != *State.LastSequence + 1)
      return AppendOutcome{.Status = AppendOutcome::Kind::SequenceMismatch,
                           .End = end(),
                           .Expected = *State.LastSequence + 1};
    return std::nullopt;
  }

  void storeOutcome(const ProducerSequence &Producer,
                    const AppendOutcome &Outcome) {
    ProducerState &State = Producers_[Producer.ProducerId];
    State.LastSequence = Producer.Sequence;
    State.RecentOutcomes[Producer.Sequence] = Outcome;
    while (State.RecentOutcomes.size() > MaximumRecentOutcomes)
      State.RecentOutcomes.erase(State.RecentOutcomes.begin());
  }

  bool parseRecords(std::string_view Body,
                    std::vector<std::string> &Records) const {
    if (Body.size() > Limits_.CallBytes)
      return false;
    while (!Body.empty()) {
      if (Body.size() < 4)
        return false;
      std::size_t Length = 0;
      for (int Index = 0; Index < 4; ++Index)
        Length = (Length << 8) | static_cast<unsigned char>(Body[Index]);
      Body.remove_prefix(4);
      if (Length > Body.size() || Length > Limits_.RecordBytes)
        return false;
      Records.emplace_back(Body.substr(0, Length));
      Body.remove_prefix(Length);
    }
    return true;
  }

  void addRecord(std::string Record) {
    const std::size_t KeyLength =
        Record.empty() ? 0 : static_cast<unsigned char>(Record[0]);
    if (Keyed_ && !Record.empty() && Record.size() >= KeyLength + 1) {
      const std::string Key = Record.substr(1, KeyLength);
      if (Record.size() == KeyLength + 1)
        LatestByKey_.erase(Key);
      else
        LatestByKey_[Key] = {.Value = Record.substr(1 + KeyLength),
                             .Offset = end()};
    }
    Records_.push_back(std::move(Record));
  }

  bool Keyed_;
  AppendLimits Limits_;
  std::uint64_t First_ = 0;
  std::deque<std::string> Records_;
  std::map<std::string, LatestRecord> LatestByKey_;
  std::map<std::string, ProducerState> Producers_;
};

} // namespace hickory::emulator
