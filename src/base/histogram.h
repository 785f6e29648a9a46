#ifndef DAISYPOND_BASE_HISTOGRAM_H_
#define DAISYPOND_BASE_HISTOGRAM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "base/clock.h"

namespace daisypond::base {

/// Histogram of latencies in milliseconds, with logarithmic bins from 0.1 ms
/// to 1,000 s. Thread-safe: the count of each bin is atomic.
class Histogram {
 public:
  Histogram();

  void Add(double milliseconds);
  int64_t Count() const;

  /// Estimates a quantile: `fraction` 0.95 gives the 95th percentile. Returns
  /// the upper bound, in milliseconds, of the bin that contains the quantile,
  /// or 0 when no value has been added.
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
