#ifndef DAISYPOND_GATEWAY_STREAM_RECORD_STORE_H_
#define DAISYPOND_GATEWAY_STREAM_RECORD_STORE_H_

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "catalog/row.h"
#include "forward/stream_record.h"
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

  using LookupCallback = std::function<void(StoredRecordResult)>;

  /// `is_cleaner` returns whether this instance is to remove rows that other
  /// instances have left behind.
  StreamRecordStore(Reader* writer,
                    Reader* reader,
                    std::string table,
                    base::Metrics* metrics,
                    std::function<bool()> is_cleaner)
      : writer_(writer),
        reader_(reader),
        table_(std::move(table)),
        metrics_(metrics),
        is_cleaner_(std::move(is_cleaner)) {}

  void Add(const std::string& id, const forward::StreamRecord& record) {
    queue_.Add(id, record);
  }

  /// Reads the record of the attempt `id`. `done` is called once.
  void Find(const std::string& id, LookupCallback done) {
    lookups_.emplace_back(id, std::move(done));
    if (!std::exchange(is_reading_, true)) {
      net::Spawn(reader_->Executor(), "stream_record_lookups", RunLookups());
    }
  }

  /// Writes records until the io_context stops.
  boost::asio::awaitable<void> Run() {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    base::Millis next_cleanup = base::Clock::Now() + kCleanupPeriod / 2;
    while (true) {
      co_await WriteBatch();
      if (base::Clock::Now() >= next_cleanup) {
        next_cleanup = base::Clock::Now() + kCleanupPeriod;
        if (is_cleaner_()) {
          co_await FindLeftRows();
        }
      }
      timer.expires_after(kWritePeriod.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
    }
  }

 private:
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
    // Clocks may differ: no row counts as written in the future.
    const base::Millis age =
        stored ? std::max(base::Millis{0},
                          base::Clock::UnixNow() - stored->stored_at)
               : base::Millis{0};
    queue_.AddStored(row.key, base::Clock::Now() - age);
  }

  boost::asio::awaitable<void> RunLookups() {
    while (!lookups_.empty()) {
      const auto [id, done] = std::move(lookups_.front());
      lookups_.pop_front();
      done(co_await Read(id));
    }
    is_reading_ = false;
  }

  boost::asio::awaitable<StoredRecordResult> Read(std::string id) {
    metrics_->Add(base::Counter::kStoreCalls);
    const catalog::TableReadResult page = co_await reader_->ReadRow(table_, id);
    if (!page) {
      base::Log(
          base::LogLevel::kWarning, "stream_record_unreadable",
          {{"resumes", id},
           {"error", catalog::kTableReadErrorNames.NameOf(page.error())}});
      co_return tl::unexpected(page.error());
    }
    for (const catalog::Row& it : page->rows) {
      const auto stored = DecodeStreamRecord(it);
      if (it.key == id && stored) {
        co_return stored->record;
      }
      ReportUnreadable(it.key);
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
  Reader* reader_;
  std::string table_;
  base::Metrics* metrics_;
  std::function<bool()> is_cleaner_;
  StreamRecordQueue queue_;
  std::deque<std::pair<std::string, LookupCallback>> lookups_;
  bool is_reading_ = false;
  bool has_reported_unreadable_ = false;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_STREAM_RECORD_STORE_H_
