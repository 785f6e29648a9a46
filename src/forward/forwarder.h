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
#include "forward/target_board.h"

namespace daisypond::forward {

struct ForwarderOptions {
  std::string instance;
  std::string failure_domain;
  RetryLimitOptions retries;
};

/// State that all requests of the traffic thread share. Only for that thread.
struct Forwarder {
  Forwarder(const net::asio::any_io_executor& traffic_executor,
            ForwarderOptions forwarder_options,
            base::Metrics* process_metrics);

  /// Puts a catalog in force. A configuration that is older than the present
  /// one is refused.
  void Apply(const catalog::Catalog& next);

  /// A request waits for a repeated send, or no longer does. While any waits,
  /// AskForRetries() asks the shared pool for as many as are missing.
  void BeginRetryWait(const std::string& service);
  void EndRetryWait(const std::string& service);
  void AskForRetries(const std::string& service);

  /// False when the catalog is not known or the process is stopping.
  bool IsReady() const { return catalog.IsComplete() && !is_stopping; }

  net::asio::any_io_executor executor;
  ForwarderOptions options;
  base::Metrics* metrics;
  catalog::Catalog catalog;
  TargetBoard board;
  ConnectionPool pool;
  RetryLimit retries;
  CrashingRequestTracker crashes;
  /// Called when a target broke off, could not be reached or fell silent.
  /// `content` identifies a request that may have crashed it; zero: none.
  std::function<void(const std::string& target, uint64_t content)>
      on_target_lost;
  /// Asks the shared pool for repeated sends to a service. `done` runs once,
  /// with the number that may be made.
  std::function<void(const std::string& service,
                     int wanted,
                     std::function<void(int)> done)>
      borrow_retries;
  struct RetryQueue {
    int waiting = 0;
    bool is_asking = false;
    /// The pool had too few; it is not asked before this time.
    base::Millis next_question;
  };
  std::map<std::string, RetryQueue> retry_queues;
  bool is_stopping = false;
  /// Open streams and calls are cut at this time; only while stopping.
  base::Millis stop_at;
  /// From then on new connections go to other instances; only while stopping.
  base::Millis out_of_rotation_at;
  /// Bytes of requests and answers that are held at present.
  size_t held_bytes = 0;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_FORWARDER_H_
