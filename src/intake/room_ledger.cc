#include "intake/room_ledger.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace daisypond::intake {

namespace {

constexpr base::Millis kMinimumRetryAfter{1000};
constexpr base::Millis kRetryAfterStep{125};
constexpr int64_t kRetryAfterSteps = 8;

template <typename Enum>
constexpr size_t IndexOf(Enum value) {
  return static_cast<size_t>(value);
}

constexpr size_t Minus(size_t a, size_t b) {
  return a > b ? a - b : 0;
}

}  // namespace

HolderId RoomLedger::Add(RoomKind kind, std::string owner, base::Millis now) {
  Holder holder;
  holder.kind = kind;
  holder.owner = owners_.try_emplace(std::move(owner)).first;
  holder.progress_at = now;
  ++holder.owner->second.n;
  holders_.emplace(++last_id_, holder);
  return last_id_;
}

RoomDecision RoomLedger::Resize(HolderId id, size_t bytes, base::Millis now) {
  Holder& holder = holders_.at(id);
  const bool has_waited = holder.shortage != Shortage::kNone;
  const Shortage shortage = ShortageFor(holder, bytes);
  if (shortage == Shortage::kNone) {
    if (has_waited) {
      holder.progress_at = now;
      EndWait(&holder);
    }
    SubtractBytes(holder);
    holder.bytes = bytes;
    AddBytes(holder);
    return RoomDecision::kGranted;
  }
  const bool may_wait = has_waited
                            ? now - holder.waits_since < plan_.maximum_wait
                            : MayBeginToWait(holder.owner->second);
  if (bytes > plan_.largest_bytes || !may_wait) {
    EndWait(&holder);
    ++counts_.refused;
    return RoomDecision::kRefused;
  }
  if (!has_waited) {
    holder.waits_since = now;
    ++counts_.waited;
  }
  SetWait(&holder, shortage, bytes - holder.bytes);
  return RoomDecision::kWait;
}

void RoomLedger::OnProgress(HolderId id, size_t n, base::Millis now) {
  Holder& holder = holders_.at(id);
  holder.progress += n;
  if (holder.progress >= plan_.progress_bytes) {
    holder.progress = 0;
    holder.progress_at = now;
  }
}

void RoomLedger::SetPace(HolderId id, RoomPace pace, base::Millis now) {
  Holder& holder = holders_.at(id);
  holder.pace = pace;
  holder.progress = 0;
  holder.progress_at = now;
}

void RoomLedger::Remove(HolderId id) {
  const auto it = holders_.find(id);
  Holder& holder = it->second;
  EndWait(&holder);
  SubtractBytes(holder);
  if (--holder.owner->second.n == 0) {
    owners_.erase(holder.owner);
  }
  holders_.erase(it);
}

std::optional<HolderId> RoomLedger::NextToClose(base::Millis now) {
  if (closed_bytes_ >= wanted_bytes_) {
    return std::nullopt;
  }
  // Of the owner that holds most, the largest: the fewest callers are closed.
  const auto rank = [](const Holder& it) {
    const SizeBytes& held = it.owner->second.held;
    return std::tuple(std::accumulate(held.begin(), held.end(), size_t{0}),
                      it.bytes, base::Millis{} - it.progress_at);
  };
  auto best = holders_.end();
  for (auto it = holders_.begin(); it != holders_.end(); ++it) {
    if (MayClose(it->second, now) &&
        (best == holders_.end() || rank(it->second) > rank(best->second))) {
      best = it;
    }
  }
  if (best == holders_.end()) {
    return std::nullopt;
  }
  best->second.is_closing = true;
  closed_bytes_ += best->second.bytes;
  ++counts_.closed;
  return best->first;
}

size_t RoomLedger::Held() const {
  return std::accumulate(held_.begin(), held_.end(), size_t{0});
}

base::Millis RoomLedger::RetryAfter() const {
  return kMinimumRetryAfter +
         kRetryAfterStep * (counts_.refused % kRetryAfterSteps);
}

void RoomLedger::AddBytes(const Holder& holder) {
  const size_t size = IndexOf(SizeOf(holder.bytes));
  const size_t n = holder.bytes > 0 ? 1 : 0;
  held_[IndexOf(holder.kind)] += holder.bytes;
  held_by_size_[size] += holder.bytes;
  holders_by_size_[size] += n;
  Owner& owner = holder.owner->second;
  owner.held[size] += holder.bytes;
  owner.holders[size] += n;
}

