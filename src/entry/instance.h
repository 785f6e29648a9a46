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
#include "intents/follower.h"
#include "membership/copy_peers.h"
#include "membership/peer_directory.h"
#include "peer/peer_client.h"
#include "routing/target_table.h"
#include "store/store_client.h"
#include "suspects/suspect_board.h"

namespace daisypond::entry {

/// The state of one entry instance that its handlers and its control loop
/// share. Every member is thread-safe.
class Instance {
 public:
  explicit Instance(Settings instance_settings);

  /// The route that requests of one pool take. A pool is the text of a
  /// ModelVersion, or kServicePoolPrefix and a service's name.
  routing::RouteRequest RouteOf(const std::string& pool) const;

  /// Acquires a place for a request with this content.
  std::optional<routing::Placement> Acquire(const routing::RouteRequest& route,
                                            suspects::ContentDigest content);

  /// Puts what depends on the configuration in step with it.
  void ApplyConfiguration();

  /// Marks this instance's appends among those of others in copies.
  uint16_t HolderTag() const { return holder_tag_; }

  /// False while a new instance may still hear of peers: until then it can't
  /// tell whether a copy exists.
  bool KnowsPeers() const {
    return !peers.Current()->empty() ||
           base::Clock::Now() - started_at_ >= kLonelyAfter;
  }

  membership::Location OwnPlace() const {
    return {settings.failure_domain, settings.region};
  }

  static constexpr char kServicePoolPrefix[] = "service/";

  const Settings settings;
  base::Metrics metrics;
  std::atomic<bool> is_stopping = false;
  /// When streams are handed to other instances, in Clock milliseconds; zero
  /// while the instance is not stopping.
  std::atomic<int64_t> drain_until = 0;
  base::ControlLoop control;
  // Traffic and control use clients of their own, so that neither waits for
  // the other.
  http::Client traffic_client;
  http::Client control_client;
  store::StoreClient platform;
  store::StoreClient claims_platform;
  intents::Follower follower;
  routing::TargetTable targets;
  admission::ResumeReserve resume_reserve;
  admission::AdmissionGate gate;
  admission::RetryBudget retry_budget;
  suspects::SuspectBoard suspects;
  generation::CopyStore copies;
  generation::GapStatisticsTable gaps;
  membership::PeerDirectory peers;
  peer::PeerClient peer_client;
  calls::ClaimLedger<store::StoreClient> ledger;

 private:
  /// With no peer heard of for so long, the instance counts as alone.
  static constexpr base::Millis kLonelyAfter{5000};

  base::Millis started_at_ = base::Clock::Now();
  uint16_t holder_tag_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_INSTANCE_H_
