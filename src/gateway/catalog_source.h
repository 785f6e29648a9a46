#ifndef DAISYPOND_GATEWAY_CATALOG_SOURCE_H_
#define DAISYPOND_GATEWAY_CATALOG_SOURCE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
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
  /// Since the peer heard of the table service.
  base::Millis age;
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
                 {"version_in_force", Version()}});
      return;
    }
    if (catalog_.configuration != nullptr && decoded->version <= Version()) {
      return;
    }
    catalog_.configuration =
        std::make_shared<const catalog::Configuration>(std::move(*decoded));
    configuration_text_ = text;
    metrics_->Add(base::Counter::kConfigurationChanges);
    base::Log(base::LogLevel::kInfo, "configuration",
              {{"version", Version()},
               {"routes", catalog_.configuration->routes.size()},
               {"services", catalog_.configuration->services.size()},
               {"keys", catalog_.configuration->workspaces.size()}});
    on_catalog_(catalog_);
  }

  void OnTargetsListed(const std::vector<catalog::Row>& rows) {
    catalog::Targets listed;
    for (const catalog::Row& it : rows) {
      if (auto target = Decode(it)) {
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
      if (auto target = Decode(it)) {
        decoded.push_back(std::move(*target));
        change.target = &decoded.back();
      }
      changes.push_back(change);
    }
    if (follower_.OnChanged(changes, base::Clock::Now())) {
      PublishTargets("changed");
    }
  }

  void OnStoreAway() {
    if (!follower_.IsAway()) {
      away_since_ = base::Clock::Now();
    }
    follower_.OnAway();
  }
  void OnStoreAnswered() {
    has_listed_ = true;
    follower_.OnAnswered(base::Clock::Now());
  }

  /// How long ago the table service was last known to answer: zero while it
  /// does. Empty when it never did and no peer has told of it.
  std::optional<base::Millis> Age() const {
    if (!has_listed_) {
      return std::nullopt;
    }
    return follower_.IsAway() ? base::Clock::Now() - away_since_
                              : base::Millis{0};
  }

  /// True while a peer may know more than this instance.
  bool NeedsPeers() const {
    return !catalog_.IsComplete() || !has_listed_ || follower_.IsAway();
  }

  /// Takes over what a peer holds if it is newer.
  void OnPeerCatalog(const PeerCatalog& peer) {
    if (!peer.configuration.empty()) {
      OnConfigurationText(peer.configuration);
    }
    const std::optional<base::Millis> age = Age();
    if (!peer.targets || !NeedsPeers() || (age && *age <= peer.age)) {
      return;
    }
    follower_.OnAway();
    has_listed_ = true;
    away_since_ = base::Clock::Now() - peer.age;
    if (follower_.OnPeerList(*peer.targets) || catalog_.targets == nullptr) {
      PublishTargets("peer");
    }
  }

  void Advance() {
    if (follower_.Advance(base::Clock::Now())) {
      PublishTargets("missing_after_outage");
    }
  }

  uint64_t Version() const {
    return catalog_.configuration == nullptr ? 0
                                             : catalog_.configuration->version;
  }
  const std::string& ConfigurationText() const { return configuration_text_; }
  const catalog::Catalog& Current() const { return catalog_; }

 private:
  std::optional<catalog::Target> Decode(const catalog::Row& row) {
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
  /// The targets were listed by the table service or taken from a peer.
  bool has_listed_ = false;
  base::Millis away_since_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_CATALOG_SOURCE_H_
