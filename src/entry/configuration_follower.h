#ifndef DAISYPOND_ENTRY_CONFIGURATION_FOLLOWER_H_
#define DAISYPOND_ENTRY_CONFIGURATION_FOLLOWER_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "entry/instance.h"
#include "intents/bundle.h"

namespace daisypond::entry {

/// Keeps the configuration of this instance at the newest version that the
/// platform or a peer has. Runs on the control thread; the accessors may be
/// called from any.
class ConfigurationFollower {
 public:
  explicit ConfigurationFollower(Instance* instance) : instance_(instance) {}

  /// Asks the platform for the current version.
  void Poll();

  /// A peer has said which version it holds.
  void OnPeerVersion(const std::string& address, uint64_t version);

  /// True when the platform answered the latest poll.
  bool IsPlatformReached() const { return is_platform_reached_; }
  base::Millis PlatformAge() const;

  /// The highest version heard of; it may not be here yet.
  uint64_t NewestVersion() const { return newest_version_; }

 private:
  struct Download;

  void OnRow(const store::ReadResult& read);
  void FetchFiles(intents::Manifest manifest);
  void Offer(const intents::Bundle& bundle);
  void NoteVersion(uint64_t version);

  Instance* instance_;
  bool is_fetching_ = false;
  base::Millis fetch_started_at_;
  std::atomic<bool> is_platform_reached_ = false;
  std::atomic<int64_t> reached_at_ms_ = 0;
  std::atomic<uint64_t> newest_version_ = 0;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_CONFIGURATION_FOLLOWER_H_
