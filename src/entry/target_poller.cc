#include "entry/target_poller.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "entry/target_death_detector.h"
#include "routing/rendezvous.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kPollTimeout{500};
constexpr int kMaximumReportsPerMessage = 24;
// With up to this many targets, every instance polls all of them.
constexpr size_t kMaximumTargetsPolledByAll = 64;
constexpr size_t kPollersPerTarget = 2;
// A target is not polled if its latest report is newer than this.
constexpr base::Millis kReportFreshness{900};
// Reports that are older than this are not sent to peers.
constexpr base::Millis kMaximumSharedReportAge{2000};

}  // namespace

bool TargetPoller::IsPolledHere(const routing::TargetView& target,
                                const membership::PeerTable& table) const {
  const std::string& domain = instance_->settings.failure_domain;
  if (target.settings.failure_domain != domain) {
    return false;
  }
  std::vector<membership::PeerState> pollers = {table.Self()};
  for (const membership::PeerState& it : table.Reachable()) {
    if (it.failure_domain == domain) {
      pollers.push_back(it);
    }
  }
  const auto ranked = routing::RankByKey(
      target.id.name, pollers,
      [](const membership::PeerState& it) { return it.instance; });
  for (size_t i = 0; i < std::min(kPollersPerTarget, ranked.size()); ++i) {
    if (ranked[i].instance == table.Self().instance) {
      return true;
    }
  }
  return false;
}

void TargetPoller::PollTargets(const membership::PeerTable& table) {
  const base::Millis now = base::Clock::Now();
  const auto targets = instance_->targets.All();
  for (const routing::TargetView& it : targets) {
    const bool is_fresh =
        it.has_report && now - it.reported_at < kReportFreshness;
    const bool is_polled =
        targets.size() <= kMaximumTargetsPolledByAll || IsPolledHere(it, table);
    if (!is_fresh && is_polled) {
      RequestReport(it);
    }
  }
}

void TargetPoller::RequestReport(const routing::TargetView& target) {
  http::ClientRequest request;
  request.method = "GET";
  request.address = target.settings.address;
  request.path = "/load";
  request.connect_timeout = kPollTimeout;
  request.total_timeout = kPollTimeout;
  instance_->control_client.Start(
      std::move(request), nullptr,
      [this, id = target.id](const http::ClientResponse& response) {
        const base::Millis now = base::Clock::Now();
        if (response.IsSuccess()) {
          instance_->targets.OnLoadReport(id, LoadReportFromJson(response.body),
                                          now);
        } else {
          instance_->targets.OnTargetFailure(id, now);
        }
      });
}

void TargetPoller::AddReports(Reports* into) const {
  const base::Millis now = base::Clock::Now();
  std::vector<routing::TargetView> fresh;
  for (routing::TargetView& it : instance_->targets.All()) {
    if (it.has_report && now - it.reported_at <= kMaximumSharedReportAge) {
      fresh.push_back(std::move(it));
    }
  }
  // Leaving targets come first: all instances must stop using them within
  // seconds, and the number of reports in a message is limited.
  std::stable_partition(fresh.begin(), fresh.end(),
                        [](const auto& it) { return it.report.is_leaving; });
  for (const routing::TargetView& it : fresh) {
    if (into->size() >= kMaximumReportsPerMessage) {
      return;
    }
    peer::TargetReport* report = into->Add();
    report->set_target(it.id.name);
    report->set_running(it.report.running);
    report->set_queued(it.report.queued);
    report->set_is_leaving(it.report.is_leaving);
    report->set_process(it.report.process_hash);
    report->set_state(it.report.state);
    report->set_age_ms((now - it.reported_at).count);
  }
}

void TargetPoller::ApplyReports(const Reports& reports) {
  const base::Millis now = base::Clock::Now();
  for (const peer::TargetReport& it : reports) {
    const routing::TargetId id{it.target()};
    const base::Millis taken_at = now - base::Millis{it.age_ms()};
    const auto known = instance_->targets.Find(id);
    if (known && (!known->has_report || known->reported_at < taken_at)) {
      instance_->targets.OnLoadReport(
          id,
          {it.running(), it.queued(), it.is_leaving(), it.process(),
           it.state()},
          taken_at);
    }
  }
}

}  // namespace daisypond::entry
