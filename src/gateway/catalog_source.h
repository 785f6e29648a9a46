#ifndef DAISYPOND_GATEWAY_CATALOG_SOURCE_H_
#define DAISYPOND_GATEWAY_CATALOG_SOURCE_H_

#include <algorithm>
#include <compare>
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
#include "base/name_table.h"
#include "catalog/catalog.h"
#include "catalog/configuration_history.h"
#include "catalog/row.h"
#include "catalog/table_version.h"
#include "catalog/target_tracker.h"

namespace daisypond::gateway {

/// The part of an instance's catalog that it sends to a peer because the peer
/// does not have it yet.
struct PeerCatalog {
  /// Encoded configuration. Empty unless it is newer than the receiver's.
  std::string configuration;
  /// The same for a receiver that accepts it compressed.
  catalog::CompressedText compressed_configuration;
  std::optional<catalog::Targets> targets;
  /// True when `targets` holds only the targets that were added or changed
  /// after the revision that the receiver has, and `removed` holds the ids of
  /// the targets that were removed after it.
  bool is_delta = false;
  std::vector<std::string> removed;
  /// Time since the targets were last known to match the table service.
  base::Millis age;
  /// Version of the table service that the targets match. Without a number or
  /// an era if a peer of an older build sent them.
  catalog::TableVersion table_version;
};

/// From where an instance got its configuration.
enum class ConfigurationOrigin : uint8_t { kStore, kPeer };

inline constexpr base::NameTable<ConfigurationOrigin, 2>
    kConfigurationOriginNames("store", "peer");

/// Maintains the current catalog from rows of the table service and from the
/// catalogs of peers, and publishes each change. Runs on the control thread.
/// `Format` names the tables and decodes their rows.
template <typename Format>
class CatalogSource {
 public:
  using OnCatalog = std::function<void(const catalog::Catalog&)>;

  /// `on_returned_from_copy` is called when the table service is found to have
  /// returned from a copy.
  CatalogSource(
      base::Metrics* metrics,
      OnCatalog on_catalog,
      std::function<void()> on_returned_from_copy = [] {})
      : metrics_(metrics),
        on_catalog_(std::move(on_catalog)),
        on_returned_from_copy_(std::move(on_returned_from_copy)) {}

  void OnConfigurationRows(const std::vector<catalog::Row>& rows) {
    // Several versions come together after a pause in reading. Only the last
    // one that can be decoded takes effect.
    for (auto it = rows.rbegin(); it != rows.rend(); ++it) {
      if (it->key == Format::kConfigurationKey && !it->is_removed &&
          OnConfigurationText(it->value, ConfigurationOrigin::kStore)) {
        return;
      }
    }
  }

  /// Replaces the current configuration unless `text` can't be decoded or is
  /// not newer. Returns false if it can't be decoded.
  bool OnConfigurationText(const std::string& text,
                           ConfigurationOrigin origin) {
    const base::Millis began_at = base::Clock::Now();
    auto decoded = Format::DecodeConfiguration(text);
    if (!decoded) {
      metrics_->Add(base::Counter::kConfigurationsUnreadable);
      base::Log(base::LogLevel::kError, "configuration_unreadable",
                {{"error", decoded.error().ToString()},
                 {"version_in_force", ConfigurationVersion()}});
      return false;
    }
    if (catalog_.configuration != nullptr &&
        decoded->version <= ConfigurationVersion()) {
      return true;
    }
    catalog_.configuration =
        std::make_shared<const catalog::Configuration>(std::move(*decoded));
    configuration_history_.Add(text);
    metrics_->Add(base::Counter::kConfigurationChanges);
    base::Log(base::LogLevel::kInfo, "configuration",
              {{"version", ConfigurationVersion()},
               {"routes", catalog_.configuration->routes.size()},
               {"services", catalog_.configuration->services.size()},
               {"keys", catalog_.configuration->workspaces.size()},
               {"origin", kConfigurationOriginNames.NameOf(origin)},
               {"bytes", text.size()},
               {"decode_ms", (base::Clock::Now() - began_at).count}});
    on_catalog_(catalog_);
    return true;
  }

