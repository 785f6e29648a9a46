#ifndef DAISYPOND_GATEWAY_CATALOG_SOURCE_H_
#define DAISYPOND_GATEWAY_CATALOG_SOURCE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "catalog/catalog.h"
#include "catalog/row.h"
#include "catalog/target_follower.h"

namespace daisypond::gateway {

/// What a peer holds of the catalog.
struct PeerCatalog {
  /// Empty when the peer holds no newer one.
  std::string configuration;
  std::optional<catalog::Targets> targets;
  /// `targets` holds only what changed since what was known_revision, and
  /// `removed` what is gone since.
  bool is_delta = false;
  std::vector<std::string> removed;
  /// Since the peer heard of the table service.
  base::Millis age;
};

/// When a peer's targets are taken over.
enum class PeerTargetsPolicy : uint8_t {
  kAcceptIfNewer,
  /// The peer reads the table service for this instance.
  kAcceptAlways,
};

/// Turns rows of the table service into the catalog in force. Runs on the
/// control thread; `Format` decodes rows and names tables.
template <typename Format>
class CatalogSource {
 public:
  using OnCatalog = std::function<void(const catalog::Catalog&)>;

  CatalogSource(base::Metrics* metrics, OnCatalog on_catalog)
      : metrics_(metrics), on_catalog_(std::move(on_catalog)) {}

  void OnConfigurationRows(const std::vector<catalog::Row>& rows) {
    for (const catalog::Row& it : rows) {
      if (it.key == Format::kConfigurationKey && !it.is_removed) {
        OnConfigurationText(it.value);
      }
    }
  }

  /// Puts a configuration in force unless it is unreadable or not newer.
  void OnConfigurationText(const std::string& text) {
    auto decoded = Format::DecodeConfiguration(text);
    if (!decoded) {
      metrics_->Add(base::Counter::kConfigurationsUnreadable);
      base::Log(base::LogLevel::kError, "configuration_unreadable",
                {{"error", decoded.error().ToString()},
                 {"version_in_force", ConfigurationVersion()}});
      return;
    }
    if (catalog_.configuration != nullptr &&
        decoded->version <= ConfigurationVersion()) {
      return;
    }
    catalog_.configuration =
        std::make_shared<const catalog::Configuration>(std::move(*decoded));
    configuration_text_ = text;
    metrics_->Add(base::Counter::kConfigurationChanges);
    base::Log(base::LogLevel::kInfo, "configuration",
              {{"version", ConfigurationVersion()},
               {"routes", catalog_.configuration->routes.size()},
               {"services", catalog_.configuration->services.size()},
               {"keys", catalog_.configuration->workspaces.size()}});
    on_catalog_(catalog_);
  }

  void OnTargetsListed(const std::vector<catalog::Row>& rows) {
    catalog::Targets listed;
    for (const catalog::Row& it : rows) {
      if (auto target = DecodeTargetRow(it)) {
        listed.emplace(it.key, std::move(*target));
      }
    }
    const bool has_changed = follower_.OnListed(listed, base::Clock::Now());
    if (has_changed || catalog_.targets == nullptr) {
      PublishTargets("listed");
    }
  }

  void OnTargetsChanged(const std::vector<catalog::Row>& rows) {
    std::vector<catalog::Target> decoded;
    decoded.reserve(rows.size());
    std::vector<catalog::TargetChange> changes;
    for (const catalog::Row& it : rows) {
      catalog::TargetChange change{it.key, nullptr};
      if (auto target = DecodeTargetRow(it)) {
        decoded.push_back(std::move(*target));
        change.target = &decoded.back();
      }
      changes.push_back(change);
    }
    if (follower_.OnChanged(changes, base::Clock::Now())) {
      PublishTargets("changed");
    }
  }

  void OnTargetTableUnavailable() { follower_.OnAway(); }

  void OnTargetTableAnswered() {
    targets_known_at_ = base::Clock::Now();
    follower_.OnAnswered(targets_known_at_);
  }

  void OnConfigurationTableAnswered() {
    is_configuration_table_unavailable_ = false;
  }
  void OnConfigurationTableUnavailable() {
    is_configuration_table_unavailable_ = true;
  }

  /// True while a configuration is to be had from peers only. It may be large,
  /// and a peer's link much narrower than that of the table service.
  bool NeedsConfigurationFromPeers() const {
    return catalog_.configuration == nullptr ||
           is_configuration_table_unavailable_;
  }

  /// How old the targets can be. Empty while the catalog is not whole.
  std::optional<base::Millis> TargetsAge() const {
    if (!catalog_.IsComplete()) {
      return std::nullopt;
    }
    return base::Clock::Now() - targets_known_at_;
  }

  /// True while a peer may know more than this instance.
  bool NeedsCatalogFromPeers() const {
    return !catalog_.IsComplete() || follower_.IsAway() ||
           is_configuration_table_unavailable_;
  }

  /// A peer whose catalog this instance holds has nothing newer.
  void OnPeerUnchanged(base::Millis age) { UpdateTargetsAge(age); }

