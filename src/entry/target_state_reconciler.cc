#include "entry/target_state_reconciler.h"

#include <utility>

#include "base/json.h"
#include "base/log.h"
#include "routing/rendezvous.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kReconcilePeriod{1000};
// How often the thread checks whether it should stop, while it waits for its
// next pass over the targets.
constexpr base::Millis kStopCheckPeriod{100};

}  // namespace

TargetStateReconciler::TargetStateReconciler(Instance* instance)
    : instance_(instance), thread_([this] { Run(); }) {}

TargetStateReconciler::~TargetStateReconciler() {
  is_stopping_ = true;
  thread_.join();
}

void TargetStateReconciler::Run() {
  while (!is_stopping_) {
    for (const routing::TargetView& it : instance_->targets.All()) {
      const bool needs_change = !it.settings.wanted_model.empty() &&
                                it.report.state != it.settings.wanted_model;
      if (needs_change && !is_stopping_ && IsResponsibleFor(it)) {
        ReconcileTarget(it);
      }
    }
    const base::Millis next_pass_at = base::Clock::Now() + kReconcilePeriod;
    while (!is_stopping_ && base::Clock::Now() < next_pass_at) {
      std::this_thread::sleep_for(kStopCheckPeriod.ToChrono());
    }
  }
}

bool TargetStateReconciler::IsResponsibleFor(
    const routing::TargetView& target) const {
  const std::string& domain = instance_->settings.failure_domain;
  if (target.settings.failure_domain != domain) {
    return false;
  }
  std::vector<std::string> names = {instance_->settings.instance};
  for (const membership::PeerState& it : *instance_->peers.Current()) {
    if (it.failure_domain == domain &&
        it.status == membership::PeerStatus::kAlive) {
      names.push_back(it.instance);
    }
  }
  const auto ranked = routing::RankByKey(
      target.id.name, names, [](const std::string& it) { return it; });
  return ranked.front() == instance_->settings.instance;
}

void TargetStateReconciler::ReconcileTarget(const routing::TargetView& target) {
  const auto [it, is_new] = leases_.try_emplace(
      target.id.name, &instance_->platform_store, instance_->settings.instance,
      target.id.name, lease_options_, &instance_->metrics);
  Lease& lease = it->second;
  if (lease.AcquireOrRenew(&base::Clock::Now) != orders::LeaseOutcome::kHeld) {
    return;
  }
  const bool is_accepted = SendOrder(target, lease);
  base::Log(is_accepted ? base::LogLevel::kInfo : base::LogLevel::kWarning,
            is_accepted ? "order_taken" : "order_not_taken",
            {{"target", target.id.name},
             {"state", target.settings.wanted_model},
             {"fencing_number", lease.FencingNumber()}});
}

bool TargetStateReconciler::SendOrder(const routing::TargetView& target,
                                      const Lease& lease) {
  http::ClientRequest request;
  request.address = target.settings.address;
  request.path = "/orders";
  request.body =
      base::WriteJson({{"fencing_number", lease.FencingNumber()},
                       {"state", target.settings.wanted_model},
                       {"check_fencing", target.settings.fencing ==
                                             intents::Fencing::kChecked}});
  request.connect_timeout = lease_options_.max_send_duration;
  request.total_timeout = lease_options_.max_send_duration;
  request.connection_use = http::ConnectionUse::kNew;
  // Checked immediately before sending: CanSendOrder() is true only if the
  // lease lasts longer than max_send_duration, the maximum time for the order.
  if (!lease.CanSendOrder(base::Clock::Now())) {
    return false;
  }
  return instance_->control_client.Fetch(std::move(request)).IsSuccess();
}

}  // namespace daisypond::entry
