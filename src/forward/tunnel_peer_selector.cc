#include "forward/tunnel_peer_selector.h"

#include <algorithm>
#include <tuple>

#include "base/hash.h"

namespace daisypond::forward {

using base::Millis;

std::optional<TunnelPeer> TunnelPeerSelector::Choose(
    const std::vector<TunnelPeer>& peers,
    const std::string& failure_domain,
    const std::vector<TunnelPeer>& tried,
    Millis now) {
  const auto is_over = [now](const auto& it) { return it.second <= now; };
  std::erase_if(avoided_until_, is_over);
  std::erase_if(unreachable_until_, is_over);
  std::erase_if(names_,
                [](const auto& it) { return it.second.use_count() == 1; });
  using Rank = std::tuple<bool, bool, bool, int64_t, uint64_t>;
  std::optional<Rank> best_rank;
  const TunnelPeer* best = nullptr;
  for (const TunnelPeer& it : peers) {
    const bool is_tried = std::any_of(
        tried.begin(), tried.end(),
        [&](const TunnelPeer& each) { return each.instance == it.instance; });
    const bool is_domain_tried =
        std::any_of(tried.begin(), tried.end(), [&](const TunnelPeer& each) {
          return each.failure_domain == it.failure_domain;
        });
    if (!it.has_target_path || is_tried ||
        unreachable_until_.contains(it.instance)) {
      continue;
    }
    random_ = base::Hash("", random_);
    const Rank rank{is_domain_tried, avoided_until_.contains(it.instance),
                    it.failure_domain != failure_domain,
                    OpenTunnels(it.instance), random_};
    if (!best_rank || rank < *best_rank) {
      best_rank = rank;
      best = &it;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

std::shared_ptr<const std::string> TunnelPeerSelector::OnTunnelBegun(
    const std::string& peer) {
  std::shared_ptr<const std::string>& name = names_[peer];
  if (name == nullptr) {
    name = std::make_shared<const std::string>(peer);
  }
  return name;
}

void TunnelPeerSelector::OnRefused(const std::string& peer, Millis now) {
  avoided_until_[peer] = now + kAvoidance;
}

void TunnelPeerSelector::OnUnreachable(const std::string& peer, Millis now) {
  unreachable_until_[peer] = now + kAvoidance;
}

int64_t TunnelPeerSelector::OpenTunnels(const std::string& peer) const {
  const auto it = names_.find(peer);
  return it == names_.end() ? 0 : it->second.use_count() - 1;
}

}  // namespace daisypond::forward
