#ifndef DAISYPOND_INTENTS_ACTIVE_CONFIGURATION_H_
#define DAISYPOND_INTENTS_ACTIVE_CONFIGURATION_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "intents/bundle.h"

namespace daisypond::intents {

/// Holds the configuration that this instance uses. The configuration's version
/// never decreases. Thread-safe.
class ActiveConfiguration {
 public:
  explicit ActiveConfiguration(base::Metrics* metrics);

  /// Activates the bundle's configuration if it is newer than the active one
  /// and all its files are valid. Returns true when the configuration changed.
  bool ApplyIfNewer(const Bundle& bundle);

  /// Returns the active configuration, or an empty configuration with version 0
  /// if none has been activated yet.
  std::shared_ptr<const Configuration> Current() const;

  uint64_t Version() const { return Current()->version; }

  /// Returns the bundle of the active configuration as JSON, to be sent to
  /// peers. The text is empty if no configuration has been activated yet.
  std::shared_ptr<const std::string> CurrentBundleJson() const;

  /// Returns the text of a file of the active bundle, or nothing when the
  /// bundle has no file with this name and digest.
  std::optional<std::string> FindFileText(const std::string& name,
                                          const std::string& digest) const;

 private:
  base::Metrics* metrics_;
  mutable std::mutex mutex_;
  Bundle bundle_;
  std::shared_ptr<const Configuration> current_;
  std::shared_ptr<const std::string> bundle_json_;
};

}  // namespace daisypond::intents

#endif  // DAISYPOND_INTENTS_ACTIVE_CONFIGURATION_H_
