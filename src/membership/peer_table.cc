#include "membership/peer_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisypond::membership {

namespace {

/// True when `update` replaces the known state of the same peer. Ignores the
/// configuration version: a peer's version only grows, and ApplyUpdate() keeps
/// the higher of both versions.
bool Outranks(const PeerState& update, const PeerState& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return update.status > known.status;
}

void CopyTunnelState(const PeerState& from, PeerState* to) {
  to->tunnel_address = from.tunnel_address;
  to->is_path_lost = from.is_path_lost;
}

/// Adds what `update` says of tunnels to the known state of the same
/// incarnation, within which it does not change. A peer of an earlier version
/// passes updates on without it. Returns true when the state changed.
bool MergeTunnelState(const PeerState& update, PeerState* known) {
  if (update.tunnel_address.empty() || !known->tunnel_address.empty() ||
      update.incarnation != known->incarnation) {
    return false;
  }
  CopyTunnelState(update, known);
  return true;
}

/// Adds a feature level that a peer of an earlier version has left out of an
/// update of the same incarnation. Returns true when the state changed.
bool MergeFeatureLevel(const PeerState& update, PeerState* known) {
  if (update.incarnation != known->incarnation ||
      update.feature_level <= known->feature_level) {
    return false;
  }
  known->feature_level = update.feature_level;
  return true;
}

}  // namespace

PeerTable::PeerTable(PeerState self, PeerTableOptions options, uint64_t seed)
    : self_(std::move(self)), options_(options), random_(seed) {}

bool PeerTable::ApplyToSelf(const PeerState& update) {
  if (update.incarnation < self_.incarnation) {
    return false;
  }
  const bool is_reported_failed = update.status > PeerStatus::kLeaving;
  if (update.incarnation == self_.incarnation && !is_reported_failed) {
    return false;
  }
  self_.incarnation = update.incarnation + 1;
  return true;
}

bool PeerTable::ApplyUpdate(const PeerState& update, base::Millis now) {
  if (update.instance == self_.instance) {
    return ApplyToSelf(update);
  }
  const auto [it, is_new] = entries_.try_emplace(update.instance);
  Entry& entry = it->second;
  if (is_new) {
    entry = Entry{update, now, now, 0};
    return true;
  }
  bool is_changed = false;
  if (Outranks(update, entry.state)) {
    const uint64_t version = std::max(update.configuration_version,
                                      entry.state.configuration_version);
    const PeerState known = std::exchange(entry.state, update);
    MergeTunnelState(known, &entry.state);
    MergeFeatureLevel(known, &entry.state);
    entry.state.configuration_version = version;
    entry.changed_at = now;
    is_changed = true;
  } else if (update.incarnation == entry.state.incarnation &&
             update.configuration_version > entry.state.configuration_version) {
    entry.state.configuration_version = update.configuration_version;
    is_changed = true;
  }
  is_changed |= MergeTunnelState(update, &entry.state);
  is_changed |= MergeFeatureLevel(update, &entry.state);
  if (is_changed) {
    entry.last_heard_at = now;
    entry.times_sent = 0;
  }
  return is_changed;
}

void PeerTable::RefillProbeOrder() {
  for (const auto& [name, entry] : entries_) {
    if (entry.state.status != PeerStatus::kDead) {
      probe_order_.push_back(name);
    }
  }
  std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
}

std::optional<PeerState> PeerTable::NextProbe() {
  if (probe_order_.empty()) {
    RefillProbeOrder();
  }
  while (!probe_order_.empty()) {
    const std::string name = std::move(probe_order_.back());
    probe_order_.pop_back();
    const auto it = entries_.find(name);
    if (it != entries_.end() && it->second.state.status != PeerStatus::kDead) {
      return it->second.state;
    }
  }
  return std::nullopt;
}

std::vector<PeerState> PeerTable::IndirectProbers(
    const std::string& probed_instance,
    size_t n) {
  std::vector<PeerState> probers;
  for (const auto& [name, entry] : entries_) {
    if (name != probed_instance && entry.state.status <= PeerStatus::kLeaving) {
      probers.push_back(entry.state);
    }
  }
  std::shuffle(probers.begin(), probers.end(), random_);
  probers.resize(std::min(n, probers.size()));
  return probers;
}

void PeerTable::OnProbeAnswered(const std::string& instance, base::Millis now) {
  const auto it = entries_.find(instance);
  if (it != entries_.end()) {
    it->second.last_heard_at = now;
  }
}

void PeerTable::OnProbeFailed(const std::string& instance, base::Millis now) {
  const auto it = entries_.find(instance);
  if (it == entries_.end()) {
    return;
  }
  PeerState suspected = it->second.state;
  suspected.status = PeerStatus::kSuspect;
  ApplyUpdate(suspected, now);
}

void PeerTable::ProcessTimeouts(base::Millis now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& entry = it->second;
    const base::Millis age = now - entry.changed_at;
    if (entry.state.status == PeerStatus::kSuspect &&
        age >= options_.suspicion_timeout) {
      entry.state.status = PeerStatus::kDead;
      entry.changed_at = now;
      entry.times_sent = 0;
    }
    const bool is_expired = entry.state.status == PeerStatus::kDead &&
                            age >= options_.dead_peer_retention;
    it = is_expired ? entries_.erase(it) : std::next(it);
  }
}

int PeerTable::TransmissionLimit() const {
  const double n = static_cast<double>(entries_.size()) + 2;
  return options_.retransmit_factor * static_cast<int>(std::ceil(std::log2(n)));
}

std::vector<PeerState> PeerTable::TakeChanges(size_t n) {
  const int limit = TransmissionLimit();
  std::vector<Entry*> pending;
  for (auto& [name, entry] : entries_) {
    if (entry.times_sent < limit) {
      pending.push_back(&entry);
    }
  }
  const auto is_sent_less = [](const Entry* a, const Entry* b) {
    return a->times_sent < b->times_sent;
  };
  const size_t count = std::min(n, pending.size());
  std::partial_sort(pending.begin(), pending.begin() + static_cast<long>(count),
                    pending.end(), is_sent_less);
  std::vector<PeerState> changes;
  for (size_t i = 0; i < count; ++i) {
    ++pending[i]->times_sent;
    changes.push_back(pending[i]->state);
  }
  return changes;
}

std::vector<PeerState> PeerTable::All() const {
  std::vector<PeerState> all = {self_};
  for (const auto& [name, entry] : entries_) {
    all.push_back(entry.state);
  }
  return all;
}

std::vector<PeerState> PeerTable::Reachable() const {
  std::vector<PeerState> reachable;
  for (const auto& [name, entry] : entries_) {
    if (entry.state.status != PeerStatus::kDead) {
      reachable.push_back(entry.state);
    }
  }
  return reachable;
}

void PeerTable::SetConfigurationVersion(uint64_t version) {
  self_.configuration_version = version;
}

void PeerTable::SetLeaving() {
  self_.status = PeerStatus::kLeaving;
}

void PeerTable::SetPathLost(bool is_path_lost) {
  if (self_.is_path_lost != is_path_lost) {
    self_.is_path_lost = is_path_lost;
    ++self_.incarnation;
  }
}

std::optional<base::Millis> PeerTable::TimeSinceHeard(
    const std::string& instance,
    base::Millis now) const {
  const auto it = entries_.find(instance);
  if (it == entries_.end()) {
    return std::nullopt;
  }
  return now - it->second.last_heard_at;
}

}  // namespace daisypond::membership
