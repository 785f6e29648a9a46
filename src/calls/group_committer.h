#ifndef DAISYPOND_CALLS_GROUP_COMMITTER_H_
#define DAISYPOND_CALLS_GROUP_COMMITTER_H_

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "store/table_message.h"

namespace daisypond::calls {

struct GroupCommitterOptions {
  size_t max_rows_per_transaction = 25;
  /// How long the first write of a batch waits for further writes.
  base::Millis gather_window{3};
  /// Pause before retrying a transaction that the store refused because of its
  /// rate limit.
  base::Millis retry_pause{25};
  /// Limit of attempts to commit a transaction that the store refuses.
  int max_attempts = 4;
};

/// Combines the conditional writes of many threads into few transactions,
/// because the store accepts only a few hundred transactions a second.
template <store::TableService Table>
class GroupCommitter {
 public:
  GroupCommitter(Table* table,
                 GroupCommitterOptions options,
                 base::Metrics* metrics)
      : table_(table), options_(options), metrics_(metrics) {
    thread_ = std::thread([this] { Run(); });
  }

  ~GroupCommitter() {
    {
      const std::lock_guard lock(mutex_);
      is_stopping_ = true;
    }
    work_arrived_.notify_one();
    thread_.join();
  }

  GroupCommitter(const GroupCommitter&) = delete;
  GroupCommitter& operator=(const GroupCommitter&) = delete;

  /// Writes one row and blocks until the outcome is known. Each write to a row
  /// must have a different value: if the store's reply is lost, the stored
  /// value shows whether this write took effect.
  store::StoreOutcome Write(store::ConditionalWrite write) {
    PendingWrite pending{std::move(write), {}};
    auto outcome = pending.outcome.get_future();
    {
      const std::lock_guard lock(mutex_);
      pending_.push_back(std::move(pending));
    }
    work_arrived_.notify_one();
    return outcome.get();
  }

 private:
  struct PendingWrite {
    store::ConditionalWrite write;
    std::promise<store::StoreOutcome> outcome;
  };
  using Batch = std::vector<PendingWrite>;

  void Run() {
    while (true) {
      Batch batch = GatherBatch();
      if (batch.empty()) {
        return;
      }
      CommitBatch(std::move(batch));
    }
  }

  Batch GatherBatch() {
    std::unique_lock lock(mutex_);
    const auto has_work = [this] { return is_stopping_ || !pending_.empty(); };
    const auto is_full = [this] {
      return is_stopping_ ||
             pending_.size() >= options_.max_rows_per_transaction;
    };
    work_arrived_.wait(lock, has_work);
    work_arrived_.wait_for(lock, options_.gather_window.ToChrono(), is_full);
    Batch batch;
    Batch later;
    while (!pending_.empty() &&
           batch.size() < options_.max_rows_per_transaction) {
      PendingWrite next = std::move(pending_.front());
      pending_.pop_front();
      // A transaction may contain each row only once.
      const bool is_repeated =
          std::any_of(batch.begin(), batch.end(), [&](const PendingWrite& it) {
            return it.write.key == next.write.key;
          });
      (is_repeated ? later : batch).push_back(std::move(next));
    }
    for (PendingWrite& it : later) {
      pending_.push_back(std::move(it));
    }
    return batch;
  }

  void CommitBatch(Batch batch) {
    for (int i = 1; !batch.empty(); ++i) {
      metrics_->Add(base::Counter::kClaimTransactions);
      const auto result = table_->Transact(WritesOf(batch));
      switch (result.outcome) {
        case store::StoreOutcome::kCommitted:
          CompleteWrites(&batch, store::StoreOutcome::kCommitted);
          return;
        case store::StoreOutcome::kUnknown:
          ResolveByReading(std::move(batch));
          return;
        case store::StoreOutcome::kConflict:
          // Completes the writes to conflicting rows. The next iteration
          // retries the other writes.
          if (!ResolveConflicts(result.conflicts, &batch)) {
            CompleteWrites(&batch, store::StoreOutcome::kUnknown);
            return;
          }
          break;
        case store::StoreOutcome::kNotReached:
          if (i >= options_.max_attempts) {
            CompleteWrites(&batch, store::StoreOutcome::kNotReached);
            return;
          }
          std::this_thread::sleep_for(options_.retry_pause.ToChrono());
          break;
      }
    }
  }

  static std::vector<store::ConditionalWrite> WritesOf(const Batch& batch) {
    std::vector<store::ConditionalWrite> writes;
    for (const PendingWrite& it : batch) {
      writes.push_back(it.write);
    }
    return writes;
  }

  static void CompleteWrites(Batch* batch, store::StoreOutcome outcome) {
    for (PendingWrite& it : *batch) {
      it.outcome.set_value(outcome);
    }
    batch->clear();
  }

  /// Removes the writes to conflicting rows from the batch and completes them.
  /// Returns false if there are none. If the transport sent the transaction
  /// twice, the conflict may be with the first copy of the same write. The rows
  /// are therefore read to determine the outcome.
  bool ResolveConflicts(const std::vector<std::string>& conflicts,
                        Batch* batch) {
    Batch conflicting;
    Batch remaining;
    for (PendingWrite& it : *batch) {
      const bool is_conflicting = std::find(conflicts.begin(), conflicts.end(),
                                            it.write.key) != conflicts.end();
      (is_conflicting ? conflicting : remaining).push_back(std::move(it));
    }
    *batch = std::move(remaining);
    const bool has_resolved_writes = !conflicting.empty();
    ResolveByReading(std::move(conflicting));
    return has_resolved_writes;
  }

  /// Reads the rows of writes whose outcome is unknown, and completes the
  /// writes accordingly.
  void ResolveByReading(Batch batch) {
    if (batch.empty()) {
      return;
    }
    std::vector<std::string> keys;
    for (const PendingWrite& it : batch) {
      keys.push_back(it.write.key);
    }
    constexpr int kMaximumReads = 3;
    store::ReadResult read;
    for (int i = 0; i < kMaximumReads && !read.IsRead(); ++i) {
      read = table_->Read(keys);
    }
    for (size_t i = 0; i < batch.size(); ++i) {
      PendingWrite& it = batch[i];
      if (!read.IsRead()) {
        it.outcome.set_value(store::StoreOutcome::kUnknown);
        continue;
      }
      it.outcome.set_value(OutcomeFromRow(it.write, read.rows[i]));
    }
  }

  static store::StoreOutcome OutcomeFromRow(
      const store::ConditionalWrite& write,
      const store::Row& row) {
    if (row.value == write.value && row.version > write.expected_version) {
      return store::StoreOutcome::kCommitted;
    }
    if (row.version > write.expected_version) {
      return store::StoreOutcome::kConflict;
    }
    // The write may still arrive at the store.
    return store::StoreOutcome::kUnknown;
  }

  Table* table_;
  GroupCommitterOptions options_;
  base::Metrics* metrics_;
  std::mutex mutex_;
  std::condition_variable work_arrived_;
  std::deque<PendingWrite> pending_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace daisypond::calls

#endif  // DAISYPOND_CALLS_GROUP_COMMITTER_H_
