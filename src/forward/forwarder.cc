#include "forward/forwarder.h"

#include <utility>

#include "base/hash.h"

namespace daisypond::forward {

namespace {

// After an answer that was too small the next pool is asked this much later.
constexpr base::Millis kEmptyPoolPause{60};

}  // namespace

Forwarder::Forwarder(const net::asio::any_io_executor& traffic_executor,
                     ForwarderOptions forwarder_options,
                     base::Metrics* process_metrics)
    : executor(traffic_executor),
      options(std::move(forwarder_options)),
      metrics(process_metrics),
      board(base::RandomNumber()),
      pool(traffic_executor),
      retries(options.retries) {}

void Forwarder::Apply(const catalog::Catalog& next) {
  if (next.configuration != nullptr &&
      next.configuration != catalog.configuration) {
    const uint64_t present =
        catalog.configuration == nullptr ? 0 : catalog.configuration->version;
    if (metrics->CheckInvariant(base::Invariant::kConfigurationNeverReverts,
                                next.configuration->version >= present)) {
      catalog.configuration = next.configuration;
    }
  }
  if (next.targets != nullptr && next.targets != catalog.targets) {
    catalog.targets = next.targets;
    board.Configure(*next.targets);
    pool.KeepOnly(*next.targets);
  }
}

void Forwarder::BeginRetryWait(const std::string& service) {
  ++retry_queues[service].waiting;
}

void Forwarder::EndRetryWait(const std::string& service) {
  --retry_queues[service].waiting;
}

void Forwarder::AskForRetries(const std::string& service) {
  const base::Millis now = base::Clock::Now();
  RetryQueue& queue = retry_queues[service];
  const int wanted = queue.waiting - retries.Borrowed(service, now);
  if (queue.is_asking || !borrow_retries || wanted <= 0 ||
      now < queue.next_question) {
    return;
  }
  queue.is_asking = true;
  borrow_retries(service, wanted, [this, service, wanted](int n) {
    const base::Millis answered_at = base::Clock::Now();
    RetryQueue& asked = retry_queues[service];
    asked.is_asking = false;
    if (n < wanted) {
      asked.next_question = answered_at + kEmptyPoolPause;
    }
    retries.OnBorrowed(service, n, answered_at);
  });
}

}  // namespace daisypond::forward
