#include "entry/configuration_updater.h"

#include <malloc.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kPeerRequestTimeout{2000};
// A fetch from the platform or from a peer that takes longer is considered
// lost, and another fetch may start.
constexpr base::Millis kMaximumFetchDuration{3000};

}  // namespace

/// A configuration version while its missing files are being downloaded.
struct ConfigurationUpdater::Download {
  intents::Bundle bundle;
  size_t pending_files = 0;
  bool has_failed = false;
};

base::Millis ConfigurationUpdater::TimeSincePlatformReached() const {
  return base::Clock::Now() - base::Millis{platform_reached_at_ms_};
}

void ConfigurationUpdater::RaiseNewestVersion(uint64_t version) {
  newest_version_ = std::max(newest_version_.load(), version);
}

void ConfigurationUpdater::PollPlatform() {
  instance_->platform_store.ReadAsync(
      {intents::kCurrentManifestRow}, [this](const store::ReadResult& read) {
        instance_->control_loop.Post([this, read] { OnManifestRow(read); });
      });
}

void ConfigurationUpdater::OnManifestRow(const store::ReadResult& read) {
  is_platform_reached_ = read.IsRead();
  if (!read.IsRead()) {
    return;
  }
  platform_reached_at_ms_ = base::Clock::Now().count;
  if (read.rows[0].version == 0) {
    return;
  }
  auto manifest = intents::ManifestFromJson(read.rows[0].value);
  if (!manifest) {
    base::Log(base::LogLevel::kError, "manifest_unreadable");
    return;
  }
  RaiseNewestVersion(manifest->version);
  const bool is_fetch_pending =
      is_fetching_ &&
      base::Clock::Now() - fetch_started_at_ < kMaximumFetchDuration;
  if (manifest->version > instance_->active_configuration.Version() &&
      !is_fetch_pending) {
    DownloadMissingFiles(std::move(*manifest));
  }
}

void ConfigurationUpdater::DownloadMissingFiles(intents::Manifest manifest) {
  is_fetching_ = true;
  fetch_started_at_ = base::Clock::Now();
  auto download = std::make_shared<Download>();
  std::vector<std::string> missing;
  for (const auto& [name, digest] : manifest.files) {
    // A file that the active configuration has with the same digest is not
    // downloaded again.
    auto text = instance_->active_configuration.FindFileText(name, digest);
    if (text) {
      download->bundle.files.push_back({name, std::move(*text)});
    } else {
      missing.push_back(name);
    }
  }
  download->bundle.manifest = std::move(manifest);
  download->pending_files = missing.size();
  if (missing.empty()) {
    is_fetching_ = false;
    ApplyBundle(download->bundle);
    return;
  }
  for (const std::string& name : missing) {
    const std::string digest = download->bundle.manifest.files.at(name);
    instance_->platform_store.GetObjectAsync(
        intents::BlobObjectName(digest),
        [this, download, name, digest](std::optional<std::string> text) {
          instance_->control_loop.Post(
              [this, download, name, digest, text = std::move(text)]() mutable {
                const bool matches_digest =
                    text && base::Sha256Hex(*text) == digest;
                download->has_failed = download->has_failed || !matches_digest;
                if (matches_digest) {
                  download->bundle.files.push_back({name, std::move(*text)});
                }
                if (--download->pending_files > 0) {
                  return;
                }
                is_fetching_ = false;
                if (!download->has_failed) {
                  ApplyBundle(download->bundle);
                }
              });
        });
  }
}

void ConfigurationUpdater::ApplyBundle(const intents::Bundle& bundle) {
  if (!instance_->active_configuration.ApplyIfNewer(bundle)) {
    return;
  }
  instance_->ApplyConfiguration();
  // Returns memory to the system: parsing needs many times the memory of the
  // parsed configuration.
  malloc_trim(0);
}

void ConfigurationUpdater::OnPeerVersion(const std::string& address,
                                         uint64_t version) {
  RaiseNewestVersion(version);
  const bool is_fetch_pending =
      is_fetching_ &&
      base::Clock::Now() - fetch_started_at_ < kMaximumFetchDuration;
  if (version <= instance_->active_configuration.Version() ||
      is_fetch_pending) {
    return;
  }
  is_fetching_ = true;
  fetch_started_at_ = base::Clock::Now();
  instance_->peer_client.FetchConfiguration(
      address, instance_->active_configuration.Version(), kPeerRequestTimeout,
      [this](std::optional<peer::FetchConfigurationReply> reply) {
        instance_->control_loop.Post([this, reply = std::move(reply)] {
          is_fetching_ = false;
          if (!reply || reply->bundle().empty()) {
            return;
          }
          const auto bundle = intents::BundleFromJson(reply->bundle());
          if (bundle) {
            ApplyBundle(*bundle);
          }
        });
      });
}

}  // namespace daisypond::entry
