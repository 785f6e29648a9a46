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
      retry_limit(options.retries),
      caller_room(traffic_executor, options.room, process_metrics),
      path_monitor(this),
      tunnel_peer_selector(base::RandomNumber()) {}

void Forwarder::Apply(const catalog::Catalog& next) {
  if (next.configuration != nullptr &&
      next.configuration != catalog.configuration) {
    const uint64_t present =
        catalog.configuration == nullptr ? 0 : catalog.configuration->version;
    if (metrics->CheckInvariant(base::Invariant::kConfigurationNeverReverts,
                                next.configuration->version >= present)) {
      catalog.configuration = next.configuration;
      LogIfBodiesExceedRoom();
    }
  }
  if (next.targets != nullptr && next.targets != catalog.targets) {
    catalog.targets = next.targets;
    selector.Configure(*next.targets);
    path_monitor.Configure(*next.targets);
    connection_pool.CloseRemovedTargets(*next.targets);
  }
}

void Forwarder::LogIfBodiesExceedRoom() const {
  const size_t limit = catalog.configuration->limits.body_bytes;
  const size_t largest = caller_room.Ledger().Plan().largest_bytes;
  if (limit > largest) {
    base::Log(base::LogLevel::kWarning, "body_limit_exceeds_room",
              {{"body_limit", limit}, {"largest_bytes", largest}});
  }
}

void Forwarder::OnTargetLost(const TargetLoss& target,
                             const RequestContent& content,
                             LossSource source) {
  OnTargetLost(target, content, source, base::Clock::Now());
}

void Forwarder::OnTargetLost(const TargetLoss& target,
                             const RequestContent& content,
                             LossSource source,
                             base::Millis lost_at) {
  const base::Millis now = base::Clock::Now();
  crashing_requests.OnTargetLost(content, target, lost_at);
  const LossCount count =
      crashing_requests.CountLosses({SuspectKind::kRequest, content.hash});
  base::Log(base::LogLevel::kInfo, "target_lost",
            {{"target", target.process.id},
             {"started_at", target.process.started_at},
             {"service", target.service},
             {"domain", target.failure_domain},
             {"source", kLossSourceNames.NameOf(source)},
             {"content", content.hash},
             {"prompt_parts",
              fmt::format("{:x}", fmt::join(content.prompt_parts, ","))},
             {"isolated_losses", count.isolated},
             {"loss_events", count.events},
             {"blocked", crashing_requests.IsBlocked(content, now)}});
  if (source == LossSource::kThisInstance && on_target_lost) {
    const bool is_shared =
        content.hash != 0 &&
        count.events >= CrashingRequestTracker::kLossEventsUntilShared;
    on_target_lost(
        target, content.hash,
        is_shared ? LossAudience::kAllPeers : LossAudience::kSomePeers);
  }
  OnSuspectsChanged();
}

void Forwarder::OnRequestAnswered(const RequestContent& content,
                                  base::Millis began_at) {
  crashing_requests.OnRequestAnswered(content, began_at, base::Clock::Now());
  OnSuspectsChanged();
}

void Forwarder::OnSuspectedByPeer(const std::vector<Suspect>& suspects) {
  std::vector<size_t> known_events;
  known_events.reserve(suspects.size());
  for (const Suspect& it : suspects) {
    known_events.push_back(crashing_requests.CountLosses(it.id).events);
  }
  crashing_requests.OnSuspectedByPeer(suspects, base::Clock::Now());
  for (size_t i = 0; i < suspects.size(); ++i) {
    const SuspectId id = suspects[i].id;
    const LossCount count = crashing_requests.CountLosses(id);
    if (count.events == known_events[i]) {
      continue;
    }
    base::Log(base::LogLevel::kInfo, "suspected_by_peer",
              {{"kind", kSuspectKindNames.NameOf(id.kind)},
               {"content", fmt::format("{:x}", id.hash)},
               {"isolated_losses", count.isolated},
               {"loss_events", count.events},
               {"known_events", known_events[i]},
               {"answers", suspects[i].answers}});
  }
  OnSuspectsChanged();
}

void Forwarder::OnSuspectsChanged() {
  for (const PromptPartChange& it : crashing_requests.TakePartChanges()) {
    base::Log(base::LogLevel::kWarning,
              it.is_blocked ? "prompt_part_blocked" : "prompt_part_released",
              {{"prompt_part", fmt::format("{:x}", it.prompt_part)},
               {"loss_events", it.losses.events},
               {"isolated_losses", it.losses.isolated},
               {"requests", it.requests},
               {"answers", it.answers}});
  }
  if (crashing_requests.HasUnsharedParts() && on_unshared_parts) {
    on_unshared_parts();
  }
}

void Forwarder::OnResponse(const TargetProcess& target,
                           const ResponseMetadata& metadata) {
  OnLeaving(target, metadata);
  OnRequestLimit(target.id, metadata);
  OnRejectionLimit(target.id, metadata);
}

void Forwarder::OnLeaving(const TargetProcess& target,
                          const ResponseMetadata& metadata) {
  if (metadata.is_leaving && !metadata.is_wrong_target &&
      selector.OnLeaving(target)) {
    const auto listed = catalog.targets->find(target.id);
    base::Log(base::LogLevel::kInfo, "target_leaving",
              {{"target", target.id},
               {"started_at", target.started_at},
               {"listed", listed != catalog.targets->end()},
               {"listed_as_leaving", listed != catalog.targets->end() &&
                                         listed->second.is_leaving}});
  }
}

void Forwarder::OnRequestLimit(const std::string& target,
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

void Forwarder::OnRejectionLimit(const std::string& target,
                                 const ResponseMetadata& metadata) {
  if (metadata.has_unreadable_rejection_limit) {
    base::Log(base::LogLevel::kWarning, "target_brittle_unreadable",
              {{"target", target}});
    return;
  }
  // Only an answer to a request lifts the limit.
  const bool is_lifted = !metadata.rejection_limit && !metadata.id.empty();
  if (metadata.is_wrong_target || (!metadata.rejection_limit && !is_lifted)) {
    return;
  }
  if (selector.OnRejectionLimit(target, metadata.rejection_limit,
                                base::Clock::Now())) {
    base::Log(base::LogLevel::kInfo, "target_brittle",
              {{"target", target},
               {"rejections_per_second",
                metadata.rejection_limit
                    ? fmt::format("{}", *metadata.rejection_limit)
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
