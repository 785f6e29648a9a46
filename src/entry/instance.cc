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
        return targets.FreeSlots(TargetCriteriaFor(pool), base::Clock::Now()) -
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

routing::RouteRequest Instance::TargetCriteriaFor(
    const std::string& pool) const {
  routing::RouteRequest criteria;
  criteria.failure_domain = settings.failure_domain;
  criteria.mode = settings.routing;
  if (pool.starts_with(kServicePoolPrefix)) {
    criteria.kind = intents::TargetKind::kService;
    criteria.service = pool.substr(sizeof(kServicePoolPrefix) - 1);
    return criteria;
  }
  criteria.kind = intents::TargetKind::kEngine;
  intents::ModelVersion::FromString(pool, &criteria.model);
  return criteria;
}

std::optional<routing::Placement> Instance::AcquirePlacement(
    const routing::RouteRequest& criteria,
    suspects::ContentDigest content_digest) {
  const auto suspect_score_of = [this,
                                 content_digest](const routing::TargetId& id) {
    return suspects.SuspectOverlap(content_digest, id.name);
  };
  return targets.AcquireSlot(criteria, suspect_score_of, base::Clock::Now());
}

void Instance::ApplyConfiguration() {
  const auto configuration = active_configuration.Current();
  targets.Configure(configuration->targets);
  admission_gate.Configure(*configuration);
  retry_budget.Configure(configuration->limits.retry_percent);
  suspects.SetTargetCount(configuration->targets.size());
}

}  // namespace daisypond::entry
