#ifndef DAISYPOND_GATEWAY_SETTINGS_H_
#define DAISYPOND_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "yaml/node.h"

namespace daisypond::gateway {

/// Bounds on sends beyond the first of each request, for all instances
/// together.
struct RetrySettings {
  base::Millis window{10'000};
  /// Repeated sends for each request within a window.
  double ratio = 0.2;
  /// Repeated sends beyond that.
  double slack = 0;
};

/// What an instance that forwards requests learns from its own file.
struct Settings {
  std::string instance;
  std::string failure_domain;
  std::string region = "default";
  /// Where callers connect.
  std::string listen;
  /// Serves /readyz.
  std::string ready_listen;
  /// Serves /metrics.
  std::string metrics_listen;
  /// Where other instances connect.
  std::string peer_listen;
  std::vector<std::string> seed_peers;
  /// The table service.
  std::string store;
  /// Instances of a group of up to this size read the targets from the table
  /// service by themselves; in a larger one two in each failure domain read
  /// for all, so that its load does not grow with the group. FIXME: a follower
  /// once sent to a target 3.8 s after it had said that it leaves; readers are
  /// off for present groups until that is traced (docs/FINDINGS.md).
  size_t direct_group = 400;
  /// From the request to stop until the process is killed.
  base::Millis stop_grace{8000};
  RetrySettings retries;
  base::LogLevel log_level = base::LogLevel::kInfo;
};

/// Reads and checks a file of settings as a whole.
yaml::ParseResult<Settings> ReadSettings(const std::string& file);

/// Checks a text; `file` names it in errors.
yaml::ParseResult<Settings> ParseSettings(const std::string& file,
                                          const std::string& text);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SETTINGS_H_
