#ifndef DAISYPOND_GATEWAY_RELEASE_RECORDS_H_
#define DAISYPOND_GATEWAY_RELEASE_RECORDS_H_

#include <charconv>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "base/log.h"
#include "catalog/row.h"
#include "net/timed_socket.h"

namespace daisypond::gateway {

/// Keeps in the table service when several software versions of a service were
/// last listed. Instances that start read it, so that they know which version
/// began a stream when no instance is left that remembers. Runs on the control
/// thread.
template <typename Reader>
class ReleaseRecords {
 public:
  /// How often the record of a release is renewed.
  static constexpr base::Millis kRenewalPeriod{10'000};

  struct Callbacks {
    /// Called once, when the records have been read.
    std::function<void(std::map<std::string, base::Millis>)> on_read;
    /// Returns the services of which this instance is to record a release.
    std::function<std::vector<std::string>()> releases_to_record;
  };

  ReleaseRecords(Reader* reader, std::string table, Callbacks callbacks)
      : reader_(reader),
        table_(std::move(table)),
        callbacks_(std::move(callbacks)) {}

  /// Runs until the io_context stops.
  boost::asio::awaitable<void> Run() {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    bool is_read = false;
    while (true) {
      if (!is_read) {
        is_read = co_await Read();
      }
      for (const std::string& it : callbacks_.releases_to_record()) {
        base::Millis& next_at = next_record_at_[it];
        if (base::Clock::Now() >= next_at && co_await Record(it)) {
          next_at = base::Clock::Now() + kRenewalPeriod;
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

  boost::asio::awaitable<bool> Read() {
    const catalog::TableReadResult page =
        co_await reader_->ListRows(table_, "");
    if (!page) {
      base::Log(
          base::LogLevel::kWarning, "releases_unreadable",
          {{"error", catalog::kTableReadErrorNames.NameOf(page.error())}});
      co_return false;
    }
    std::map<std::string, base::Millis> last_several_at;
    for (const catalog::Row& it : page->rows) {
      base::Millis& at = last_several_at[it.key];
      std::from_chars(it.value.data(), it.value.data() + it.value.size(),
                      at.count);
    }
    base::Log(base::LogLevel::kInfo, "releases_read",
              {{"n", last_several_at.size()}});
    callbacks_.on_read(std::move(last_several_at));
    co_return true;
  }

  boost::asio::awaitable<bool> Record(std::string service) {
    catalog::Row row;
    row.key = service;
    row.value = std::to_string(base::Clock::UnixNow().count);
    const bool is_written = co_await reader_->WriteRow(table_, std::move(row));
    base::Log(base::LogLevel::kInfo, "release_recorded",
              {{"service", service}, {"written", is_written}});
    co_return is_written;
  }

  Reader* reader_;
  std::string table_;
  Callbacks callbacks_;
  /// By service.
  std::map<std::string, base::Millis> next_record_at_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_RELEASE_RECORDS_H_