  /// `version` is that of the table service when the rows were read.
  void OnTargetsListed(const std::vector<catalog::Row>& rows,
                       catalog::TableVersion version) {
    if (CompareWithCurrent(version) < 0) {
      return;
    }
    SetTableVersion(version);
    catalog::Targets listed;
    for (const catalog::Row& it : rows) {
      if (auto target = DecodeTargetRow(it)) {
        listed.emplace(it.key, std::move(*target));
      }
    }
    const size_t n_kept = target_tracker_.MissingCount();
    const bool has_changed =
        target_tracker_.OnListed(listed, base::Clock::Now());
    LogKeptTargets(n_kept);
    if (has_changed || catalog_.targets == nullptr) {
      PublishTargets("listed");
    }
  }

  /// Applies all changes up to `version`. A call that waited while a peer sent
  /// newer targets brings nothing new.
  void OnTargetsChanged(const std::vector<catalog::Row>& rows,
                        catalog::TableVersion version) {
    if (CompareWithCurrent(version) < 0) {
      return;
    }
    SetTableVersion(version);
    std::vector<catalog::Target> decoded;
    decoded.reserve(rows.size());
    std::vector<catalog::TargetChange> changes;
    // Several changes of one target come together after a pause in reading. The
    // earlier ones must not bring back a target that has gone since.
    std::map<std::string, size_t> last_position;
    for (size_t i = 0; i < rows.size(); ++i) {
      last_position[rows[i].key] = i;
    }
    for (size_t i = 0; i < rows.size(); ++i) {
      const catalog::Row& it = rows[i];
      if (last_position[it.key] != i) {
        continue;
      }
      catalog::TargetChange change{it.key, nullptr};
      if (auto target = DecodeTargetRow(it)) {
        decoded.push_back(std::move(*target));
        change.target = &decoded.back();
      }
      changes.push_back(change);
    }
    const size_t n_kept = target_tracker_.MissingCount();
    const bool has_changed =
        target_tracker_.OnChanged(changes, base::Clock::Now());
    LogKeptTargets(n_kept);
    if (has_changed) {
      PublishTargets("changed");
    }
  }

  void OnTargetTableUnavailable() {
    target_tracker_.OnTableServiceUnavailable();
  }

  /// To be called when the table service has answered that there is no change
  /// up to `version`, or after the changes up to it have been applied. `as_of`
  /// is a time at which it was the newest version: a large answer is on its way
  /// for a while.
  void OnTargetTableAnswered(catalog::TableVersion version,
                             base::Millis as_of) {
    const base::Millis now = base::Clock::Now();
    if (!(CompareWithCurrent(version) < 0)) {
      SetTableVersion(version);
      ConfirmTargets(as_of);
    }
    const uint64_t era_before = std::exchange(read_era_, version.era);
    if (era_before != 0 && version.era > era_before) {
      target_tracker_.OnTableServiceReturnedFromCopy(now);
    }
    target_tracker_.OnTableServiceAvailable(
        now, now - unconfirmed_until_ < kOutagePause);
  }

  /// To be called after an outage, when all changes made until then have been
  /// applied.
  void OnTargetTableCaughtUp() { target_tracker_.OnCaughtUp(); }

  void OnConfigurationTableAnswered() {
    is_configuration_table_unavailable_ = false;
  }
  void OnConfigurationTableUnavailable() {
    is_configuration_table_unavailable_ = true;
  }

  /// True while the configuration can be read from peers only. Otherwise it is
  /// not fetched from them, because it may be large and a peer's link may have
  /// much less bandwidth than the table service's.
  bool NeedsConfigurationFromPeers() const {
    return catalog_.configuration == nullptr ||
           is_configuration_table_unavailable_;
  }

  /// Time since the targets were last known to match the table service. Empty
  /// while the catalog is incomplete.
  std::optional<base::Millis> TargetsAge() const {
    if (!catalog_.IsComplete()) {
      return std::nullopt;
    }
    return base::Clock::Now() - targets_confirmed_at_;
  }

  /// True while a peer may have a newer catalog than this instance.
  bool NeedsCatalogFromPeers() const {
    return !catalog_.IsComplete() ||
           target_tracker_.IsTableServiceUnavailable() ||
           is_configuration_table_unavailable_;
  }

