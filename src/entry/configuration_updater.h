#ifndef DAISYPOND_ENTRY_CONFIGURATION_UPDATER_H_
#define DAISYPOND_ENTRY_CONFIGURATION_UPDATER_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "entry/instance.h"
#include "intents/bundle.h"

namespace daisypond::entry {

/// Keeps the configuration of this instance at the newest version that the
/// platform or a peer has. Runs on the control thread; only the const methods
/// may be called from any thread.
class ConfigurationUpdater {
 public:
  explicit ConfigurationUpdater(Instance* instance) : instance_(instance) {}

  /// Asks the platform for its configuration version and downloads that version
  /// if it is newer than the active one.
  void PollPlatform();

  /// Called when the peer at `address` has reported its configuration version.
  /// Fetches the peer's configuration if `version` is newer than the active
  /// version.
  void OnPeerVersion(const std::string& address, uint64_t version);

  /// True if the platform answered the latest poll.
  bool IsPlatformReached() const { return is_platform_reached_; }
  /// The time since the platform last answered a poll.
  base::Millis TimeSincePlatformReached() const;

  /// The highest version that the platform or a peer has reported. This
  /// instance may not have downloaded that version yet.
  uint64_t NewestKnownVersion() const { return newest_version_; }

 private:
  struct Download;

  /// Handles the platform's reply to PollPlatform().
  void OnManifestRow(const store::ReadResult& read);
  void DownloadMissingFiles(intents::Manifest manifest);
  /// Makes the bundle the active configuration if the bundle is valid and newer
  /// than the active one.
  void ApplyBundle(const intents::Bundle& bundle);
  /// Sets the newest known version if `version` is higher.
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
