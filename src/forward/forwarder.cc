#include "forward/forwarder.h"

#include <utility>

#include <fmt/format.h>

#include "base/hash.h"
#include "base/log.h"

namespace daisypond::forward {

namespace {

// Wait before the next borrow request when a pool has granted fewer retries
// than requested.
constexpr base::Millis kBorrowRetryDelay{60};

}  // namespace

Forwarder::Forwarder(const net::asio::any_io_executor& traffic_executor,
                     ForwarderOptions forwarder_options,
                     base::Metrics* process_metrics)
    : executor(traffic_executor),
      options(std::move(forwarder_options)),
      metrics(process_metrics),
      selector(base::RandomNumber()),
      connection_pool(traffic_executor),
      retry_limit(options.retries) {}

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
    selector.Configure(*next.targets);
    connection_pool.CloseRemovedTargets(*next.targets);
  }
}

void Forwarder::OnTargetLost(const TargetLoss& target,
                             uint64_t content_hash,
                             LossSource source) {
  const base::Millis now = base::Clock::Now();
  crashing_requests.OnTargetLost(content_hash, target, now);
  const LossCount count = crashing_requests.CountLosses(content_hash);
  base::Log(base::LogLevel::kInfo, "target_lost",
            {{"target", target.process.id},
             {"started_at", target.process.started_at},
             {"service", target.service},
             {"domain", target.failure_domain},
             {"source", kLossSourceNames.NameOf(source)},
             {"content", content_hash},
             {"isolated_losses", count.isolated},
             {"loss_events", count.events},
             {"blocked", crashing_requests.IsBlocked(content_hash, now)}});
  if (source == LossSource::kThisInstance && on_target_lost) {
    const bool is_shared =
        content_hash != 0 &&
        count.events >= CrashingRequestTracker::kLossEventsUntilShared;
    on_target_lost(
        target, content_hash,
        is_shared ? LossAudience::kAllPeers : LossAudience::kSomePeers);
  }
}

void Forwarder::OnSuspectedByPeer(const SuspectedRequest& request) {
  const base::Millis now = base::Clock::Now();
  const uint64_t content_hash = request.content_hash;
  const size_t known = crashing_requests.CountLosses(content_hash).events;
  crashing_requests.OnSuspectedByPeer(request, now);
  const LossCount count = crashing_requests.CountLosses(content_hash);
  if (count.events == known) {
    return;
  }
  base::Log(base::LogLevel::kInfo, "request_suspected",
            {{"content", content_hash},
             {"isolated_losses", count.isolated},
             {"loss_events", count.events},
             {"known_events", known},
             {"blocked", crashing_requests.IsBlocked(content_hash, now)}});
}

void Forwarder::OnResponse(const std::string& target,
                           const ResponseMetadata& metadata) {
  if (metadata.has_unreadable_limit) {
    base::Log(base::LogLevel::kWarning, "target_limit_unreadable",
              {{"target", target}});
    return;
  }
  if (!metadata.is_wrong_target &&
      selector.OnRequestLimit(target, metadata.request_limit)) {
    base::Log(
        base::LogLevel::kInfo, "target_limit",
        {{"target", target},
         {"requests_per_second",
          metadata.request_limit ? fmt::format("{}", *metadata.request_limit)
                                 : "none"}});
  }
}

void Forwarder::OnRetryWaitBegun(const std::string& service) {
  ++retry_borrow_states[service].n_waiting;
}

void Forwarder::OnRetryWaitEnded(const std::string& service) {
  --retry_borrow_states[service].n_waiting;
}

void Forwarder::BorrowMissingRetries(const std::string& service) {
  const base::Millis now = base::Clock::Now();
  RetryBorrowState& state = retry_borrow_states[service];
  const int wanted =
      state.n_waiting - retry_limit.UnusedBorrowedRetries(service, now);
  if (state.is_borrowing || !borrow_retries || wanted <= 0 ||
      now < state.next_borrow_at) {
    return;
  }
  state.is_borrowing = true;
  borrow_retries(service, wanted, [this, service, wanted](int n) {
    const base::Millis answered_at = base::Clock::Now();
    RetryBorrowState& borrow_state = retry_borrow_states[service];
    borrow_state.is_borrowing = false;
    if (n < wanted) {
      borrow_state.next_borrow_at = answered_at + kBorrowRetryDelay;
    }
    retry_limit.AddBorrowedRetries(service, n, answered_at);
  });
}

}  // namespace daisypond::forward
