#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <optional>
#include <string>

namespace hickory::emulator {

using nlohmann::json;

/// Resource needs and emulated behaviour of a run. The load tool writes them
/// into the job's `spec`, which is all that the emulator knows of a job.
struct RunPlan {
  std::string Queue;
  std::string Step;  ///< JOB.OCCURRENCE.STEP of the task.
  int TaskCount = 1; ///< Number of tasks of the step.
  std::int64_t CpusMilli = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Accelerators = 0;
  std::chrono::milliseconds WorkTime{100};
  bool Gang = false;
  /// Time after the start of the run at which it crashes its worker; nothing if
  /// it crashes none.
  std::optional<std::chrono::milliseconds> CrashDelay;
};

/// Returns the plan for the task JOB.OCCURRENCE.STEP.INDEX; nothing if Spec was
/// not written by the load tool or has no such step.
inline std::optional<RunPlan> parseRunPlan(const std::string &Task,
                                           const std::string &Spec) {
  const json Parsed = json::parse(Spec, nullptr, false);
  const std::size_t IndexDot = Task.rfind('.');
  if (!Parsed.is_object() || IndexDot == std::string::npos)
    return std::nullopt;
  RunPlan Plan;
  Plan.Step = Task.substr(0, IndexDot);
  try {
    const auto StepIndex =
        std::stoul(Plan.Step.substr(Plan.Step.rfind('.') + 1));
    const json &Step = Parsed.at("steps").at(StepIndex);
    Plan.Queue = Parsed.at("queue").get<std::string>();
    Plan.TaskCount = Step.value("count", 1);
    Plan.CpusMilli = Step.value("cpu", std::int64_t{0});
    Plan.MemoryMb = Step.value("mem-mb", std::int64_t{0});
    Plan.Accelerators = Step.value("gpu", std::int64_t{0});
    Plan.WorkTime = std::chrono::milliseconds(Step.value("ms", 100));
    Plan.Gang = Step.value("gang", false);
    // Only the first task of a job crashes its workers.
    if (StepIndex == 0 && Task.substr(IndexDot) == ".0" &&
        Parsed.contains("crash-after-ms"))
      Plan.CrashDelay = std::chrono::milliseconds(
          Parsed.at("crash-after-ms").get<std::int64_t>());
  } catch (const std::exception &) {
    return std::nullopt;
  }
  return Plan;
}

/// Returns a number in [0, 1) that depends only on the seed and the text. The
/// numbers of different texts are uniformly distributed.
inline double uniformFromHash(std::uint64_t Seed, const std::string &Text) {
  const std::string HashedText = std::to_string(Seed) + "/" + Text;
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  EVP_Digest(HashedText.data(), HashedText.size(), Digest.data(), nullptr,
             EVP_sha256(), nullptr);
  std::uint64_t Value = 0;
  for (int Index = 0; Index < 6; ++Index)
    Value = (Value << 8) | Digest[static_cast<std::size_t>(Index)];
  return static_cast<double>(Value) / static_cast<double>(1ULL << 48);
}

} // namespace hickory::emulator
