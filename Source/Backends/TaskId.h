#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace hickory {

/// One attempt to run one task of a job.
struct TaskId {
  std::string Key;
  std::uint32_t Task = 0;
  std::uint32_t Attempt = 0;

  friend bool operator==(const TaskId &, const TaskId &) = default;
  friend bool operator<(const TaskId &Left, const TaskId &Right) {
    return std::tie(Left.Key, Left.Task, Left.Attempt) <
           std::tie(Right.Key, Right.Task, Right.Attempt);
  }

  /// The task's name on workers: `<key>#<index>`.
  [[nodiscard]] std::string wireName() const {
    return Key + "#" + std::to_string(Task);
  }

  /// Empty if the name has not the form of wireName().
  static std::optional<TaskId> parse(const std::string &Name,
                                     std::uint32_t Attempt) {
    const std::size_t Mark = Name.rfind('#');
    if (Mark == std::string::npos)
      return std::nullopt;
    TaskId Parsed{Name.substr(0, Mark), 0, Attempt};
    const char *End = Name.data() + Name.size();
    const auto [Rest, Code] =
        std::from_chars(Name.data() + Mark + 1, End, Parsed.Task);
    if (Code != std::errc() || Rest != End)
      return std::nullopt;
    return Parsed;
  }
};

} // namespace hickory
