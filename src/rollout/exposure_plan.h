#ifndef DAISYPOND_ROLLOUT_EXPOSURE_PLAN_H_
#define DAISYPOND_ROLLOUT_EXPOSURE_PLAN_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "rollout/types.h"

namespace daisypond::rollout {

/// What is known of one route of the service since the order.
struct RouteProgress {
  int64_t requests = 0;
  /// Expected requests per second.
  double rate = 0;
  /// Answers of the new version that have been compared.
  int64_t new_answers = 0;
};

struct ExposureInputs {
  Limits limits;
  base::Millis duration;
  /// Since the order.
  base::Millis elapsed;
  std::map<std::string, RouteProgress> routes;
  /// Requests that the new version got so far.
  int64_t exposed = 0;
  /// Share of the requests that take less than kShortRequest, from 0 to 1.
  double short_share = 0;
  int64_t old_targets = 0;
  int64_t new_targets = 0;
};

struct ExposurePlan {
  double share = 0;
  std::map<std::string, double> route_shares;
  int64_t target_count = 0;
  /// Each route has got enough answers of the new version.
  bool is_covered = false;
  /// Largest share that what is left of the bound allows until the deadline; 1
  /// after it.
  double allowed_share = 0;
  /// The trial may end: all requests, or the first step of long ones, may go to
  /// the new version.
  bool may_switch = false;
};

/// Number of requests that the new version may still get before the deadline.
double RemainingExposure(const ExposureInputs& inputs);

/// Returns the shares from now on. If they are kept, the expected number of
/// requests at the new version until the deadline stays within `limits`.
ExposurePlan PlanExposure(const ExposureInputs& inputs);

/// Long requests are moved in steps, the first of this share, each twice the
/// one before.
inline constexpr double kFirstStep = 0.25;

/// Number of targets that `share` of the requests fill about as much as the
/// earlier targets were filled by all of them; at least one, if there is one.
int64_t TargetsForShare(double share, int64_t old_targets, int64_t new_targets);

}  // namespace daisypond::rollout

#endif  // DAISYPOND_ROLLOUT_EXPOSURE_PLAN_H_
