#include "base/histogram.h"

#include <algorithm>

#include <fmt/format.h>

namespace daisypond::base {

namespace {

constexpr int kBins = 160;
constexpr double kLowestMilliseconds = 0.1;
constexpr double kHighestMilliseconds = 1e6;
constexpr int kBinsPerPrometheusBucket = 10;

}  // namespace

Histogram::Histogram()
    : bins_(std::make_tuple(
                Axis(kBins, kLowestMilliseconds, kHighestMilliseconds)),
            Storage()) {}

void Histogram::Add(double milliseconds) {
  bins_(std::max(milliseconds, kLowestMilliseconds));
  sum_ += static_cast<int64_t>(milliseconds);
}

int64_t Histogram::Count() const {
  int64_t n = 0;
  for (const BinCount& it : bins_) {
    n += it.value();
  }
  return n;
}

double Histogram::Quantile(double fraction) const {
  const auto rank = static_cast<double>(Count()) * fraction;
  if (rank <= 0) {
    return 0;
  }
  int64_t n = 0;
  for (int i = 0; i < kBins; ++i) {
    n += bins_.at(i).value();
    if (static_cast<double>(n) >= rank) {
      return bins_.axis().bin(i).upper();
    }
  }
  return kHighestMilliseconds;
}

std::string Histogram::ToPrometheusText(std::string_view name) const {
  std::string buf = fmt::format("# TYPE daisypond_{} histogram\n", name);
  int64_t n = 0;
  for (int i = 0; i < kBins; ++i) {
    n += bins_.at(i).value();
    if ((i + 1) % kBinsPerPrometheusBucket == 0) {
      buf += fmt::format("daisypond_{}_bucket{{le=\"{:.4g}\"}} {}\n", name,
                         bins_.axis().bin(i).upper(), n);
    }
  }
  const int64_t total = Count();
  buf += fmt::format("daisypond_{}_bucket{{le=\"+Inf\"}} {}\n", name, total);
  buf += fmt::format("daisypond_{}_sum {}\n", name, sum_.value());
  return buf + fmt::format("daisypond_{}_count {}\n", name, total);
}

}  // namespace daisypond::base
