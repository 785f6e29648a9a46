#ifndef DAISYPOND_INTENTS_ACTIVE_CONFIGURATION_H_
#define DAISYPOND_INTENTS_ACTIVE_CONFIGURATION_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "intents/bundle.h"

namespace daisypond::intents {

/// Holds the configuration that is in force in this instance. The version
/// only goes up. Thread-safe.
class ActiveConfiguration {
 public:
  explicit ActiveConfiguration(base::Metrics* metrics);

  /// Puts a bundle in force when it is newer and valid as a whole. Returns
  /// true when the configuration changed.
  bool ApplyIfNewer(const Bundle& bundle);

  /// The configuration in force; version 0 before the first one.
  std::shared_ptr<const Configuration> Current() const;

  uint64_t Version() const { return Current()->version; }

  /// The bundle in force as JSON, for peers; empty before the first one.
  std::shared_ptr<const std::string> CurrentBundleJson() const;

  /// The file's text if the bundle in force holds it under this digest.
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
