#ifndef DAISYPOND_CATALOG_TABLE_WATCHER_H_
#define DAISYPOND_CATALOG_TABLE_WATCHER_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "catalog/row.h"
#include "catalog/table_version.h"

namespace daisypond::catalog {

/// How a watcher reads what it has missed.
enum class CatchUp : uint8_t {
  /// Reads each change since the last read.
  kChanges,
  /// Reads the rows as they are, for a table of few large rows that change
  /// often: the changes since the last read hold each row several times.
  kRows,
};

struct TableWatcherOptions {
  std::string table;
  CatchUp catch_up = CatchUp::kChanges;
  /// Interval between calls of next_wait() while next_wait() returns no value.
  base::Millis inactive_poll_period{100};
  /// Delay between a change and the next call, so that one call reads all
  /// further changes made during the delay.
  base::Millis change_batch_delay{300};
  /// Initial and maximum delay before the next call after a failed one. The
  /// delay is random, at least half of the value. Rows that expire during an
  /// outage of the table service are registered again within two seconds after
  /// the outage ends. The maximum delay is well below two seconds, so that
  /// these rows are read soon after they are registered.
  base::Millis initial_backoff{100};
  base::Millis maximum_backoff{700};
  /// For `cautious_period` after the table service has lost its history, no
  /// call waits longer than `cautious_wait`: a call made then was once not told
  /// of a change until its wait had passed.
  base::Millis cautious_wait{300};
  base::Millis cautious_period{5000};
  /// With CatchUp::kRows, the rows are read after an outage of this length.
  base::Millis maximum_missed_time{1000};
};

/// Callbacks of a TableWatcher, run on its thread.
struct TableWatcherCallbacks {
  /// Called with all rows after the complete table was read, and the version
  /// that was read.
  std::function<void(const std::vector<Row>&, TableVersion version)> on_listed;
  /// Called with the changed rows after each read that returned any, and the
  /// version up to which these are all changes.
  std::function<void(const std::vector<Row>&, TableVersion version)> on_changed;
  /// Called after each successful read with the version that was read and a
  /// time at which it was the newest one, before the callback that gets the
  /// rows.
  std::function<void(TableVersion version, base::Millis as_of)> on_available;
  /// Called after each failed read, except for kHistoryGone.
  std::function<void(TableReadError)> on_unavailable;
  /// Called once after failed reads, when all changes made until then have been
  /// passed on.
  std::function<void()> on_caught_up;
  /// Returns how long the next call may wait for a change; empty when no call
  /// shall be made now.
  std::function<std::optional<base::Millis>()> next_wait;
};

/// Follows the changes of one table. Reads the complete table first, then waits
/// for changes. Reads the complete table again when the table service no longer
/// stores the changes since the last read, or has returned from a copy.
template <TableReader Reader>
class TableWatcher {
 public:
  TableWatcher(Reader* reader,
               TableWatcherOptions options,
               TableWatcherCallbacks callbacks)
      : reader_(reader),
        options_(std::move(options)),
        callbacks_(std::move(callbacks)) {}

  /// Runs until the io_context stops.
  boost::asio::awaitable<void> Run() {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    while (true) {
      const base::Millis pause = co_await PollOnce();
      if (pause.count > 0) {
        timer.expires_after(pause.ToChrono());
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
      }
    }
  }

 private:
  /// Makes one call to the table service. Returns the delay before the next
  /// call.
  boost::asio::awaitable<base::Millis> PollOnce() {
    const std::optional<base::Millis> wait = callbacks_.next_wait();
    if (!wait) {
      co_return options_.inactive_poll_period;
    }
    called_at_ = base::Clock::Now();
    if (options_.catch_up == CatchUp::kRows &&
        MissedTime() >= options_.maximum_missed_time) {
      is_listed_ = false;
    }
    if (!is_listed_) {
      co_return co_await ListAll();
    }
    const base::Millis limited_wait = LimitWait(*wait);
    const TableReadResult result = co_await reader_->WaitForChanges(
        options_.table, version_.number, limited_wait);
    if (!result) {
      co_return HandleError(result.error());
    }
    const TableVersion version = WithEra(result->version);
    if (version < TableVersion{0, version_.era}) {
      co_return HandleError(TableReadError::kOutdated);
    }
    if (version.era != version_.era) {
      // These rows are not all changes since the last read.
      is_listed_ = false;
      co_return base::Millis{0};
    }
    // A call that waits is answered at its end; its answer is small.
    HandleSuccess(version,
                  limited_wait.count == 0 ? called_at_ : base::Clock::Now());
    if (result->rows.empty()) {
      if (std::exchange(is_catching_up_, false)) {
        callbacks_.on_caught_up();
      }
      co_return base::Millis{0};
    }
    callbacks_.on_changed(result->rows, version);
    if (options_.catch_up == CatchUp::kRows && HasRepeatedKey(result->rows)) {
      // The rows change faster than they are read.
      is_listed_ = false;
    }
    co_return options_.change_batch_delay;
  }

