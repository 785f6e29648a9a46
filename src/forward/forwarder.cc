#include "forward/forwarder.h"

#include <utility>

#include "base/hash.h"

namespace daisypond::forward {

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
    if (metrics->Check(base::Invariant::kConfigurationNeverReverts,
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

void Forwarder::AskForRetry(const std::string& service) {
  RetryQuestion& question = retry_questions[service];
  ++question.wanted;
  if (question.is_open || !borrow_retries) {
    return;
  }
  question.is_open = true;
  borrow_retries(service, std::exchange(question.wanted, 0),
                 [this, service](int n) {
                   retry_questions[service].is_open = false;
                   retries.OnBorrowed(service, n, base::Clock::Now());
                 });
}

}  // namespace daisypond::forward
