#ifndef DAISYPOND_CATALOG_TARGET_H_
#define DAISYPOND_CATALOG_TARGET_H_

#include <cstdint>
#include <map>
#include <string>

namespace daisypond::catalog {

/// A target as its process registered it in the table service.
struct Target {
  /// Identifies the target. A process that replaces it after a restart may
  /// register the same id.
  std::string id;
  std::string service;
  /// Format "IP:PORT".
  std::string address;
  std::string failure_domain;
  /// Version of the target's software; empty when not stated. What targets of
  /// two versions write for one request does not fit together.
  std::string version;
  int64_t slots = 1;
  /// The target accepts no new requests.
  bool is_leaving = false;
  /// Start time of the process in Unix milliseconds. A different value means a
  /// new process without the state of the previous one. Zero when not stated.
  int64_t started_at = 0;

  bool operator==(const Target&) const = default;
};

using Targets = std::map<std::string, Target>;

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_TARGET_H_
