#pragma once

#include "Timeline/TimelineEvent.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// Estimates how far the monotonic clocks of processes are apart and moves all
/// events to one time axis.
///
/// Every message is a bound: it was received no earlier than it was sent, so
/// the offset of the receiver's clock against the sender's is at most the
/// difference of the two readings. Messages in both directions enclose the
/// offset; the middle is taken, and half the width is the uncertainty. Bounds
/// also hold along chains of processes. After the alignment no message is
/// received before it was sent. A clock is taken to run at constant rate over
/// the record; if no constant offsets fit, all bounds are widened by the
/// smallest amount that makes them fit, and that amount is reported.
///
/// Messages are found in these events:
/// - `rpc_sent` (caller), `rpc_received` (callee) and `rpc_replied` with equal
///   field `call`. `rpc_replied` in the callee is the moment of sending the
///   reply, in the caller that of receiving it. If the callee has none, its
///   `rpc_received` stands for it.
/// - `hello` with the fields `peer` (the sender's process) and `clock_us` (the
///   sender's monotonic clock when it sent).
///
/// Processes without messages are placed by their wall clocks.
class ClockAligner {
public:
  struct Message {
    std::string From;
    std::string To;
    std::chrono::microseconds Sent{0};     ///< On the clock of From.
    std::chrono::microseconds Received{0}; ///< On the clock of To.
  };

  enum class Source {
    Reference,
    Messages,  ///< Enclosed from both sides.
    OneWay,    ///< Bounded from one side: taken as if there was no delay.
    WallClock, ///< No message leads to the reference.
  };

  struct Offset {
    /// Reading of this clock minus that of the reference at one moment.
    std::chrono::microseconds Value{0};
    /// Only for Messages: the true value is within Value +- Uncertainty.
    std::chrono::microseconds Uncertainty{0};
    Source From = Source::WallClock;
  };

  /// Reference names a run; if it is empty or absent the run with the most
  /// messages is used.
  explicit ClockAligner(const std::vector<TimelineEvent> &Events,
                        std::string Reference = {});

  [[nodiscard]] const std::string &reference() const { return Reference_; }
  [[nodiscard]] const std::map<std::string, Offset> &offsets() const {
    return Offsets_;
  }
  [[nodiscard]] const std::vector<Message> &messages() const {
    return Messages_;
  }
  /// By how much constant offsets fail to explain the messages; 0 if they do.
  [[nodiscard]] std::chrono::microseconds inconsistency() const {
    return Inconsistency_;
  }
  /// Wall-clock time minus monotonic time of the reference.
  [[nodiscard]] std::chrono::microseconds wallBase() const { return WallBase_; }

  /// Sets Aligned of each event and sorts by it.
  void align(std::vector<TimelineEvent> &Events) const;

private:
  /// Upper bounds of offset differences: Bound[i][j] of clock j minus clock i.
  using Bounds = std::vector<std::vector<std::optional<std::int64_t>>>;

  void collectMessages(const std::vector<TimelineEvent> &Events);
  void chooseReference();
  [[nodiscard]] Bounds directBounds(std::int64_t Slack) const;
  /// Tightens over chains; false if the bounds contradict each other.
  static bool close(Bounds &Limits);
  /// Fixes the offset of clock J against clock R and tightens the rest.
  static void fix(Bounds &Limits, std::size_t R, std::size_t J,
                  std::int64_t Value);
  void solve();
  void placeByWallClock(const std::vector<TimelineEvent> &Events);

  std::string Reference_;
  std::vector<std::string> Runs_;
  std::map<std::string, std::size_t> Index_;
  std::vector<Message> Messages_;
  std::map<std::string, Offset> Offsets_;
  std::chrono::microseconds Inconsistency_{0};
  std::chrono::microseconds WallBase_{0};
};

} // namespace hickory
