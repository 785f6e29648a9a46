#include "entry/target_death_detector.h"

#include <utility>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"

namespace daisypond::entry {

namespace {

// If a stream breaks within this time after the start of a check of its target,
// the result of that check is used and no new check starts.
constexpr base::Millis kCheckReuseTime{500};
constexpr base::Millis kLoadReportTimeout{250};

}  // namespace

routing::LoadReport LoadReportFromJson(std::string_view text) {
  const base::Json value = base::ParseJson(text);
  routing::LoadReport report;
  report.running = base::IntegerField(value, "running");
  report.queued = base::IntegerField(value, "queued");
  report.is_leaving = base::BoolField(value, "leaving");
  report.state = base::StringField(value, "state");
  report.process_hash = base::Hash(base::StringField(value, "process"));
  return report;
}

std::optional<routing::LoadReport> FetchLoadReport(http::Client* client,
                                                   const std::string& address,
                                                   base::Millis timeout) {
  http::ClientRequest request;
  request.method = "GET";
  request.address = address;
  request.path = "/load";
  request.connect_timeout = timeout;
  request.total_timeout = timeout;
  request.connection_use = http::ConnectionUse::kNew;
  const http::ClientResponse response = client->Fetch(std::move(request));
  if (!response.IsSuccess()) {
    return std::nullopt;
  }
  return LoadReportFromJson(response.body);
}

bool TargetDeathDetector::IsProcessGone(const routing::Placement& placement) {
  const auto known = instance_->targets.Find(placement.target);
  const auto report = FetchLoadReport(&instance_->traffic_client,
                                      placement.address, kLoadReportTimeout);
  if (!report) {
    return true;
  }
  const bool has_restarted = known && known->has_report &&
                             known->report.process_hash != report->process_hash;
  instance_->targets.OnLoadReport(placement.target, *report,
                                  base::Clock::Now());
  return has_restarted;
}

void TargetDeathDetector::ReportDeath(const std::string& target) {
  suspects::TargetDeath death{target,
                              instance_->suspects.RequestsRunningOn(target)};
  base::Log(base::LogLevel::kWarning, "target_died",
            {{"target", target}, {"victims", death.affected_requests.size()}});
  instance_->suspects.OnDeath(death);
  peer::ReportDeathRequest request;
  request.set_target(target);
  for (const suspects::AffectedRequest& it : death.affected_requests) {
    auto* victim = request.add_victims();
    victim->set_content_digest(it.content_digest.value);
    victim->set_ran_for_ms(it.ran_for.count);
  }
  for (const membership::PeerState& it : *instance_->peers.Current()) {
    instance_->peer_client.ReportDeath(it.address, request);
  }
}

bool TargetDeathDetector::DetectDeath(const routing::Placement& placement) {
  const std::string& target = placement.target.name;
  std::promise<bool> answer;
  std::shared_future<bool> pending;
  {
    const std::lock_guard lock(mutex_);
    const base::Millis now = base::Clock::Now();
    const auto it = checks_.find(target);
    if (it != checks_.end() && now - it->second.started_at < kCheckReuseTime) {
      pending = it->second.is_dead;
    } else {
      checks_[target] = {now, answer.get_future().share()};
    }
  }
  if (pending.valid()) {
    return pending.get();
  }
  const bool is_dead = IsProcessGone(placement);
  if (is_dead) {
    ReportDeath(target);
  }
  answer.set_value(is_dead);
  return is_dead;
}

}  // namespace daisypond::entry
