#ifndef DAISYPOND_STORE_TABLE_MESSAGE_H_
#define DAISYPOND_STORE_TABLE_MESSAGE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "base/name_table.h"

namespace daisypond::store {

/// A row of the platform's table service. Each write increments the version by
/// one. Version 0 means that the row does not exist.
struct Row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

/// A write that takes effect only if the row's version is `expected_version`.
struct ConditionalWrite {
  std::string key;
  std::string value;
  uint64_t expected_version = 0;
};

enum class StoreOutcome : uint8_t {
  kCommitted,
  /// Nothing was written, because at least one row did not have the expected
  /// version.
  kConflict,
  /// The request did not reach the store, or the store refused it without
  /// carrying it out.
  kNotReached,
  /// The answer was lost or not understood. A write may have taken effect.
  kUnknown,
};

inline constexpr base::NameTable<StoreOutcome, 4>
    kStoreOutcomeNames("committed", "conflict", "not_reached", "unknown");

struct TransactionResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /// For kConflict: the keys of the rows whose version differed from
  /// `expected_version`.
  std::vector<std::string> conflicts;
};

struct ReadResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /// One row for each requested key, in the order of the keys.
  std::vector<Row> rows;

  bool IsRead() const { return outcome == StoreOutcome::kCommitted; }
};

/// The operations of the transactional table service. Each call blocks until
/// the service has answered or the client's timeout has passed.
template <typename T>
concept TableService = requires(T table,
                                std::vector<ConditionalWrite> writes,
                                std::vector<std::string> keys) {
  { table.Transact(writes) } -> std::same_as<TransactionResult>;
  { table.Read(keys) } -> std::same_as<ReadResult>;
};

}  // namespace daisypond::store

#endif  // DAISYPOND_STORE_TABLE_MESSAGE_H_
