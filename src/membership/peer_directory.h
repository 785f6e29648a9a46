#ifndef DAISYPOND_MEMBERSHIP_PEER_DIRECTORY_H_
#define DAISYPOND_MEMBERSHIP_PEER_DIRECTORY_H_

#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "membership/peer_state.h"

namespace daisypond::membership {

/// Holds a snapshot of the reachable peers. The control thread publishes it and
/// traffic threads read it. Thread-safe.
class PeerDirectory {
 public:
  using Peers = std::vector<PeerState>;

  void Publish(Peers peers) {
    auto next = std::make_shared<const Peers>(std::move(peers));
    const std::lock_guard lock(mutex_);
    peers_ = std::move(next);
  }

  std::shared_ptr<const Peers> Current() const {
    const std::lock_guard lock(mutex_);
    return peers_;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const Peers> peers_ = std::make_shared<Peers>();
};

}  // namespace daisypond::membership

#endif  // DAISYPOND_MEMBERSHIP_PEER_DIRECTORY_H_
