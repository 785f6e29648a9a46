#include "gateway/idle_connections.h"

#include <algorithm>
#include <unordered_map>

namespace daisypond::gateway {

namespace {

struct Owner {
  size_t n_open = 0;
  /// The last one has been idle for longest.
  std::vector<const CallerConnectionState*> idle;
};

bool IsIdleForLonger(const Owner& a, const Owner& b) {
  if (a.idle.empty() || b.idle.empty()) {
    return !a.idle.empty();
  }
  return a.idle.back()->idle_since < b.idle.back()->idle_since;
}

std::vector<Owner> GroupByOwner(
    const std::vector<CallerConnectionState>& open) {
  std::unordered_map<std::string_view, size_t> indexes;
  std::vector<Owner> owners;
  for (const auto& it : open) {
    const size_t i = indexes.try_emplace(it.owner, owners.size()).first->second;
    if (i == owners.size()) {
      owners.emplace_back();
    }
    ++owners[i].n_open;
    if (it.idle_since) {
      owners[i].idle.push_back(&it);
    }
  }
  for (Owner& it : owners) {
    std::sort(it.idle.begin(), it.idle.end(), [](const auto* a, const auto* b) {
      return a->idle_since > b->idle_since;
    });
  }
  return owners;
}

/// Returns the owner whose connection goes next.
Owner* ChooseOwner(std::vector<Owner>& owners) {
  const auto largest = std::min_element(
      owners.begin(), owners.end(), [](const Owner& a, const Owner& b) {
        return a.n_open != b.n_open ? a.n_open > b.n_open
                                    : IsIdleForLonger(a, b);
      });
  return &*(
      largest != owners.end() && !largest->idle.empty()
          ? largest
          : std::min_element(owners.begin(), owners.end(), IsIdleForLonger));
}

}  // namespace

std::vector<uint64_t> ChooseIdleToClose(
    const std::vector<CallerConnectionState>& open,
    size_t n) {
  std::vector<Owner> owners = GroupByOwner(open);
  std::vector<uint64_t> chosen;
  while (chosen.size() < n && !owners.empty()) {
    Owner* owner = ChooseOwner(owners);
    if (owner->idle.empty()) {
      break;
    }
    chosen.push_back(owner->idle.back()->id);
    owner->idle.pop_back();
    --owner->n_open;
  }
  return chosen;
}

}  // namespace daisypond::gateway
