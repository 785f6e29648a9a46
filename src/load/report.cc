#include "load/report.h"

#include <fmt/format.h>

#include "base/json.h"

namespace daisypond::load {

namespace {

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

base::Json QuantilesToJson(const base::Histogram& histogram) {
  return {{"count", histogram.Count()},
          {"p50", histogram.Quantile(kQuantiles[0])},
          {"p95", histogram.Quantile(kQuantiles[1])},
          {"p99", histogram.Quantile(kQuantiles[2])}};
}

std::string FormatQuantiles(std::string_view name,
                            const base::Histogram& histogram) {
  return fmt::format("{} count={} p50={:.0f} p95={:.0f} p99={:.0f}\n", name,
                     histogram.Count(), histogram.Quantile(kQuantiles[0]),
                     histogram.Quantile(kQuantiles[1]),
                     histogram.Quantile(kQuantiles[2]));
}

}  // namespace

void Report::Add(ResultCounter counter, int64_t n) {
  counters_[static_cast<size_t>(counter)] += n;
}

void Report::Observe(LatencyKind kind, double milliseconds) {
  latencies_[static_cast<size_t>(kind)].Add(milliseconds);
}

void Report::CountErrorReason(const std::string& reason) {
  const std::lock_guard lock(mutex_);
  ++reason_counts_[reason];
}

void Report::ObserveWorkspaceFirstToken(const std::string& workspace,
                                        double milliseconds) {
  const std::lock_guard lock(mutex_);
  first_token_by_workspace_[workspace].Add(milliseconds);
}

int64_t Report::Value(ResultCounter counter) const {
  return counters_[static_cast<size_t>(counter)];
}

int64_t Report::CorrectnessErrors() const {
  return Value(ResultCounter::kTokensMissing) +
         Value(ResultCounter::kTokensRepeated) +
         Value(ResultCounter::kTokensMixed) +
         Value(ResultCounter::kTokensCrossed) +
         Value(ResultCounter::kDigestsWrong);
}

std::string Report::ToText(double seconds) const {
  std::string buf = fmt::format("seconds={:.1f}", seconds);
  for (size_t i = 0; i < counters_.size(); ++i) {
    const auto counter = static_cast<ResultCounter>(i);
    if (Value(counter) != 0) {
      buf += fmt::format(" {}={}", kResultCounterNames.NameOf(counter),
                         Value(counter));
    }
  }
  buf += "\n";
  for (size_t i = 0; i < latencies_.size(); ++i) {
    if (latencies_[i].Count() > 0) {
      buf += FormatQuantiles(
          kLatencyKindNames.NameOf(static_cast<LatencyKind>(i)), latencies_[i]);
    }
  }
  const std::lock_guard lock(mutex_);
  for (const auto& [workspace, histogram] : first_token_by_workspace_) {
    buf += FormatQuantiles("first_token_ms workspace=" + workspace, histogram);
  }
  for (const auto& [reason, n] : reason_counts_) {
    buf += fmt::format("answers reason={} count={}\n", reason, n);
  }
  return buf +
         fmt::format("tokens={} missing={} repeated={} mixed={} crossed={}\n",
                     Value(ResultCounter::kTokens),
                     Value(ResultCounter::kTokensMissing),
                     Value(ResultCounter::kTokensRepeated),
                     Value(ResultCounter::kTokensMixed),
                     Value(ResultCounter::kTokensCrossed));
}

std::string Report::ToJson(double seconds) const {
  base::Json value = {{"seconds", seconds}};
  for (size_t i = 0; i < counters_.size(); ++i) {
    const auto counter = static_cast<ResultCounter>(i);
    value["counts"][std::string(kResultCounterNames.NameOf(counter))] =
        Value(counter);
  }
  for (size_t i = 0; i < latencies_.size(); ++i) {
    const auto name = kLatencyKindNames.NameOf(static_cast<LatencyKind>(i));
    value["spans"][std::string(name)] = QuantilesToJson(latencies_[i]);
  }
  const std::lock_guard lock(mutex_);
  value["reasons"] = reason_counts_;
  return base::WriteJson(value);
}

}  // namespace daisypond::load