  /// A call that the table service takes while it is out of order may get no
  /// answer after its return either. Calls therefore don't wait for a change
  /// until one finds none, so that such a call ends early.
  base::Millis LimitWait(base::Millis wait) const {
    if (is_catching_up_) {
      return {0};
    }
    return base::Clock::Now() < cautious_until_
               ? std::min(wait, options_.cautious_wait)
               : wait;
  }

  boost::asio::awaitable<base::Millis> ListAll() {
    std::vector<Row> rows;
    std::string from;
    std::optional<TableVersion> version;
    bool has_more = true;
    while (has_more) {
      const TableReadResult page =
          co_await reader_->ListRows(options_.table, from);
      if (!page) {
        co_return HandleError(page.error());
      }
      // Uses the version of the first page, so that WaitForChanges() also
      // returns the changes made while the other pages were read.
      version = version.value_or(WithEra(page->version));
      if (WithEra(page->version).era != version->era) {
        // The pages don't fit together.
        co_return base::Millis{0};
      }
      rows.insert(rows.end(), page->rows.begin(), page->rows.end());
      has_more = page->has_more && !page->rows.empty();
      if (has_more) {
        // `from_key` is inclusive. The last key plus a zero byte is the next
        // possible key in byte order.
        from = page->rows.back().key + '\0';
      }
    }
    if (*version < version_) {
      // The response came from a replica that lags behind an earlier response.
      co_return HandleError(TableReadError::kOutdated);
    }
    if (version->era != version_.era && version_.era != 0) {
      OnReturnedFromCopy(*version);
    }
    HandleSuccess(*version, called_at_);
    is_listed_ = true;
    callbacks_.on_listed(rows, *version);
    co_return base::Millis{0};
  }

  /// Time since the first of the calls that have failed since the last success.
  base::Millis MissedTime() const {
    return is_unavailable_ ? base::Clock::Now() - lost_at_ : base::Millis{0};
  }

  static bool HasRepeatedKey(const std::vector<Row>& rows) {
    std::set<std::string_view> keys;
    return std::any_of(rows.begin(), rows.end(), [&](const Row& it) {
      return !keys.insert(it.key).second;
    });
  }

  /// A response that states no era is taken to be of the current one.
  TableVersion WithEra(TableVersion version) const {
    version.era = version.era == 0 ? version_.era : version.era;
    return version;
  }

  void OnReturnedFromCopy(TableVersion version) {
    // Rows written after the copy are written again within a while, as after an
    // outage.
    is_catching_up_ = true;
    base::Log(base::LogLevel::kWarning, "store_returned_from_copy",
              {{"table", options_.table},
               {"era", version.era},
               {"era_before", version_.era},
               {"version", version.number},
               {"version_before", version_.number}});
  }

  void HandleSuccess(TableVersion version, base::Millis as_of) {
    version_ = version;
    backoff_ = options_.initial_backoff;
    callbacks_.on_available(version, as_of);
    if (is_unavailable_) {
      is_unavailable_ = false;
      const base::Millis now = base::Clock::Now();
      base::Log(base::LogLevel::kInfo, "store_regained",
                {{"table", options_.table},
                 {"version", version_.number},
                 {"era", version_.era},
                 {"took_ms", (now - called_at_).count},
                 {"lost_ms", (now - lost_at_).count},
                 {"failed_calls", failed_calls_}});
      failed_calls_ = 0;
    }
  }

  base::Millis HandleError(TableReadError read_error) {
    if (read_error == TableReadError::kHistoryGone) {
      is_listed_ = false;
      cautious_until_ = base::Clock::Now() + options_.cautious_period;
      base::Log(base::LogLevel::kInfo, "store_history_gone",
                {{"table", options_.table}, {"version", version_.number}});
      return {0};
    }
    callbacks_.on_unavailable(read_error);
    ++failed_calls_;
    is_catching_up_ = true;
    if (!is_unavailable_) {
      is_unavailable_ = true;
      lost_at_ = base::Clock::Now();
      base::Log(base::LogLevel::kWarning, "store_lost",
                {{"table", options_.table},
                 {"reason", kTableReadErrorNames.NameOf(read_error)},
                 {"version", version_.number},
                 {"took_ms", (lost_at_ - called_at_).count}});
    }
    const auto half = static_cast<uint64_t>(backoff_.count / 2);
    const base::Millis pause{
        static_cast<int64_t>(half + base::RandomNumber() % (half + 1))};
    backoff_ = std::min(backoff_ * 2, options_.maximum_backoff);
    return pause;
  }

  Reader* reader_;
  TableWatcherOptions options_;
  TableWatcherCallbacks callbacks_;
  TableVersion version_;
  bool is_listed_ = false;
  bool is_unavailable_ = false;
  /// True from a failed call until a call has found no further change.
  bool is_catching_up_ = false;
  /// Start of the current or last call.
  base::Millis called_at_;
  /// When the first of the calls failed that have failed since the last
  /// success, and their number.
  base::Millis lost_at_;
  int64_t failed_calls_ = 0;
  base::Millis cautious_until_;
  base::Millis backoff_ = options_.initial_backoff;
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_TABLE_WATCHER_H_
