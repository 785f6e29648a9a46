#include "rollout/exposure_plan.h"

#include <algorithm>
#include <cmath>

namespace daisypond::rollout {

namespace {

// Part of the expected requests and of the slack that is counted on. The rest
// covers chance, a fall of the traffic and decisions under way.
constexpr double kExpectedPart = 0.8;
constexpr double kSlackPart = 0.7;
// Part of the bound that is used before the switch.
constexpr double kShortTrialPart = 0.55;
constexpr double kLongTrialPart = 0.7;
// Enough to see a failure in one answer of five with a probability of 0.99.
constexpr double kRouteAnswers = 20;
constexpr double kHighestRouteShare = 0.5;
// Part of its requests that a route with few of them must have answered.
constexpr double kCoveredPart = 0.02;
// Requests may arrive faster after the switch than before.
constexpr double kSwitchRate = 1.1;
constexpr double kShortServiceShare = 0.9;

double Rate(const ExposureInputs& inputs) {
  double rate = 0;
  for (const auto& [name, route] : inputs.routes) {
    rate += route.rate;
  }
  return rate;
}

double SecondsLeft(const ExposureInputs& inputs) {
  return std::max(
      0.0,
      static_cast<double>((inputs.duration - inputs.elapsed).count) / 1000);
}

bool IsCovered(const RouteProgress& route) {
  const double needed =
      std::min(kRouteAnswers,
               std::ceil(kCoveredPart * static_cast<double>(route.requests)));
  return static_cast<double>(route.new_answers) >= needed;
}

// Requests per second that the new version gets on `route` at `share`, raised
// so that the route is covered within `seconds`.
double WantedRate(const RouteProgress& route, double share, double seconds) {
  const double missing = kRouteAnswers - static_cast<double>(route.new_answers);
  const double raised =
      std::min(missing / seconds, kHighestRouteShare * route.rate);
  return std::max(share * route.rate, raised);
}

}  // namespace

double RemainingExposure(const ExposureInputs& inputs) {
  double requests = kExpectedPart * Rate(inputs) * SecondsLeft(inputs);
  for (const auto& [name, route] : inputs.routes) {
    requests += static_cast<double>(route.requests);
  }
  return std::max(0.0, inputs.limits.exposed_share * requests +
                           kSlackPart * inputs.limits.exposed_slack -
                           static_cast<double>(inputs.exposed));
}

int64_t TargetsForShare(double share,
                        int64_t old_targets,
                        int64_t new_targets) {
  const auto filled = static_cast<int64_t>(
      std::lround(share * static_cast<double>(old_targets)));
  return share >= 1 ? new_targets
                    : std::min(std::max<int64_t>(1, filled), new_targets);
}

ExposurePlan PlanExposure(const ExposureInputs& inputs) {
  ExposurePlan plan;
  const double seconds = SecondsLeft(inputs);
  const double rate = Rate(inputs);
  plan.is_covered =
      std::all_of(inputs.routes.begin(), inputs.routes.end(),
                  [](const auto& it) { return IsCovered(it.second); });
  const double remaining = RemainingExposure(inputs);
  const bool is_short = inputs.short_share >= kShortServiceShare;
  if (seconds <= 0) {
    plan.allowed_share = 1;
  } else if (rate > 0) {
    plan.allowed_share =
        std::min(1.0, remaining / (kSwitchRate * rate * seconds));
  }
  plan.may_switch = plan.allowed_share >= (is_short ? 1 : kFirstStep);
  if (seconds <= 0 || rate <= 0 || inputs.new_targets == 0) {
    return plan;
  }
  const double trial_part = is_short ? kShortTrialPart : kLongTrialPart;
  const double reserve = (1 - trial_part) * inputs.limits.exposed_share * rate *
                         static_cast<double>(inputs.duration.count) / 1000;
  const double allowed = std::max(0.0, remaining - reserve) / seconds;
  plan.share = std::min({allowed / rate, inputs.limits.exposed_share, 1.0});
  double wanted = 0;
  for (const auto& [name, route] : inputs.routes) {
    wanted += WantedRate(route, plan.share, seconds);
  }
  const double scale = wanted > allowed ? allowed / wanted : 1;
  for (const auto& [name, route] : inputs.routes) {
    if (route.rate > 0) {
      plan.route_shares[name] = std::min(
          1.0, scale * WantedRate(route, plan.share, seconds) / route.rate);
    }
  }
  plan.share *= scale;
  plan.target_count = TargetsForShare(std::min(1.0, wanted * scale / rate),
                                      inputs.old_targets, inputs.new_targets);
  return plan;
}

}  // namespace daisypond::rollout
