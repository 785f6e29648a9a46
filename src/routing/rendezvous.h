#ifndef DAISYPOND_ROUTING_RENDEZVOUS_H_
#define DAISYPOND_ROUTING_RENDEZVOUS_H_

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.h"

namespace daisypond::routing {

/// Orders `nodes` by rendezvous hashing (highest random weight) for `key`. When
/// a node is added or removed, the first node changes only for those keys that
/// rank the added or removed node first. `name_of(node)` returns a text that
/// identifies the node.
template <typename Node, typename NameOf>
std::vector<Node> RankByKey(std::string_view key,
                            std::vector<Node> nodes,
                            NameOf name_of) {
  const uint64_t seed = base::Hash(key);
  std::vector<std::pair<uint64_t, size_t>> order;
  order.reserve(nodes.size());
  for (size_t i = 0; i < nodes.size(); ++i) {
    order.emplace_back(base::Hash(name_of(nodes[i]), seed), i);
  }
  std::sort(order.rbegin(), order.rend());
  std::vector<Node> ranked;
  ranked.reserve(nodes.size());
  for (const auto& it : order) {
    ranked.push_back(std::move(nodes[it.second]));
  }
  return ranked;
}

}  // namespace daisypond::routing

#endif  // DAISYPOND_ROUTING_RENDEZVOUS_H_
