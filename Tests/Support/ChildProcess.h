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

// Declared by POSIX without a header.
extern char **environ; // NOLINT(readability-identifier-naming)

namespace hickory {

/// A program started by a test, ended at the latest with this object.
class ChildProcess {
public:
  explicit ChildProcess(std::vector<std::string> Command) {
    std::array<int, 2> In{};
    std::array<int, 2> Out{};
    PCHECK(::pipe(In.data()) == 0 && ::pipe(Out.data()) == 0);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_adddup2(&Actions, In[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&Actions, Out[1], STDOUT_FILENO);
    for (const int Descriptor : {In[0], In[1], Out[0], Out[1]})
      posix_spawn_file_actions_addclose(&Actions, Descriptor);
    std::vector<char *> Arguments;
    Arguments.reserve(Command.size() + 1);
    for (std::string &Text : Command)
      Arguments.push_back(Text.data());
    Arguments.push_back(nullptr);
    const int Code = ::posix_spawn(&Id_, Arguments[0], &Actions, nullptr,
                                   Arguments.data(), environ);
    CHECK_EQ(Code, 0) << "cannot start " << Command[0];
    posix_spawn_file_actions_destroy(&Actions);
    ::close(In[0]);
    ::close(Out[1]);
    Input_ = In[1];
    Output_ = Out[0];
  }
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess() {
    closeInput();
    ::close(Output_);
    if (!Ended_) {
      ::kill(Id_, SIGKILL);
      wait();
    }
  }

  /// One line of standard output, without its end; empty at end of file.
  std::string readLine() {
    std::string Line;
    char Next = 0;
    while (::read(Output_, &Next, 1) == 1 && Next != '\n')
      Line.push_back(Next);
    return Line;
  }

  void closeInput() {
    if (Input_ >= 0)
      ::close(std::exchange(Input_, -1));
  }

  [[nodiscard]] pid_t id() const { return Id_; }

  void terminate() { ::kill(Id_, SIGTERM); }

  /// Whether the process ends within the time; it is then reaped.
  bool endsWithin(std::chrono::milliseconds Limit) {
    const auto Deadline = std::chrono::steady_clock::now() + Limit;
    while (!Ended_) {
      Ended_ = ::waitpid(Id_, nullptr, WNOHANG) == Id_;
      if (Ended_ || std::chrono::steady_clock::now() >= Deadline)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return Ended_;
  }

  /// Exit status, or the negated number of the signal that ended it.
  int wait() {
    int Status = 0;
    PCHECK(::waitpid(Id_, &Status, 0) == Id_);
    Ended_ = true;
    return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  }

private:
  pid_t Id_ = -1;
  int Input_ = -1;
  int Output_ = -1;
  bool Ended_ = false;
};

} // namespace hickory
