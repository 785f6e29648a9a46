#ifndef DAISYPOND_ENTRY_CONFIGURATION_UPDATER_H_
#define DAISYPOND_ENTRY_CONFIGURATION_UPDATER_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "entry/instance.h"
#include "intents/bundle.h"

namespace daisypond::entry {

/// Keeps the configuration of this instance at the newest version that the
/// platform or a peer has. Runs on the control thread; the accessors may be
/// called from any.
class ConfigurationUpdater {
 public:
  explicit ConfigurationUpdater(Instance* instance) : instance_(instance) {}

  /// Asks the platform for the current version.
  void PollPlatform();

  /// A peer has said which version it holds.
  void OnPeerVersion(const std::string& address, uint64_t version);

  /// True when the platform answered the latest poll.
  bool IsPlatformReached() const { return is_platform_reached_; }
  base::Millis TimeSincePlatformReached() const;

  /// The highest version heard of; it may not be here yet.
  uint64_t NewestKnownVersion() const { return newest_version_; }

 private:
  struct Download;

  void OnManifestRow(const store::ReadResult& read);
  void DownloadMissingFiles(intents::Manifest manifest);
  void ApplyBundle(const intents::Bundle& bundle);
  void RaiseNewestVersion(uint64_t version);

  Instance* instance_;
  bool is_fetching_ = false;
  base::Millis fetch_started_at_;
  std::atomic<bool> is_platform_reached_ = false;
  std::atomic<int64_t> platform_reached_at_ms_ = 0;
  std::atomic<uint64_t> newest_version_ = 0;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_CONFIGURATION_UPDATER_H_
