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

/// What may be done with a request after it was sent to a target once.
enum class Repeatability : uint8_t {
  /// Never sent again, unless no target can have begun to run it.
  kRunOnce,
  /// May run any number of times.
  kIdempotent,
  /// A stream that another target may continue after the last event.
  kResumable,
};

inline constexpr base::NameTable<Repeatability, 3>
    kRepeatabilityNames("run_once", "idempotent", "resumable");

struct WeightedService {
  std::string service;
  int64_t weight = 1;
};

/// How requests for one host and path prefix are served.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  Repeatability repeatability = Repeatability::kRunOnce;
  bool is_stream = false;
  /// Longest time that a caller waits for its whole answer.
  base::Millis timeout{30'000};
  /// Time to the answer, or to a stream's first event, that callers want.
  base::Millis latency_objective{1000};
  /// Longest pause between two events that callers want; zero: none stated.
  base::Millis event_gap_objective{0};
  /// 0 goes first.
  int priority = 0;
  /// Targets that one request may run on.
  int maximum_targets = 1;
  /// Served without an API key.
  bool is_public = false;
  std::vector<WeightedService> services;
};

/// What model engines of one service offer beyond plain requests.
struct EngineTraits {
  int64_t slots = 1;
  /// Tokens that fit into an engine's memory.
  int64_t kv_capacity_tokens = 0;
  /// Output tokens in one event of a stream.
  int64_t tokens_per_event = 1;
  /// Engines copy a run's memory to another engine while it grows.
  bool replicates_kv_cache = false;
  /// Engines copy a run's memory to another engine when asked.
  bool supports_kv_copy = false;
  /// How long a copy is kept after its run has broken off.
  base::Millis kv_copy_retention{0};
};

struct Service {
  std::string name;
  std::string health_path;
  /// Connections that a target accepts from all instances together.
  int64_t maximum_connections = 0;
  std::optional<EngineTraits> engine;
};

/// Bounds on what callers send.
struct CallerLimits {
  size_t header_bytes = 16u << 10;
  size_t body_bytes = 1u << 20;
  base::Millis header_timeout{3000};
  base::Millis idle_timeout{15'000};
};

struct Workspace {
  std::string name;
  /// Goes before the route's priority when set.
  std::optional<int> priority;
};

/// What operators decide about forwarding. Immutable once it is in force.
struct Configuration {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  CallerLimits limits;
  /// False: requests need no API key.
  bool has_workspaces = false;
  /// By API key.
  std::unordered_map<std::string, Workspace> workspaces;

  /// The route of `host` with the longest prefix of `path`, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  const Service* FindService(const std::string& name) const;
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_CONFIGURATION_H_
