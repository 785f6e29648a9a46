#ifndef DAISYPOND_STORE_TABLE_MESSAGE_H_
#define DAISYPOND_STORE_TABLE_MESSAGE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "base/name_table.h"

namespace daisypond::store {

/// A row of the platform's table service. Version 0: the row is absent; each
/// write counts the version up by one.
struct Row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

/// A write that takes effect only when the row is at `expected_version`.
struct ConditionalWrite {
  std::string key;
  std::string value;
  uint64_t expected_version = 0;
};

enum class StoreOutcome : uint8_t {
  kCommitted,
  /// Nothing was written; `conflicts` names the rows at other versions.
  kConflict,
  /// The request never reached the store.
  kNotReached,
  /// The answer was lost: the write may have taken effect.
  kUnknown,
};

inline constexpr base::NameTable<StoreOutcome, 4>
    kStoreOutcomeNames("committed", "conflict", "not_reached", "unknown");

struct TransactionResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<std::string> conflicts;
};

struct ReadResult {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /// One row for each key asked for, in the same order.
  std::vector<Row> rows;

  bool IsRead() const { return outcome == StoreOutcome::kCommitted; }
};

/// What the transactional table service offers to a slice. Calls block for
/// at most the client's time-out.
template <typename T>
concept TableService = requires(T table,
                                std::vector<ConditionalWrite> writes,
                                std::vector<std::string> keys) {
  { table.Transact(writes) } -> std::same_as<TransactionResult>;
  { table.Read(keys) } -> std::same_as<ReadResult>;
};

}  // namespace daisypond::store

#endif  // DAISYPOND_STORE_TABLE_MESSAGE_H_
