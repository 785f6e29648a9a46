#include "gateway/shared_request_limit.h"

#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace daisypond::gateway {

namespace {

// Timeout of a call to a holder, which allows several network round trips.
constexpr base::Millis kCallTimeout{100};
// How long a target is left alone after the holder of its permits did not
// answer. The membership protocol finds a new holder within some seconds.
constexpr base::Millis kWaitAfterFailure{300};

}  // namespace

std::string SelectPermitHolder(
    const std::string& target,
    const membership::PeerState& self,
    const std::vector<membership::PeerState>& peers) {
  const uint64_t seed = base::Hash(target);
  std::string holder = self.address;
  uint64_t best = self.status == membership::PeerStatus::kAlive
                      ? base::Hash(self.instance, seed)
                      : 0;
  for (const membership::PeerState& it : peers) {
    const uint64_t rank = base::Hash(it.instance, seed);
    if (it.status == membership::PeerStatus::kAlive && rank > best) {
      best = rank;
      holder = it.address;
    }
  }
  return holder;
}

void SharedRequestLimit::TakePermit(const forward::TargetProcess& target,
                                    double limit,
                                    PermitCallback done) {
  const auto& table = membership_->Table();
  const std::string holder =
      SelectPermitHolder(target.id, table.Self(), table.Reachable());
  if (holder == table.Self().address) {
    done(pool_.Take(target, limit, base::Clock::Now()));
    return;
  }
  peer::TakePermitRequest request;
  request.set_target(target.id);
  request.set_started_at(target.started_at);
  request.set_limit(limit);
  client_->TakePermit(
      holder, request, kCallTimeout,
      [target, holder,
       done = std::move(done)](std::optional<peer::TakePermitReply> reply) {
        if (!reply) {
          base::Log(base::LogLevel::kWarning, "permit_holder_silent",
                    {{"target", target.id}, {"holder", holder}});
          done({false, kWaitAfterFailure});
          return;
        }
        done({reply->is_granted(), {reply->wait_ms()}});
      });
}

forward::RequestPermit SharedRequestLimit::Grant(
    const peer::TakePermitRequest& request) {
  return pool_.Take({request.target(), request.started_at()}, request.limit(),
                    base::Clock::Now());
}

}  // namespace daisypond::gateway
