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
  /// In a group of up to this size, every instance reads the targets from the
  /// table service. In a larger group, two instances of each failure domain
  /// read them for the others, so that the load on the table service does not
  /// grow with the group. FIXME: an instance that got its targets from a peer
  /// once sent a request to a target 3.8 s after the target had announced that
  /// it was leaving. Until the cause is found, the limit is higher than the
  /// size of present groups, so that every instance reads for itself
  /// (docs/FINDINGS.md).
  size_t direct_group = 400;
  /// Time from the stop signal until the process is killed.
  base::Millis stop_grace{8000};
  RetrySettings retries;
  base::LogLevel log_level = base::LogLevel::kInfo;
};

/// Reads a settings file and validates all of it.
yaml::ParseResult<Settings> ReadSettings(const std::string& file);

/// Parses and validates the text of a settings file. `file` is its name in
/// error messages.
yaml::ParseResult<Settings> ParseSettings(const std::string& file,
                                          const std::string& text);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SETTINGS_H_
