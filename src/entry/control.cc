#include "entry/control.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "peer/convert.h"

namespace daisypond::entry {

namespace {

constexpr base::Millis kProbePeriod{1000};
constexpr base::Millis kProbeTimeout{400};
constexpr base::Millis kHelperTimeout{800};
constexpr base::Millis kConfigurationPeriod{1000};
constexpr base::Millis kTargetPeriod{1000};
constexpr base::Millis kSuspectPeriod{100};
constexpr base::Millis kGatePeriod{50};
constexpr base::Millis kCopyPeriod{5000};
constexpr base::Millis kSeedPeriod{3000};
constexpr size_t kHelpers = 2;
constexpr size_t kMaximumChanges = 24;
// One whole table in this many probes, against news that got lost.
constexpr int kWholeTableRounds = 30;
constexpr int kDeadProbeRounds = 5;

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
      table_(SelfOf(instance->settings),
             membership::PeerTableOptions(),
             base::RandomNumber()),
      configuration_(instance),
      poller_(instance) {}

void Control::Start() {
  base::ControlLoop& loop = instance_->control;
  loop.Every(kConfigurationPeriod, [this] { configuration_.Poll(); });
  loop.Every(kSeedPeriod, [this] { Seed(); });
  loop.Every(kProbePeriod, [this] { Probe(); });
  loop.Every(kTargetPeriod, [this] { poller_.Poll(table_); });
  loop.Every(kSuspectPeriod, [this] { instance_->suspects.Advance(); });
  loop.Every(kGatePeriod, [this] { instance_->gate.Advance(); });
  loop.Every(kCopyPeriod,
             [this] { instance_->copies.Expire(base::Clock::Now()); });
  loop.Start();
}

void Control::Seed() {
  const auto contact = [this](const std::string& address) {
    if (address == instance_->settings.peer_address) {
      return;
    }
    for (const membership::PeerState& it : table_.Reachable()) {
      if (it.address == address) {
        return;
      }
    }
    peer::ExchangeRequest request = NextMessage();
    request.set_wants_all(true);
    for (const membership::PeerState& it : table_.All()) {
      // A peer that counts as dead here learns it and refutes.
      if (it.address == address) {
        *request.add_changes() = peer::ToMessage(it);
      }
    }
    instance_->peer_client.Exchange(
        address, request, kProbeTimeout,
        [this](std::optional<peer::ExchangeReply> reply) {
          instance_->control.Post([this, reply = std::move(reply)] {
            if (reply) {
              AbsorbNews(reply->sender(), reply->changes(), reply->condemned(),
                         reply->targets());
            }
          });
        });
  };
  for (const std::string& it : instance_->settings.seed_peers) {
    contact(it);
  }
  instance_->platform.ListInstancesAsync(
      [this,
       contact](const std::optional<std::vector<store::ListedInstance>>& list) {
        if (!list) {
          return;
        }
        instance_->control.Post([contact, list = *list] {
          for (const store::ListedInstance& it : list) {
            contact(it.peer_address);
          }
        });
      });
}

peer::ExchangeRequest Control::NextMessage() {
  peer::ExchangeRequest request;
  table_.SetConfigurationVersion(instance_->follower.Version());
  *request.mutable_sender() = peer::ToMessage(table_.Self());
  for (const membership::PeerState& it : table_.TakeChanges(kMaximumChanges)) {
    *request.add_changes() = peer::ToMessage(it);
  }
  AddCondemned(request.mutable_condemned());
  poller_.AddReports(request.mutable_targets());
  return request;
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

void Control::Probe() {
  const base::Millis now = base::Clock::Now();
  table_.Advance(now);
  ++rounds_;
  std::optional<membership::PeerState> peer = table_.NextProbe();
  if (rounds_ % kDeadProbeRounds == 0 || !peer) {
    // A partition that has healed is noticed by asking the dead.
    for (const membership::PeerState& it : table_.All()) {
      if (it.status == membership::PeerStatus::kDead &&
          (!peer || base::RandomNumber() % 2 == 0)) {
        peer = it;
      }
    }
  }
  Publish();
  if (!peer) {
    return;
  }
  peer::ExchangeRequest request = NextMessage();
  request.set_wants_all(rounds_ % kWholeTableRounds == 1);
  *request.add_changes() = peer::ToMessage(*peer);
  instance_->peer_client.Exchange(
      peer->address, request, kProbeTimeout,
      [this, peer = *peer](std::optional<peer::ExchangeReply> reply) {
        instance_->control.Post([this, peer, reply = std::move(reply)] {
          if (reply) {
            OnProbeResult(peer, reply);
          } else {
            ProbeThroughHelpers(peer);
          }
        });
      });
}

void Control::ProbeThroughHelpers(const membership::PeerState& peer) {
  const auto helpers = table_.Helpers(peer.instance, kHelpers);
  if (helpers.empty()) {
    OnProbeResult(peer, std::nullopt);
    return;
  }
  auto open = std::make_shared<size_t>(helpers.size());
  auto is_answered = std::make_shared<bool>(false);
  peer::ExchangeRequest request = NextMessage();
  request.set_probe_address(peer.address);
  for (const membership::PeerState& it : helpers) {
    instance_->peer_client.Exchange(
        it.address, request, kHelperTimeout,
        [this, peer, open,
         is_answered](const std::optional<peer::ExchangeReply>& reply) {
          const bool has_answer = reply && reply->is_probe_answered();
          instance_->control.Post([this, peer, open, is_answered, has_answer] {
            *is_answered = *is_answered || has_answer;
            if (--*open == 0 && !*is_answered) {
              OnProbeResult(peer, std::nullopt);
            }
          });
        });
  }
}

void Control::OnProbeResult(const membership::PeerState& peer,
                            const std::optional<peer::ExchangeReply>& reply) {
  const base::Millis now = base::Clock::Now();
  if (!reply) {
    table_.OnProbeFailed(peer.instance, now);
    Publish();
    return;
  }
  table_.OnProbeAnswered(peer.instance, now);
  AbsorbNews(reply->sender(), reply->changes(), reply->condemned(),
             reply->targets());
}

void Control::Absorb(const peer::PeerState& message) {
  const membership::PeerState state = peer::FromMessage(message);
  if (state.instance.empty() || state.address.empty()) {
    return;
  }
  table_.Apply(state, base::Clock::Now());
}

void Control::AbsorbNews(
    const peer::PeerState& sender,
    const google::protobuf::RepeatedPtrField<peer::PeerState>& changes,
    const google::protobuf::RepeatedPtrField<peer::Condemned>& condemned,
    const google::protobuf::RepeatedPtrField<peer::TargetReport>& targets) {
  const base::Millis now = base::Clock::Now();
  Absorb(sender);
  table_.OnProbeAnswered(sender.instance(), now);
  for (const peer::PeerState& it : changes) {
    Absorb(it);
  }
  for (const peer::Condemned& it : condemned) {
    instance_->suspects.Condemn({it.content_digest()}, {it.remaining_ms()});
  }
  poller_.Absorb(targets);
  configuration_.OnPeerVersion(sender.address(),
                               sender.configuration_version());
  Publish();
}

void Control::OnExchange(const peer::ExchangeRequest& request,
                         std::function<void(peer::ExchangeReply)> done) {
  AbsorbNews(request.sender(), request.changes(), request.condemned(),
             request.targets());
  peer::ExchangeReply reply;
  table_.SetConfigurationVersion(instance_->follower.Version());
  *reply.mutable_sender() = peer::ToMessage(table_.Self());
  const auto changes =
      request.wants_all() ? table_.All() : table_.TakeChanges(kMaximumChanges);
  for (const membership::PeerState& it : changes) {
    *reply.add_changes() = peer::ToMessage(it);
  }
  AddCondemned(reply.mutable_condemned());
  poller_.AddReports(reply.mutable_targets());
  if (request.probe_address().empty()) {
    done(std::move(reply));
    return;
  }
  instance_->peer_client.Exchange(
      request.probe_address(), NextMessage(), kProbeTimeout,
      [reply, done = std::move(done)](
          const std::optional<peer::ExchangeReply>& answer) mutable {
        reply.set_is_probe_answered(answer.has_value());
        done(std::move(reply));
      });
}

void Control::OnDeath(const peer::ReportDeathRequest& request) {
  suspects::Death death;
  death.target = request.target();
  for (const peer::Victim& it : request.victims()) {
    death.victims.push_back({{it.content_digest()}, {it.ran_for_ms()}});
  }
  instance_->suspects.OnDeath(death);
}

void Control::SetLeaving() {
  instance_->control.Post([this] {
    table_.SetLeaving();
    for (const membership::PeerState& it : table_.Reachable()) {
      instance_->peer_client.Exchange(
          it.address, NextMessage(), kProbeTimeout,
          [](const std::optional<peer::ExchangeReply>&) {});
    }
  });
}

void Control::Publish() {
  const base::Millis now = base::Clock::Now();
  table_.SetConfigurationVersion(instance_->follower.Version());
  instance_->peers.Publish(table_.Reachable());
  std::vector<wall::SeenPeer> seen;
  for (const membership::PeerState& it : table_.All()) {
    const auto age = table_.AgeOf(it.instance, now);
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
  snapshot.control_processor_time = instance_->control.ProcessorTime();
  snapshot.up_time = snapshot.now - started_at_;
  return snapshot;
}

}  // namespace daisypond::entry
