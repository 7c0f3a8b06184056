#include "Work/CrashRecord.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

/// The users permit to give up a task under which two workers have crashed.
constexpr std::size_t MaximumBlamedCrashes = 2;
/// The users permit two starts after three crashes. One crash may have gone
/// unnoticed while another process took over the worker.
constexpr std::size_t MaximumCrashes = 4;

} // namespace

bool CrashRecord::add(const std::string &Run, bool Blamed) {
  if (std::ranges::count(BlamedRuns_, Run) > 0 ||
      std::ranges::count(SuspectedRuns_, Run) > 0)
    return false;
  (Blamed ? BlamedRuns_ : SuspectedRuns_).push_back(Run);
  return true;
}

void CrashRecord::clear() {
  BlamedRuns_.clear();
  SuspectedRuns_.clear();
}

bool CrashRecord::isConclusive() const {
  return BlamedRuns_.size() >= MaximumBlamedCrashes ||
         BlamedRuns_.size() + SuspectedRuns_.size() >= MaximumCrashes;
}

nlohmann::json CrashRecord::toJson() const {
  return nlohmann::json::array({BlamedRuns_, SuspectedRuns_});
}

CrashRecord CrashRecord::fromJson(const nlohmann::json &Stored) {
  CrashRecord Record;
  Record.BlamedRuns_ = Stored.at(0).get<std::vector<std::string>>();
  Record.SuspectedRuns_ = Stored.at(1).get<std::vector<std::string>>();
  return Record;
}

} // namespace hickory
