#pragma once

#include "Records.pb.h"

#include <cstdint>

namespace hickory {

/// Receives the job records of a domain stream in log order, on every instance
/// of the domain, whoever wrote them.
class JobRecordSink {
public:
  virtual ~JobRecordSink() = default;

  /// Records of expired incarnations are not passed on.
  virtual void apply(std::uint64_t Offset, std::uint64_t Incarnation,
                     const records::Record &Record) = 0;
  virtual void load(const records::DomainSnapshot &Snapshot) = 0;
  virtual void save(records::DomainSnapshot &Snapshot) const = 0;
};

} // namespace hickory
