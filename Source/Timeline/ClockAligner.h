#pragma once

#include "Timeline/TimelineEvent.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Estimates the offsets between the monotonic clocks of processes and maps
/// all events to the clock of one reference process.
///
/// A message is received no earlier than it is sent, so each message gives an
/// upper bound: the offset of the receiver's clock relative to the sender's is
/// at most the difference of the two readings. Messages in both directions
/// bound the offset from both sides; the estimate is the midpoint of that
/// interval, and half its width is the uncertainty. Bounds are transitive, so
/// processes that communicate only through others are aligned too. After the
/// alignment no message is received before it was sent. Clocks are assumed to
/// run at a constant rate; if no constant offsets satisfy all bounds, all
/// bounds are widened by the smallest sufficient amount, which
/// inconsistency() returns.
///
/// Messages are derived from these events:
/// - `rpc_sent` (caller), `rpc_received` (callee) and `rpc_replied` (both) with
///   the same value of the field `call`. The callee logs `rpc_replied` when it
///   sends the reply, the caller when it receives it. If the callee logged no
///   `rpc_replied`, the time of its `rpc_received` is used instead.
/// - `hello` with the fields `peer` (the sender's process) and `clock_us` (the
///   sender's monotonic clock at the time of sending).
///
/// Processes that are not connected to the reference by messages are aligned
/// by their wall clocks.
class ClockAligner {
public:
  struct Message {
    std::string From;
    std::string To;
    std::chrono::microseconds Sent{0};     ///< Reading of the clock of From.
    std::chrono::microseconds Received{0}; ///< Reading of the clock of To.
  };

  /// How an offset was determined.
  enum class OffsetSource {
    Reference,
    Messages,  ///< Bounded from both sides.
    OneWay,    ///< Bounded from one side; the delay is assumed to be zero.
    WallClock, ///< Not connected to the reference by messages.
  };

  struct Offset {
    /// Reading of this clock minus the simultaneous reading of the reference.
    std::chrono::microseconds Value{0};
    /// Set only if Source is Messages: the true offset is within
    /// Value +- Uncertainty.
    std::chrono::microseconds Uncertainty{0};
    OffsetSource Source = OffsetSource::WallClock;
  };

  /// Reference is the name of a run. If Events has no run of that name, the run
  /// with the most messages is the reference.
  explicit ClockAligner(const std::vector<TimelineEvent> &Events,
                        std::string Reference = {});

  [[nodiscard]] const std::string &reference() const { return Reference_; }
  [[nodiscard]] const std::map<std::string, Offset> &offsets() const {
    return Offsets_;
  }
  [[nodiscard]] const std::vector<Message> &messages() const {
    return Messages_;
  }
  /// Amount by which all bounds had to be widened to be satisfiable by constant
  /// offsets; 0 if they were satisfiable unchanged.
  [[nodiscard]] std::chrono::microseconds inconsistency() const {
    return Inconsistency_;
  }
  /// Wall-clock time minus monotonic time of the reference, in the median
  /// over its events.
  [[nodiscard]] std::chrono::microseconds wallClockOffset() const {
    return WallClockOffset_;
  }

  /// Sets AlignedTime of each event and sorts the events by it.
  void align(std::vector<TimelineEvent> &Events) const;

private:
  /// Bounds[I][J] is the upper bound of clock J minus clock I, in microseconds;
  /// empty if there is none.
  using Bounds = std::vector<std::vector<std::optional<std::int64_t>>>;

  void collectMessages(const std::vector<TimelineEvent> &Events);
  void chooseReference();
  /// Returns the bounds given by single messages, widened by Slack.
  [[nodiscard]] Bounds computeDirectBounds(std::int64_t Slack) const;
  /// Replaces each bound by the tightest one along any chain of processes.
  /// Returns false if the bounds contradict each other.
  static bool tightenTransitively(Bounds &Limits);
  /// Sets the offset of clock J relative to clock R to Value and tightens the
  /// other bounds accordingly.
  static void fixOffset(Bounds &Limits, std::size_t R, std::size_t J,
                        std::int64_t Value);
  void estimateFromMessages();
  void estimateFromWallClocks(const std::vector<TimelineEvent> &Events);

  std::string Reference_;
  std::vector<std::string> Runs_;
  std::map<std::string, std::size_t> Index_;
  std::vector<Message> Messages_;
  std::map<std::string, Offset> Offsets_;
  std::chrono::microseconds Inconsistency_{0};
  std::chrono::microseconds WallClockOffset_{0};
};

} // namespace hickory
