#pragma once

#include "Base/Component.h"
#include "Log/LogReader.h"

#include <string>

namespace hickory {

/// Runs a LogReader under the supervisor.
class LogReaderPart final : public Component {
public:
  LogReaderPart(std::string Name, LogReader &Reader)
      : Name_(std::move(Name)), Reader_(Reader) {}

  [[nodiscard]] std::string_view name() const override { return Name_; }
  asio::awaitable<Result<void>> run() override {
    co_return co_await Reader_.run();
  }
  void stop() override { Reader_.stop(); }

private:
  std::string Name_;
  LogReader &Reader_;
};

} // namespace hickory
