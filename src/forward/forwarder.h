#ifndef DAISYPOND_FORWARD_FORWARDER_H_
#define DAISYPOND_FORWARD_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/metrics.h"
#include "catalog/catalog.h"
#include "forward/connection_pool.h"
#include "forward/crash_memory.h"
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

  /// False when the catalog is not known or the process is stopping.
  bool IsReady() const { return catalog.IsComplete() && !is_stopping; }

  net::asio::any_io_executor executor;
  ForwarderOptions options;
  base::Metrics* metrics;
  catalog::Catalog catalog;
  TargetBoard board;
  ConnectionPool pool;
  RetryLimit retries;
  CrashMemory crashes;
  /// Called when a target broke off, could not be reached or fell silent.
  /// `content` identifies a request that may have crashed it; zero: none.
  std::function<void(const std::string& target, uint64_t content)>
      on_target_lost;
  /// Asks peers to count repeated sends to a service. `done` may run several
  /// times, with the number that one peer has taken over.
  std::function<void(const std::string& service, std::function<void(int)> done)>
      borrow_retries;
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
