#ifndef DAISYPOND_FORWARD_FORWARDER_H_
#define DAISYPOND_FORWARD_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/metrics.h"
#include "catalog/catalog.h"
#include "forward/connection_pool.h"
#include "forward/crashing_request_tracker.h"
#include "forward/retry_limit.h"
#include "forward/target_selector.h"

namespace daisypond::forward {

struct ForwarderOptions {
  std::string instance;
  std::string failure_domain;
  RetryLimitOptions retries;
};

/// State shared by all requests of the traffic thread. Used only on that
/// thread.
struct Forwarder {
  Forwarder(const net::asio::any_io_executor& traffic_executor,
            ForwarderOptions forwarder_options,
            base::Metrics* process_metrics);

  /// Makes `next` the current catalog. A configuration that is older than the
  /// current one is ignored.
  void Apply(const catalog::Catalog& next);

  /// Called when a request starts and stops waiting for a retry. While any
  /// request waits, BorrowMissingRetries() borrows the missing retries from the
  /// shared pool.
  void OnRetryWaitBegun(const std::string& service);
  void OnRetryWaitEnded(const std::string& service);
  void BorrowMissingRetries(const std::string& service);

  /// False when the catalog is incomplete or the process is stopping.
  bool IsReady() const { return catalog.IsComplete() && !is_stopping; }

  net::asio::any_io_executor executor;
  ForwarderOptions options;
  base::Metrics* metrics;
  catalog::Catalog catalog;
  TargetSelector selector;
  ConnectionPool pool;
  RetryLimit retries;
  CrashingRequestTracker crashes;
  /// Called when a target broke its connection, could not be reached or fell
  /// silent. `content_hash` is the hash of a request that may have crashed the
  /// target, or zero if there is none.
  std::function<void(const std::string& target, uint64_t content_hash)>
      on_target_lost;
  /// Borrows retries for a service from the shared pool. `done` is called once
  /// with the number granted.
  std::function<void(const std::string& service,
                     int wanted,
                     std::function<void(int)> done)>
      borrow_retries;
  struct RetryBorrowState {
    int n_waiting = 0;
    bool is_borrowing = false;
    /// No borrow request is sent before this time because the pool granted too
    /// few.
    base::Millis next_borrow_at;
  };
  std::map<std::string, RetryBorrowState> retry_borrow_states;
  bool is_stopping = false;
  /// When open streams and calls are cut. Valid only while stopping.
  base::Millis stop_at;
  /// When new connections start to go to other instances. Valid only while
  /// stopping.
  base::Millis out_of_rotation_at;
  /// Bytes of requests and answers that are currently held in memory.
  size_t held_bytes = 0;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_FORWARDER_H_
