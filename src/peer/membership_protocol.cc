#include "peer/membership_protocol.h"

#include <memory>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "peer/convert.h"

namespace daisypond::peer {

namespace {

constexpr base::Millis kProbeTimeout{400};
constexpr base::Millis kHelperTimeout{800};
constexpr size_t kHelpers = 2;
constexpr size_t kMaximumChanges = 24;
// One whole table in this many probes, against news that got lost.
constexpr int kWholeTableRounds = 30;
constexpr int kDeadProbeRounds = 5;

}  // namespace

Group::Group(membership::PeerState self, PeerClient* client, GroupHooks hooks)
    : table_(std::move(self),
             membership::PeerTableOptions(),
             base::RandomNumber()),
      client_(client),
      hooks_(std::move(hooks)) {}

void Group::Contact(const std::vector<std::string>& addresses) {
  for (const std::string& it : addresses) {
    ContactOne(it);
  }
}

void Group::ContactOne(const std::string& address) {
  if (address == table_.Self().address) {
    return;
  }
  for (const membership::PeerState& it : table_.Reachable()) {
    if (it.address == address) {
      return;
    }
  }
  ExchangeRequest request = NextMessage();
  request.set_wants_all(true);
  for (const membership::PeerState& it : table_.All()) {
    // A peer that counts as dead here learns it and refutes.
    if (it.address == address) {
      *request.add_changes() = ToMessage(it);
    }
  }
  client_->Exchange(address, request, kProbeTimeout,
                    [this](std::optional<ExchangeReply> reply) {
                      hooks_.post([this, reply = std::move(reply)] {
                        if (reply) {
                          AbsorbNews(*reply);
                        }
                      });
                    });
}

template <typename Message>
void Group::Fill(Message* message) {
  table_.SetConfigurationVersion(hooks_.configuration_version());
  *message->mutable_sender() = ToMessage(table_.Self());
  Attachments attachments;
  hooks_.attach(&attachments);
  *message->mutable_condemned() = std::move(attachments.condemned);
  *message->mutable_targets() = std::move(attachments.targets);
}

ExchangeRequest Group::NextMessage() {
  ExchangeRequest request;
  Fill(&request);
  for (const membership::PeerState& it : table_.TakeChanges(kMaximumChanges)) {
    *request.add_changes() = ToMessage(it);
  }
  return request;
}

void Group::Probe() {
  table_.ProcessTimeouts(base::Clock::Now());
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
  hooks_.on_changed();
  if (!peer) {
    return;
  }
  ExchangeRequest request = NextMessage();
  request.set_wants_all(rounds_ % kWholeTableRounds == 1);
  *request.add_changes() = ToMessage(*peer);
  client_->Exchange(peer->address, request, kProbeTimeout,
                    [this, peer = *peer](std::optional<ExchangeReply> reply) {
                      hooks_.post([this, peer, reply = std::move(reply)] {
                        if (reply) {
                          OnProbeResult(peer, reply);
                        } else {
                          ProbeThroughHelpers(peer);
                        }
                      });
                    });
}

void Group::ProbeThroughHelpers(const membership::PeerState& peer) {
  const auto helpers = table_.IndirectProbers(peer.instance, kHelpers);
  if (helpers.empty()) {
    OnProbeResult(peer, std::nullopt);
    return;
  }
  auto open = std::make_shared<size_t>(helpers.size());
  auto is_answered = std::make_shared<bool>(false);
  ExchangeRequest request = NextMessage();
  request.set_probe_address(peer.address);
  for (const membership::PeerState& it : helpers) {
    client_->Exchange(
        it.address, request, kHelperTimeout,
        [this, peer, open,
         is_answered](const std::optional<ExchangeReply>& reply) {
          const bool has_answer = reply && reply->is_probe_answered();
          hooks_.post([this, peer, open, is_answered, has_answer] {
            *is_answered = *is_answered || has_answer;
            if (--*open == 0 && !*is_answered) {
              OnProbeResult(peer, std::nullopt);
            }
          });
        });
  }
}

void Group::OnProbeResult(const membership::PeerState& peer,
                          const std::optional<ExchangeReply>& reply) {
  const base::Millis now = base::Clock::Now();
  if (!reply) {
    table_.OnProbeFailed(peer.instance, now);
    hooks_.on_changed();
    return;
  }
  table_.OnProbeAnswered(peer.instance, now);
  AbsorbNews(*reply);
}

void Group::Absorb(const PeerState& message) {
  const membership::PeerState state = FromMessage(message);
  if (state.instance.empty() || state.address.empty()) {
    return;
  }
  table_.ApplyUpdate(state, base::Clock::Now());
}

template <typename Message>
void Group::AbsorbNews(const Message& message) {
  Absorb(message.sender());
  table_.OnProbeAnswered(message.sender().instance(), base::Clock::Now());
  for (const PeerState& it : message.changes()) {
    Absorb(it);
  }
  hooks_.on_news(message.sender(),
                 Attachments{message.condemned(), message.targets()});
  hooks_.on_changed();
}

void Group::OnExchange(const ExchangeRequest& request,
                       std::function<void(ExchangeReply)> done) {
  AbsorbNews(request);
  ExchangeReply reply;
  Fill(&reply);
  const auto changes =
      request.wants_all() ? table_.All() : table_.TakeChanges(kMaximumChanges);
  for (const membership::PeerState& it : changes) {
    *reply.add_changes() = ToMessage(it);
  }
  if (request.probe_address().empty()) {
    done(std::move(reply));
    return;
  }
  client_->Exchange(request.probe_address(), NextMessage(), kProbeTimeout,
                    [reply, done = std::move(done)](
                        const std::optional<ExchangeReply>& answer) mutable {
                      reply.set_is_probe_answered(answer.has_value());
                      done(std::move(reply));
                    });
}

void Group::Leave() {
  table_.SetLeaving();
  for (const membership::PeerState& it : table_.Reachable()) {
    client_->Exchange(it.address, NextMessage(), kProbeTimeout,
                      [](const std::optional<ExchangeReply>&) {});
  }
}

std::vector<membership::PeerState> Group::Reachable() {
  table_.SetConfigurationVersion(hooks_.configuration_version());
  return table_.Reachable();
}

}  // namespace daisypond::peer
