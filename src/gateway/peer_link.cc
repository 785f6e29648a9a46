#include "gateway/peer_link.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/forwarder_options.h"

namespace daisypond::gateway {

namespace {

// Time that a peer may take to answer a request for its catalog, in addition to
// CatalogTimes::peer_wait.
constexpr base::Millis kFetchSlack{300};
// After so many failed fetches, the sources are tried again from the first.
constexpr size_t kMaximumFailedFetches = 6;
// How long a source that failed is avoided.
constexpr base::Millis kSourceRetryPeriod{5000};
// Number of random peers to which an instance reports a lost target. Several
// instances detect the same loss and report it, so that a few messages from
// each are enough to reach all instances.
constexpr size_t kLossReportFanout = 12;

membership::PeerState MakeSelfState(const Settings& settings,
                                    uint32_t feature_level) {
  membership::PeerState self;
  self.instance = settings.instance;
  self.address = settings.peer_listen;
  self.tunnel_address = settings.tunnel_listen;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.feature_level = feature_level;
  self.incarnation = static_cast<uint64_t>(base::Clock::UnixNow().count);
  return self;
}

peer::PeerClientOptions ClientOptions() {
  peer::PeerClientOptions options;
  options.credentials = grpc::InsecureChannelCredentials();
  return options;
}

peer::CatalogTarget ToProto(const catalog::Target& target) {
  peer::CatalogTarget message;
  message.set_id(target.id);
  message.set_service(target.service);
  message.set_address(target.address);
  message.set_failure_domain(target.failure_domain);
  message.set_slots(target.slots);
  message.set_is_leaving(target.is_leaving);
  message.set_started_at(target.started_at);
  message.set_version(target.version);
  return message;
}

catalog::Target FromProto(const peer::CatalogTarget& message) {
  catalog::Target target;
  target.id = message.id();
  target.service = message.service();
  target.address = message.address();
  target.failure_domain = message.failure_domain();
  target.slots = message.slots();
  target.is_leaving = message.is_leaving();
  target.started_at = message.started_at();
  target.version = message.version();
  return target;
}

peer::Suspect ToProto(const forward::Suspect& suspect) {
  peer::Suspect message;
  message.set_content_digest(suspect.id.hash);
  message.set_is_prompt_part(suspect.id.kind ==
                             forward::SuspectKind::kPromptPart);
  message.set_answers(suspect.answers);
  message.set_position(suspect.position);
  for (const forward::Suspect::Loss& it : suspect.losses) {
    peer::SuspectedLoss* loss = message.add_losses();
    loss->set_target(it.target.process.id);
    loss->set_started_at(it.target.process.started_at);
    loss->set_service(it.target.service);
    loss->set_failure_domain(it.target.failure_domain);
    loss->set_age_ms(it.age.count);
    loss->set_simultaneous(it.simultaneous);
    loss->set_request_digest(it.request);
  }
  message.set_is_answered(suspect.answer_age.has_value());
  message.set_answer_age_ms(suspect.answer_age.value_or(base::Millis{}).count);
  return message;
}

forward::Suspect FromProto(const peer::Suspect& message) {
  forward::Suspect suspect;
  suspect.id = {message.is_prompt_part() ? forward::SuspectKind::kPromptPart
                                         : forward::SuspectKind::kRequest,
                message.content_digest()};
  suspect.answers = message.answers();
  suspect.position = message.position();
  for (const peer::SuspectedLoss& it : message.losses()) {
    suspect.losses.push_back(
        {{{it.target(), it.started_at()}, it.service(), it.failure_domain()},
         {it.age_ms()},
         it.simultaneous(),
         it.request_digest()});
  }
  if (message.is_answered()) {
    suspect.answer_age = base::Millis{message.answer_age_ms()};
  }
  return suspect;
}

/// Adds to the age that `reply` states what has passed since the peer stated
/// it, at most the time that request and reply were on their way.
void AddTimeOnTheWay(base::Millis sent_at,
                     std::optional<peer::FetchCatalogReply>* reply) {
  if (*reply && (*reply)->has_held_ms()) {
    const base::Millis took = base::Clock::Now() - sent_at;
    const int64_t way_ms =
        std::max<int64_t>(0, took.count - (*reply)->held_ms());
    (*reply)->set_age_ms((*reply)->age_ms() + way_ms);
  }
}

PeerCatalog FromProto(const peer::FetchCatalogReply& reply) {
  PeerCatalog catalog;
  catalog.configuration = reply.configuration();
  catalog.compressed_configuration = {reply.compressed_configuration(),
                                      reply.configuration_digest(),
                                      reply.configuration_base_digest()};
  catalog.age = {reply.age_ms()};
  catalog.table_version = {reply.table_version(), reply.table_era()};
  catalog.is_delta = reply.is_delta();
  catalog.removed.assign(reply.removed().begin(), reply.removed().end());
  if (reply.has_targets()) {
    catalog.targets.emplace();
    for (const peer::CatalogTarget& it : reply.targets()) {
      catalog.targets->emplace(it.id(), FromProto(it));
    }
  }
  return catalog;
}

}  // namespace

PeerLink::PeerLink(const Settings& settings,
                   base::Metrics* metrics,
                   PeerLinkCallbacks callbacks,
                   uint32_t feature_level)
    : callbacks_(std::move(callbacks)),
      seeds_(settings.seed_peers),
      direct_group_(settings.direct_group),
      times_(settings.catalog_bound),
      client_(ClientOptions(), metrics),
      membership_(MakeSelfState(settings, feature_level),
                  &client_,
                  MakeMembershipCallbacks()),
      retry_budget_(&membership_, &client_, callbacks_.post, settings),
      request_limit_(&membership_, &client_),
      slots_(&membership_, &client_, callbacks_.post),
      stream_records_(&membership_, &client_, callbacks_.post),
      server_(settings.peer_listen,
              grpc::InsecureServerCredentials(),
              MakeServerDependencies()) {}

peer::MembershipCallbacks PeerLink::MakeMembershipCallbacks() {
  peer::MembershipCallbacks callbacks;
  callbacks.post = callbacks_.post;
  callbacks.configuration_version = callbacks_.configuration_version;
  callbacks.add_piggybacked_data = [this](peer::PiggybackedData* data) {
    for (const auto& it : callbacks_.suspects()) {
      *data->suspected.Add() = ToProto(it);
    }
  };
  callbacks.on_message_received = [this](const peer::PeerState&,
                                         const peer::PiggybackedData& data) {
    std::vector<forward::Suspect> suspects;
    for (const peer::Suspect& it : data.suspected) {
      suspects.push_back(FromProto(it));
    }
    if (!suspects.empty()) {
      callbacks_.on_suspects(suspects);
    }
  };
  callbacks.on_table_changed = [this] {
    retry_budget_.OnMembersChanged();
    UpdatePlace();
    callbacks_.on_member_count(membership_.Table().Reachable().size() + 1);
    UpdateTunnelPeers();
    ReportNewestConfiguration();
  };
  return callbacks;
}

void PeerLink::ReportNewestConfiguration() {
  uint64_t newest = 0;
  for (const membership::PeerState& it : membership_.Table().Reachable()) {
    newest = std::max(newest, it.configuration_version);
  }
  callbacks_.on_configuration_version(newest);
}

void PeerLink::UpdateTunnelPeers() {
  std::vector<forward::TunnelPeer> peers;
  for (const membership::PeerState& it : membership_.Table().Reachable()) {
    // A peer that is leaving refuses tunnels; a suspected one may be dead.
    if (it.status == membership::PeerStatus::kAlive &&
        !it.tunnel_address.empty()) {
      peers.push_back({it.instance, it.failure_domain, it.tunnel_address,
                       !it.is_path_lost});
    }
  }
  if (peers != tunnel_peers_) {
    tunnel_peers_ = peers;
    callbacks_.on_tunnel_peers(std::move(peers));
  }
}

peer::PeerServerDependencies PeerLink::MakeServerDependencies() {
  peer::PeerServerDependencies dependencies;
  dependencies.post = callbacks_.post;
  dependencies.on_exchange =
      [this](const peer::ExchangeRequest& request,
             std::function<void(peer::ExchangeReply)> done) {
        membership_.OnExchange(request, std::move(done));
      };
  dependencies.on_report_death = [this](
                                     const peer::ReportDeathRequest& request) {
    callbacks_.on_target_lost(
        {{request.target(), request.started_at()},
         request.service(),
         request.failure_domain()},
        request.victims().empty() ? 0 : request.victims(0).content_digest());
  };
  dependencies.on_lend_retries =
      [this](const peer::LendRetriesRequest& request) {
        return retry_budget_.GrantRetries(request);
      };
  dependencies.on_report_requests =
      [this](const peer::ReportRequestsRequest& request) {
        retry_budget_.AddReportedRequests(request);
      };
  dependencies.on_take_permit = [this](const peer::TakePermitRequest& request) {
    const forward::RequestPermit permit = request_limit_.Grant(request);
    peer::TakePermitReply reply;
    reply.set_is_granted(permit.is_granted);
    reply.set_wait_ms(permit.wait.count);
    return reply;
  };
  dependencies.on_take_slot = [this](const peer::TakeSlotRequest& request) {
    const forward::RequestPermit permit = slots_.Grant(request);
    peer::TakeSlotReply reply;
    reply.set_is_granted(permit.is_granted);
    reply.set_wait_ms(permit.wait.count);
    return reply;
  };
  dependencies.on_return_slot = [this](const peer::ReturnSlotRequest& request) {
    slots_.TakeBack(request);
  };
  dependencies.on_record_stream =
      [this](const peer::RecordStreamRequest& request,
             std::function<void(peer::RecordStreamReply)> done) {
        stream_records_.AddRecord(request, std::move(done));
      };
  dependencies.on_find_stream = [this](const peer::FindStreamRequest& request) {
    return stream_records_.Answer(request);
  };
  dependencies.on_fetch_catalog =
      [this](const peer::FetchCatalogRequest& request,
             std::function<void(peer::FetchCatalogReply)> done) {
        const base::Millis now = base::Clock::Now();
        held_requests_.push_back(
            {request, std::move(done), now, now + times_.peer_wait});
        AnswerHeldRequests();
      };
  return dependencies;
}

bool PeerLink::HasNewerTargets(const peer::FetchCatalogRequest& request) const {
  const catalog::TableVersion own = callbacks_.table_version();
  const catalog::TableVersion known{request.known_table_version(),
                                    request.known_table_era()};
  const bool are_eras_known = own.era != 0 && known.era != 0;
  const bool is_later =
      are_eras_known ? own > known : own.number > known.number;
  return callbacks_.targets_revision() != request.known_targets() &&
         (own.number == 0 || known.number == 0 || is_later);
}

bool PeerLink::HasNewerCatalog(const peer::FetchCatalogRequest& request) const {
  return callbacks_.configuration_version() > request.known_version() ||
         HasNewerTargets(request);
}

bool PeerLink::HasLaterConfirmation(const HeldRequest& request) const {
  const std::optional<base::Millis> own = callbacks_.targets_age();
  if (!own || !request.request.has_known_age_ms()) {
    return false;
  }
  const base::Millis known = base::Millis{request.request.known_age_ms()} +
                             (base::Clock::Now() - request.arrived_at);
  return known - *own >= kMinimumAgeGain;
}

void PeerLink::AnswerHeldRequests() {
  const base::Millis now = base::Clock::Now();
  std::vector<HeldRequest> due;
  std::erase_if(held_requests_, [&](HeldRequest& it) {
    if (!HasNewerCatalog(it.request) && !HasLaterConfirmation(it) &&
        now < it.expires_at) {
      return false;
    }
    due.push_back(std::move(it));
    return true;
  });
  for (const HeldRequest& it : due) {
    peer::FetchCatalogReply reply = MakeCatalogReply(it.request);
    reply.set_held_ms((now - it.arrived_at).count);
    it.done(std::move(reply));
  }
}

peer::FetchCatalogReply PeerLink::MakeCatalogReply(
    const peer::FetchCatalogRequest& request) {
  const PeerCatalog catalog = callbacks_.catalog_newer_than(request);
  peer::FetchCatalogReply reply;
  reply.set_version(callbacks_.configuration_version());
  reply.set_configuration(catalog.configuration);
  reply.set_compressed_configuration(catalog.compressed_configuration.bytes);
  reply.set_configuration_digest(catalog.compressed_configuration.digest);
  reply.set_configuration_base_digest(
      catalog.compressed_configuration.base_digest);
  reply.set_age_ms(catalog.age.count);
  reply.set_has_targets(catalog.targets.has_value());
  reply.set_table_version(catalog.table_version.number);
  reply.set_table_era(catalog.table_version.era);
  if (!HasNewerTargets(request)) {
    // Equal revisions say that there is nothing new.
    reply.set_targets_revision(request.known_targets());
    return reply;
  }
  reply.set_targets_revision(callbacks_.targets_revision());
  reply.set_is_delta(catalog.is_delta);
  for (const std::string& it : catalog.removed) {
    reply.add_removed(it);
  }
  if (catalog.targets) {
    for (const auto& it : *catalog.targets) {
      *reply.add_targets() = ToProto(it.second);
    }
  }
  return reply;
}

void PeerLink::UpdatePlace() {
  CatalogPlace place =
      FindCatalogPlace(membership_.Table().Self(),
                       membership_.Table().Reachable(), direct_group_);
  if (place.role != place_.role || place.sources != place_.sources) {
    base::Log(base::LogLevel::kInfo, "catalog_role",
              {{"role", kCatalogRoleNames.NameOf(place.role)},
               {"before", kCatalogRoleNames.NameOf(place_.role)},
               {"source", place.sources.empty() ? "" : place.sources.front()},
               {"levels", place.sources.size()}});
    failed_fetches_ = 0;
    preferred_peer_.clear();
    place_ = std::move(place);
  }
}

std::optional<std::string> PeerLink::ChoosePeer() {
  if (failed_fetches_ < place_.sources.size()) {
    return place_.sources[failed_fetches_];
  }
  if (!preferred_peer_.empty()) {
    return preferred_peer_;
  }
  const auto peers = membership_.Table().Reachable();
  if (peers.empty()) {
    return std::nullopt;
  }
  return peers[base::RandomNumber() % peers.size()].address;
}

peer::FetchCatalogRequest PeerLink::MakeConfigurationRequest() const {
  peer::FetchCatalogRequest request;
  request.set_known_version(callbacks_.configuration_version());
  request.set_accepts_compressed_configuration(true);
  request.set_configuration_digest(callbacks_.configuration_digest());
  request.set_is_large_configuration_read(callbacks_.can_read_configuration());
  return request;
}

std::optional<std::string> PeerLink::ChoosePeerWithNewerConfiguration() const {
  const uint64_t own = callbacks_.configuration_version();
  std::vector<std::string> addresses;
  for (const membership::PeerState& it : membership_.Table().Reachable()) {
    if (it.configuration_version > own) {
      addresses.push_back(it.address);
    }
  }
  if (addresses.empty()) {
    return std::nullopt;
  }
  return addresses[base::RandomNumber() % addresses.size()];
}

void PeerLink::FetchConfiguration() {
  if (is_fetching_configuration_ || !callbacks_.lacks_configuration() ||
      base::Clock::Now() < next_configuration_fetch_at_) {
    return;
  }
  const std::optional<std::string> address = ChoosePeerWithNewerConfiguration();
  if (!address) {
    return;
  }
  is_fetching_configuration_ = true;
  peer::FetchCatalogRequest request = MakeConfigurationRequest();
  // No targets are later than these, so that none are sent.
  request.set_known_table_version(UINT64_MAX);
  request.set_known_table_era(UINT64_MAX);
  client_.FetchCatalog(*address, request, times_.peer_wait + kFetchSlack,
                       [this](std::optional<peer::FetchCatalogReply> reply) {
                         callbacks_.post([this, reply = std::move(reply)] {
                           is_fetching_configuration_ = false;
                           OnConfigurationFetched(reply);
                         });
                       });
}

void PeerLink::OnConfigurationFetched(
    const std::optional<peer::FetchCatalogReply>& reply) {
  const uint64_t before = callbacks_.configuration_version();
  if (reply) {
    PeerCatalog catalog = FromProto(*reply);
    catalog.targets.reset();
    callbacks_.on_catalog(catalog);
  }
  if (callbacks_.configuration_version() == before) {
    // The peer is of an older build or out of reach.
    next_configuration_fetch_at_ = base::Clock::Now() + times_.peer_wait;
  }
}

void PeerLink::FetchFromPeer() {
  if (is_fetching_ || !callbacks_.needs_catalog()) {
    return;
  }
  const std::optional<std::string> address = ChoosePeer();
  if (!address) {
    ContactSeeds();
    return;
  }
  is_fetching_ = true;
  peer::FetchCatalogRequest request = MakeConfigurationRequest();
  if (!callbacks_.needs_configuration()) {
    request.set_known_version(UINT64_MAX);
  }
  // A peer can compute changes only against a revision that it sent itself.
  const uint64_t known_revision =
      *address == known_targets_peer_ ? known_targets_revision_ : 0;
  request.set_known_targets(known_revision);
  const catalog::TableVersion version = callbacks_.table_version();
  request.set_known_table_version(version.number);
  request.set_known_table_era(version.era);
  if (const std::optional<base::Millis> age = callbacks_.targets_age()) {
    request.set_known_age_ms(age->count);
  }
  client_.FetchCatalog(
      *address, request, times_.peer_wait + kFetchSlack,
      [this, address = *address, known_revision, sent_at = base::Clock::Now()](
          std::optional<peer::FetchCatalogReply> reply) {
        callbacks_.post([this, address, known_revision, sent_at,
                         reply = std::move(reply)]() mutable {
          is_fetching_ = false;
          AddTimeOnTheWay(sent_at, &reply);
          OnFetched(address, known_revision, reply);
        });
      });
}

void PeerLink::OnFetchResult(const std::string& address, bool is_fresh) {
  const base::Millis now = base::Clock::Now();
  if (!is_fresh) {
    preferred_peer_.clear();
    failed_fetches_ = (failed_fetches_ + 1) % kMaximumFailedFetches;
    last_failed_fetch_at_ = now;
    return;
  }
  const auto& sources = place_.sources;
  const bool is_source =
      std::find(sources.begin(), sources.end(), address) != sources.end();
  preferred_peer_ = is_source ? "" : address;
  if (now - last_failed_fetch_at_ >= kSourceRetryPeriod) {
    failed_fetches_ = 0;
  }
}

void PeerLink::OnFetched(const std::string& address,
                         uint64_t known_revision,
                         const std::optional<peer::FetchCatalogReply>& reply) {
  OnFetchResult(address, reply && reply->has_targets() &&
                             reply->age_ms() <= times_.maximum_age.count);
  if (!reply) {
    return;
  }
  PeerCatalog catalog = FromProto(*reply);
  if (reply->has_targets() && reply->targets_revision() == known_revision) {
    catalog.targets.reset();
    callbacks_.on_catalog_unchanged(catalog);
    AnswerHeldRequests();
  }
  const bool is_adopted = callbacks_.on_catalog(catalog);
  callbacks_.on_configuration_version(reply->version());
  if (is_adopted) {
    known_targets_revision_ = reply->targets_revision();
    known_targets_peer_ = address;
  } else if (catalog.targets) {
    // Changes against targets that were not adopted are of no use.
    known_targets_revision_ = 0;
    known_targets_peer_.clear();
  }
}

void PeerLink::ShareSuspects(const std::vector<forward::Suspect>& suspects) {
  peer::PiggybackedData data;
  for (const forward::Suspect& it : suspects) {
    *data.suspected.Add() = ToProto(it);
  }
  membership_.Broadcast(data);
}

void PeerLink::ReportLostTarget(const forward::TargetLoss& target,
                                uint64_t content_hash,
                                forward::LossAudience audience) {
  auto peers = membership_.Table().Reachable();
  peer::ReportDeathRequest request;
  request.set_target(target.process.id);
  request.set_started_at(target.process.started_at);
  request.set_service(target.service);
  request.set_failure_domain(target.failure_domain);
  if (content_hash != 0) {
    request.add_victims()->set_content_digest(content_hash);
  }
  const size_t n_receivers = audience == forward::LossAudience::kAllPeers
                                 ? peers.size()
                                 : std::min(kLossReportFanout, peers.size());
  for (size_t i = 0; i < n_receivers; ++i) {
    const size_t n = base::RandomNumber() % peers.size();
    client_.ReportDeath(peers[n].address, request);
    peers.erase(peers.begin() + static_cast<long>(n));
  }
}

}  // namespace daisypond::gateway
