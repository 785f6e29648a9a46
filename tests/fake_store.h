#ifndef DAISYPOND_TESTS_FAKE_STORE_H_
#define DAISYPOND_TESTS_FAKE_STORE_H_

#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "store/table_message.h"

namespace daisypond::tests {

/// Fault rates of a FakeStore: for each fault, the number of calls out of 1,000
/// in which it occurs.
struct StoreFaults {
  /// The call does not reach the store.
  int not_reached = 0;
  /// The write takes effect but its answer is lost.
  int answer_lost = 0;
  /// The answer is lost and the write takes effect only during a later call.
  int delayed = 0;
};

/// In-memory replacement for the platform's table store and object store.
/// Injects pseudo-random faults that a seed determines. Thread-safe.
class FakeStore {
 public:
  explicit FakeStore(uint64_t seed = 1, StoreFaults faults = {})
      : random_(seed), faults_(faults) {}

  store::TransactionResult Transact(
      const std::vector<store::ConditionalWrite>& writes) {
    const std::lock_guard lock(mutex_);
    ++transaction_count;
    ApplyDelayedWrites();
    if (ShouldInjectFault(faults_.not_reached)) {
      return {store::StoreOutcome::kNotReached, {}};
    }
    if (ShouldInjectFault(faults_.delayed)) {
      delayed_writes_.push_back(writes);
      return {store::StoreOutcome::kUnknown, {}};
    }
    const auto result = Apply(writes);
    return ShouldInjectFault(faults_.answer_lost)
               ? store::TransactionResult{store::StoreOutcome::kUnknown, {}}
               : result;
  }

  store::ReadResult Read(const std::vector<std::string>& keys) {
    const std::lock_guard lock(mutex_);
    if (ShouldInjectFault(faults_.not_reached) ||
        ShouldInjectFault(faults_.answer_lost)) {
      return {store::StoreOutcome::kUnknown, {}};
    }
    if (random_() % 2 == 0) {
      ApplyDelayedWrites();
    }
    store::ReadResult result{store::StoreOutcome::kCommitted, {}};
    for (const std::string& it : keys) {
      store::Row row = rows_[it];
      row.key = it;
      result.rows.push_back(row);
    }
    return result;
  }

  store::StoreOutcome PutObject(const std::string& name,
                                const std::string& content) {
    const std::lock_guard lock(mutex_);
    if (ShouldInjectFault(faults_.not_reached)) {
      return store::StoreOutcome::kNotReached;
    }
    objects_[name] = content;
    return store::StoreOutcome::kCommitted;
  }

  std::optional<std::string> GetObject(const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto it = objects_.find(name);
    if (it == objects_.end() || ShouldInjectFault(faults_.not_reached)) {
      return std::nullopt;
    }
    return it->second;
  }

  void SetFaults(StoreFaults faults) {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
  }

  int transaction_count = 0;

 private:
  bool ShouldInjectFault(int permille) {
    return static_cast<int>(random_() % 1000) < permille;
  }

  void ApplyDelayedWrites() {
    for (const auto& it : delayed_writes_) {
      Apply(it);
    }
    delayed_writes_.clear();
  }

  store::TransactionResult Apply(
      const std::vector<store::ConditionalWrite>& writes) {
    store::TransactionResult result{store::StoreOutcome::kCommitted, {}};
    for (const auto& it : writes) {
      if (rows_[it.key].version != it.expected_version) {
        result.conflicts.push_back(it.key);
      }
    }
    if (!result.conflicts.empty()) {
      result.outcome = store::StoreOutcome::kConflict;
      return result;
    }
    for (const auto& it : writes) {
      store::Row& row = rows_[it.key];
      row.value = it.value;
      ++row.version;
    }
    return result;
  }

  std::mutex mutex_;
  std::mt19937_64 random_;
  StoreFaults faults_;
  std::map<std::string, store::Row> rows_;
  std::map<std::string, std::string> objects_;
  std::vector<std::vector<store::ConditionalWrite>> delayed_writes_;
};

}  // namespace daisypond::tests

#endif  // DAISYPOND_TESTS_FAKE_STORE_H_
