#include "gateway/forwarder_options.h"

namespace daisypond::gateway {

namespace {

// Requests and repeated sends are counted in windows that other instances
// and the users place differently.
constexpr double kRatioShare = 0.7;
// Instances that may share the slack; a deployment has fewer, or so many that
// the ratio's own margin covers the rest.
constexpr double kSlackShares = 40;

}  // namespace

forward::ForwarderOptions ForwarderOptionsOf(const Settings& settings) {
  forward::ForwarderOptions options;
  options.instance = settings.instance;
  options.failure_domain = settings.failure_domain;
  options.retries.window = settings.retries.window;
  options.retries.ratio = settings.retries.ratio * kRatioShare;
  options.retries.allowance = settings.retries.slack / kSlackShares;
  return options;
}

}  // namespace daisypond::gateway
