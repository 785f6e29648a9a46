#include "gateway/shared_slots.h"

#include <utility>

#include "base/log.h"
#include "gateway/shared_request_limit.h"

namespace daisypond::gateway {

namespace {

// Timeout of a call to a holder, which allows several network round trips.
constexpr base::Millis kCallTimeout{100};
// How long a target is left alone after the holder of its slots did not answer.
// The membership protocol finds a new holder within some seconds.
constexpr base::Millis kWaitAfterFailure{300};

forward::SlotOutcome OutcomeOf(const peer::ReturnSlotRequest& request) {
  return request.outcome() < forward::kSlotOutcomeNames.Size()
             ? static_cast<forward::SlotOutcome>(request.outcome())
             : forward::SlotOutcome::kUsed;
}

}  // namespace

SharedSlots::SharedSlots(const peer::MembershipProtocol* membership_protocol,
                         peer::PeerClient* client,
                         Post post)
    : membership_(membership_protocol),
      client_(client),
      post_(std::move(post)) {}

std::string SharedSlots::HolderOf(const std::string& target) const {
  const auto& table = membership_->Table();
  return SelectPermitHolder(target, table.Self(), table.Reachable());
}

void SharedSlots::Take(const forward::SlotRequest& request, SlotCallback done) {
  const std::string holder = HolderOf(request.target.id);
  lease_holders_[request.lease_id] = holder;
  if (holder == membership_->Table().Self().address) {
    const forward::RequestPermit permit =
        guard_.Take(request, base::Clock::Now());
    if (!permit.is_granted) {
      lease_holders_.erase(request.lease_id);
    }
    done(permit);
    return;
  }
  peer::TakeSlotRequest message;
  message.set_target(request.target.id);
  message.set_started_at(request.target.started_at);
  message.set_lease(request.lease_id);
  message.set_rejection_limit(request.rejection_limit);
  message.set_slots(request.slots);
  message.set_duration_ms(request.duration.count);
  client_->TakeSlot(holder, message, kCallTimeout,
                    [this, request, done = std::move(done)](
                        std::optional<peer::TakeSlotReply> reply) {
                      post_([this, request, done, reply = std::move(reply)] {
                        OnAnswer(request, reply, done);
                      });
                    });
}

void SharedSlots::OnAnswer(const forward::SlotRequest& request,
                           const std::optional<peer::TakeSlotReply>& reply,
                           const SlotCallback& done) {
  if (!reply) {
    base::Log(base::LogLevel::kWarning, "permit_holder_silent",
              {{"target", request.target.id},
               {"holder", lease_holders_[request.lease_id]}});
    // The holder may have leased the slot.
    Return({request.target, request.lease_id, request.rejection_limit,
            forward::SlotOutcome::kUnused});
    done({false, kWaitAfterFailure});
    return;
  }
  if (!reply->is_granted()) {
    lease_holders_.erase(request.lease_id);
  }
  done({reply->is_granted(), {reply->wait_ms()}});
}

void SharedSlots::Return(const forward::SlotReturn& slot) {
  const auto lease = lease_holders_.extract(slot.lease_id);
  const std::string holder =
      lease.empty() ? HolderOf(slot.target.id) : lease.mapped();
  if (holder == membership_->Table().Self().address) {
    guard_.Return(slot, base::Clock::Now());
    return;
  }
  peer::ReturnSlotRequest message;
  message.set_target(slot.target.id);
  message.set_started_at(slot.target.started_at);
  message.set_lease(slot.lease_id);
  message.set_rejection_limit(slot.rejection_limit);
  message.set_outcome(static_cast<uint32_t>(slot.outcome));
  client_->ReturnSlot(holder, message, kCallTimeout);
}

forward::RequestPermit SharedSlots::Grant(
    const peer::TakeSlotRequest& request) {
  forward::SlotRequest slot;
  slot.target = {request.target(), request.started_at()};
  slot.lease_id = request.lease();
  slot.rejection_limit = request.rejection_limit();
  slot.slots = request.slots();
  slot.duration = {request.duration_ms()};
  return guard_.Take(slot, base::Clock::Now());
}

void SharedSlots::TakeBack(const peer::ReturnSlotRequest& request) {
  guard_.Return({{request.target(), request.started_at()},
                 request.lease(),
                 request.rejection_limit(),
                 OutcomeOf(request)},
                base::Clock::Now());
}

}  // namespace daisypond::gateway
