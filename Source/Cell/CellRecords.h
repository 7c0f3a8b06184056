#pragma once

#include "Base/Error.h"
#include "Cell/CellConfiguration.h"
#include "Cell/WorkerClient.h"

#include <optional>
#include <string>

namespace hickory {

/// Parses the records that the operator and the workers publish in the store.
class CellRecords {
public:
  virtual ~CellRecords() = default;
  /// Returns an error that names the reason if the record does not describe a
  /// usable worker.
  [[nodiscard]] virtual Result<WorkerEntry>
  parseWorker(const std::string &Key, const std::string &Value) const = 0;
  /// Returns nothing if the record is not a configuration.
  [[nodiscard]] virtual std::optional<CellConfiguration>
  parseConfiguration(const std::string &Key,
                     const std::string &Value) const = 0;
};

} // namespace hickory