  /// Called when a peer reports that its targets have not changed since this
  /// instance last fetched them from that peer, or that it has none that are
  /// newer. Without targets of its own, `peer` tells how old and of which
  /// version they are.
  void OnPeerUnchanged(const PeerCatalog& peer) {
    if (table_version_.number == 0 ||
        CompareWithCurrent(peer.table_version) >= 0) {
      SetTableVersion(peer.table_version);
      UpdateTargetsAge(peer.age);
    }
  }

  /// Adopts the peer's configuration if it is newer, and the peer's targets if
  /// they match a later version of the table service. An age alone does not
  /// order targets: it tells when they were confirmed, by whoever has confirmed
  /// them. Targets of an older build, which names no version, are adopted if
  /// they are younger. Returns whether the targets were adopted.
  bool OnPeerCatalog(const PeerCatalog& peer) {
    OnPeerConfiguration(peer);
    const std::optional<base::Millis> age = TargetsAge();
    const bool is_newer =
        peer.table_version.number == 0 || table_version_.number == 0
            ? !age || peer.age < *age
            : CompareWithCurrent(peer.table_version) > 0;
    if (!peer.targets || !is_newer) {
      return false;
    }
    if (peer.table_version.number != 0) {
      SetTableVersion(peer.table_version);
    }
    UpdateTargetsAge(peer.age);
    catalog::Targets listed = *peer.targets;
    if (peer.is_delta) {
      listed.insert(target_tracker_.ActiveTargets().begin(),
                    target_tracker_.ActiveTargets().end());
      for (const std::string& it : peer.removed) {
        listed.erase(it);
      }
    }
    if (target_tracker_.ReplaceWithPeerTargets(listed) ||
        catalog_.targets == nullptr) {
      PublishTargets("peer");
    }
    return true;
  }

  /// Version of the table service that the targets match; without a number if
  /// unknown.
  catalog::TableVersion TableVersion() const { return table_version_; }

  /// Identifies the current set of targets: changes whenever the set changes.
  uint64_t TargetsRevision() const { return targets_revision_; }

  /// Sets the targets in `into` for a peer that has the targets of revision
  /// `known_revision`. Includes only the changes made after that revision if
  /// this process issued it and still knows these changes, otherwise all
  /// targets.
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

  /// Removes targets whose entries are still missing from the table service
  /// after an outage and a grace period, and adds those that a copy has listed
  /// again for as long as they must be running. To be called periodically.
  void DropMissingTargets() {
    if (target_tracker_.AddRelisted(base::Clock::Now())) {
      PublishTargets("listed_by_copy");
    }
    if (target_tracker_.RemoveExpired(base::Clock::Now())) {
      PublishTargets("missing_after_outage");
    }
  }

  uint64_t ConfigurationVersion() const {
    return catalog_.configuration == nullptr ? 0
                                             : catalog_.configuration->version;
  }
  const catalog::ConfigurationHistory& ConfigurationHistory() const {
    return configuration_history_;
  }
  const catalog::Catalog& Current() const { return catalog_; }

 private:
  // A peer's configuration may not be larger than this when decompressed.
  static constexpr size_t kMaximumConfigurationBytes = 16u << 20;
  // Maximum number of removed targets whose ids are kept, so that replies to
  // peers can list the removals.
  static constexpr size_t kMaximumRemovedTargets = 500;
  // Targets that no instance in reach has confirmed for longer than this may
  // have lost their entries in an outage of the table service.
  static constexpr base::Millis kOutagePause{3000};

  /// A text that was compressed against another one than the current one is
  /// ignored: the current one has changed since it was requested.
  void OnPeerConfiguration(const PeerCatalog& peer) {
    if (!peer.configuration.empty()) {
      OnConfigurationText(peer.configuration, ConfigurationOrigin::kPeer);
    }
    const catalog::CompressedText& compressed = peer.compressed_configuration;
    if (compressed.bytes.empty()) {
      return;
    }
    const std::optional<std::string> text = configuration_history_.Decompress(
        compressed, kMaximumConfigurationBytes);
    if (text) {
      OnConfigurationText(*text, ConfigurationOrigin::kPeer);
    } else {
      base::Log(
          base::LogLevel::kInfo, "configuration_unusable",
          {{"version_in_force", ConfigurationVersion()},
           {"bytes", compressed.bytes.size()},
           {"base", base::ToHex(compressed.base_digest)},
           {"current", base::ToHex(configuration_history_.CurrentDigest())}});
    }
  }

