#ifndef DAISYPOND_INTENTS_CONFIGURATION_H_
#define DAISYPOND_INTENTS_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/name_table.h"

namespace daisypond::intents {

enum class Priority : uint8_t { kHigh, kNormal, kLow };

inline constexpr base::NameTable<Priority, 3> kPriorityNames("high",
                                                             "normal",
                                                             "low");

/// Settings for one kind of request.
struct RequestKind {
  Priority priority = Priority::kNormal;
  /// The longest time from the request's arrival to its last token.
  base::Millis deadline{600'000};
  /// The longest time that a request waits in the queue of an instance.
  base::Millis queue_timeout{10'000};
  /// The maximum number of tokens to generate for one request. Requests that do
  /// not set `max_tokens` get this number.
  int64_t maximum_tokens = 4096;
};

/// Identifies a model. A generation may be continued only by targets that serve
/// the same model version.
struct ModelVersion {
  std::string model;
  std::string version;
  std::string adapter;

  auto operator<=>(const ModelVersion&) const = default;

  /// Returns "model:version" or "model:version+adapter".
  std::string ToString() const;

  /// Parses the format of ToString(). Returns false for any other text.
  static bool FromString(const std::string& text, ModelVersion* out);
};

struct Workspace {
  /// SHA-256 of the API key in hexadecimal digits.
  std::string api_key_sha256;
  /// Queued requests of the same priority are started in proportion to the
  /// weights of their workspaces.
  int64_t weight = 1;
  double requests_per_second = 1000;
  int64_t concurrent_requests = 64;
  /// Maps the model name in a caller's request to the model version that serves
  /// it.
  std::map<std::string, ModelVersion> models;
};

struct ServiceCall {
  bool is_idempotent = false;
  base::Millis timeout{5000};
};

struct Service {
  std::map<std::string, ServiceCall> calls;
};

enum class TargetKind : uint8_t { kEngine, kService };

inline constexpr base::NameTable<TargetKind, 2> kTargetKindNames("engine",
                                                                 "service");

enum class TargetState : uint8_t { kJoining, kServing, kLeaving };

inline constexpr base::NameTable<TargetState, 3> kTargetStateNames("joining",
                                                                   "serving",
                                                                   "leaving");

/// Whether a target checks the fencing numbers of orders and refuses orders
/// with an outdated number.
enum class Fencing : uint8_t { kChecked, kIgnored };

inline constexpr base::NameTable<Fencing, 2> kFencingNames("checked",
                                                           "ignored");

struct Target {
  std::string address;
  std::string failure_domain;
  TargetKind kind = TargetKind::kEngine;
  TargetState state = TargetState::kServing;
  Fencing fencing = Fencing::kIgnored;
  /// The number of requests that the target can run at the same time.
  int64_t capacity = 16;
  std::vector<ModelVersion> models;
  std::string service;
  /// The model that the target is ordered to load. When empty, the target gets
  /// no orders.
  std::string wanted_model;

  bool Serves(const ModelVersion& wanted) const;
};

enum class ResumeMode : uint8_t { kCost, kFixedTimeout, kRestart };

inline constexpr base::NameTable<ResumeMode, 3>
    kResumeModeNames("cost", "fixed_timeout", "restart");

/// How a generation is resumed after its target is lost. In the mode kCost, the
/// weights balance waiting for a lost target against recomputing tokens.
struct ResumeSettings {
  ResumeMode mode = ResumeMode::kCost;
  /// The cost of one second that a caller waits.
  double latency_weight = 1;
  /// The cost of recomputing 1,000 prefix tokens.
  double resource_weight = 1;
};

/// Limits of one instance for all workspaces together.
struct InstanceLimits {
  int64_t concurrent_streams = 200;
  int64_t queued_requests = 400;
  /// The number of retries allowed per 100 first attempts.
  int64_t retry_percent = 10;
};

/// All settings that operators publish. Never modified once it is active.
struct Configuration {
  uint64_t version = 0;
  std::map<std::string, RequestKind> request_kinds;
  std::map<std::string, Workspace> workspaces;
  /// Maps the SHA-256 digest of an API key to the name of its workspace.
  std::map<std::string, std::string> workspace_by_key;
  std::map<std::string, Service> services;
  std::map<std::string, Target> targets;
  /// SHA-256 digests of the operators' tokens, by operator name.
  std::map<std::string, std::string> operators;
  ResumeSettings resume;
  InstanceLimits limits;
};

}  // namespace daisypond::intents

#endif  // DAISYPOND_INTENTS_CONFIGURATION_H_
