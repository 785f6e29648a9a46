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
      membership_(OwnPeerState(instance->settings),
                  &instance->peer_client,
                  MakeMembershipCallbacks()),
      configuration_updater_(instance),
      target_poller_(instance) {}

void ControlPlane::Start() {
  base::ControlLoop& loop = instance_->control_loop;
  loop.SchedulePeriodic(kConfigurationPollPeriod,
                        [this] { configuration_updater_.PollPlatform(); });
  loop.SchedulePeriodic(peer::MembershipProtocol::kSeedContactPeriod,
                        [this] { ContactKnownInstances(); });
  loop.SchedulePeriodic(peer::MembershipProtocol::kProbePeriod,
                        [this] { membership_.ProbeNextPeer(); });
  loop.SchedulePeriodic(kTargetPollPeriod, [this] {
    target_poller_.PollTargets(membership_.Table());
  });
  loop.SchedulePeriodic(kSuspectUpdatePeriod,
                        [this] { instance_->suspects.ResolveHeldRequests(); });
  loop.SchedulePeriodic(kAdmissionUpdatePeriod,
                        [this] { instance_->admission_gate.AdmitWaiting(); });
  loop.SchedulePeriodic(kCopyExpiryPeriod, [this] {
    instance_->copies.RemoveExpiredCopies(base::Clock::Now());
  });
  loop.Start();
}

peer::MembershipCallbacks ControlPlane::MakeMembershipCallbacks() {
  peer::MembershipCallbacks callbacks;
  callbacks.post = [this](std::function<void()> task) {
    instance_->control_loop.Post(std::move(task));
  };
  callbacks.configuration_version = [this] {
    return instance_->active_configuration.Version();
  };
  callbacks.add_piggybacked_data =
      [this](peer::PiggybackedData* piggybacked_data) {
        AddCondemnedRequests(&piggybacked_data->condemned);
        target_poller_.AddReports(&piggybacked_data->targets);
      };
  callbacks.on_message_received =
      [this](const peer::PeerState& sender,
             const peer::PiggybackedData& piggybacked_data) {
        OnPeerMessage(sender, piggybacked_data);
      };
  callbacks.on_table_changed = [this] { PublishPeers(); };
  return callbacks;
}

void ControlPlane::ContactKnownInstances() {
  membership_.ContactPeers(instance_->settings.seed_peers);
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
            [this, addresses] { membership_.ContactPeers(addresses); });
      });
}

void ControlPlane::AddCondemnedRequests(
    google::protobuf::RepeatedPtrField<peer::Condemned>* condemned_list) const {
  const base::Millis now = base::Clock::Now();
  for (const auto& it : instance_->suspects.AllCondemned()) {
    peer::Condemned* condemned = condemned_list->Add();
    condemned->set_content_digest(it.content_digest.value);
    condemned->set_remaining_ms((it.refused_until - now).count);
  }
}

void ControlPlane::OnPeerMessage(
    const peer::PeerState& sender,
    const peer::PiggybackedData& piggybacked_data) {
  for (const peer::Condemned& it : piggybacked_data.condemned) {
    instance_->suspects.OnCondemnedByPeer({it.content_digest()},
                                          {it.remaining_ms()});
  }
  target_poller_.ApplyReports(piggybacked_data.targets);
  configuration_updater_.OnPeerVersion(sender.address(),
                                       sender.configuration_version());
}

void ControlPlane::OnExchange(const peer::ExchangeRequest& request,
                              std::function<void(peer::ExchangeReply)> done) {
  membership_.OnExchange(request, std::move(done));
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
  instance_->control_loop.Post([this] { membership_.AnnounceLeaving(); });
}

void ControlPlane::PublishPeers() {
  const base::Millis now = base::Clock::Now();
  instance_->peers.Publish(membership_.Reachable());
  std::vector<wall::PeerView> status_page_peers;
  for (const membership::PeerState& it : membership_.Table().All()) {
    const auto age = membership_.Table().TimeSinceHeard(it.instance, now);
    status_page_peers.push_back({it, age.value_or(base::Millis{0})});
  }
  const std::lock_guard lock(status_page_peers_mutex_);
  status_page_peers_ = std::move(status_page_peers);
}

wall::Snapshot ControlPlane::TakeStatusSnapshot() const {
  wall::Snapshot snapshot;
  snapshot.instance = instance_->settings.instance;
  snapshot.failure_domain = instance_->settings.failure_domain;
  snapshot.taken_at_unix = base::Clock::UnixNow();
  snapshot.taken_at_monotonic = base::Clock::Now();
  snapshot.configuration_version = instance_->active_configuration.Version();
  snapshot.newest_version =
      std::max(snapshot.configuration_version,
               configuration_updater_.NewestKnownVersion());
  snapshot.is_platform_reached = configuration_updater_.IsPlatformReached();
  snapshot.platform_age = configuration_updater_.TimeSincePlatformReached();
  snapshot.is_stopping = instance_->is_stopping;
  {
    const std::lock_guard lock(status_page_peers_mutex_);
    snapshot.peers = status_page_peers_;
  }
  snapshot.targets = instance_->targets.All();
  snapshot.condemned = instance_->suspects.AllCondemned();
  snapshot.running = instance_->admission_gate.RunningCount();
  snapshot.queued = instance_->admission_gate.QueuedCount();
  snapshot.copies = instance_->copies.Count();
  snapshot.copy_bytes = instance_->copies.Bytes();
  snapshot.control_cpu_time = instance_->control_loop.ThreadCpuTime();
  snapshot.up_time = snapshot.taken_at_monotonic - started_at_;
  return snapshot;
}

}  // namespace daisypond::entry
