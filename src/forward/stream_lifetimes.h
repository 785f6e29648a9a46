#ifndef DAISYPOND_FORWARD_STREAM_LIFETIMES_H_
#define DAISYPOND_FORWARD_STREAM_LIFETIMES_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "catalog/configuration.h"

namespace daisypond::forward {

/// Times by service.
using ServiceTimes = std::map<std::string, base::Millis>;

/// Returns until when a caller may take up the stream that an attempt began.
/// `caller_timeout` is what the caller has stated for the attempt, if it has.
base::Millis ResumableUntil(base::Millis arrived_at,
                            std::optional<base::Millis> caller_timeout,
                            base::Millis route_timeout);

/// Returns the longest timeout of the routes with resumable streams of each
/// service.
ServiceTimes LongestTimeouts(const catalog::Configuration& configuration);

/// Knows how long after its first event a stream of a service may be taken up.
/// Reads no clock; all methods get the time as an argument.
class StreamLifetimes {
 public:
  /// Of a service whose routes state less.
  static constexpr base::Millis kMinimum{30'000};

  /// To be called with the timeouts of each new configuration. Streams that
  /// began before keep the timeout that they had.
  void OnConfiguration(const ServiceTimes& timeouts, base::Millis now);

  /// To be called with each stream that is known to be resumable until `until`.
  void OnStream(const std::string& service,
                base::Millis until,
                base::Millis now);

  /// Returns the longest time for which a caller that returns at `now` may have
  /// had its stream.
  base::Millis Longest(const std::string& service, base::Millis now) const;

  /// True if streams of any service may last longer than kMinimum.
  bool HasLongStreams(base::Millis now) const;

 private:
  /// A time that is longer than the configured one, and when the last stream to
  /// which it applies ends.
  struct Extension {
    base::Millis lifetime;
    base::Millis ends_at;
  };

  void Extend(const std::string& service,
              base::Millis lifetime,
              base::Millis now);

  ServiceTimes configured_;
  std::map<std::string, Extension> extensions_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_STREAM_LIFETIMES_H_
