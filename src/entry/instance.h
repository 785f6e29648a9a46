#ifndef DAISYPOND_ENTRY_INSTANCE_H_
#define DAISYPOND_ENTRY_INSTANCE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "admission/admission_gate.h"
#include "admission/resume_reserve.h"
#include "admission/retry_budget.h"
#include "base/control_loop.h"
#include "base/metrics.h"
#include "calls/claim_ledger.h"
#include "entry/settings.h"
#include "generation/copy_store.h"
#include "generation/gap_statistics.h"
#include "http/client.h"
#include "intents/active_configuration.h"
#include "membership/copy_peers.h"
#include "membership/peer_directory.h"
#include "peer/peer_client.h"
#include "routing/target_table.h"
#include "store/store_client.h"
#include "suspects/synchronized_suspect_tracker.h"

namespace daisypond::entry {

/// The state of one entry instance, shared by the request handlers and the
/// control thread. Every member is thread-safe.
class Instance {
 public:
  explicit Instance(Settings instance_settings);

  /// Returns the criteria for choosing a target of a pool. A pool is named by
  /// ModelVersion::ToString(), or by kServicePoolPrefix and a service's name.
  routing::RouteRequest TargetCriteriaFor(const std::string& pool) const;

  /// Chooses a target and reserves capacity there for a request with the given
  /// content. Empty if no target has free capacity.
  std::optional<routing::Placement> AcquirePlacement(
      const routing::RouteRequest& criteria,
      suspects::ContentDigest content_digest);

  /// Applies the active configuration to the targets, the admission gate, the
  /// retry budget and the suspect tracker.
  void ApplyConfiguration();

  /// A random number that is part of every epoch that this instance creates. It
  /// distinguishes these epochs, and the appends to copies that carry them,
  /// from those of other instances.
  uint16_t HolderTag() const { return holder_tag_; }

  /// True once a peer is known or kPeerDiscoveryTime has passed since the
  /// start. While this is false, a peer that this instance has not discovered
  /// yet may hold a copy of a generation that a caller wants to resume.
  bool HasDiscoveredPeers() const {
    return !peers.Current()->empty() ||
           base::Clock::Now() - started_at_ >= kPeerDiscoveryTime;
  }

  membership::Location OwnLocation() const {
    return {settings.failure_domain, settings.region};
  }

  static constexpr char kServicePoolPrefix[] = "service/";

  const Settings settings;
  base::Metrics metrics;
  std::atomic<bool> is_stopping = false;
  /// When this time is reached, open streams are handed over to other
  /// instances. In milliseconds of base::Clock; zero while the instance is not
  /// stopping.
  std::atomic<int64_t> drain_deadline_ms = 0;
  base::ControlLoop control_loop;
  // Request handling and control work use separate clients, so that neither
  // delays the other.
  http::Client traffic_client;
  http::Client control_client;
  // Two clients of the platform's store: one for control work and one for the
  // claims of service calls.
  store::StoreClient platform_store;
  store::StoreClient claims_store;
  intents::ActiveConfiguration active_configuration;
  routing::TargetTable targets;
  /// Slots that are withheld from new requests, for generations that have lost
  /// their target and wait to resume.
  admission::ResumeReserve resume_reserve;
  admission::AdmissionGate admission_gate;
  admission::RetryBudget retry_budget;
  suspects::SynchronizedSuspectTracker suspects;
  generation::CopyStore copies;
  generation::GapStatisticsTable token_gap_statistics;
  membership::PeerDirectory peers;
  peer::PeerClient peer_client;
  calls::ClaimLedger<store::StoreClient> claim_ledger;

 private:
  /// If no peer has been found within this time after the start, the instance
  /// assumes that there are no peers.
  static constexpr base::Millis kPeerDiscoveryTime{5000};

  base::Millis started_at_ = base::Clock::Now();
  uint16_t holder_tag_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_INSTANCE_H_
