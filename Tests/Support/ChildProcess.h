#pragma once

#include <array>
#include <chrono>
#include <csignal>
#include <glog/logging.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

// POSIX requires the program to declare it.
extern char **environ; // NOLINT(readability-identifier-naming)

namespace hickory {

/// A program that a test has started. Killed by the destructor if it is still
/// running.
class ChildProcess {
public:
  explicit ChildProcess(std::vector<std::string> Command) {
    std::array<int, 2> InputPipe{};
    std::array<int, 2> OutputPipe{};
    PCHECK(::pipe(InputPipe.data()) == 0 && ::pipe(OutputPipe.data()) == 0);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_adddup2(&Actions, InputPipe[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&Actions, OutputPipe[1], STDOUT_FILENO);
    for (const int Descriptor :
         {InputPipe[0], InputPipe[1], OutputPipe[0], OutputPipe[1]})
      posix_spawn_file_actions_addclose(&Actions, Descriptor);
    std::vector<char *> Arguments;
    Arguments.reserve(Command.size() + 1);
    for (std::string &Text : Command)
      Arguments.push_back(Text.data());
    Arguments.push_back(nullptr);
    const int SpawnError = ::posix_spawn(&Pid_, Arguments[0], &Actions, nullptr,
                                         Arguments.data(), environ);
    CHECK_EQ(SpawnError, 0) << "cannot start " << Command[0];
    posix_spawn_file_actions_destroy(&Actions);
    ::close(InputPipe[0]);
    ::close(OutputPipe[1]);
    Input_ = InputPipe[1];
    Output_ = OutputPipe[0];
  }
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess() {
    closeInput();
    ::close(Output_);
    if (!HasExited_) {
      ::kill(Pid_, SIGKILL);
      wait();
    }
  }

  /// Reads one line of the program's standard output, without its end; returns
  /// an empty string at the end of the file.
  std::string readLine() {
    std::string Line;
    char Character = 0;
    while (::read(Output_, &Character, 1) == 1 && Character != '\n')
      Line.push_back(Character);
    return Line;
  }

  void closeInput() {
    if (Input_ >= 0)
      ::close(std::exchange(Input_, -1));
  }

  [[nodiscard]] pid_t id() const { return Pid_; }

  void terminate() { ::kill(Pid_, SIGTERM); }

  /// Waits for the process to exit. Returns whether it has exited, and been
  /// reaped, before the timeout.
  bool exitsWithin(std::chrono::milliseconds Timeout) {
    const auto Deadline = std::chrono::steady_clock::now() + Timeout;
    while (!HasExited_) {
      HasExited_ = ::waitpid(Pid_, &Status_, WNOHANG) == Pid_;
      if (HasExited_ || std::chrono::steady_clock::now() >= Deadline)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return HasExited_;
  }

  /// Waits for the process to exit and returns its exit status, or the negated
  /// number of the signal that ended it.
  int wait() {
    if (!HasExited_)
      PCHECK(::waitpid(Pid_, &Status_, 0) == Pid_);
    HasExited_ = true;
    return WIFEXITED(Status_) ? WEXITSTATUS(Status_) : -WTERMSIG(Status_);
  }

private:
  pid_t Pid_ = -1;
  int Input_ = -1;
  int Output_ = -1;
  int Status_ = 0;
  bool HasExited_ = false;
};

} // namespace hickory
