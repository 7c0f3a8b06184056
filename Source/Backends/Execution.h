#pragma once

#include "Base/Notifier.h"
#include "Base/TimerService.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickory {

/// One request that is being answered by executors.
struct Execution {
  explicit Execution(const asio::any_io_executor &Executor)
      : Changed(Executor) {}

  /// One execute call.
  struct Try {
    enum class State {
      InFlight,
      NoEffect, ///< Certain: the executor did not run it.
      Failed,   ///< The executor answered with an error; it may have run it.
      Lost,     ///< No answer, or the answer to another request.
    };
    std::string Executor;
    State Status = State::InFlight;
    Clock::time_point SentAt;
    std::string Detail;
    bool Sent = false; ///< False if the connection was refused.
    /// A repeatable request may be tried elsewhere without waiting for this.
    bool Abandoned = false;
    int FailedQueries = 0; ///< Result queries without an answer.

    [[nodiscard]] bool isOpen() const {
      return !Abandoned && (Status == State::InFlight || Status == State::Lost);
    }
    [[nodiscard]] bool mayHaveRun() const { return Status != State::NoEffect; }
  };

  std::string Id; ///< <key>#<attempt>
  std::string Payload;
  std::string Rack;
  bool NonRepeatable = false;
  Clock::time_point Deadline;
  std::optional<std::string> Answer;
  std::string AnsweredBy;
  std::vector<Try> Tries;
  bool Finished = false; ///< Nobody works on it any more.
  Notifier Changed;

  void deliver(std::string Text, const std::string &Executor) {
    if (Answer)
      return;
    Answer = std::move(Text);
    AnsweredBy = Executor;
    Changed.notify();
  }
};

/// Executions in progress on this instance by id, over all racks. An answer is
/// delivered to the execution that has its id, wherever it arrived.
using ExecutionTable = std::map<std::string, std::shared_ptr<Execution>>;

} // namespace hickory
