#ifndef DAISYPOND_CATALOG_TARGET_H_
#define DAISYPOND_CATALOG_TARGET_H_

#include <cstdint>
#include <map>
#include <string>

namespace daisypond::catalog {

/// One process of a target as it describes itself.
struct Target {
  /// Names the target; a restart may keep it.
  std::string id;
  std::string service;
  /// "IP:PORT".
  std::string address;
  std::string failure_domain;
  int64_t slots = 1;
  /// Takes no new requests.
  bool is_leaving = false;
  /// Unix milliseconds of the process's start; another value is another
  /// process that knows nothing of the one before. Zero: not stated.
  int64_t started_at = 0;

  bool operator==(const Target&) const = default;
};

using Targets = std::map<std::string, Target>;

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_TARGET_H_
