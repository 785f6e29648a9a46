#ifndef DAISYPOND_GATEWAY_PEER_LINK_H_
#define DAISYPOND_GATEWAY_PEER_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "catalog/catalog.h"
#include "forward/forwarder.h"
#include "forward/suspect.h"
#include "forward/target_loss.h"
#include "forward/tunnel_peer.h"
#include "gateway/catalog_source.h"
#include "gateway/catalog_tree.h"
#include "gateway/settings.h"
#include "gateway/shared_request_limit.h"
#include "gateway/shared_retry_budget.h"
#include "gateway/shared_slots.h"
#include "gateway/shared_stream_records.h"
#include "peer/membership_protocol.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace daisypond::gateway {

/// Functions that the owner of a PeerLink supplies. All run on the control
/// thread, except `post`.
struct PeerLinkCallbacks {
  /// Runs a task on the control thread, from any thread.
  std::function<void(std::function<void()>)> post;
  std::function<uint64_t()> configuration_version;
  /// Returns the digest of the text of the configuration; 0 if there is none.
  std::function<uint64_t()> configuration_digest;
  /// Returns whether a newer configuration has been known for so long that
  /// peers that have it are to be asked for it.
  std::function<bool()> lacks_configuration;
  /// Returns the catalog for a peer: the configuration if the peer's is older,
  /// and either all targets or only the changes made after the revision that
  /// the peer has.
  std::function<PeerCatalog(const peer::FetchCatalogRequest&)>
      catalog_newer_than;
  /// Returns the version of the table service that this instance's targets
  /// match; without a number if unknown.
  std::function<catalog::TableVersion()> table_version;
  /// Returns the time since the targets were last known to match the table
  /// service; empty if there are none.
  std::function<std::optional<base::Millis>()> targets_age;
  /// Returns a number that identifies the current set of targets. The number
  /// changes whenever the set changes.
  std::function<uint64_t()> targets_revision;
  /// Returns whether to fetch the catalog from peers at present.
  std::function<bool()> needs_catalog;
  /// Returns whether to fetch the configuration from peers in addition to the
  /// targets.
  std::function<bool()> needs_configuration;
  /// Returns whether this instance can read the configuration itself.
  std::function<bool()> can_read_configuration;
  /// Called with each catalog fetched from a peer. Returns whether the targets
  /// were adopted.
  std::function<bool(const PeerCatalog&)> on_catalog;
  /// Called with the version of a peer's configuration when its catalog was
  /// fetched, and with the newest one of all peers after membership messages.
  std::function<void(uint64_t version)> on_configuration_version;
  /// Called when a peer reports that it has lost a target. `content_hash` is
  /// the hash of a request that may have crashed the target, or zero if there
  /// is none.
  std::function<void(const forward::TargetLoss& target, uint64_t content_hash)>
      on_target_lost;
  /// Returns the requests and prompt parts suspected to crash targets of which
  /// peers are to be told.
  std::function<std::vector<forward::Suspect>()> suspects;
  /// Called with the requests and prompt parts that a peer suspects to crash
  /// targets, if any.
  std::function<void(const std::vector<forward::Suspect>&)> on_suspects;
  /// Called with the number of instances in the group, including this one,
  /// whenever that number may have changed.
  std::function<void(size_t)> on_member_count;
  /// Called with the peers that open tunnels to targets, whenever they have
  /// changed.
  std::function<void(std::vector<forward::TunnelPeer>)> on_tunnel_peers;
  /// Called when a peer reports that its targets have not changed since they
  /// were last fetched from it, or that it has none that are newer.
  std::function<void(const PeerCatalog&)> on_catalog_unchanged;
};

/// Communicates with the other instances: tracks the members of the group,
/// exchanges reports of lost targets, shares the retry budget, and fetches the
/// catalog from peers while this instance does not read the table service.
class PeerLink {
 public:
  /// Shortest time between the starts of two fetches from peers. Most fetches
  /// take longer than this, because a peer without a newer catalog delays its
  /// answer.
  static constexpr base::Millis kFetchPeriod{100};

  /// `feature_level` is that of membership::PeerState.
  PeerLink(const Settings& settings,
           base::Metrics* metrics,
           PeerLinkCallbacks callbacks,
           uint32_t feature_level = membership::kFeatureLevel);

  /// False when the address for peers could not be bound.
  bool IsRunning() const { return server_.IsRunning(); }

