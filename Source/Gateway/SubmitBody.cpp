#include "Gateway/SubmitBody.h"

#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace hickory {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaximumKeyBytes = 256;
constexpr std::size_t MaximumNameBytes = 128;
constexpr std::size_t MaximumCancelKeys = 20000;
/// Far above any machine, far below what could overflow in sums.
constexpr std::uint64_t MaximumQuantity = 1000000000000;

tl::unexpected<BodyError> refuse(std::string Code, std::string Message) {
  return tl::unexpected<BodyError>(
      BodyError{std::move(Code), std::move(Message)});
}

/// Reads the fields of one JSON object and remembers the first mistake.
class FieldReader {
public:
  explicit FieldReader(const json &Object) : Object_(Object) {}

  std::string text(const char *Name, std::size_t MaximumBytes) {
    Known_.insert(Name);
    if (!Object_.contains(Name))
      return {};
    if (!Object_[Name].is_string()) {
      note("wrong_type", fmt::format("{} must be a string", Name));
      return {};
    }
    std::string Value = Object_[Name].get<std::string>();
    if (Value.size() > MaximumBytes)
      note("too_long", fmt::format("{} is {} bytes long; at most {} are "
                                   "allowed",
                                   Name, Value.size(), MaximumBytes));
    return Value;
  }

  std::uint64_t number(const char *Name, std::uint64_t Default,
                       std::uint64_t Maximum) {
    Known_.insert(Name);
    if (!Object_.contains(Name))
      return Default;
    const json &Value = Object_[Name];
    if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Maximum) {
      note("out_of_range", fmt::format("{} must be a whole number from 0 to {}",
                                       Name, Maximum));
      return Default;
    }
    return Value.get<std::uint64_t>();
  }

  /// The first mistake, or an unknown field.
  [[nodiscard]] std::optional<BodyError> error() const {
    if (Error_)
      return Error_;
    for (const auto &[Name, Value] : Object_.items())
      if (Known_.count(Name) == 0)
        return BodyError{"unknown_field",
                         fmt::format("field {} is not known; remove it", Name)};
    return std::nullopt;
  }

private:
  void note(std::string Code, std::string Message) {
    if (!Error_)
      Error_ = BodyError{std::move(Code), std::move(Message)};
  }

  const json &Object_;
  std::set<std::string> Known_;
  std::optional<BodyError> Error_;
};

std::optional<BodyError> checkKey(const std::string &Key) {
  for (const char Character : Key)
    if (static_cast<unsigned char>(Character) <= ' ' || Character == '#' ||
        Character == 0x7f)
      return BodyError{"bad_key", "key must not contain spaces, control "
                                  "characters or '#'"};
  return std::nullopt;
}

} // namespace

tl::expected<peer::SubmitRequest, BodyError>
parseSubmitBody(const std::string &Body, const SubmitBodyOptions &Options) {
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return refuse("malformed_body", "the body must be one JSON object");
  FieldReader Fields(Document);
  peer::SubmitRequest Request;
  Request.set_is_job(Options.IsJob);
  Request.set_key(Fields.text("key", MaximumKeyBytes));
  Request.set_member(Fields.text("member", MaximumNameBytes));
  Request.set_team(Fields.text("team", MaximumNameBytes));
  Request.set_job_class(Fields.text("class", MaximumNameBytes));
  Request.set_timeout_ms(static_cast<std::int64_t>(
      Fields.number("timeout_ms", Options.DefaultTimeout.count(),
                    Options.MaximumTimeout.count())));
  if (Options.IsJob) {
    Request.set_tasks(static_cast<std::uint32_t>(
        Fields.number("tasks", 1, std::numeric_limits<std::int32_t>::max())));
    auto &PerTask = *Request.mutable_per_task();
    PerTask.set_cpus_milli(Fields.number("cpus_milli", 0, MaximumQuantity));
    PerTask.set_memory_mb(Fields.number("memory_mb", 0, MaximumQuantity));
    PerTask.set_accelerators(
        static_cast<std::uint32_t>(Fields.number("accelerators", 0, 1000000)));
    Request.set_declared_run_ms(
        static_cast<std::int64_t>(Fields.number("run_ms", 0, MaximumQuantity)));
  } else {
    Request.set_payload(
        Fields.text("payload", std::numeric_limits<std::size_t>::max()));
  }
  if (const auto Error = Fields.error())
    return tl::unexpected<BodyError>(*Error);
  if (const auto Error = checkKey(Request.key()))
    return tl::unexpected<BodyError>(*Error);
  if (Request.member().empty())
    return refuse("missing_member", "member must name the member that pays");
  if (Request.job_class().empty())
    return refuse("missing_class", "class must name a job class");
  if (Request.timeout_ms() == 0)
    return refuse("out_of_range", "timeout_ms must be at least 1");
  if (Options.IsJob && Request.tasks() == 0)
    return refuse("out_of_range", "tasks must be at least 1");
  if (Options.IsJob && Request.per_task().cpus_milli() == 0)
    return refuse("missing_size", "cpus_milli must be at least 1");
  return Request;
}

tl::expected<std::vector<std::string>, BodyError>
parseCancelBody(const std::string &Body) {
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("keys") ||
      !Document["keys"].is_array() || Document.size() != 1)
    return refuse("malformed_body", "the body must be {\"keys\": [...]}");
  if (Document["keys"].size() > MaximumCancelKeys)
    return refuse("too_long", fmt::format("at most {} keys may be cancelled "
                                          "with one call",
                                          MaximumCancelKeys));
  std::vector<std::string> Keys;
  for (const json &Key : Document["keys"]) {
    if (!Key.is_string())
      return refuse("wrong_type", "keys must be strings");
    Keys.push_back(Key.get<std::string>());
  }
  return Keys;
}

} // namespace hickory
