#pragma once

#include "Base/Error.h"
#include "Peer.pb.h"

#include <chrono>
#include <string>
#include <vector>

namespace hickory {

/// Why a request body was refused; goes into the response as it is.
struct BodyError {
  std::string Code; ///< Machine-readable, lower_snake_case.
  std::string Message;
};

struct SubmitBodyOptions {
  bool IsJob = false;
  std::chrono::milliseconds DefaultTimeout{10000};
  std::chrono::milliseconds MaximumTimeout{600000};
};

/// Parses the body of POST /v1/requests or /v1/jobs. Unknown fields, wrong
/// types, and negative or overflowing quantities are refused. The key may be
/// empty.
tl::expected<peer::SubmitRequest, BodyError>
parseSubmitBody(const std::string &Body, const SubmitBodyOptions &Options);

/// Parses {"keys": [...]}.
tl::expected<std::vector<std::string>, BodyError>
parseCancelBody(const std::string &Body);

} // namespace hickory