void RoomLedger::SubtractBytes(const Holder& holder) {
  const size_t size = IndexOf(SizeOf(holder.bytes));
  const size_t n = holder.bytes > 0 ? 1 : 0;
  held_[IndexOf(holder.kind)] -= holder.bytes;
  held_by_size_[size] -= holder.bytes;
  holders_by_size_[size] -= n;
  Owner& owner = holder.owner->second;
  owner.held[size] -= holder.bytes;
  owner.holders[size] -= n;
}

RoomLedger::Shortage RoomLedger::ShortageFor(const Holder& holder,
                                             size_t bytes) const {
  if (bytes <= holder.bytes) {
    return Shortage::kNone;
  }
  const Size size = SizeOf(bytes);
  const size_t lane = IndexOf(size);
  const bool is_in_lane = holder.bytes > 0 && SizeOf(holder.bytes) == size;
  const size_t own = is_in_lane ? holder.bytes : 0;
  const size_t n_own = is_in_lane ? 1 : 0;
  const Owner& owner = holder.owner->second;
  const size_t others = Held() - holder.bytes;
  const size_t others_in_lane = held_by_size_[lane] - own;
  const size_t owner_in_lane = owner.held[lane] - own;
  const bool fits_total = others + bytes <= plan_.total_bytes;
  size_t pool = 0;
  if (size == Size::kLarge && IsBehindOthers(holder)) {
    return owner.n_waiting > 0 ? Shortage::kShare : Shortage::kTotal;
  }
  if (size == Size::kSmall) {
    if (!fits_total && others_in_lane + bytes > plan_.small_reserve_bytes) {
      return Shortage::kTotal;
    }
    pool = std::max(Minus(plan_.total_bytes, others),
                    Minus(plan_.small_reserve_bytes, others_in_lane));
  } else {
    const size_t room = plan_.total_bytes - plan_.small_reserve_bytes;
    const bool is_only = holders_by_size_[lane] == n_own;
    const bool fits = is_only ? bytes <= plan_.largest_bytes
                              : fits_total && others_in_lane + bytes <= room;
    if (!fits) {
      return Shortage::kTotal;
    }
    pool = Minus(room, others_in_lane);
  }
  // `pool` is what the holders other than this one leave; what the other owners
  // leave includes what this owner holds elsewhere.
  const bool is_only_of_owner = owner.holders[lane] == n_own;
  return is_only_of_owner || owner_in_lane + bytes <= (pool + owner_in_lane) / 2
             ? Shortage::kNone
             : Shortage::kShare;
}

bool RoomLedger::IsBehindOthers(const Holder& holder) const {
  return holder.bytes == 0 && holder.shortage == Shortage::kNone &&
         (n_waiting_for_total_ > 0 || holder.owner->second.n_waiting > 0);
}

bool RoomLedger::MayBeginToWait(const Owner& owner) const {
  const size_t others = n_waiting_ - owner.n_waiting;
  return n_waiting_ < plan_.maximum_waiting &&
         owner.n_waiting < (plan_.maximum_waiting - others + 1) / 2;
}

void RoomLedger::SetWait(Holder* holder, Shortage shortage, size_t wanted) {
  CountWait(*holder, -1);
  holder->shortage = shortage;
  holder->wanted = wanted;
  CountWait(*holder, 1);
}

void RoomLedger::EndWait(Holder* holder) {
  closed_bytes_ = Minus(closed_bytes_, holder->wanted);
  SetWait(holder, Shortage::kNone, 0);
  if (n_waiting_ == 0) {
    closed_bytes_ = 0;
  }
}

void RoomLedger::CountWait(const Holder& holder, int sign) {
  if (holder.shortage == Shortage::kNone) {
    return;
  }
  wanted_bytes_ += sign * holder.wanted;
  n_waiting_ += sign;
  n_waiting_for_total_ += holder.shortage == Shortage::kTotal ? sign : 0;
  holder.owner->second.n_waiting += sign;
}

bool RoomLedger::MayClose(const Holder& holder, base::Millis now) const {
  return !holder.is_closing && holder.shortage == Shortage::kNone &&
         holder.pace == RoomPace::kCaller && holder.bytes > 0 &&
         now - holder.progress_at >= plan_.stall_time &&
         (n_waiting_for_total_ > 0 || holder.owner->second.n_waiting > 0);
}

}  // namespace daisypond::intake
