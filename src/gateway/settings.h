#ifndef DAISYPOND_GATEWAY_SETTINGS_H_
#define DAISYPOND_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "yaml/node.h"

namespace daisypond::gateway {

/// Limits on retries, which hold for all instances together. Each send of a
/// request to a target counts as a retry, except the first send of the request.
struct RetrySettings {
  /// Length of the sliding window in which requests and retries are counted.
  base::Millis window{10'000};
  /// Retries allowed per request within the window.
  double ratio = 0.2;
  /// Retries allowed in addition to the ratio within the window.
  double slack = 0;
};

/// Settings file of an instance that forwards requests.
struct Settings {
  std::string instance;
  std::string failure_domain;
  std::string region = "default";
  /// Address for connections of callers.
  std::string listen;
  /// Address that serves /readyz.
  std::string ready_listen;
  /// Address that serves /metrics.
  std::string metrics_listen;
  /// Address for connections of other instances.
  std::string peer_listen;
  /// Address at which this instance opens tunnels to targets for other
  /// instances. Empty: it opens none.
  std::string tunnel_listen;
  /// Addresses of instances through which this instance discovers all others.
  std::vector<std::string> seed_peers;
  /// Address of the table service, which holds the configuration and targets.
  std::string store;
  /// In a group of up to this size, every instance reads the table service. In
  /// a larger group, one instance of each failure domain reads it for the
  /// others, so that the load on the table service does not grow with the
  /// group.
  size_t direct_group = 16;
  /// Time within which a change in the table service must have taken effect at
  /// all instances.
  base::Millis catalog_bound{2000};
  /// True when the whole system starts for the first time. Instances then wait
  /// for each other before they read the table service.
  bool is_first_start = false;
  /// Time from the stop signal until the process is killed.
  base::Millis stop_grace{8000};
  RetrySettings retries;
  /// Memory that the process may use, in megabytes. Zero: not stated.
  int64_t memory_mb = 0;
  /// Descriptors that the process may have open. Zero: not stated.
  int64_t maximum_descriptors = 0;
  base::LogLevel log_level = base::LogLevel::kInfo;
};

/// Limits that the file does not state are taken from yaml::kMemoryVariable and
/// this environment variable, if they are set and not empty.
inline constexpr const char* kDescriptorsVariable = "DAISYPOND_MAX_FDS";

/// Reads a settings file and validates all of it, and the environment variables
/// above.
yaml::ParseResult<Settings> ReadSettings(const std::string& file);

/// Parses and validates the text of a settings file. `file` is its name in
/// error messages.
yaml::ParseResult<Settings> ParseSettings(const std::string& file,
                                          const std::string& text);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SETTINGS_H_
