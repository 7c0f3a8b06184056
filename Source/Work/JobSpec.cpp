#include "Work/JobSpec.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hickory {

namespace {

using nlohmann::json;

/// Writes the value only if it differs from its default.
template <typename T>
void put(json &Json, const char *Key, const T &Value, const T &Default = {}) {
  if (Value != Default)
    Json[Key] = Value;
}

template <typename T>
T get(const json &Json, const char *Key, const T &Default = {}) {
  const auto It = Json.find(Key);
  return It == Json.end() ? Default : It->get<T>();
}

std::chrono::milliseconds getMs(const json &Json, const char *Key) {
  return std::chrono::milliseconds(get<std::int64_t>(Json, Key));
}

std::optional<int> parseNumber(std::string_view Text) {
  int Value = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Code != std::errc() || End != Text.data() + Text.size() || Value < 0)
    return std::nullopt;
  return Value;
}

} // namespace

std::string TaskName::toString() const {
  return fmt::format("{}.{}.{}.{}", Job, Occurrence, Step, Index);
}

std::string TaskName::stepName() const {
  return fmt::format("{}.{}.{}", Job, Occurrence, Step);
}

std::optional<TaskName> TaskName::parse(const std::string &Text) {
  std::string_view Rest = Text;
  int Numbers[3] = {};
  for (int I = 2; I >= 0; --I) {
    const std::size_t Dot = Rest.rfind('.');
    if (Dot == std::string_view::npos)
      return std::nullopt;
    const auto Number = parseNumber(Rest.substr(Dot + 1));
    if (!Number)
      return std::nullopt;
    Numbers[I] = *Number;
    Rest = Rest.substr(0, Dot);
  }
  return TaskName{.Job = std::string(Rest),
                  .Occurrence = Numbers[0],
                  .Step = Numbers[1],
                  .Index = Numbers[2]};
}

void to_json(json &Json, const Resources &Value) {
  Json = json::array({Value.CpusMilli, Value.MemoryMb, Value.Accelerators});
}

void from_json(const json &Json, Resources &Value) {
  Value = {.CpusMilli = Json.at(0).get<std::uint64_t>(),
           .MemoryMb = Json.at(1).get<std::uint64_t>(),
           .Accelerators = Json.at(2).get<std::uint64_t>()};
}

void to_json(json &Json, const QueuePolicy &Value) {
  Json = json{
      {"name", Value.Name},         {"host", Value.Host},
      {"path", Value.PathPrefix},   {"service", Value.Service},
      {"priority", Value.Priority}, {"attempts", Value.MaximumAttempts},
      {"stretch", Value.Stretch},   {"target_ms", Value.TargetLatency.count()}};
  if (Value.Advice)
    Json["advice"] = json::array({Value.Advice->DecisionTime.count(),
                                  Value.Advice->TimePerWorker.count(),
                                  Value.Advice->Validity.count()});
}

void from_json(const json &Json, QueuePolicy &Value) {
  Value.Name = Json.at("name").get<std::string>();
  Value.Host = get<std::string>(Json, "host");
  Value.PathPrefix = get<std::string>(Json, "path");
  Value.Service = get<std::string>(Json, "service");
  Value.Priority = get<int>(Json, "priority");
  Value.MaximumAttempts = get<int>(Json, "attempts", 1);
  Value.Stretch = get<double>(Json, "stretch", 1.0);
  Value.TargetLatency = getMs(Json, "target_ms");
  if (const auto It = Json.find("advice"); It != Json.end())
    Value.Advice = AdvicePolicy{
        .DecisionTime =
            std::chrono::duration<double, std::milli>(It->at(0).get<double>()),
        .TimePerWorker =
            std::chrono::duration<double, std::milli>(It->at(1).get<double>()),
        .Validity = std::chrono::milliseconds(It->at(2).get<std::int64_t>())};
}

void to_json(json &Json, const StepSpec &Value) {
  Json = json{{"n", Value.Count}, {"d", Value.Demand}};
  put<std::int64_t>(Json, "e", Value.EstimatedDuration.count());
  put(Json, "after", Value.DependsOn);
  put(Json, "ckpt", Value.Checkpointing);
  put(Json, "gang", Value.Gang);
  put(Json, "same_rack", Value.SameRack);
  put(Json, "spec", Value.Speculative);
  put(Json, "long", Value.LongRunning);
  put(Json, "fills", Value.BestEffortCpu);
  put(Json, "labels", Value.RequiredLabels);
  put(Json, "rack", Value.DataRack);
  put(Json, "anti", Value.MaximumPerWorker);
}

void from_json(const json &Json, StepSpec &Value) {
  Value.Count = Json.at("n").get<int>();
  Value.Demand = Json.at("d").get<Resources>();
  Value.EstimatedDuration = getMs(Json, "e");
  Value.DependsOn = get<std::vector<int>>(Json, "after");
  Value.Checkpointing = get<bool>(Json, "ckpt");
  Value.Gang = get<bool>(Json, "gang");
  Value.SameRack = get<bool>(Json, "same_rack");
  Value.Speculative = get<bool>(Json, "spec");
  Value.LongRunning = get<bool>(Json, "long");
  Value.BestEffortCpu = get<bool>(Json, "fills");
  Value.RequiredLabels = get<std::vector<std::string>>(Json, "labels");
  Value.DataRack = get<std::string>(Json, "rack");
  Value.MaximumPerWorker = get<int>(Json, "anti");
}

void to_json(json &Json, const JobSpec &Value) {
  Json = json{{"id", Value.Id}, {"queue", Value.Queue}, {"steps", Value.Steps}};
  put(Json, "account", Value.Account);
  put(Json, "payload", Value.Payload);
  put(Json, "repeat", Value.Repetitions);
  put<std::int64_t>(Json, "first_ms", Value.FirstRun.count());
  put<std::int64_t>(Json, "interval_ms", Value.Interval.count());
}

void from_json(const json &Json, JobSpec &Value) {
  Value.Id = Json.at("id").get<std::string>();
  Value.Queue = Json.at("queue").get<QueuePolicy>();
  Value.Steps = Json.at("steps").get<std::vector<StepSpec>>();
  Value.Account = get<std::string>(Json, "account");
  Value.Payload = get<std::string>(Json, "payload");
  Value.Repetitions = get<int>(Json, "repeat");
  Value.FirstRun = getMs(Json, "first_ms");
  Value.Interval = getMs(Json, "interval_ms");
}

} // namespace hickory
