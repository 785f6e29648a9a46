#include "gateway/catalog_tree.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace daisypond::gateway {

namespace {

// A call that is lost leaves the targets unconfirmed for this time and the
// time limit of its answer. That must not look like an outage of the table
// service, see CatalogSource::kOutagePause.
constexpr base::Millis kMaximumDirectWait{1500};

base::Millis Percent(base::Millis bound, int64_t percent) {
  return {bound.count * percent / 100};
}

}  // namespace

CatalogTimes::CatalogTimes(base::Millis bound)
    : reader_wait(Percent(bound, 35)),
      direct_wait(std::min(Percent(bound, 75), kMaximumDirectWait)),
      configuration_wait(Percent(bound, 75)),
      peer_wait(Percent(bound, 10)),
      configuration_patience(Percent(bound, 10)),
      configuration_read_patience(Percent(bound, 30)),
      maximum_age(Percent(bound, 50)),
      retry_pause(bound) {}

std::optional<base::Millis> TargetReadWait(const CatalogTimes& times,
                                           CatalogRole role,
                                           std::optional<base::Millis> age,
                                           bool is_paused) {
  switch (role) {
    case CatalogRole::kDirect:
      return times.direct_wait;
    case CatalogRole::kReader:
      return times.reader_wait;
    case CatalogRole::kFollower:
      break;
  }
  if (age && (*age <= times.maximum_age || is_paused)) {
    return std::nullopt;
  }
  return times.peer_wait;
}

CatalogPlace FindCatalogPlace(const membership::PeerState& self,
                              const std::vector<membership::PeerState>& peers,
                              size_t direct_group) {
  CatalogPlace place;
  if (peers.size() < direct_group) {
    return place;
  }
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.emplace_back(base::Hash(self.instance), self.address);
  for (const membership::PeerState& it : peers) {
    if (it.failure_domain == self.failure_domain &&
        it.status != membership::PeerStatus::kLeaving) {
      ranked.emplace_back(base::Hash(it.instance), it.address);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const auto own =
      std::find_if(ranked.begin(), ranked.end(),
                   [&](const auto& it) { return it.second == self.address; });
  auto position = static_cast<size_t>(own - ranked.begin());
  place.role = position == 0 ? CatalogRole::kReader : CatalogRole::kFollower;
  while (position > 0) {
    position = (position - 1) / kCatalogFanOut;
    place.sources.push_back(ranked[position].second);
  }
  return place;
}

}  // namespace daisypond::gateway
