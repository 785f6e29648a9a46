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
  /// Rows in one transaction.
  size_t maximum_rows = 25;
  /// How long a first write waits for others to join it.
  base::Millis gather{3};
  /// Pause after the store has refused a transaction for its rate.
  base::Millis refusal_pause{25};
  /// Tries of one transaction that the store refuses.
  int maximum_tries = 4;
};

/// Puts the conditional writes of many threads into few transactions: the
/// store counts transactions, and takes only some hundreds a second.
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
    arrived_.notify_one();
    thread_.join();
  }

  GroupCommitter(const GroupCommitter&) = delete;
  GroupCommitter& operator=(const GroupCommitter&) = delete;

  /// Writes one row. The value must differ from every other write to the
  /// row, since it tells this write from another one after a lost answer.
  store::StoreOutcome Write(store::ConditionalWrite write) {
    Pending pending{std::move(write), {}};
    auto outcome = pending.outcome.get_future();
    {
      const std::lock_guard lock(mutex_);
      pending_.push_back(std::move(pending));
    }
    arrived_.notify_one();
    return outcome.get();
  }

 private:
  struct Pending {
    store::ConditionalWrite write;
    std::promise<store::StoreOutcome> outcome;
  };
  using Batch = std::vector<Pending>;

  void Run() {
    while (true) {
      Batch batch = Gather();
      if (batch.empty()) {
        return;
      }
      Commit(std::move(batch));
    }
  }

  Batch Gather() {
    std::unique_lock lock(mutex_);
    const auto has_work = [this] { return is_stopping_ || !pending_.empty(); };
    const auto is_full = [this] {
      return is_stopping_ || pending_.size() >= options_.maximum_rows;
    };
    arrived_.wait(lock, has_work);
    arrived_.wait_for(lock, options_.gather.ToChrono(), is_full);
    Batch batch;
    Batch later;
    while (!pending_.empty() && batch.size() < options_.maximum_rows) {
      Pending next = std::move(pending_.front());
      pending_.pop_front();
      // One row can stand only once in a transaction.
      const bool is_repeated = std::any_of(
          batch.begin(), batch.end(),
          [&](const Pending& it) { return it.write.key == next.write.key; });
      (is_repeated ? later : batch).push_back(std::move(next));
    }
    for (Pending& it : later) {
      pending_.push_back(std::move(it));
    }
    return batch;
  }

  void Commit(Batch batch) {
    for (int i = 1; !batch.empty(); ++i) {
      metrics_->Add(base::Counter::kClaimTransactions);
      const auto result = table_->Transact(WritesOf(batch));
      switch (result.outcome) {
        case store::StoreOutcome::kCommitted:
          Answer(&batch, store::StoreOutcome::kCommitted);
          return;
        case store::StoreOutcome::kUnknown:
          ReadBack(std::move(batch));
          return;
        case store::StoreOutcome::kConflict:
          // Refuses the named rows; the others go again in the next turn.
          if (!RemoveConflicts(result.conflicts, &batch)) {
            Answer(&batch, store::StoreOutcome::kUnknown);
            return;
          }
          break;
        case store::StoreOutcome::kNotReached:
          if (i >= options_.maximum_tries) {
            Answer(&batch, store::StoreOutcome::kNotReached);
            return;
          }
          std::this_thread::sleep_for(options_.refusal_pause.ToChrono());
          break;
      }
    }
  }

  static std::vector<store::ConditionalWrite> WritesOf(const Batch& batch) {
    std::vector<store::ConditionalWrite> writes;
    for (const Pending& it : batch) {
      writes.push_back(it.write);
    }
    return writes;
  }

  static void Answer(Batch* batch, store::StoreOutcome outcome) {
    for (Pending& it : *batch) {
      it.outcome.set_value(outcome);
    }
    batch->clear();
  }

  /// A row that conflicts may hold this very write, when the transport sent
  /// the transaction twice: the value tells.
  bool RemoveConflicts(const std::vector<std::string>& conflicts,
                       Batch* batch) {
    Batch named;
    Batch others;
    for (Pending& it : *batch) {
      const bool is_named = std::find(conflicts.begin(), conflicts.end(),
                                      it.write.key) != conflicts.end();
      (is_named ? named : others).push_back(std::move(it));
    }
    *batch = std::move(others);
    const bool has_progress = !named.empty();
    ReadBack(std::move(named));
    return has_progress;
  }

  void ReadBack(Batch batch) {
    if (batch.empty()) {
      return;
    }
    std::vector<std::string> keys;
    for (const Pending& it : batch) {
      keys.push_back(it.write.key);
    }
    constexpr int kMaximumReads = 3;
    store::ReadResult read;
    for (int i = 0; i < kMaximumReads && !read.IsRead(); ++i) {
      read = table_->Read(keys);
    }
    for (size_t i = 0; i < batch.size(); ++i) {
      Pending& it = batch[i];
      if (!read.IsRead()) {
        it.outcome.set_value(store::StoreOutcome::kUnknown);
        continue;
      }
      it.outcome.set_value(Judge(it.write, read.rows[i]));
    }
  }

  static store::StoreOutcome Judge(const store::ConditionalWrite& write,
                                   const store::Row& row) {
    if (row.value == write.value && row.version > write.expected_version) {
      return store::StoreOutcome::kCommitted;
    }
    if (row.version > write.expected_version) {
      return store::StoreOutcome::kConflict;
    }
    // The write may still be on its way to the store.
    return store::StoreOutcome::kUnknown;
  }

  Table* table_;
  GroupCommitterOptions options_;
  base::Metrics* metrics_;
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<Pending> pending_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace daisypond::calls

#endif  // DAISYPOND_CALLS_GROUP_COMMITTER_H_
