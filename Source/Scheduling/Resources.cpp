#include "Scheduling/Resources.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace hickory {

namespace {

double fraction(std::uint64_t Part, std::uint64_t Whole) {
  if (Part == 0)
    return 0;
  return Whole == 0 ? 1.0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

} // namespace

Result<void> Resources::add(const Resources &Other) {
  Resources Sum;
  if (__builtin_add_overflow(CpusMilli, Other.CpusMilli, &Sum.CpusMilli) ||
      __builtin_add_overflow(MemoryMb, Other.MemoryMb, &Sum.MemoryMb) ||
      __builtin_add_overflow(Accelerators, Other.Accelerators,
                             &Sum.Accelerators))
    return fail(ErrorCode::InvalidArgument,
                "sum of resources overflows; use smaller amounts");
  *this = Sum;
  return {};
}

Result<void> Resources::subtract(const Resources &Other) {
  if (!Other.fitsIn(*this))
    return fail(ErrorCode::InvalidArgument,
                fmt::format("cannot subtract {} from {}", Other.toString(),
                            toString()));
  CpusMilli -= Other.CpusMilli;
  MemoryMb -= Other.MemoryMb;
  Accelerators -= Other.Accelerators;
  return {};
}

Result<Resources> Resources::times(std::uint64_t Count) const {
  Resources Product;
  if (__builtin_mul_overflow(CpusMilli, Count, &Product.CpusMilli) ||
      __builtin_mul_overflow(MemoryMb, Count, &Product.MemoryMb) ||
      __builtin_mul_overflow(Accelerators, Count, &Product.Accelerators))
    return fail(ErrorCode::InvalidArgument,
                "product of resources overflows; use smaller amounts");
  return Product;
}

double Resources::dominantShareOf(const Resources &Total) const {
  return std::max({fraction(CpusMilli, Total.CpusMilli),
                   fraction(MemoryMb, Total.MemoryMb),
                   fraction(Accelerators, Total.Accelerators)});
}

std::string Resources::toString() const {
  return fmt::format("{} mCPU, {} MB, {} accelerators", CpusMilli, MemoryMb,
                     Accelerators);
}

Resources Resources::fromRecord(const records::Resources &Record) {
  return {Record.cpus_milli(), Record.memory_mb(), Record.accelerators()};
}

Result<records::Resources> Resources::toRecord() const {
  if (Accelerators > std::numeric_limits<std::uint32_t>::max())
    return fail(ErrorCode::InvalidArgument,
                "accelerators exceed 32 bits; use a smaller amount");
  records::Resources Record;
  Record.set_cpus_milli(CpusMilli);
  Record.set_memory_mb(MemoryMb);
  Record.set_accelerators(static_cast<std::uint32_t>(Accelerators));
  return Record;
}

} // namespace hickory
