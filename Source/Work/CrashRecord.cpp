#include "Work/CrashRecord.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace hickory {

namespace {

/// The users permit to give up a task under which two workers have crashed.
constexpr std::size_t MaximumBlamedCrashes = 2;
/// The users permit two starts after three crashes. One crash may have gone
/// unnoticed while another process took over the worker.
constexpr std::size_t MaximumCrashes = 4;

} // namespace

std::vector<CrashRecord::Crash>::iterator
CrashRecord::find(int Run, const std::string &Worker) {
  return std::ranges::find_if(Crashes_, [&](const Crash &Each) {
    return Each.Run == Run && Each.Worker == Worker;
  });
}

bool CrashRecord::add(int Run, const std::string &Worker, bool Blamed) {
  const auto Known = find(Run, Worker);
  if (Known == Crashes_.end()) {
    Crashes_.push_back({.Run = Run, .Worker = Worker, .Blamed = Blamed});
    return true;
  }
  const bool Changed = Blamed && !Known->Blamed;
  Known->Blamed = Known->Blamed || Blamed;
  return Changed;
}

void CrashRecord::retract(int Run, const std::string &Worker) {
  if (const auto Known = find(Run, Worker);
      Known != Crashes_.end() && !Known->Blamed)
    Crashes_.erase(Known);
}

bool CrashRecord::isConclusive(bool Gang) const {
  std::set<std::pair<int, std::string>> Attempts;
  std::set<std::pair<int, std::string>> BlamedAttempts;
  for (const Crash &Each : Crashes_) {
    const std::pair Attempt(Each.Run, Gang ? std::string() : Each.Worker);
    Attempts.insert(Attempt);
    if (Each.Blamed)
      BlamedAttempts.insert(Attempt);
  }
  return BlamedAttempts.size() >= MaximumBlamedCrashes ||
         Attempts.size() >= MaximumCrashes;
}

nlohmann::json CrashRecord::toJson() const {
  nlohmann::json Stored = nlohmann::json::array();
  for (const Crash &Each : Crashes_)
    Stored.push_back({Each.Run, Each.Worker, Each.Blamed});
  return Stored;
}

CrashRecord CrashRecord::fromJson(const nlohmann::json &Stored) {
  CrashRecord Record;
  for (const nlohmann::json &Each : Stored)
    Record.Crashes_.push_back({.Run = Each.at(0).get<int>(),
                               .Worker = Each.at(1).get<std::string>(),
                               .Blamed = Each.at(2).get<bool>()});
  return Record;
}

} // namespace hickory
