#include "forward/caller_room.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "base/log.h"

namespace daisypond::forward {

namespace {

using intake::RoomDecision;
using intake::RoomKind;

// How often a request that waits for room asks again, and how often stalled
// callers are looked for while any request waits.
constexpr base::Millis kWaitPollPeriod{50};
constexpr base::Millis kSweepPeriod{100};
constexpr base::Millis kLogPeriod{1000};

}  // namespace

CallerRoom::CallerRoom(net::asio::any_io_executor executor,
                       const intake::RoomPlan& plan,
                       base::Metrics* metrics)
    : executor_(std::move(executor)),
      metrics_(metrics),
      ledger_(std::make_shared<intake::RoomLedger>(plan)),
      closers_(std::make_shared<RoomCloser::Table>()) {}

intake::RoomLease CallerRoom::Hold(RoomKind kind, std::string owner) {
  return {ledger_, kind, std::move(owner), base::Clock::Now()};
}

net::asio::awaitable<bool> CallerRoom::Acquire(intake::RoomLease* lease,
                                               size_t bytes) {
  RoomDecision decision = lease->Resize(bytes, base::Clock::Now());
  while (decision == RoomDecision::kWait) {
    net::asio::steady_timer timer(executor_, kWaitPollPeriod.ToChrono());
    co_await timer.async_wait(net::kAsTuple);
    const base::Millis now = base::Clock::Now();
    CloseStalled(now);
    decision = lease->Resize(bytes, now);
  }
  if (decision == RoomDecision::kRefused) {
    metrics_->Add(base::Counter::kRefusedForRoom);
    LogShortage("room_refused", base::Clock::Now());
  }
  co_return decision == RoomDecision::kGranted;
}

RoomCloser CallerRoom::CloseOnDemand(const intake::RoomLease& lease,
                                     std::function<void()> close) {
  (*closers_)[lease.Id()] = std::move(close);
  return {closers_, lease.Id()};
}

void CallerRoom::OnClosedForSlowness(base::Millis now) {
  metrics_->Add(base::Counter::kClosedForSlowness);
  LogShortage("caller_stalled", now);
}

void CallerRoom::UpdateMetrics() const {
  metrics_->Set(base::Gauge::kCallerHeaderBytes,
                static_cast<int64_t>(ledger_->Held(RoomKind::kHeader)));
  metrics_->Set(base::Gauge::kCallerBodyBytes,
                static_cast<int64_t>(ledger_->Held(RoomKind::kBody)));
  metrics_->Set(base::Gauge::kCallerAnswerBytes,
                static_cast<int64_t>(ledger_->Held(RoomKind::kAnswer)));
  metrics_->Set(base::Gauge::kWaitingForRoom,
                static_cast<int64_t>(ledger_->WaitingCount()));
}

void CallerRoom::CloseStalled(base::Millis now) {
  if (now - swept_at_ < kSweepPeriod) {
    return;
  }
  swept_at_ = now;
  while (const auto id = ledger_->NextToClose(now)) {
    OnClosedForSlowness(now);
    const auto it = closers_->find(*id);
    if (it != closers_->end()) {
      const std::function<void()> close = std::move(it->second);
      closers_->erase(it);
      close();
    }
  }
}

void CallerRoom::LogShortage(std::string_view event, base::Millis now) {
  if (now - logged_at_ < kLogPeriod) {
    return;
  }
  logged_at_ = now;
  const intake::RoomCounts& counts = ledger_->Counts();
  base::Log(base::LogLevel::kWarning, event,
            {{"header_bytes", ledger_->Held(RoomKind::kHeader)},
             {"body_bytes", ledger_->Held(RoomKind::kBody)},
             {"answer_bytes", ledger_->Held(RoomKind::kAnswer)},
             {"total_bytes", ledger_->Plan().total_bytes},
             {"waiting", ledger_->WaitingCount()},
             {"refused", counts.refused},
             {"waited", counts.waited},
             {"closed", counts.closed}});
}

}  // namespace daisypond::forward
