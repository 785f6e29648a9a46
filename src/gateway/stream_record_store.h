#ifndef DAISYPOND_GATEWAY_STREAM_RECORD_STORE_H_
#define DAISYPOND_GATEWAY_STREAM_RECORD_STORE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "catalog/row.h"
#include "forward/stream_base.h"
#include "forward/stream_record.h"
#include "gateway/release_record.h"
#include "gateway/shared_stream_records.h"
#include "gateway/stream_record_queue.h"
#include "net/spawn.h"
#include "net/timed_socket.h"

namespace daisypond::gateway {

/// Keeps records of streams in the table service, where they outlive all
/// instances. Runs on the control thread. Nothing is written or read unless an
/// owner adds records or looks for one.
template <typename Reader>
class StreamRecordStore {
 public:
  /// Records are written together. A record that was added when the instances
  /// lose power may be missing if it is younger than this and a transaction.
  static constexpr base::Millis kWritePeriod{200};
  /// How often rows that instances left behind are looked for.
  static constexpr base::Millis kCleanupPeriod{60'000};

  /// A record for which a stream waits is written sooner, but writes don't
  /// follow each other faster than this.
  static constexpr base::Millis kMinimumWriteGap{50};
  /// How long a stream waits for its record. Covers two transactions of a store
  /// that is 50 times slower than usual.
  static constexpr base::Millis kMaximumWait{700};
  /// How many records are read at the same time.
  static constexpr size_t kMaximumLookups = 8;

  using LookupCallback = std::function<void(StoredOrigin)>;
  using MakeReader = std::function<std::unique_ptr<Reader>()>;

  /// `is_cleaner` returns whether this instance is to remove rows that other
  /// instances have left behind.
  /// `make_reader` returns a reader for one of several lookups at a time.
  StreamRecordStore(Reader* writer,
                    MakeReader make_reader,
                    std::string table,
                    std::string release_table,
                    base::Metrics* metrics,
                    std::function<bool()> is_cleaner)
      : writer_(writer),
        make_reader_(std::move(make_reader)),
        table_(std::move(table)),
        release_table_(std::move(release_table)),
        metrics_(metrics),
        is_cleaner_(std::move(is_cleaner)) {}

  void Add(const std::string& id, const forward::StreamRecord& record) {
    queue_.Add(id, record);
  }

  /// Stores a record for which a stream waits. `done` is called once, after at
  /// most kMaximumWait.
  void AddFirst(const std::string& id,
                const forward::StreamRecord& record,
                RecordCallback done) {
    const auto known = waiters_.find(id);
    if (known != waiters_.end()) {
      Finish(known, forward::RecordOutcome::kUnknown);
    }
    queue_.AddUrgent(id, record);
    waiters_[id] = {std::move(done), base::Clock::Now() + kMaximumWait};
    if (idle_timer_ != nullptr) {
      idle_timer_->cancel();
    }
    if (!std::exchange(is_expiring_, true)) {
      net::Spawn(writer_->Executor(), "stream_record_waits", ExpireWaiters());
    }
  }

  /// Reads the record of the attempt `id` and, if there is none, the base
  /// version of the service. `done` is called once.
  void Find(const std::string& id,
            const std::string& service,
            LookupCallback done) {
    lookups_.push_back({id, service, std::move(done)});
    if (n_lookups_running_ < kMaximumLookups) {
      ++n_lookups_running_;
      net::Spawn(writer_->Executor(), "stream_record_lookups", RunLookups());
    }
  }

  /// Writes records until the io_context stops.
  boost::asio::awaitable<void> Run() {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    base::Millis next_cleanup = base::Clock::Now() + kCleanupPeriod / 2;
    while (true) {
      const base::Millis began_at = base::Clock::Now();
      co_await WriteBatch();
      if (base::Clock::Now() >= next_cleanup) {
        next_cleanup = base::Clock::Now() + kCleanupPeriod;
        if (is_cleaner_()) {
          co_await FindLeftRows();
        }
      }
      if (!is_writing_possible_ || waiters_.empty()) {
        idle_timer_ = is_writing_possible_ ? &timer : nullptr;
        timer.expires_after(kWritePeriod.ToChrono());
        co_await timer.async_wait(net::kAsTuple);
        idle_timer_ = nullptr;
      }
      const base::Millis gap = began_at + kMinimumWriteGap - base::Clock::Now();
      if (gap.count > 0) {
        timer.expires_after(gap.ToChrono());
        co_await timer.async_wait(net::kAsTuple);
      }
    }
  }

 private:
  struct Waiter {
    RecordCallback done;
    base::Millis expires_at;
  };
  using Waiters = std::map<std::string, Waiter>;
  struct Lookup {
    std::string id;
    std::string service;
    LookupCallback done;
  };
  static constexpr base::Millis kExpiryPeriod{50};
  /// A row that instances have left behind counts as kept for this time at most
  /// from when it is found.
  static constexpr base::Millis kMaximumTimeLeft{3'600'000};

  typename Waiters::iterator Finish(typename Waiters::iterator it,
                                    forward::RecordOutcome outcome) {
    const RecordCallback done = std::move(it->second.done);
    const auto next = waiters_.erase(it);
    done(outcome);
    return next;
  }

  void FinishBatch(const std::vector<catalog::Row>& batch,
                   forward::RecordOutcome outcome) {
    for (const catalog::Row& it : batch) {
      const auto waiter = waiters_.find(it.key);
      if (waiter != waiters_.end() && !it.is_removed) {
        Finish(waiter, outcome);
      }
    }
  }

  /// Ends waits that have lasted too long. A record that has not been sent yet
  /// is dropped.
  boost::asio::awaitable<void> ExpireWaiters() {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    while (!waiters_.empty()) {
      timer.expires_after(kExpiryPeriod.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
      const base::Millis now = base::Clock::Now();
      for (auto it = waiters_.begin(); it != waiters_.end();) {
        if (now < it->second.expires_at) {
          ++it;
        } else {
          it = Finish(it, queue_.Remove(it->first)
                              ? forward::RecordOutcome::kNotStored
                              : forward::RecordOutcome::kUnknown);
        }
      }
    }
    is_expiring_ = false;
  }

  boost::asio::awaitable<void> WriteBatch() {
    const std::vector<catalog::Row> batch =
        queue_.TakeBatch(base::Clock::Now(), base::Clock::UnixNow());
    if (batch.empty()) {
      co_return;
    }
    metrics_->Add(base::Counter::kStoreCalls);
    std::vector<catalog::Row> rows = batch;
    const bool is_written =
        co_await writer_->WriteRows(table_, std::move(rows));
    if (is_written) {
      metrics_->Add(base::Counter::kStreamRecordsStored, batch.size());
    } else {
      queue_.PutBack(batch, base::Clock::Now());
    }
    is_writing_possible_ = is_written;
    FinishBatch(batch, is_written ? forward::RecordOutcome::kStored
                                  : forward::RecordOutcome::kUnknown);
    base::Log(base::LogLevel::kInfo, "stream_records_stored",
              {{"n", batch.size()},
               {"written", is_written},
               {"waiting", queue_.WaitingCount()},
               {"stored", queue_.StoredCount()}});
  }

  /// Takes over the removal of all rows of the table.
  boost::asio::awaitable<void> FindLeftRows() {
    std::string from;
    bool has_more = true;
    while (has_more) {
      metrics_->Add(base::Counter::kStoreCalls);
      std::string from_key = from;
      const catalog::TableReadResult page =
          co_await writer_->ListRows(table_, std::move(from_key));
      if (!page || page->rows.empty()) {
        co_return;
      }
      for (const catalog::Row& it : page->rows) {
        AddLeftRow(it);
      }
      has_more = page->has_more;
      from = page->rows.back().key + '\0';
    }
  }

  void AddLeftRow(const catalog::Row& row) {
    const auto stored = DecodeStreamRecord(row);
    if (!stored) {
      ReportUnreadable(row.key);
    }
    // The clock of the writer may be wrong.
    const base::Millis left =
        stored ? std::min(stored->expires_at - base::Clock::UnixNow(),
                          kMaximumTimeLeft)
               : StreamRecordQueue::kMinimumRetention;
    queue_.AddStored(row.key, base::Clock::Now() + left);
  }

  boost::asio::awaitable<void> RunLookups() {
    std::unique_ptr<Reader> reader = TakeReader();
    while (!lookups_.empty()) {
      const Lookup lookup = std::move(lookups_.front());
      lookups_.pop_front();
      uint64_t era = 0;
      const StoredRecordResult record =
          co_await Read(reader.get(), lookup.id, &era);
      if (record && !*record) {
        AddBaseLookup(lookup, era);
      } else {
        lookup.done({record, std::nullopt});
      }
    }
    idle_readers_.push_back(std::move(reader));
    --n_lookups_running_;
  }

  std::unique_ptr<Reader> TakeReader() {
    if (idle_readers_.empty()) {
      return make_reader_();
    }
    std::unique_ptr<Reader> reader = std::move(idle_readers_.back());
    idle_readers_.pop_back();
    return reader;
  }

  /// `era` is that in which the table service had no record of the stream.
  void AddBaseLookup(const Lookup& lookup, uint64_t era) {
    base_lookups_[lookup.service].push_back({lookup.done, era});
    if (!std::exchange(is_reading_bases_, true)) {
      net::Spawn(writer_->Executor(), "stream_base_lookups", RunBaseLookups());
    }
  }

  /// The base is read after the records, so that it held when there were none.
  boost::asio::awaitable<void> RunBaseLookups() {
    std::unique_ptr<Reader> reader = TakeReader();
    while (!base_lookups_.empty()) {
      const auto next = base_lookups_.begin();
      const std::string service = next->first;
      const std::vector<std::pair<LookupCallback, uint64_t>> waiting =
          std::move(next->second);
      base_lookups_.erase(next);
      uint64_t era = 0;
      const std::optional<std::string> base =
          co_await ReadBase(reader.get(), service, &era);
      for (const auto& it : waiting) {
        it.first({std::optional<forward::StreamRecord>(),
                  it.second == era ? base : std::nullopt});
      }
    }
    idle_readers_.push_back(std::move(reader));
    is_reading_bases_ = false;
  }

  boost::asio::awaitable<std::optional<std::string>>
  ReadBase(Reader* reader, std::string service, uint64_t* era) {
    metrics_->Add(base::Counter::kStoreCalls);
    const catalog::TableReadResult page =
        co_await reader->ReadRow(release_table_, service);
    if (!page) {
      co_return std::nullopt;
    }
    *era = page->version.era;
    for (const catalog::Row& it : page->rows) {
      if (it.key == service) {
        co_return BaseInEra(DecodeReleaseRecord(it.value), *era);
      }
    }
    co_return std::nullopt;
  }

  boost::asio::awaitable<StoredRecordResult> Read(Reader* reader,
                                                  std::string id,
                                                  uint64_t* era) {
    metrics_->Add(base::Counter::kStoreCalls);
    const catalog::TableReadResult page = co_await reader->ReadRow(table_, id);
    if (!page) {
      base::Log(
          base::LogLevel::kWarning, "stream_record_unreadable",
          {{"resumes", id},
           {"error", catalog::kTableReadErrorNames.NameOf(page.error())}});
      co_return tl::unexpected(page.error());
    }
    *era = page->version.era;
    for (const catalog::Row& it : page->rows) {
      const auto stored = DecodeStreamRecord(it);
      if (it.key == id && stored) {
        co_return stored->record;
      }
      ReportUnreadable(it.key);
      co_return tl::unexpected(catalog::TableReadError::kUnreadable);
    }
    co_return std::nullopt;
  }

  void ReportUnreadable(const std::string& key) {
    metrics_->Add(base::Counter::kRecordsUnreadable);
    if (!std::exchange(has_reported_unreadable_, true)) {
      base::Log(base::LogLevel::kWarning, "record_unreadable",
                {{"table", table_}, {"key", key}});
    }
  }

  Reader* writer_;
  MakeReader make_reader_;
  std::string table_;
  std::string release_table_;
  base::Metrics* metrics_;
  std::function<bool()> is_cleaner_;
  StreamRecordQueue queue_;
  /// By id of the record for which a stream waits.
  Waiters waiters_;
  bool is_expiring_ = false;
  /// The timer of Run() while that waits for kWritePeriod.
  boost::asio::steady_timer* idle_timer_ = nullptr;
  /// False when the last write has failed.
  bool is_writing_possible_ = true;
  std::deque<Lookup> lookups_;
  size_t n_lookups_running_ = 0;
  /// By service: who waits for its base, and the era in which the table service
  /// had no record of the stream.
  std::map<std::string, std::vector<std::pair<LookupCallback, uint64_t>>>
      base_lookups_;
  bool is_reading_bases_ = false;
  std::vector<std::unique_ptr<Reader>> idle_readers_;
  bool has_reported_unreadable_ = false;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_STREAM_RECORD_STORE_H_
