#include "forward/stream_lifetimes.h"

#include <algorithm>

namespace daisypond::forward {

namespace {

// Callers may state any timeout. Beyond the route's, it counts up to this time.
constexpr base::Millis kMaximumStatedTimeout{600'000};

base::Millis TimeOf(const ServiceTimes& times, const std::string& service) {
  const auto found = times.find(service);
  return found == times.end() ? base::Millis{0} : found->second;
}

}  // namespace

base::Millis ResumableUntil(base::Millis arrived_at,
                            std::optional<base::Millis> caller_timeout,
                            base::Millis route_timeout) {
  return arrived_at + std::min(caller_timeout.value_or(route_timeout),
                               std::max(route_timeout, kMaximumStatedTimeout));
}

ServiceTimes LongestTimeouts(const catalog::Configuration& configuration) {
  ServiceTimes longest;
  for (const catalog::Route& route : configuration.routes) {
    if (route.repeatability != catalog::Repeatability::kResumable) {
      continue;
    }
    for (const catalog::WeightedService& it : route.services) {
      base::Millis& timeout = longest[it.service];
      timeout = std::max(timeout, route.timeout);
    }
  }
  return longest;
}

void StreamLifetimes::OnConfiguration(const ServiceTimes& timeouts,
                                      base::Millis now) {
  for (const auto& it : configured_) {
    if (TimeOf(timeouts, it.first) < it.second) {
      Extend(it.first, it.second, now);
    }
  }
  configured_ = timeouts;
}

void StreamLifetimes::OnStream(const std::string& service,
                               base::Millis until,
                               base::Millis now) {
  if (until - now > std::max(kMinimum, TimeOf(configured_, service))) {
    Extend(service, until - now, now);
  }
}

void StreamLifetimes::Extend(const std::string& service,
                             base::Millis lifetime,
                             base::Millis now) {
  Extension& extension =
      extensions_.try_emplace(service, Extension{lifetime, now + lifetime})
          .first->second;
  extension.lifetime = now < extension.ends_at
                           ? std::max(extension.lifetime, lifetime)
                           : lifetime;
  extension.ends_at = std::max(extension.ends_at, now + lifetime);
}

base::Millis StreamLifetimes::Longest(const std::string& service,
                                      base::Millis now) const {
  const base::Millis longest = std::max(kMinimum, TimeOf(configured_, service));
  const auto extension = extensions_.find(service);
  return extension != extensions_.end() && now < extension->second.ends_at
             ? std::max(longest, extension->second.lifetime)
             : longest;
}

bool StreamLifetimes::HasLongStreams(base::Millis now) const {
  const auto is_long = [](const auto& it) { return it.second > kMinimum; };
  const auto is_in_force = [&](const auto& it) {
    return now < it.second.ends_at;
  };
  return std::any_of(configured_.begin(), configured_.end(), is_long) ||
         std::any_of(extensions_.begin(), extensions_.end(), is_in_force);
}

}  // namespace daisypond::forward
