#include "gateway/peer_link.h"

#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/log.h"

namespace daisypond::gateway {

namespace {

constexpr base::Millis kFetchTimeout{400};
// A lost target is told to this many peers; each lost target is seen by
// several instances, so that the news reaches all with few messages.
constexpr size_t kTold = 12;

membership::PeerState SelfOf(const Settings& settings) {
  membership::PeerState self;
  self.instance = settings.instance;
  self.address = settings.peer_listen;
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.incarnation = static_cast<uint64_t>(base::Clock::UnixNow().count);
  return self;
}

peer::PeerClientOptions ClientOptions() {
  peer::PeerClientOptions options;
  options.credentials = grpc::InsecureChannelCredentials();
  return options;
}

peer::CatalogTarget ToMessage(const catalog::Target& target) {
  peer::CatalogTarget message;
  message.set_id(target.id);
  message.set_service(target.service);
  message.set_address(target.address);
  message.set_failure_domain(target.failure_domain);
  message.set_slots(target.slots);
  message.set_is_leaving(target.is_leaving);
  message.set_started_at(target.started_at);
  return message;
}

catalog::Target FromMessage(const peer::CatalogTarget& message) {
  catalog::Target target;
  target.id = message.id();
  target.service = message.service();
  target.address = message.address();
  target.failure_domain = message.failure_domain();
  target.slots = message.slots();
  target.is_leaving = message.is_leaving();
  target.started_at = message.started_at();
  return target;
}

PeerCatalog FromMessage(const peer::FetchCatalogReply& reply) {
  PeerCatalog catalog;
  catalog.configuration = reply.configuration();
  catalog.age = {reply.age_ms()};
  if (reply.has_targets()) {
    catalog.targets.emplace();
    for (const peer::CatalogTarget& it : reply.targets()) {
      catalog.targets->emplace(it.id(), FromMessage(it));
    }
  }
  return catalog;
}

}  // namespace

PeerLink::PeerLink(const Settings& settings,
                   base::Metrics* metrics,
                   PeerLinkHooks hooks)
    : hooks_(std::move(hooks)),
      seeds_(settings.seed_peers),
      client_(ClientOptions(), metrics),
      group_(SelfOf(settings), &client_, GroupHooksOf()),
      server_(settings.peer_listen,
              grpc::InsecureServerCredentials(),
              PartsOf()) {}

peer::GroupHooks PeerLink::GroupHooksOf() {
  peer::GroupHooks hooks;
  hooks.post = hooks_.post;
  hooks.configuration_version = hooks_.version;
  hooks.attach = [](peer::Attachments*) {};
  hooks.on_news = [](const peer::PeerState&, const peer::Attachments&) {};
  hooks.on_changed = [this] {
    hooks_.on_members(group_.Table().Reachable().size() + 1);
  };
  return hooks;
}

peer::PeerServerParts PeerLink::PartsOf() {
  peer::PeerServerParts parts;
  parts.post = hooks_.post;
  parts.on_exchange = [this](const peer::ExchangeRequest& request,
                             std::function<void(peer::ExchangeReply)> done) {
    group_.OnExchange(request, std::move(done));
  };
  parts.on_death = [this](const peer::ReportDeathRequest& request) {
    hooks_.on_target_lost(request.target());
  };
  parts.on_fetch_catalog = [this](const peer::FetchCatalogRequest& request) {
    return Answer(request);
  };
  return parts;
}

peer::FetchCatalogReply PeerLink::Answer(
    const peer::FetchCatalogRequest& request) {
  const PeerCatalog catalog = hooks_.catalog(request.known_version());
  peer::FetchCatalogReply reply;
  reply.set_version(hooks_.version());
  reply.set_configuration(catalog.configuration);
  reply.set_age_ms(catalog.age.count);
  reply.set_has_targets(catalog.targets.has_value());
  if (catalog.targets) {
    for (const auto& it : *catalog.targets) {
      *reply.add_targets() = ToMessage(it.second);
    }
  }
  return reply;
}

std::optional<std::string> PeerLink::ChoosePeer() {
  const auto peers = group_.Table().Reachable();
  if (peers.empty()) {
    return std::nullopt;
  }
  for (const membership::PeerState& it : peers) {
    if (it.address == source_) {
      return source_;
    }
  }
  return peers[base::RandomNumber() % peers.size()].address;
}

void PeerLink::Fetch() {
  if (is_fetching_ || !hooks_.needs_peers()) {
    return;
  }
  const std::optional<std::string> address = ChoosePeer();
  if (!address) {
    Contact();
    return;
  }
  is_fetching_ = true;
  client_.FetchCatalog(
      *address, hooks_.version(), kFetchTimeout,
      [this, address = *address](std::optional<peer::FetchCatalogReply> reply) {
        hooks_.post([this, address, reply = std::move(reply)] {
          is_fetching_ = false;
          // A peer whose own news are old is not asked twice in a row.
          source_ = reply && reply->age_ms() == 0 && reply->has_targets()
                        ? address
                        : "";
          if (reply) {
            hooks_.on_catalog(FromMessage(*reply));
          }
        });
      });
}

void PeerLink::TellLost(const std::string& target) {
  auto peers = group_.Table().Reachable();
  peer::ReportDeathRequest request;
  request.set_target(target);
  for (size_t i = 0; i < kTold && !peers.empty(); ++i) {
    const size_t n = base::RandomNumber() % peers.size();
    client_.ReportDeath(peers[n].address, request);
    peers.erase(peers.begin() + static_cast<long>(n));
  }
}

}  // namespace daisypond::gateway