  /// Contacts the seed peers that are not known to be reachable, to join the
  /// group. To be called on the control thread every
  /// peer::MembershipProtocol::kSeedContactPeriod.
  void ContactSeeds() { membership_.ContactPeers(seeds_); }
  /// Checks that the next peer is alive. To be called on the control thread
  /// every peer::MembershipProtocol::kProbePeriod.
  void Probe() { membership_.ProbeNextPeer(); }
  /// Starts to fetch the catalog from a peer if `needs_catalog` returns true
  /// and no fetch is in progress.
  void FetchFromPeer();
  /// Starts to fetch the configuration alone from any peer that has a newer one
  /// if `lacks_configuration` returns true and no such fetch is in progress.
  void FetchConfiguration();
  void LeaveGroup() { membership_.AnnounceLeaving(); }
  /// Tells all peers whether this instance has lost its direct path to the
  /// targets.
  void AnnouncePathLost(bool is_path_lost) {
    membership_.AnnouncePathLost(is_path_lost);
  }

  /// Answers those held requests of peers for which this instance has a newer
  /// catalog or a later confirmation of it, or whose long poll has timed out.
  /// To be called when the catalog has changed or was confirmed, and every
  /// kFetchPeriod.
  void AnswerHeldRequests();

  /// The limits on requests to targets that all instances share.
  SharedRequestLimit& RequestLimit() { return request_limit_; }

  /// The slots of brittle targets that all instances share.
  SharedSlots& Slots() { return slots_; }

  /// The records of streams that callers may take up again at any instance.
  SharedStreamRecords& StreamRecords() { return stream_records_; }

  /// The limit on retries that all instances share.
  SharedRetryBudget& RetryBudget() { return retry_budget_; }

  /// Returns how this instance gets the catalog.
  CatalogRole Role() const { return place_.role; }

  /// Stops accepting calls from peers. Must not be called on the control
  /// thread, which must still be running.
  void StopServing() { server_.Shutdown(); }

  /// Tells all peers what this instance knows of the suspects. Runs on the
  /// control thread.
  void ShareSuspects(const std::vector<forward::Suspect>& suspects);

  /// Reports a lost target to peers. Runs on the control thread.
  void ReportLostTarget(const forward::TargetLoss& target,
                        uint64_t content_hash,
                        forward::LossAudience audience);

 private:
  peer::MembershipCallbacks MakeMembershipCallbacks();
  peer::PeerServerDependencies MakeServerDependencies();
  void UpdateTunnelPeers();
  void ReportNewestConfiguration();
  /// A peer's request for the catalog. It is answered when this instance has a
  /// newer catalog than the peer, at the latest at `expires_at`.
  struct HeldRequest {
    peer::FetchCatalogRequest request;
    std::function<void(peer::FetchCatalogReply)> done;
    base::Millis arrived_at;
    base::Millis expires_at;
  };

  /// Returns a request for a newer configuration.
  peer::FetchCatalogRequest MakeConfigurationRequest() const;
  bool HasNewerTargets(const peer::FetchCatalogRequest& request) const;
  bool HasNewerCatalog(const peer::FetchCatalogRequest& request) const;
  bool HasLaterConfirmation(const HeldRequest& request) const;
  peer::FetchCatalogReply MakeCatalogReply(
      const peer::FetchCatalogRequest& request);
  /// `known_revision` is that of the targets named in the request.
  void OnFetched(const std::string& address,
                 uint64_t known_revision,
                 const std::optional<peer::FetchCatalogReply>& reply);
  void OnFetchResult(const std::string& address, bool is_fresh);
  void UpdatePlace();
  std::optional<std::string> ChoosePeer();
  std::optional<std::string> ChoosePeerWithNewerConfiguration() const;
  void OnConfigurationFetched(
      const std::optional<peer::FetchCatalogReply>& reply);

  PeerLinkCallbacks callbacks_;
  std::vector<std::string> seeds_;
  size_t direct_group_;
  CatalogTimes times_;
  CatalogPlace place_;
  peer::PeerClient client_;
  peer::MembershipProtocol membership_;
  SharedRetryBudget retry_budget_;
  SharedRequestLimit request_limit_;
  SharedSlots slots_;
  SharedStreamRecords stream_records_;
  peer::PeerServer server_;
  std::vector<HeldRequest> held_requests_;
  /// The peers last passed to `on_tunnel_peers`.
  std::vector<forward::TunnelPeer> tunnel_peers_;
  bool is_fetching_ = false;
  bool is_fetching_configuration_ = false;
  base::Millis next_configuration_fetch_at_;
  /// Address of a peer outside CatalogPlace::sources whose targets were not
  /// older than CatalogTimes::maximum_age. The next fetch goes to the same
  /// peer. Empty if there is none.
  std::string preferred_peer_;
  /// Revision of the targets last fetched, and the address of the peer that
  /// sent them.
  uint64_t known_targets_revision_ = 0;
  std::string known_targets_peer_;
  /// Number of consecutive fetches that got no targets of such an age.
  size_t failed_fetches_ = 0;
  base::Millis last_failed_fetch_at_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_PEER_LINK_H_
