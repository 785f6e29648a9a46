#ifndef DAISYPOND_BASE_HISTOGRAM_H_
#define DAISYPOND_BASE_HISTOGRAM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "base/clock.h"

namespace daisypond::base {

/// Latencies in milliseconds on a logarithmic axis from 0.1 ms to 1,000 s.
/// Thread-safe: cells are atomic counters.
class Histogram {
 public:
  Histogram();

  void Add(double milliseconds);
  int64_t Count() const;

  /// The upper bound in milliseconds of the bin that holds the given
  /// fraction (0 to 1) of all values; 0 when there are none.
  double Quantile(double fraction) const;

  /// Cumulative buckets, sum and count in the Prometheus text format.
  std::string ToPrometheusText(std::string_view name) const;

 private:
  using BinCount = boost::histogram::accumulators::count<int64_t, true>;
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<BinCount>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> bins_;
  BinCount sum_;
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_HISTOGRAM_H_
