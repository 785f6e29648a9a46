#ifndef DAISYPOND_ENTRY_SETTINGS_H_
#define DAISYPOND_ENTRY_SETTINGS_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "intake/room_plan.h"
#include "routing/target_view.h"
#include "yaml/node.h"

namespace daisypond::entry {

/// Paths of the PEM files for mutual TLS between instances. Either all three
/// are set, or none, which turns TLS off. TLS connections of callers need no
/// files here: they end at the platform's load balancer (docs/DESIGN.md).
struct TlsSettings {
  std::string peer_certificate;
  std::string peer_key;
  /// The CA certificate with which the certificates of peers are verified.
  std::string peer_authority;
};

/// The settings of one process, read from its local settings file. All other
/// configuration is shared by all instances and read from the platform.
struct Settings {
  std::string instance;
  std::string failure_domain;
  std::string region = "default";
  std::string listen;
  std::string peer_listen;
  /// The address at which peers reach this instance; peer_listen if empty.
  std::string peer_address;
  /// The address of the platform.
  std::string platform;
  /// Addresses of peers through which this instance joins the group, besides
  /// the instances that the platform lists.
  std::vector<std::string> seed_peers;
  /// The number of threads that serve callers. Each open connection occupies
  /// one thread, so this also limits the open connections.
  int threads = 256;
  size_t maximum_body_bytes = 1 << 20;
  /// The memory that this process may use, in MiB. Zero: not stated.
  int64_t memory_mb = 0;
  /// The time that a caller may take for a whole header, for each 2 KiB of a
  /// body and for each 16 KiB of an answer.
  base::Millis caller_timeout{10'000};
  /// The time that a caller may take for a whole body.
  base::Millis body_timeout{120'000};
  /// Memory limit for the copies of generations.
  size_t copy_bytes = 48u << 20;
  /// The maximum number of claims of service calls that are stored in one
  /// transaction; 1 turns grouping off.
  size_t claim_rows = 25;
  base::Millis platform_timeout{500};
  /// How long open requests may continue after a stop signal. Streams that are
  /// still open then are handed over to other instances.
  base::Millis drain_timeout{120'000};
  routing::RoutingMode routing = routing::RoutingMode::kPrefixAffinity;
  base::LogLevel log_level = base::LogLevel::kInfo;
  /// Enables POST /v1/faults, which simulates link faults for failure tests.
  bool is_fault_endpoint_open = false;
  TlsSettings tls;
};

/// The memory for the bodies of requests: what the copies of generations leave.
intake::RoomPlan RoomPlanFor(const Settings& settings);

/// Reads and validates a settings file. The memory that it does not state is
/// taken from yaml::kMemoryVariable, if that is set and not empty.
yaml::ParseResult<Settings> ReadSettings(const std::string& file);

/// Parses and validates the text of a settings file. `file` is the file name
/// for error messages.
yaml::ParseResult<Settings> ParseSettings(const std::string& file,
                                          const std::string& text);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_SETTINGS_H_
