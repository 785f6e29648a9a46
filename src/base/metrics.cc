#include "base/metrics.h"

#include <fmt/format.h>

#include "base/log.h"

namespace daisypond::base {

namespace {

constexpr auto kRelaxed = std::memory_order_relaxed;

template <typename Enum>
size_t IndexOf(Enum value) {
  return static_cast<size_t>(value);
}

template <typename Counts, typename Names>
std::string FormatLabelledCounter(std::string_view name,
                                  std::string_view label,
                                  const Counts& counts,
                                  const Names& names) {
  std::string buf = fmt::format("# TYPE daisypond_{} counter\n", name);
  for (size_t i = 0; i < counts.size(); ++i) {
    using Enum = std::decay_t<decltype(*names.ValueOf(""))>;
    buf += fmt::format("daisypond_{}{{{}=\"{}\"}} {}\n", name, label,
                       names.NameOf(static_cast<Enum>(i)),
                       counts[i].load(kRelaxed));
  }
  return buf;
}

}  // namespace

void Metrics::Add(Counter counter, int64_t n) {
  counters_[IndexOf(counter)].fetch_add(n, kRelaxed);
}

void Metrics::Set(Gauge gauge, int64_t value) {
  gauges_[IndexOf(gauge)].store(value, kRelaxed);
}

void Metrics::AddRefusal(Reason reason) {
  refusals_[IndexOf(reason)].fetch_add(1, kRelaxed);
}

void Metrics::AddRetry(Reason reason) {
  retries_[IndexOf(reason)].fetch_add(1, kRelaxed);
}

void Metrics::Observe(Timer timer, Millis duration) {
  timers_[IndexOf(timer)].Add(static_cast<double>(duration.count));
}

bool Metrics::CheckInvariant(Invariant invariant, bool holds) {
  invariant_checks_[IndexOf(invariant)].fetch_add(1, kRelaxed);
  if (!holds) {
    invariant_violations_[IndexOf(invariant)].fetch_add(1, kRelaxed);
    Log(LogLevel::kError, "invariant_violated",
        {{"invariant", kInvariantNames.NameOf(invariant)}});
  }
  return holds;
}

int64_t Metrics::Value(Counter counter) const {
  return counters_[IndexOf(counter)].load(kRelaxed);
}

int64_t Metrics::Value(Gauge gauge) const {
  return gauges_[IndexOf(gauge)].load(kRelaxed);
}

int64_t Metrics::Refusals(Reason reason) const {
  return refusals_[IndexOf(reason)].load(kRelaxed);
}

int64_t Metrics::Retries(Reason reason) const {
  return retries_[IndexOf(reason)].load(kRelaxed);
}

int64_t Metrics::InvariantChecks(Invariant invariant) const {
  return invariant_checks_[IndexOf(invariant)].load(kRelaxed);
}

int64_t Metrics::InvariantViolations(Invariant invariant) const {
  return invariant_violations_[IndexOf(invariant)].load(kRelaxed);
}

std::string Metrics::ToPrometheusText() const {
  std::string buf;
  for (size_t i = 0; i < counters_.size(); ++i) {
    const auto name = kCounterNames.NameOf(static_cast<Counter>(i));
    buf += fmt::format("# TYPE daisypond_{0} counter\ndaisypond_{0} {1}\n",
                       name, counters_[i].load(kRelaxed));
  }
  for (size_t i = 0; i < gauges_.size(); ++i) {
    const auto name = kGaugeNames.NameOf(static_cast<Gauge>(i));
    buf += fmt::format("# TYPE daisypond_{0} gauge\ndaisypond_{0} {1}\n", name,
                       gauges_[i].load(kRelaxed));
  }
  buf += FormatLabelledCounter("refusals_total", "reason", refusals_,
                               kReasonNames);
  buf +=
      FormatLabelledCounter("retries_total", "reason", retries_, kReasonNames);
  buf += FormatLabelledCounter("invariant_checked_total", "invariant",
                               invariant_checks_, kInvariantNames);
  buf += FormatLabelledCounter("invariant_violated_total", "invariant",
                               invariant_violations_, kInvariantNames);
  for (size_t i = 0; i < timers_.size(); ++i) {
    buf +=
        timers_[i].ToPrometheusText(kTimerNames.NameOf(static_cast<Timer>(i)));
  }
  return buf;
}

}  // namespace daisypond::base
