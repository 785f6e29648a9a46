#ifndef DAISYPOND_ENTRY_SETTINGS_H_
#define DAISYPOND_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "routing/target_view.h"
#include "yaml/node.h"

namespace daisypond::entry {

/// Paths of PEM files. TLS is off where they are empty.
struct TlsSettings {
  /// For mutual TLS between instances: either all three are set or none. TLS
  /// connections of callers end at the platform's load balancer
  /// (docs/DESIGN.md).
  std::string peer_certificate;
  std::string peer_key;
  std::string peer_authority;
};

/// The settings of one process, read from its local settings file. All other
/// configuration is shared by the deployment and comes from the intents.
struct Settings {
  std::string instance;
  std::string failure_domain;
  std::string region = "default";
  std::string listen;
  std::string peer_listen;
  /// The address at which peers reach this instance; peer_listen if empty.
  std::string peer_address;
  std::string platform;
  std::vector<std::string> seed_peers;
  /// Limits the open connections, as each is served by its own thread.
  int threads = 256;
  size_t maximum_body_bytes = 1 << 20;
  size_t copy_bytes = 48u << 20;
  /// The maximum number of claims in one transaction; 1 turns grouping off.
  size_t claim_rows = 25;
  base::Millis platform_timeout{500};
  base::Millis drain_bound{120'000};
  routing::RoutingMode routing = routing::RoutingMode::kPrefixAffinity;
  base::LogLevel log_level = base::LogLevel::kInfo;
  /// Enables POST /v1/faults, which simulates link faults for failure tests.
  bool is_fault_endpoint_open = false;
  TlsSettings tls;
};

/// Reads and validates a settings file.
yaml::Parsed<Settings> ReadSettings(const std::string& file);

/// Parses and validates the text of a settings file. `file` is the file name
/// for error messages.
yaml::Parsed<Settings> ParseSettings(const std::string& file,
                                     const std::string& text);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_SETTINGS_H_
