#include "Base/Metrics.h"

#include <array>
#include <fmt/format.h>

namespace hickory {

namespace acc = boost::accumulators;

namespace {

/// Longest value of a label that comes from outside.
constexpr std::size_t MaximumLabelBytes = 64;

constexpr std::array<double, 3> Probabilities = {0.5, 0.99, 0.999};

} // namespace

Distribution::Distribution()
    : Accumulator_(acc::tag::extended_p_square::probabilities = Probabilities) {
}

std::uint64_t Distribution::count() const { return acc::count(Accumulator_); }
double Distribution::sum() const { return acc::sum(Accumulator_); }
double Distribution::maximum() const {
  return count() == 0 ? 0 : acc::max(Accumulator_);
}
double Distribution::percentile(std::size_t Index) const {
  return count() == 0 ? 0 : acc::extended_p_square(Accumulator_)[Index];
}

void Metrics::count(std::string_view Name, double Amount,
                    std::string_view Labels) {
  auto It = Counters_.find(Name);
  if (It == Counters_.end())
    It = Counters_.emplace(Name, std::map<std::string, double>()).first;
  It->second[std::string(Labels)] += Amount;
}

void Metrics::observe(std::string_view Name, double Value) {
  auto It = Distributions_.find(Name);
  if (It == Distributions_.end())
    It = Distributions_.emplace(Name, Distribution()).first;
  It->second.add(Value);
}

void Metrics::gauge(std::string Name, std::function<double()> ReadValue,
                    const std::string &Labels) {
  Gauges_[std::move(Name)][Labels] = std::move(ReadValue);
}

double Metrics::counterValue(std::string_view Name,
                             std::string_view Labels) const {
  const auto It = Counters_.find(Name);
  if (It == Counters_.end())
    return 0;
  const auto Value = It->second.find(std::string(Labels));
  return Value == It->second.end() ? 0 : Value->second;
}

std::string Metrics::render() const {
  std::string Text;
  for (const auto &[Name, ByLabel] : Counters_) {
    Text += fmt::format("# TYPE {} counter\n", Name);
    for (const auto &[Labels, Value] : ByLabel)
      Text += Labels.empty()
                  ? fmt::format("{} {}\n", Name, Value)
                  : fmt::format("{}{{{}}} {}\n", Name, Labels, Value);
  }
  for (const auto &[Name, ByLabels] : Gauges_) {
    Text += fmt::format("# TYPE {} gauge\n", Name);
    for (const auto &[Labels, Read] : ByLabels)
      Text += Labels.empty()
                  ? fmt::format("{} {}\n", Name, Read())
                  : fmt::format("{}{{{}}} {}\n", Name, Labels, Read());
  }
  for (const auto &[Name, Values] : Distributions_) {
    Text += fmt::format("# TYPE {} summary\n", Name);
    for (std::size_t I = 0; I < Probabilities.size(); ++I)
      Text += fmt::format("{}{{quantile=\"{}\"}} {}\n", Name, Probabilities[I],
                          Values.percentile(I));
    Text += fmt::format("{}_sum {}\n{}_count {}\n", Name, Values.sum(), Name,
                        Values.count());
  }
  return Text;
}

std::string metricLabelValue(const std::string &Text) {
  std::size_t Length = std::min(Text.size(), MaximumLabelBytes);
  constexpr unsigned char ContinuationMask = 0xC0;
  constexpr unsigned char Continuation = 0x80;
  while (Length < Text.size() && Length > 0 &&
         (static_cast<unsigned char>(Text[Length]) & ContinuationMask) ==
             Continuation)
    --Length;
  std::string Label;
  for (const char Byte : std::string_view(Text).substr(0, Length)) {
    if (Byte == '\n') {
      Label += "\\n";
      continue;
    }
    if (Byte == '"' || Byte == '\\')
      Label += '\\';
    Label += Byte;
  }
  return Label;
}

} // namespace hickory
