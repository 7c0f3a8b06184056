#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickory::emulator {

/// Writer of an append and the number that the writer gave it.
struct ProducerStamp {
  std::string Producer;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
};

struct AppendOutcome {
  enum class Kind { Appended, Fenced, WrongSequence, WrongEnd, Malformed };
  Kind Status = Kind::Appended;
  std::uint64_t Offset = 0; ///< Of the first record.
  std::uint64_t End = 0;
  std::uint64_t Expected = 0; ///< With WrongSequence.
};

inline std::string bigEndianText(std::uint64_t Value, int Bytes) {
  std::string Text;
  for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8)
    Text.push_back(static_cast<char>((Value >> Shift) & 0xFF));
  return Text;
}

/// One partition of a topic of the store.
class LogPartition {
public:
  struct Newest {
    std::string Value;
    std::uint64_t Offset = 0;
  };

  explicit LogPartition(bool Keyed) : Keyed_(Keyed) {}

  AppendOutcome append(std::string_view Body,
                       const std::optional<ProducerStamp> &Stamp,
                       std::optional<std::uint64_t> At) {
    std::vector<std::string> Records;
    if (!split(Body, Records))
      return {.Status = AppendOutcome::Kind::Malformed, .End = end()};
    if (Stamp)
      if (const auto Answer = checkStamp(*Stamp, Records.empty()))
        return *Answer;
    if (At && *At != end())
      return {.Status = AppendOutcome::Kind::WrongEnd, .End = end()};
    AppendOutcome Outcome{.Offset = end()};
    for (std::string &Record : Records)
      add(std::move(Record));
    Outcome.End = end();
    if (Stamp && !Records.empty())
      remember(*Stamp, Outcome);
    return Outcome;
  }

  /// Records from an offset on, in their stored format, at most MaximumBytes
  /// but at least one.
  [[nodiscard]] std::string read(std::uint64_t From,
                                 std::size_t MaximumBytes) const {
    std::string Raw = bigEndianText(end(), 8) + bigEndianText(First_, 8);
    const std::size_t HeaderBytes = Raw.size();
    for (std::uint64_t Offset = From; Offset < end(); ++Offset) {
      const std::string &Record = Records_[Offset - First_];
      if (Raw.size() > HeaderBytes &&
          Raw.size() + Record.size() + 4 > MaximumBytes + HeaderBytes)
        break;
      Raw += bigEndianText(Record.size(), 4) + Record;
    }
    return Raw;
  }

  void trim(std::uint64_t Before) {
    while (First_ < Before && !Records_.empty()) {
      Records_.pop_front();
      ++First_;
    }
  }

  [[nodiscard]] std::uint64_t first() const { return First_; }
  [[nodiscard]] std::uint64_t end() const { return First_ + Records_.size(); }
  [[nodiscard]] const std::map<std::string, Newest> &newest() const {
    return Newest_;
  }

private:
  struct ProducerState {
    std::uint64_t Epoch = 0;
    std::optional<std::uint64_t> LastSequence;
    std::map<std::uint64_t, AppendOutcome> Recent; ///< By sequence number.
  };
  static constexpr std::size_t RepeatsKept = 5;

  /// An answer if nothing is to be appended.
  std::optional<AppendOutcome> checkStamp(const ProducerStamp &Stamp,
                                          bool Empty) {
    ProducerState &State = Producers_[Stamp.Producer];
    if (Stamp.Epoch < State.Epoch)
      return AppendOutcome{.Status = AppendOutcome::Kind::Fenced, .End = end()};
    if (Stamp.Epoch > State.Epoch) {
      State = {};
      State.Epoch = Stamp.Epoch;
    }
    if (Empty)
      return AppendOutcome{.Offset = end(), .End = end()};
    if (const auto It = State.Recent.find(Stamp.Sequence);
        It != State.Recent.end())
      return It->second;
    if (State.LastSequence && Stamp.Sequence != *State.LastSequence + 1)
      return AppendOutcome{.Status = AppendOutcome::Kind::WrongSequence,
                           .End = end(),
                           .Expected = *State.LastSequence + 1};
    return std::nullopt;
  }

  void remember(const ProducerStamp &Stamp, const AppendOutcome &Outcome) {
    ProducerState &State = Producers_[Stamp.Producer];
    State.LastSequence = Stamp.Sequence;
    State.Recent[Stamp.Sequence] = Outcome;
    while (State.Recent.size() > RepeatsKept)
      State.Recent.erase(State.Recent.begin());
  }

  static bool split(std::string_view Body, std::vector<std::string> &Records) {
    while (!Body.empty()) {
      if (Body.size() < 4)
        return false;
      std::size_t Length = 0;
      for (int Index = 0; Index < 4; ++Index)
        Length = (Length << 8) | static_cast<unsigned char>(Body[Index]);
      Body.remove_prefix(4);
      if (Length > Body.size())
        return false;
      Records.emplace_back(Body.substr(0, Length));
      Body.remove_prefix(Length);
    }
    return true;
  }

  void add(std::string Record) {
    const std::size_t KeyLength =
        Record.empty() ? 0 : static_cast<unsigned char>(Record[0]);
    if (Keyed_ && !Record.empty() && Record.size() >= KeyLength + 1) {
      const std::string Key = Record.substr(1, KeyLength);
      if (Record.size() == KeyLength + 1)
        Newest_.erase(Key);
      else
        Newest_[Key] = {.Value = Record.substr(1 + KeyLength), .Offset = end()};
    }
    Records_.push_back(std::move(Record));
  }

  bool Keyed_;
  std::uint64_t First_ = 0;
  std::deque<std::string> Records_;
  std::map<std::string, Newest> Newest_;
  std::map<std::string, ProducerState> Producers_;
};

} // namespace hickory::emulator
