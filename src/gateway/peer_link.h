#ifndef DAISYPOND_GATEWAY_PEER_LINK_H_
#define DAISYPOND_GATEWAY_PEER_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "catalog/catalog.h"
#include "gateway/catalog_source.h"
#include "gateway/retry_share.h"
#include "gateway/settings.h"
#include "peer/membership_protocol.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace daisypond::gateway {

/// What the link asks of its owner. All run on the control thread, but `post`.
struct PeerLinkHooks {
  /// Runs a task on the control thread, from any thread.
  std::function<void(std::function<void()>)> post;
  std::function<uint64_t()> version;
  /// What this instance holds that is newer than a version of the
  /// configuration and a revision of the targets.
  std::function<PeerCatalog(uint64_t version, uint64_t targets)> catalog;
  /// Names the targets that this instance holds; another value, others.
  std::function<uint64_t()> targets_revision;
  std::function<bool()> needs_peers;
  /// Whether a peer's configuration is wanted besides its targets.
  std::function<bool()> needs_configuration;
  std::function<void(const PeerCatalog&)> on_catalog;
  /// A peer has lost a target; `content` identifies a request that may have
  /// crashed it, zero: none.
  std::function<void(const std::string& target, uint64_t content)>
      on_target_lost;
  /// Instances in the group, this one included.
  std::function<void(size_t)> on_members;
  /// A peer that reads the table service had nothing new, or did not answer.
  std::function<void(base::Millis age)> on_unchanged;
};

/// Keeps touch with the other instances: who there is, which targets they
/// have lost, and their catalog while the table service is away.
class PeerLink {
 public:
  /// While a peer may know more, one is asked this often. A peer that has
  /// nothing new holds its answer back for a while.
  static constexpr base::Millis kFetchPeriod{100};

  /// What a peer has heard of the table service within this time is as good
  /// as this instance's own reading: readers wait for a second at most.
  static constexpr base::Millis kFreshAge{1700};

  PeerLink(const Settings& settings,
           base::Metrics* metrics,
           PeerLinkHooks hooks);

  /// False when the peers' address could not be bound.
  bool IsRunning() const { return server_.IsRunning(); }

  /// To be called on the control thread, in the periods of
  /// peer::MembershipProtocol.
  void Contact() { group_.ContactPeers(seeds_); }
  void Probe() { group_.ProbeNextPeer(); }
  void Fetch();
  void Leave() { group_.AnnounceLeaving(); }

  /// Answers peers that wait for something new. To be called when the catalog
  /// has changed, and every kFetchPeriod.
  void AnswerWaiting();

  /// The bound on repeated sends that all instances share.
  RetryShare& Retries() { return retries_; }

  /// True for the few instances of a failure domain that read the table
  /// service for all others there.
  bool IsReader() const;

  /// Takes no more calls of peers. Not on the control thread, which must still
  /// run.
  void StopServing() { server_.Shutdown(); }

  /// Tells peers of a lost target. On the control thread.
  void TellLost(const std::string& target, uint64_t content);

 private:
  peer::MembershipCallbacks GroupHooksOf();
  peer::PeerServerDependencies PartsOf();
  /// A peer that waits for something new.
  struct Waiting {
    peer::FetchCatalogRequest request;
    std::function<void(peer::FetchCatalogReply)> done;
    base::Millis until;
  };

  bool HasNews(const peer::FetchCatalogRequest& request) const;
  peer::FetchCatalogReply Answer(const peer::FetchCatalogRequest& request);
  void OnFetched(const std::string& address,
                 const std::optional<peer::FetchCatalogReply>& reply);
  std::vector<std::string> RankedDomain() const;
  std::optional<std::string> ChoosePeer();

  PeerLinkHooks hooks_;
  std::vector<std::string> seeds_;
  size_t direct_group_;
  peer::PeerClient client_;
  peer::MembershipProtocol group_;
  RetryShare retries_;
  peer::PeerServer server_;
  std::vector<Waiting> waiting_;
  bool is_fetching_ = false;
  /// The peer that answered the last fetch; empty: any.
  std::string source_;
  uint64_t known_targets_ = 0;
  std::string known_from_;
  size_t failed_fetches_ = 0;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_PEER_LINK_H_