  /// Orders `version` against that of the current targets. A version without an
  /// era is taken to be of the current one, but nothing orders it once the
  /// table service has returned from a copy: older builds do not notice that.
  std::partial_ordering CompareWithCurrent(
      catalog::TableVersion version) const {
    if (version.era != 0 && table_version_.era != 0) {
      return version <=> table_version_;
    }
    return has_returned_from_copy_ ? std::partial_ordering::unordered
                                   : version.number <=> table_version_.number;
  }

  void SetTableVersion(catalog::TableVersion version) {
    const uint64_t era_before = table_version_.era;
    version.era = version.era == 0 ? era_before : version.era;
    table_version_ = version;
    if (era_before != 0 && version.era > era_before) {
      has_returned_from_copy_ = true;
      on_returned_from_copy_();
    }
  }

  /// Records the current revision for each target that was added, changed or
  /// removed since the last published catalog.
  void RecordChangedTargets() {
    static const catalog::Targets kNone;
    const catalog::Targets& before =
        catalog_.targets == nullptr ? kNone : *catalog_.targets;
    const catalog::Targets& after = target_tracker_.ActiveTargets();
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
      // The changes before the current revision are no longer complete, so
      // peers that have an earlier revision get all targets instead of the
      // changes.
      std::erase_if(last_changed_revisions_,
                    [&](const auto& it) { return !after.contains(it.first); });
      oldest_delta_revision_ = targets_revision_;
    }
  }

  void UpdateTargetsAge(base::Millis age) {
    ConfirmTargets(base::Clock::Now() - age);
  }

  void ConfirmTargets(base::Millis at) {
    const bool is_first = targets_confirmed_at_.count == 0;
    if (!is_first && at - targets_confirmed_at_ > kOutagePause) {
      unconfirmed_until_ = at;
    }
    targets_confirmed_at_ = std::max(targets_confirmed_at_, at);
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
    catalog_.targets = std::make_shared<const catalog::Targets>(
        target_tracker_.ActiveTargets());
    on_catalog_(catalog_);
  }

  /// Logs that targets stay in use without an entry in the table service, if
  /// there are more of them than `n_before`.
  void LogKeptTargets(size_t n_before) const {
    const size_t n = target_tracker_.MissingCount();
    if (n > n_before) {
      base::Log(base::LogLevel::kInfo, "targets_kept",
                {{"n", n},
                 {"before", n_before},
                 {"table_version", table_version_.number}});
    }
  }

  /// Logs one line for each target that was added, changed or removed.
  void LogTargetChanges(const char* cause) const {
    static const catalog::Targets kNone;
    const catalog::Targets& before =
        catalog_.targets == nullptr ? kNone : *catalog_.targets;
    const catalog::Targets& after = target_tracker_.ActiveTargets();
    for (const auto& it : after) {
      const auto found = before.find(it.first);
      if (found == before.end() || found->second != it.second) {
        base::Log(base::LogLevel::kInfo, "target",
                  {{"target", it.first},
                   {"service", it.second.service},
                   {"address", it.second.address},
                   {"domain", it.second.failure_domain},
                   {"software", it.second.version},
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
  std::function<void()> on_returned_from_copy_;
  catalog::TargetTracker target_tracker_;
  catalog::Catalog catalog_;
  catalog::ConfigurationHistory configuration_history_;
  // When the targets were last known to match the table service.
  base::Millis targets_confirmed_at_;
  // End of the latest pause between two confirmations that was longer than
  // kOutagePause.
  base::Millis unconfirmed_until_;
  catalog::TableVersion table_version_;
  // Era of the last answer of the table service to this instance.
  uint64_t read_era_ = 0;
  bool has_returned_from_copy_ = false;
  bool is_configuration_table_unavailable_ = false;
  // Starts at a random number so that a revision that another process issued is
  // not mistaken for one that this process issued.
  uint64_t targets_revision_ = base::RandomNumber() >> 1;
  // A peer with an older revision than this gets all targets instead of the
  // changes.
  uint64_t oldest_delta_revision_ = targets_revision_;
  // By target id: the revision in which the target was last added, changed or
  // removed.
  std::map<std::string, uint64_t> last_changed_revisions_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_CATALOG_SOURCE_H_
