#include "entry/instance.h"

#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "entry/tls.h"

namespace daisypond::entry {

namespace {

generation::CopyStoreOptions CopyOptions(const Settings& settings) {
  generation::CopyStoreOptions options;
  options.maximum_bytes = settings.copy_bytes;
  return options;
}

calls::GroupCommitterOptions ClaimOptions(const Settings& settings) {
  calls::GroupCommitterOptions options;
  options.maximum_rows = settings.claim_rows;
  return options;
}

peer::PeerClientOptions PeerOptions(const Settings& settings) {
  peer::PeerClientOptions options;
  options.credentials = PeerChannelCredentials(settings.tls);
  return options;
}

}  // namespace

Instance::Instance(Settings instance_settings)
    : settings(std::move(instance_settings)),
      platform(&control_client, settings.platform, settings.platform_timeout),
      claims_platform(&traffic_client,
                      settings.platform,
                      settings.platform_timeout),
      follower(&metrics),
      targets(&metrics),
      gate([this](const std::string& pool) {
        return targets.FreeSlots(RouteOf(pool), base::Clock::Now()) -
               resume_reserve.Waiting(pool);
      }),
      suspects(suspects::SuspectOptions(), &metrics),
      copies(CopyOptions(settings), &metrics),
      peer_client(PeerOptions(settings), &metrics),
      ledger(&claims_platform,
             settings.instance,
             ClaimOptions(settings),
             &metrics),
      holder_tag_(static_cast<uint16_t>(base::RandomNumber())) {}

routing::RouteRequest Instance::RouteOf(const std::string& pool) const {
  routing::RouteRequest route;
  route.failure_domain = settings.failure_domain;
  route.mode = settings.routing;
  if (pool.starts_with(kServicePoolPrefix)) {
    route.kind = intents::TargetKind::kService;
    route.service = pool.substr(sizeof(kServicePoolPrefix) - 1);
    return route;
  }
  route.kind = intents::TargetKind::kEngine;
  intents::ModelVersion::FromString(pool, &route.model);
  return route;
}

std::optional<routing::Placement> Instance::Acquire(
    const routing::RouteRequest& route,
    suspects::ContentDigest content) {
  const auto crowding_of = [this, content](const routing::TargetId& id) {
    return suspects.Crowding(content, id.name);
  };
  return targets.AcquireSlot(route, crowding_of, base::Clock::Now());
}

void Instance::ApplyConfiguration() {
  const auto configuration = follower.Current();
  targets.Configure(configuration->targets);
  gate.Configure(*configuration);
  retry_budget.Configure(configuration->limits.retry_percent);
  suspects.SetTargetCount(configuration->targets.size());
}

}  // namespace daisypond::entry
