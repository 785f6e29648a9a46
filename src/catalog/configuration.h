#ifndef DAISYPOND_CATALOG_CONFIGURATION_H_
#define DAISYPOND_CATALOG_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/name_table.h"

namespace daisypond::catalog {

/// Whether a request may be sent again after it was sent to a target.
enum class Repeatability : uint8_t {
  /// The request is sent again only if no target can have begun to run it.
  kRunOnce,
  /// The request may be run any number of times.
  kIdempotent,
  /// The response is an event stream that another target can continue after the
  /// last event received.
  kResumable,
};

inline constexpr base::NameTable<Repeatability, 3>
    kRepeatabilityNames("run_once", "idempotent", "resumable");

struct WeightedService {
  std::string service;
  int64_t weight = 1;
};

/// How requests for one host and path prefix are forwarded.
struct Route {
  std::string name;
  std::string host;
  /// Path prefix of the requests; begins and ends with a slash.
  std::string prefix;
  Repeatability repeatability = Repeatability::kRunOnce;
  bool is_stream = false;
  /// Maximum time from the arrival of a request to the end of its response.
  base::Millis timeout{30'000};
  /// Desired time to the response or, for streams, to the first event.
  base::Millis latency_objective{1000};
  /// Desired maximum time between two events of a stream; zero when not stated.
  base::Millis event_gap_objective{0};
  /// 0 is the highest priority.
  int priority = 0;
  /// Maximum number of targets on which one request may run.
  int maximum_targets = 1;
  /// True when requests need no API key.
  bool is_public = false;
  std::vector<WeightedService> services;
};

/// Properties of the model engines of a service.
struct EngineTraits {
  int64_t slots = 1;
  /// Capacity of an engine's KV cache in tokens.
  int64_t kv_capacity_tokens = 0;
  /// Output tokens in one event of a stream.
  int64_t tokens_per_event = 1;
  /// Engines can copy a run's KV cache to another engine continuously while it
  /// grows.
  bool replicates_kv_cache = false;
  /// Engines can copy a run's KV cache to another engine on request.
  bool supports_kv_copy = false;
  /// How long a KV cache copy is kept after its run was interrupted.
  base::Millis kv_copy_retention{0};
};

struct Service {
  std::string name;
  std::string health_path;
  /// Connections that a target accepts from all instances together.
  int64_t maximum_connections = 0;
  std::optional<EngineTraits> engine;
};

/// Limits on requests of callers.
struct CallerLimits {
  size_t header_bytes = 16u << 10;
  size_t body_bytes = 1u << 20;
  base::Millis header_timeout{3000};
  base::Millis idle_timeout{15'000};
};

struct Workspace {
  std::string name;
  /// Overrides the route's priority when set.
  std::optional<int> priority;
};

/// The configuration of forwarding that operators publish. Immutable once it is
/// active.
struct Configuration {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  CallerLimits limits;
  /// When false, requests need no API key.
  bool has_workspaces = false;
  /// Workspaces by API key.
  std::unordered_map<std::string, Workspace> workspaces;

  /// Returns the route of `host` with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Service* FindService(const std::string& name) const;
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_CONFIGURATION_H_
