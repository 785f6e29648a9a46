#ifndef DAISYPOND_BASE_LINK_FAULTS_H_
#define DAISYPOND_BASE_LINK_FAULTS_H_

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "base/name_table.h"

namespace daisypond::base {

/// The simulated state of the network link to an address. Calls to an address
/// fail unless the link to it is open.
enum class LinkState : uint8_t { kOpen, kRefused, kSilent };

inline constexpr NameTable<LinkState, 3> kLinkStateNames("open",
                                                         "refused",
                                                         "silent");

/// Simulated link failures by address, for failure tests. Links are open by
/// default, and can only be cut on instances whose settings enable fault
/// injection. Thread-safe.
class LinkFaults {
 public:
  /// The process-wide object, which peer clients check before each call.
  static LinkFaults& Instance() {
    static LinkFaults instance;
    return instance;
  }

  void Set(const std::string& address, LinkState state) {
    const std::lock_guard lock(mutex_);
    if (state == LinkState::kOpen) {
      states_.erase(address);
    } else {
      states_[address] = state;
    }
    is_empty_ = states_.empty();
  }

  LinkState StateOf(const std::string& address) const {
    if (is_empty_.load(std::memory_order_relaxed)) {
      return LinkState::kOpen;
    }
    const std::lock_guard lock(mutex_);
    const auto it = states_.find(address);
    return it == states_.end() ? LinkState::kOpen : it->second;
  }

 private:
  std::atomic<bool> is_empty_ = true;
  mutable std::mutex mutex_;
  std::map<std::string, LinkState> states_;
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_LINK_FAULTS_H_
