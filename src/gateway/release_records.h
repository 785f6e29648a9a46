#ifndef DAISYPOND_GATEWAY_RELEASE_RECORDS_H_
#define DAISYPOND_GATEWAY_RELEASE_RECORDS_H_

#include <cstdint>
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
#include "gateway/release_record.h"
#include "net/timed_socket.h"

namespace daisypond::gateway {

/// Keeps the recent software versions of each service and their base version in
/// the table service. All instances read the records when they start, and again
/// when they may have changed; one instance, the holder, writes the record of a
/// service, only when it changes. Runs on the control thread.
template <typename Reader>
class ReleaseRecords {
 public:
  struct Callbacks {
    /// Called with all records, and the era in which they were read.
    std::function<void(const ReleaseRecordMap&, uint64_t era)> on_read;
    /// Called with a record that this instance has read or written.
    std::function<
        void(const std::string& service, const ReleaseRecord&, uint64_t era)>
        on_known;
    /// True when the records are to be read again.
    std::function<bool()> is_read_due;
    /// Returns the services whose holder this instance is.
    std::function<std::vector<std::string>()> held_services;
    /// Returns what to keep of a service of which the table service has
    /// `stored`.
    std::function<ReleaseRecord(const std::string& service,
                                const std::optional<ReleaseRecord>& stored)>
        record_to_keep;
  };

  ReleaseRecords(Reader* reader,
                 std::string table,
                 base::Metrics* metrics,
                 Callbacks callbacks)
      : reader_(reader),
        table_(std::move(table)),
        metrics_(metrics),
        callbacks_(std::move(callbacks)) {}

  /// To be called when the table service has returned from a copy, which may
  /// lack records. This instance's records are then written again.
  void OnStoreReturnedFromCopy() { recorded_.clear(); }

  /// Runs until the io_context stops.
  boost::asio::awaitable<void> Run() {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    const base::Millis settled_at = base::Clock::Now() + kSettlingTime;
    base::Millis read_again_at;
    while (true) {
      const bool is_read_due =
          !is_read_ ||
          (callbacks_.is_read_due() && base::Clock::Now() >= read_again_at);
      if (is_read_due) {
        const bool has_read = co_await Read();
        is_read_ = is_read_ || has_read;
        read_again_at =
            base::Clock::Now() + (has_read ? base::Millis{0} : kRetryPeriod);
      }
      if (is_read_) {
        for (const std::string& it : callbacks_.held_services()) {
          co_await Keep(it, base::Clock::Now() >= settled_at);
        }
      }
      timer.expires_after(kCheckPeriod.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
    }
  }

 private:
  // Callers take streams up again within a second or two after all instances
  // have restarted.
  static constexpr base::Millis kCheckPeriod{500};
  // Time after the start in which instances that start together find each
  // other, so that one of them writes the first records.
  static constexpr base::Millis kSettlingTime{4000};
  // How soon records that were read before are read again after a failure.
  static constexpr base::Millis kRetryPeriod{5000};

  boost::asio::awaitable<bool> Read() {
    metrics_->Add(base::Counter::kStoreCalls);
    const catalog::TableReadResult page =
        co_await reader_->ListRows(table_, "");
    if (!page) {
      base::Log(
          base::LogLevel::kWarning, "releases_unreadable",
          {{"error", catalog::kTableReadErrorNames.NameOf(page.error())}});
      co_return false;
    }
    recorded_ = DecodeRows(*page);
    base::Log(base::LogLevel::kInfo, "releases_read",
              {{"n", recorded_.size()}, {"era", page->version.era}});
    callbacks_.on_read(recorded_, page->version.era);
    co_return true;
  }

  /// A row that can't be decoded counts as a record that states nothing: the
  /// service is not a new one.
  ReleaseRecordMap DecodeRows(const catalog::RowPage& page) {
    ReleaseRecordMap records;
    for (const catalog::Row& it : page.rows) {
      const auto record = DecodeReleaseRecord(it.value);
      records[it.key] = record.value_or(ReleaseRecord());
      if (!record) {
        metrics_->Add(base::Counter::kRecordsUnreadable);
        base::Log(base::LogLevel::kWarning, "record_unreadable",
                  {{"table", table_}, {"key", it.key}});
      }
    }
    return records;
  }

  /// Writes the record of a service if it has changed.
  boost::asio::awaitable<void> Keep(std::string service, bool is_settled) {
    const auto known = recorded_.find(service);
    const std::optional<ReleaseRecord> recorded =
        known == recorded_.end() ? std::nullopt : std::optional(known->second);
    const ReleaseRecord wanted = callbacks_.record_to_keep(service, recorded);
    const bool is_urgent = wanted.versions.size() > 1;
    if (recorded == wanted || (!is_urgent && !is_settled)) {
      co_return;
    }
    // Another instance may have been the holder in the meantime.
    metrics_->Add(base::Counter::kStoreCalls);
    const catalog::TableReadResult page =
        co_await reader_->ReadRow(table_, service);
    if (!page) {
      co_return;
    }
    const ReleaseRecordMap read = DecodeRows(*page);
    const auto found = read.find(service);
    const std::optional<ReleaseRecord> stored =
        found == read.end() ? std::nullopt : std::optional(found->second);
    if (stored) {
      recorded_[service] = *stored;
      callbacks_.on_known(service, *stored, page->version.era);
    } else {
      recorded_.erase(service);
    }
    const ReleaseRecord next = callbacks_.record_to_keep(service, stored);
    if (stored != next) {
      co_await Write(std::move(service), next, page->version.era);
    }
  }

  boost::asio::awaitable<void> Write(std::string service,
                                     ReleaseRecord record,
                                     uint64_t era) {
    metrics_->Add(base::Counter::kStoreCalls);
    std::vector<catalog::Row> rows(1);
    rows[0].key = service;
    rows[0].value = EncodeReleaseRecord(record, base::Clock::UnixNow());
    const bool is_written =
        co_await reader_->WriteRows(table_, std::move(rows));
    base::Log(base::LogLevel::kInfo, "release_recorded",
              {{"service", service},
               {"versions", record.versions.size()},
               {"base", record.base ? record.base->version : ""},
               {"era", era},
               {"written", is_written}});
    if (is_written) {
      recorded_[service] = record;
      callbacks_.on_known(service, record, era);
    }
  }

  Reader* reader_;
  std::string table_;
  base::Metrics* metrics_;
  Callbacks callbacks_;
  bool is_read_ = false;
  /// What the table holds as far as this instance knows.
  ReleaseRecordMap recorded_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_RELEASE_RECORDS_H_