  /// Takes over what a peer holds if it is newer, or, from a peer that is
  /// followed, in any case.
  void OnPeerCatalog(const PeerCatalog& peer, PeerTargetsPolicy policy) {
    if (!peer.configuration.empty()) {
      OnConfigurationText(peer.configuration);
    }
    const std::optional<base::Millis> age = TargetsAge();
    const bool is_newer = !age || peer.age < *age;
    if (!peer.targets ||
        (!is_newer && policy == PeerTargetsPolicy::kAcceptIfNewer)) {
      return;
    }
    UpdateTargetsAge(peer.age);
    catalog::Targets listed = *peer.targets;
    if (peer.is_delta) {
      listed.insert(follower_.InForce().begin(), follower_.InForce().end());
      for (const std::string& it : peer.removed) {
        listed.erase(it);
      }
    }
    if (follower_.OnPeerList(listed) || catalog_.targets == nullptr) {
      PublishTargets("peer");
    }
  }

  /// Names the targets in force; another value, others.
  uint64_t TargetsRevision() const { return targets_revision_; }

  /// Fills in the targets for a peer that knows those of a revision: only the
  /// changes if that revision was this process's own.
  void FillTargets(uint64_t known_revision, PeerCatalog* into) const {
    into->targets.emplace();
    into->is_delta = known_revision >= oldest_delta_revision_ &&
                     known_revision <= targets_revision_;
    if (!into->is_delta) {
      into->targets = *catalog_.targets;
      return;
    }
    for (const auto& it : last_changed_revisions_) {
      if (it.second <= known_revision) {
        continue;
      }
      const auto found = catalog_.targets->find(it.first);
      if (found != catalog_.targets->end()) {
        into->targets->insert(*found);
      } else {
        into->removed.push_back(it.first);
      }
    }
  }

  void DropMissingTargets() {
    if (follower_.Advance(base::Clock::Now())) {
      PublishTargets("missing_after_outage");
    }
  }

  uint64_t ConfigurationVersion() const {
    return catalog_.configuration == nullptr ? 0
                                             : catalog_.configuration->version;
  }
  const std::string& ConfigurationText() const { return configuration_text_; }
  const catalog::Catalog& Current() const { return catalog_; }

 private:
  // Removed targets that are remembered for peers.
  static constexpr size_t kMaximumRemovedTargets = 500;

  /// Notes the revision at which each target last changed.
  void RecordChangedTargets() {
    static const catalog::Targets kNone;
    const catalog::Targets& before =
        catalog_.targets == nullptr ? kNone : *catalog_.targets;
    const catalog::Targets& after = follower_.InForce();
    for (const auto& it : after) {
      const auto found = before.find(it.first);
      if (found == before.end() || found->second != it.second) {
        last_changed_revisions_[it.first] = targets_revision_;
      }
    }
    for (const auto& it : before) {
      if (!after.contains(it.first)) {
        last_changed_revisions_[it.first] = targets_revision_;
      }
    }
    if (last_changed_revisions_.size() >
        after.size() + kMaximumRemovedTargets) {
      // Peers that know an earlier revision get the whole list.
      std::erase_if(last_changed_revisions_,
                    [&](const auto& it) { return !after.contains(it.first); });
      oldest_delta_revision_ = targets_revision_;
    }
  }

  void UpdateTargetsAge(base::Millis age) {
    targets_known_at_ = std::max(targets_known_at_, base::Clock::Now() - age);
  }

  std::optional<catalog::Target> DecodeTargetRow(const catalog::Row& row) {
    if (row.is_removed) {
      return std::nullopt;
    }
    auto target = Format::DecodeTarget(row.key, row.value);
    if (!target) {
      metrics_->Add(base::Counter::kTargetsUnreadable);
      base::Log(base::LogLevel::kWarning, "target_unreadable",
                {{"target", row.key}, {"error", target.error().ToString()}});
      return std::nullopt;
    }
    return std::move(*target);
  }

  void PublishTargets(const char* cause) {
    LogTargetChanges(cause);
    ++targets_revision_;
    RecordChangedTargets();
    catalog_.targets =
        std::make_shared<const catalog::Targets>(follower_.InForce());
    on_catalog_(catalog_);
  }

  /// One line for each target that came, changed or left.
  void LogTargetChanges(const char* cause) const {
    static const catalog::Targets kNone;
    const catalog::Targets& before =
        catalog_.targets == nullptr ? kNone : *catalog_.targets;
    const catalog::Targets& after = follower_.InForce();
    for (const auto& it : after) {
      const auto found = before.find(it.first);
      if (found == before.end() || found->second != it.second) {
        base::Log(base::LogLevel::kInfo, "target",
                  {{"target", it.first},
                   {"service", it.second.service},
                   {"address", it.second.address},
                   {"domain", it.second.failure_domain},
                   {"leaving", it.second.is_leaving},
                   {"cause", cause}});
      }
    }
    for (const auto& it : before) {
      if (!after.contains(it.first)) {
        base::Log(base::LogLevel::kInfo, "target_gone",
                  {{"target", it.first}, {"cause", cause}});
      }
    }
  }

  base::Metrics* metrics_;
  OnCatalog on_catalog_;
  catalog::TargetFollower follower_;
  catalog::Catalog catalog_;
  std::string configuration_text_;
  base::Millis targets_known_at_;
  bool is_configuration_table_unavailable_ = false;
  // A random start, so that revisions of other processes are not taken for
  // this one's.
  uint64_t targets_revision_ = base::RandomNumber() >> 1;
  uint64_t oldest_delta_revision_ = targets_revision_;
  std::map<std::string, uint64_t> last_changed_revisions_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_CATALOG_SOURCE_H_
