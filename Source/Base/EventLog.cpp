#include "Base/EventLog.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

namespace hickory {

EventLog::EventLog(TimerService &Timers, EventLogOptions Options)
    : Timers_(Timers), Options_(std::move(Options)) {
  // A slow reader of standard output must not block this process.
  if (Options_.StandardOutput)
    ::fcntl(STDOUT_FILENO, F_SETFL,
            ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  if (Options_.File.empty())
    return;
  File_ = ::open(Options_.File.c_str(),
                 O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (File_ < 0)
    PLOG(WARNING) << "events: cannot open " << Options_.File;
}

EventLog::~EventLog() {
  if (File_ >= 0)
    ::close(File_);
}

void EventLog::emit(std::string_view Part, std::string_view Name,
                    nlohmann::json Fields) {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  Fields["seq"] = NextSequence_++;
  Fields["wall_us"] =
      duration_cast<microseconds>(Timers_.wallNow().time_since_epoch()).count();
  Fields["mono_us"] =
      duration_cast<microseconds>(Timers_.now().time_since_epoch()).count();
  Fields["process"] = Options_.Process;
  Fields["part"] = Part;
  Fields["event"] = Name;
  std::string Line =
      Fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Line.push_back('\n');
  if (File_ >= 0 && ::write(File_, Line.data(), Line.size()) < 0) {
    PLOG(WARNING) << "events: cannot write " << Options_.File;
    ::close(File_);
    File_ = -1;
  }
  if (Options_.StandardOutput)
    writeToStandardOutput(Line);
  Lines_.push_back(std::move(Line));
  if (Lines_.size() > Options_.Capacity)
    Lines_.pop_front();
}

void EventLog::writeToStandardOutput(const std::string &Line) {
  const auto Now = Timers_.now();
  if (Now - SecondStart_ >= std::chrono::seconds(1)) {
    if (DroppedLines_ > 0) {
      const std::string DropReport =
          nlohmann::json{{"process", Options_.Process},
                         {"part", "events"},
                         {"event", "left_out"},
                         {"count", DroppedLines_}}
              .dump() +
          "\n";
      (void)!::write(STDOUT_FILENO, DropReport.data(), DropReport.size());
    }
    SecondStart_ = Now;
    LinesInSecond_ = 0;
    DroppedLines_ = 0;
  }
  if (LinesInSecond_ >= Options_.LinesPerSecond ||
      ::write(STDOUT_FILENO, Line.data(), Line.size()) < 0) {
    ++DroppedLines_;
    return;
  }
  ++LinesInSecond_;
}

std::string EventLog::linesFrom(std::uint64_t From) const {
  const std::uint64_t First = NextSequence_ - Lines_.size();
  std::string Text;
  for (std::uint64_t I = std::max(First, From); I < NextSequence_; ++I)
    Text += Lines_[I - First];
  return Text;
}

} // namespace hickory
