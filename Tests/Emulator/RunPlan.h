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

/// What a run needs and does. The load tool writes it into the job's `spec`, so
/// that the emulator needs no other knowledge of the jobs.
struct RunPlan {
  std::string Queue;
  std::string Step; ///< ID.K.STEP of the task.
  int Count = 1;    ///< Tasks of the step.
  std::int64_t Cpu = 0;
  std::int64_t MemoryMb = 0;
  std::int64_t Gpu = 0;
  std::chrono::milliseconds Work{100};
  bool Gang = false;
};

/// The plan for the task ID.K.STEP.INDEX; nothing if the text is not one of the
/// load tool or has no such step.
inline std::optional<RunPlan> planFrom(const std::string &Task,
                                       const std::string &Spec) {
  const json Text = json::parse(Spec, nullptr, false);
  const std::size_t IndexDot = Task.rfind('.');
  if (!Text.is_object() || IndexDot == std::string::npos)
    return std::nullopt;
  RunPlan Plan;
  Plan.Step = Task.substr(0, IndexDot);
  try {
    const auto Number = std::stoul(Plan.Step.substr(Plan.Step.rfind('.') + 1));
    const json &Step = Text.at("steps").at(Number);
    Plan.Queue = Text.at("queue").get<std::string>();
    Plan.Count = Step.value("count", 1);
    Plan.Cpu = Step.value("cpu", std::int64_t{0});
    Plan.MemoryMb = Step.value("mem-mb", std::int64_t{0});
    Plan.Gpu = Step.value("gpu", std::int64_t{0});
    Plan.Work = std::chrono::milliseconds(Step.value("ms", 100));
    Plan.Gang = Step.value("gang", false);
  } catch (const std::exception &) {
    return std::nullopt;
  }
  return Plan;
}

/// The same number for the same text and seed, uniform in [0, 1).
inline double drawFrom(std::uint64_t Seed, const std::string &Text) {
  const std::string Whole = std::to_string(Seed) + "/" + Text;
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  EVP_Digest(Whole.data(), Whole.size(), Digest.data(), nullptr, EVP_sha256(),
             nullptr);
  std::uint64_t Value = 0;
  for (int Index = 0; Index < 6; ++Index)
    Value = (Value << 8) | Digest[static_cast<std::size_t>(Index)];
  return static_cast<double>(Value) / static_cast<double>(1ULL << 48);
}

} // namespace hickory::emulator
