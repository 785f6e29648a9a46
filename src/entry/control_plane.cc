#include "entry/control_plane.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "peer/convert.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kConfigurationPollPeriod{1000};
constexpr base::Millis kTargetPollPeriod{1000};
constexpr base::Millis kSuspectUpdatePeriod{100};
constexpr base::Millis kAdmissionUpdatePeriod{50};
constexpr base::Millis kCopyExpiryPeriod{5000};

membership::PeerState OwnPeerState(const Settings& settings) {
  membership::PeerState own;
  own.instance = settings.instance;
  own.address = settings.peer_address;
  own.failure_domain = settings.failure_domain;
  own.region = settings.region;
  own.incarnation = static_cast<uint64_t>(base::Clock::UnixNow().count);
  return own;
}

}  // namespace

ControlPlane::ControlPlane(Instance* instance)
    : instance_(instance),
      started_at_(base::Clock::Now()),
      group_(OwnPeerState(instance->settings),
             &instance->peer_client,
             MakeGroupHooks()),
      configuration_updater_(instance),
      target_poller_(instance) {}

void ControlPlane::Start() {
  base::ControlLoop& loop = instance_->control_loop;
  loop.SchedulePeriodic(kConfigurationPollPeriod,
                        [this] { configuration_updater_.PollPlatform(); });
  loop.SchedulePeriodic(peer::MembershipProtocol::kSeedContactPeriod,
                        [this] { ContactKnownInstances(); });
  loop.SchedulePeriodic(peer::MembershipProtocol::kProbePeriod,
                        [this] { group_.ProbeNextPeer(); });
  loop.SchedulePeriodic(kTargetPollPeriod,
                        [this] { target_poller_.Poll(group_.Table()); });
  loop.SchedulePeriodic(kSuspectUpdatePeriod,
                        [this] { instance_->suspects.ResolveHeldRequests(); });
  loop.SchedulePeriodic(kAdmissionUpdatePeriod,
                        [this] { instance_->admission_gate.AdmitWaiting(); });
  loop.SchedulePeriodic(kCopyExpiryPeriod, [this] {
    instance_->copies.RemoveExpiredCopies(base::Clock::Now());
  });
  loop.Start();
}

peer::MembershipCallbacks ControlPlane::MakeGroupHooks() {
  peer::MembershipCallbacks hooks;
  hooks.post = [this](std::function<void()> task) {
    instance_->control_loop.Post(std::move(task));
  };
  hooks.configuration_version = [this] {
    return instance_->active_configuration.Version();
  };
  hooks.add_piggybacked_data = [this](peer::PiggybackedData* attachments) {
    AttachCondemnedRequests(&attachments->condemned);
    target_poller_.AddReports(&attachments->targets);
  };
  hooks.on_message_received = [this](const peer::PeerState& sender,
                                     const peer::PiggybackedData& news) {
    OnPeerMessage(sender, news);
  };
  hooks.on_table_changed = [this] { PublishPeers(); };
  return hooks;
}

void ControlPlane::ContactKnownInstances() {
  group_.ContactPeers(instance_->settings.seed_peers);
  instance_->platform_store.ListInstancesAsync(
      [this](const std::optional<std::vector<store::ListedInstance>>& list) {
        if (!list) {
          return;
        }
        std::vector<std::string> addresses;
        for (const store::ListedInstance& it : *list) {
          addresses.push_back(it.peer_address);
        }
        instance_->control_loop.Post(
            [this, addresses] { group_.ContactPeers(addresses); });
      });
}

void ControlPlane::AttachCondemnedRequests(
    google::protobuf::RepeatedPtrField<peer::Condemned>* condemned_list) const {
  const base::Millis now = base::Clock::Now();
  for (const auto& it : instance_->suspects.AllCondemned()) {
    peer::Condemned* condemned = condemned_list->Add();
    condemned->set_content_digest(it.content_digest.value);
    condemned->set_remaining_ms((it.refused_until - now).count);
  }
}

void ControlPlane::OnPeerMessage(const peer::PeerState& sender,
                                 const peer::PiggybackedData& news) {
  for (const peer::Condemned& it : news.condemned) {
    instance_->suspects.OnCondemnedByPeer({it.content_digest()},
                                          {it.remaining_ms()});
  }
  target_poller_.ApplyReports(news.targets);
  configuration_updater_.OnPeerVersion(sender.address(),
                                       sender.configuration_version());
}

void ControlPlane::OnExchange(const peer::ExchangeRequest& request,
                              std::function<void(peer::ExchangeReply)> done) {
  group_.OnExchange(request, std::move(done));
}

void ControlPlane::OnDeathReport(const peer::ReportDeathRequest& request) {
  suspects::TargetDeath death;
  death.target = request.target();
  for (const peer::Victim& it : request.victims()) {
    death.affected_requests.push_back(
        {{it.content_digest()}, {it.ran_for_ms()}});
  }
  instance_->suspects.OnDeath(death);
}

void ControlPlane::SetLeaving() {
  instance_->control_loop.Post([this] { group_.AnnounceLeaving(); });
}

void ControlPlane::PublishPeers() {
  const base::Millis now = base::Clock::Now();
  instance_->peers.Publish(group_.Reachable());
  std::vector<wall::PeerView> seen;
  for (const membership::PeerState& it : group_.Table().All()) {
    const auto age = group_.Table().TimeSinceHeard(it.instance, now);
    seen.push_back({it, age.value_or(base::Millis{0})});
  }
  const std::lock_guard lock(wall_peers_mutex_);
  wall_peers_ = std::move(seen);
}

wall::Snapshot ControlPlane::TakeWallSnapshot() const {
  wall::Snapshot snapshot;
  snapshot.instance = instance_->settings.instance;
  snapshot.failure_domain = instance_->settings.failure_domain;
  snapshot.taken_at_unix = base::Clock::UnixNow();
  snapshot.now = base::Clock::Now();
  snapshot.configuration_version = instance_->active_configuration.Version();
  snapshot.newest_version =
      std::max(snapshot.configuration_version,
               configuration_updater_.NewestKnownVersion());
  snapshot.is_platform_reached = configuration_updater_.IsPlatformReached();
  snapshot.platform_age = configuration_updater_.TimeSincePlatformReached();
  snapshot.is_stopping = instance_->is_stopping;
  {
    const std::lock_guard lock(wall_peers_mutex_);
    snapshot.peers = wall_peers_;
  }
  snapshot.targets = instance_->targets.All();
  snapshot.condemned = instance_->suspects.AllCondemned();
  snapshot.running = instance_->admission_gate.RunningCount();
  snapshot.queued = instance_->admission_gate.QueuedCount();
  snapshot.copies = instance_->copies.Count();
  snapshot.copy_bytes = instance_->copies.Bytes();
  snapshot.control_cpu_time = instance_->control_loop.ThreadCpuTime();
  snapshot.up_time = snapshot.now - started_at_;
  return snapshot;
}

}  // namespace daisypond::entry
