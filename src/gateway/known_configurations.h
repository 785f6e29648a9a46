#ifndef DAISYPOND_GATEWAY_KNOWN_CONFIGURATIONS_H_
#define DAISYPOND_GATEWAY_KNOWN_CONFIGURATIONS_H_

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace daisypond::gateway {

/// The versions of the configuration of which an instance knows that peers have
/// them, and since when.
class KnownConfigurations {
 public:
  /// Returns false if a version as new was known before.
  bool OnKnown(uint64_t version, base::Millis now) {
    if (version <= Newest()) {
      return false;
    }
    known_since_.emplace_hint(known_since_.end(), version, now);
    if (known_since_.size() > kMaximumVersions) {
      known_since_.erase(known_since_.begin());
    }
    return true;
  }

  uint64_t Newest() const {
    return known_since_.empty() ? 0 : known_since_.rbegin()->first;
  }

  /// Returns for how long a newer version than `in_force` has been known; less
  /// than zero if there is none.
  base::Millis KnownFor(uint64_t in_force, base::Millis now) const {
    const auto it = known_since_.upper_bound(in_force);
    return it == known_since_.end() ? base::Millis{-1} : now - it->second;
  }

 private:
  static constexpr size_t kMaximumVersions = 64;

  /// By version: when it became known. The times rise with the versions.
  std::map<uint64_t, base::Millis> known_since_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_KNOWN_CONFIGURATIONS_H_
