#include "entry/configuration_follower.h"

#include <malloc.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kPeerFetchTimeout{2000};
// After this a lost download is started again.
constexpr base::Millis kFetchBound{3000};

}  // namespace

/// A version whose missing files are on their way.
struct ConfigurationFollower::Download {
  intents::Bundle bundle;
  size_t open = 0;
  bool is_broken = false;
};

base::Millis ConfigurationFollower::PlatformAge() const {
  return base::Clock::Now() - base::Millis{reached_at_ms_};
}

void ConfigurationFollower::NoteVersion(uint64_t version) {
  newest_version_ = std::max(newest_version_.load(), version);
}

void ConfigurationFollower::Poll() {
  instance_->platform.ReadAsync(
      {intents::kCurrentRow}, [this](const store::ReadResult& read) {
        instance_->control.Post([this, read] { OnRow(read); });
      });
}

void ConfigurationFollower::OnRow(const store::ReadResult& read) {
  is_platform_reached_ = read.IsRead();
  if (!read.IsRead()) {
    return;
  }
  reached_at_ms_ = base::Clock::Now().count;
  if (read.rows[0].version == 0) {
    return;
  }
  auto manifest = intents::ManifestFromJson(read.rows[0].value);
  if (!manifest) {
    base::Log(base::LogLevel::kError, "manifest_unreadable");
    return;
  }
  NoteVersion(manifest->version);
  const bool is_busy =
      is_fetching_ && base::Clock::Now() - fetch_started_at_ < kFetchBound;
  if (manifest->version > instance_->follower.Version() && !is_busy) {
    FetchFiles(std::move(*manifest));
  }
}

void ConfigurationFollower::FetchFiles(intents::Manifest manifest) {
  is_fetching_ = true;
  fetch_started_at_ = base::Clock::Now();
  auto download = std::make_shared<Download>();
  std::vector<std::string> missing;
  for (const auto& [name, digest] : manifest.files) {
    // Only files that changed are read from the store.
    auto text = instance_->follower.TextOf(name, digest);
    if (text) {
      download->bundle.files.push_back({name, std::move(*text)});
    } else {
      missing.push_back(name);
    }
  }
  download->bundle.manifest = std::move(manifest);
  download->open = missing.size();
  if (missing.empty()) {
    is_fetching_ = false;
    Offer(download->bundle);
    return;
  }
  for (const std::string& name : missing) {
    const std::string digest = download->bundle.manifest.files.at(name);
    instance_->platform.GetObjectAsync(
        intents::BlobName(digest),
        [this, download, name, digest](std::optional<std::string> text) {
          instance_->control.Post(
              [this, download, name, digest, text = std::move(text)]() mutable {
                const bool is_whole = text && base::Sha256Hex(*text) == digest;
                download->is_broken = download->is_broken || !is_whole;
                if (is_whole) {
                  download->bundle.files.push_back({name, std::move(*text)});
                }
                if (--download->open > 0) {
                  return;
                }
                is_fetching_ = false;
                if (!download->is_broken) {
                  Offer(download->bundle);
                }
              });
        });
  }
}

void ConfigurationFollower::Offer(const intents::Bundle& bundle) {
  if (!instance_->follower.Offer(bundle)) {
    return;
  }
  instance_->ApplyConfiguration();
  // Parsing took many times the memory that the result keeps.
  malloc_trim(0);
}

void ConfigurationFollower::OnPeerVersion(const std::string& address,
                                          uint64_t version) {
  NoteVersion(version);
  const bool is_busy =
      is_fetching_ && base::Clock::Now() - fetch_started_at_ < kFetchBound;
  if (version <= instance_->follower.Version() || is_busy) {
    return;
  }
  is_fetching_ = true;
  fetch_started_at_ = base::Clock::Now();
  instance_->peer_client.FetchConfiguration(
      address, instance_->follower.Version(), kPeerFetchTimeout,
      [this](std::optional<peer::FetchConfigurationReply> reply) {
        instance_->control.Post([this, reply = std::move(reply)] {
          is_fetching_ = false;
          if (!reply || reply->bundle().empty()) {
            return;
          }
          const auto bundle = intents::BundleFromJson(reply->bundle());
          if (bundle) {
            Offer(*bundle);
          }
        });
      });
}

}  // namespace daisypond::entry
