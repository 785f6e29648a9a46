#include "entry/control.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "peer/convert.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kConfigurationPeriod{1000};
constexpr base::Millis kTargetPeriod{1000};
constexpr base::Millis kSuspectPeriod{100};
constexpr base::Millis kGatePeriod{50};
constexpr base::Millis kCopyPeriod{5000};

membership::PeerState SelfOf(const Settings& settings) {
  membership::PeerState self;
  self.instance = settings.instance;
  self.address = settings.peer_address;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.incarnation = static_cast<uint64_t>(base::Clock::UnixNow().count);
  return self;
}

}  // namespace

Control::Control(Instance* instance)
    : instance_(instance),
      started_at_(base::Clock::Now()),
      group_(SelfOf(instance->settings), &instance->peer_client, Hooks()),
      configuration_(instance),
      poller_(instance) {}

void Control::Start() {
  base::ControlLoop& loop = instance_->control;
  loop.SchedulePeriodic(kConfigurationPeriod,
                        [this] { configuration_.Poll(); });
  loop.SchedulePeriodic(peer::Group::kSeedPeriod, [this] { Seed(); });
  loop.SchedulePeriodic(peer::Group::kProbePeriod, [this] { group_.Probe(); });
  loop.SchedulePeriodic(kTargetPeriod,
                        [this] { poller_.Poll(group_.Table()); });
  loop.SchedulePeriodic(kSuspectPeriod,
                        [this] { instance_->suspects.ResolveHeldRequests(); });
  loop.SchedulePeriodic(kGatePeriod,
                        [this] { instance_->gate.AdmitWaiting(); });
  loop.SchedulePeriodic(
      kCopyPeriod, [this] { instance_->copies.Expire(base::Clock::Now()); });
  loop.Start();
}

peer::GroupHooks Control::Hooks() {
  peer::GroupHooks hooks;
  hooks.post = [this](std::function<void()> task) {
    instance_->control.Post(std::move(task));
  };
  hooks.configuration_version = [this] {
    return instance_->follower.Version();
  };
  hooks.attach = [this](peer::Attachments* into) {
    AddCondemned(&into->condemned);
    poller_.AddReports(&into->targets);
  };
  hooks.on_news = [this](const peer::PeerState& sender,
                         const peer::Attachments& news) {
    OnNews(sender, news);
  };
  hooks.on_changed = [this] { Publish(); };
  return hooks;
}

void Control::Seed() {
  group_.Contact(instance_->settings.seed_peers);
  instance_->platform.ListInstancesAsync(
      [this](const std::optional<std::vector<store::ListedInstance>>& list) {
        if (!list) {
          return;
        }
        std::vector<std::string> addresses;
        for (const store::ListedInstance& it : *list) {
          addresses.push_back(it.peer_address);
        }
        instance_->control.Post(
            [this, addresses] { group_.Contact(addresses); });
      });
}

void Control::AddCondemned(
    google::protobuf::RepeatedPtrField<peer::Condemned>* into) const {
  const base::Millis now = base::Clock::Now();
  for (const auto& it : instance_->suspects.AllCondemned()) {
    peer::Condemned* condemned = into->Add();
    condemned->set_content_digest(it.content.value);
    condemned->set_remaining_ms((it.until - now).count);
  }
}

void Control::OnNews(const peer::PeerState& sender,
                     const peer::Attachments& news) {
  for (const peer::Condemned& it : news.condemned) {
    instance_->suspects.OnCondemnedByPeer({it.content_digest()},
                                          {it.remaining_ms()});
  }
  poller_.Absorb(news.targets);
  configuration_.OnPeerVersion(sender.address(),
                               sender.configuration_version());
}

void Control::OnExchange(const peer::ExchangeRequest& request,
                         std::function<void(peer::ExchangeReply)> done) {
  group_.OnExchange(request, std::move(done));
}

void Control::OnDeath(const peer::ReportDeathRequest& request) {
  suspects::TargetDeath death;
  death.target = request.target();
  for (const peer::Victim& it : request.victims()) {
    death.affected_requests.push_back(
        {{it.content_digest()}, {it.ran_for_ms()}});
  }
  instance_->suspects.OnDeath(death);
}

void Control::SetLeaving() {
  instance_->control.Post([this] { group_.Leave(); });
}

void Control::Publish() {
  const base::Millis now = base::Clock::Now();
  instance_->peers.Publish(group_.Reachable());
  std::vector<wall::PeerView> seen;
  for (const membership::PeerState& it : group_.Table().All()) {
    const auto age = group_.Table().AgeOf(it.instance, now);
    seen.push_back({it, age.value_or(base::Millis{0})});
  }
  const std::lock_guard lock(seen_mutex_);
  seen_ = std::move(seen);
}

wall::Snapshot Control::TakeSnapshot() const {
  wall::Snapshot snapshot;
  snapshot.instance = instance_->settings.instance;
  snapshot.failure_domain = instance_->settings.failure_domain;
  snapshot.taken_at_unix = base::Clock::UnixNow();
  snapshot.now = base::Clock::Now();
  snapshot.configuration_version = instance_->follower.Version();
  snapshot.newest_version =
      std::max(snapshot.configuration_version, configuration_.NewestVersion());
  snapshot.is_platform_reached = configuration_.IsPlatformReached();
  snapshot.platform_age = configuration_.PlatformAge();
  snapshot.is_stopping = instance_->is_stopping;
  {
    const std::lock_guard lock(seen_mutex_);
    snapshot.peers = seen_;
  }
  snapshot.targets = instance_->targets.All();
  snapshot.condemned = instance_->suspects.AllCondemned();
  snapshot.running = instance_->gate.Running();
  snapshot.queued = instance_->gate.Queued();
  snapshot.copies = instance_->copies.Count();
  snapshot.copy_bytes = instance_->copies.Bytes();
  snapshot.control_cpu_time = instance_->control.ThreadCpuTime();
  snapshot.up_time = snapshot.now - started_at_;
  return snapshot;
}

}  // namespace daisypond::entry
