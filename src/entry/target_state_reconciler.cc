#include "entry/target_state_reconciler.h"

#include <utility>

#include "base/json.h"
#include "base/log.h"
#include "routing/rendezvous.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kPeriod{1000};
constexpr base::Millis kStep{100};

}  // namespace

OrderWorker::OrderWorker(Instance* instance)
    : instance_(instance), thread_([this] { Run(); }) {}

OrderWorker::~OrderWorker() {
  is_stopping_ = true;
  thread_.join();
}

void OrderWorker::Run() {
  while (!is_stopping_) {
    for (const routing::TargetView& it : instance_->targets.All()) {
      const bool is_wanted = !it.settings.wanted_model.empty() &&
                             it.report.state != it.settings.wanted_model;
      if (is_wanted && !is_stopping_ && IsFirstFor(it)) {
        Advance(it);
      }
    }
    const base::Millis due = base::Clock::Now() + kPeriod;
    while (!is_stopping_ && base::Clock::Now() < due) {
      std::this_thread::sleep_for(kStep.ToChrono());
    }
  }
}

bool OrderWorker::IsFirstFor(const routing::TargetView& target) const {
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

void OrderWorker::Advance(const routing::TargetView& target) {
  const auto [it, is_new] = keepers_.try_emplace(
      target.id.name, &instance_->platform, instance_->settings.instance,
      target.id.name, options_, &instance_->metrics);
  Keeper& keeper = it->second;
  if (keeper.AcquireOrRenew(&base::Clock::Now) != orders::LeaseOutcome::kHeld) {
    return;
  }
  const bool is_taken = Send(target, keeper);
  base::Log(is_taken ? base::LogLevel::kInfo : base::LogLevel::kWarning,
            is_taken ? "order_taken" : "order_not_taken",
            {{"target", target.id.name},
             {"state", target.settings.wanted_model},
             {"fencing_number", keeper.FencingNumber()}});
}

bool OrderWorker::Send(const routing::TargetView& target,
                       const Keeper& keeper) {
  http::ClientRequest request;
  request.address = target.settings.address;
  request.path = "/orders";
  request.body =
      base::WriteJson({{"fencing_number", keeper.FencingNumber()},
                       {"state", target.settings.wanted_model},
                       {"check_fencing", target.settings.fencing ==
                                             intents::Fencing::kChecked}});
  request.connect_timeout = options_.max_send_duration;
  request.total_timeout = options_.max_send_duration;
  request.connection_use = http::ConnectionUse::kNew;
  // The last look at the clock: what follows is bounded by max_send_duration.
  if (!keeper.CanSendOrder(base::Clock::Now())) {
    return false;
  }
  return instance_->control_client.Fetch(std::move(request)).IsSuccess();
}

}  // namespace daisypond::entry
