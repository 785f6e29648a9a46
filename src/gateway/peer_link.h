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
#include "gateway/settings.h"
#include "peer/group.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace daisypond::gateway {

/// What the link asks of its owner. All run on the control thread, but `post`.
struct PeerLinkHooks {
  /// Runs a task on the control thread, from any thread.
  std::function<void(std::function<void()>)> post;
  std::function<uint64_t()> version;
  /// What this instance holds; the configuration only if newer than `known`.
  std::function<PeerCatalog(uint64_t known)> catalog;
  std::function<bool()> needs_peers;
  std::function<void(const PeerCatalog&)> on_catalog;
  /// A peer has lost a target.
  std::function<void(const std::string& target)> on_target_lost;
  /// Instances in the group, this one included.
  std::function<void(size_t)> on_members;
};

/// Keeps touch with the other instances: who there is, which targets they
/// have lost, and their catalog while the table service is away.
class PeerLink {
 public:
  /// While a peer may know more, one is asked this often.
  static constexpr base::Millis kFetchPeriod{400};

  PeerLink(const Settings& settings,
           base::Metrics* metrics,
           PeerLinkHooks hooks);

  /// False when the peers' address could not be bound.
  bool IsRunning() const { return server_.IsRunning(); }

  /// To be called on the control thread, in the periods of peer::Group.
  void Contact() { group_.Contact(seeds_); }
  void Probe() { group_.Probe(); }
  void Fetch();
  void Leave() { group_.Leave(); }

  /// Tells peers of a lost target. On the control thread.
  void TellLost(const std::string& target);

 private:
  peer::GroupHooks GroupHooksOf();
  peer::PeerServerParts PartsOf();
  peer::FetchCatalogReply Answer(const peer::FetchCatalogRequest& request);
  std::optional<std::string> ChoosePeer();

  PeerLinkHooks hooks_;
  std::vector<std::string> seeds_;
  peer::PeerClient client_;
  peer::Group group_;
  peer::PeerServer server_;
  bool is_fetching_ = false;
  /// The peer that answered the last fetch; empty: any.
  std::string source_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_PEER_LINK_H_
