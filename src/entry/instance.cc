#include "entry/instance.h"

#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "entry/tls.h"

namespace daisypond::entry {

namespace {

generation::CopyStoreOptions MakeCopyStoreOptions(const Settings& settings) {
  generation::CopyStoreOptions options;
  options.maximum_bytes = settings.copy_bytes;
  return options;
}

calls::GroupCommitterOptions MakeClaimOptions(const Settings& settings) {
  calls::GroupCommitterOptions options;
  options.max_rows_per_transaction = settings.claim_rows;
  return options;
}

peer::PeerClientOptions MakePeerOptions(const Settings& settings) {
  peer::PeerClientOptions options;
  options.credentials = PeerChannelCredentials(settings.tls);
  return options;
}

}  // namespace

Instance::Instance(Settings instance_settings)
    : settings(std::move(instance_settings)),
      platform_store(&control_client,
                     settings.platform,
                     settings.platform_timeout),
      claims_store(&traffic_client,
                   settings.platform,
                   settings.platform_timeout),
      active_configuration(&metrics),
      targets(&metrics),
      admission_gate([this](const std::string& pool) {
        return targets.FreeSlots(RouteFor(pool), base::Clock::Now()) -
               resume_reserve.WaitingCount(pool);
      }),
      suspects(suspects::SuspectOptions(), &metrics),
      copies(MakeCopyStoreOptions(settings), &metrics),
      peer_client(MakePeerOptions(settings), &metrics),
      claim_ledger(&claims_store,
                   settings.instance,
                   MakeClaimOptions(settings),
                   &metrics),
      holder_tag_(static_cast<uint16_t>(base::RandomNumber())) {}

routing::RouteRequest Instance::RouteFor(const std::string& pool) const {
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

std::optional<routing::Placement> Instance::AcquirePlacement(
    const routing::RouteRequest& route,
    suspects::ContentDigest content) {
  const auto crowding_of = [this, content](const routing::TargetId& id) {
    return suspects.SuspectOverlap(content, id.name);
  };
  return targets.AcquireSlot(route, crowding_of, base::Clock::Now());
}

void Instance::ApplyConfiguration() {
  const auto configuration = active_configuration.Current();
  targets.Configure(configuration->targets);
  admission_gate.Configure(*configuration);
  retry_budget.Configure(configuration->limits.retry_percent);
  suspects.SetTargetCount(configuration->targets.size());
}

}  // namespace daisypond::entry
