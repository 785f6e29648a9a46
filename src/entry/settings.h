#ifndef DAISYPOND_ENTRY_SETTINGS_H_
#define DAISYPOND_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "routing/target_view.h"
#include "yaml/node.h"

namespace daisypond::entry {

/// PEM files; empty ones leave the link without TLS.
struct TlsSettings {
  /// For mutual TLS between instances: all three or none. Callers' TLS ends
  /// at the platform's balancer (docs/DESIGN.md).
  std::string peer_certificate;
  std::string peer_key;
  std::string peer_authority;
};

/// What a process learns from its own file; everything else comes from the
/// intents.
struct Settings {
  std::string instance;
  std::string failure_domain;
  std::string region = "default";
  std::string listen;
  std::string peer_listen;
  /// Where peers reach this instance, if not at peer_listen.
  std::string peer_address;
  std::string platform;
  std::vector<std::string> seed_peers;
  /// One for each connection that may be open at once.
  int threads = 256;
  size_t maximum_body_bytes = 1 << 20;
  size_t copy_bytes = 48u << 20;
  /// Claims in one transaction; 1 turns grouping off.
  size_t claim_rows = 25;
  base::Millis platform_timeout{500};
  base::Millis drain_bound{120'000};
  routing::RoutingMode routing = routing::RoutingMode::kPrefixAffinity;
  base::LogLevel log_level = base::LogLevel::kInfo;
  /// Opens the endpoint that cuts links, for failure tests.
  bool is_fault_endpoint_open = false;
  TlsSettings tls;
};

/// Reads and checks a file of settings as a whole.
yaml::ParseResult<Settings> ReadSettings(const std::string& file);

/// Checks a text; `file` names it in errors.
yaml::ParseResult<Settings> ParseSettings(const std::string& file,
                                          const std::string& text);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_SETTINGS_H_
