#include "Work/CrashRecord.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

/// The users permit to give up a task under which two workers have crashed.
constexpr std::size_t BlamedCrashesToGiveUp = 2;
/// Without a certain cause, a task is given up after more crashes. The users
/// permit no sixth start of a task that crashes each of its workers, and one
/// crash may have gone unnoticed as its processes were replaced.
constexpr std::size_t CrashesToGiveUp = 4;
constexpr std::size_t CertainCrashesToGiveUp = 1;
/// If no crash is certain, the workers may have been cut off.
constexpr std::size_t PossibleCrashesToGiveUp = 5;

} // namespace

bool CrashRecord::add(int Run, const std::string &Worker,
                      CrashEvidence Evidence) {
  for (Crash &Each : Crashes_)
    if (Each.Run == Run && Each.Worker == Worker) {
      const bool IsNews = Evidence > Each.Evidence;
      Each.Evidence = std::max(Each.Evidence, Evidence);
      return IsNews;
    }
  Crashes_.push_back({.Run = Run, .Worker = Worker, .Evidence = Evidence});
  return true;
}

bool CrashRecord::retract(int Run, const std::string &Worker) {
  return std::erase_if(Crashes_, [&](const Crash &Each) {
           return Each.Run == Run && Each.Worker == Worker &&
                  Each.Evidence == CrashEvidence::Possible;
         }) > 0;
}

std::size_t CrashRecord::countWith(CrashEvidence Minimum) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Crashes_, [Minimum](const Crash &Each) {
        return Each.Evidence >= Minimum;
      }));
}

bool CrashRecord::isConclusive() const {
  return countWith(CrashEvidence::Blamed) >= BlamedCrashesToGiveUp ||
         (Crashes_.size() >= CrashesToGiveUp &&
          countWith(CrashEvidence::Certain) >= CertainCrashesToGiveUp) ||
         Crashes_.size() >= PossibleCrashesToGiveUp;
}

nlohmann::json CrashRecord::toJson() const {
  nlohmann::json Stored = nlohmann::json::array();
  for (const Crash &Each : Crashes_)
    Stored.push_back({Each.Run, Each.Worker, static_cast<int>(Each.Evidence)});
  return Stored;
}

CrashRecord CrashRecord::fromJson(const nlohmann::json &Stored) {
  CrashRecord Record;
  for (const nlohmann::json &Each : Stored)
    Record.Crashes_.push_back(
        {.Run = Each.at(0).get<int>(),
         .Worker = Each.at(1).get<std::string>(),
         .Evidence = static_cast<CrashEvidence>(Each.at(2).get<int>())});
  return Record;
}

} // namespace hickory
