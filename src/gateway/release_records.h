#ifndef DAISYPOND_GATEWAY_RELEASE_RECORDS_H_
#define DAISYPOND_GATEWAY_RELEASE_RECORDS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "catalog/row.h"
#include "forward/version_history.h"
#include "gateway/release_record.h"
#include "net/timed_socket.h"

namespace daisypond::gateway {

/// Keeps the recent software versions of each service in the table service.
/// Instances that start read it, so that they know whether another version may
/// have begun a stream when no instance is left that remembers. A record is
/// written only when the versions have changed. Runs on the control thread.
template <typename Reader>
class ReleaseRecords {
 public:
  struct Callbacks {
    /// Called once, when the records have been read.
    std::function<void(const forward::ServiceVersions&)> on_read;
    /// Returns what this instance is to keep recorded.
    std::function<forward::ServiceVersions()> versions_to_record;
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
    while (true) {
      if (!is_read_) {
        is_read_ = co_await Read();
      }
      if (is_read_) {
        const forward::ServiceVersions wanted = callbacks_.versions_to_record();
        for (const auto& it : wanted) {
          const bool is_urgent = it.second.size() > 1;
          if (recorded_[it.first] != it.second &&
              (is_urgent || base::Clock::Now() >= settled_at)) {
            co_await Record(it.first, it.second);
          }
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
    for (const catalog::Row& it : page->rows) {
      const auto versions = DecodeReleaseRecord(it.value);
      if (versions) {
        recorded_[it.key] = *versions;
      } else {
        metrics_->Add(base::Counter::kRecordsUnreadable);
        base::Log(base::LogLevel::kWarning, "record_unreadable",
                  {{"table", table_}, {"key", it.key}});
      }
    }
    base::Log(base::LogLevel::kInfo, "releases_read",
              {{"n", recorded_.size()}});
    callbacks_.on_read(recorded_);
    co_return true;
  }

  boost::asio::awaitable<void> Record(std::string service,
                                      std::set<std::string> versions) {
    metrics_->Add(base::Counter::kStoreCalls);
    std::vector<catalog::Row> rows(1);
    rows[0].key = service;
    rows[0].value = EncodeReleaseRecord(versions, base::Clock::UnixNow());
    const bool is_written =
        co_await reader_->WriteRows(table_, std::move(rows));
    base::Log(base::LogLevel::kInfo, "release_recorded",
              {{"service", service},
               {"versions", versions.size()},
               {"written", is_written}});
    if (is_written) {
      recorded_[service] = std::move(versions);
    }
  }

  Reader* reader_;
  std::string table_;
  base::Metrics* metrics_;
  Callbacks callbacks_;
  bool is_read_ = false;
  /// What the table holds as far as this instance knows.
  forward::ServiceVersions recorded_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_RELEASE_RECORDS_H_
