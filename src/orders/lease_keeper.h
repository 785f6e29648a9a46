#ifndef DAISYPOND_ORDERS_LEASE_KEEPER_H_
#define DAISYPOND_ORDERS_LEASE_KEEPER_H_

#include <optional>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/metrics.h"
#include "orders/lease.h"
#include "store/table_message.h"

namespace daisypond::orders {

struct LeaseOptions {
  base::Millis duration{10'000};
  /// Upper bound of the time from sending an order to its arrival.
  base::Millis max_send_duration{1000};
  /// Orders must arrive at least this long before the lease ends, because
  /// clocks may run at different rates.
  base::Millis clock_drift_margin{1000};
};

enum class LeaseOutcome : uint8_t { kHeld, kHeldByOther, kStoreUnavailable };

/// Acquires and renews the lease that lets one instance send orders to one
/// target. The lease is a row in the table service. Its duration is measured
/// with the local clock only. A lease of this holder is taken to start before
/// the write that acquires it, and a lease of another holder is taken to start
/// after the read that returns it. Both choices are conservative: they shorten
/// this holder's lease and prolong the other holder's lease.
template <store::TableService Table>
class LeaseKeeper {
 public:
  LeaseKeeper(Table* table,
              std::string holder,
              std::string target,
              LeaseOptions options,
              base::Metrics* metrics)
      : table_(table),
        holder_(std::move(holder)),
        key_(LeaseKey(target)),
        options_(options),
        metrics_(metrics) {}

  /// Acquires the lease if it is free or has expired, renews it if it is held
  /// by this object, and otherwise leaves it to its holder. `clock` returns the
  /// local time.
  template <typename Clock>
  LeaseOutcome AcquireOrRenew(Clock clock) {
    const base::Millis lease_start = clock();
    const auto read = table_->Read({key_});
    if (!read.IsRead()) {
      return LeaseOutcome::kStoreUnavailable;
    }
    const store::Row& row = read.rows[0];
    const auto current = LeaseRowFromJson(row.value);
    if (row.version > 0 && !current) {
      return LeaseOutcome::kStoreUnavailable;
    }
    const bool is_own = current && current->nonce == nonce_;
    if (row.version == 0 || is_own) {
      return WriteLease(row.version,
                        is_own ? current->fencing_number : uint64_t{1},
                        lease_start);
    }
    held_until_.reset();
    ObserveOtherHolder(*current, clock());
    // The other holder may send orders until its lease ends, and its last order
    // may take max_send_duration to arrive.
    const base::Millis available_at =
        other_nonce_seen_at_ + current->duration + options_.max_send_duration;
    if (clock() < available_at) {
      return LeaseOutcome::kHeldByOther;
    }
    return WriteLease(row.version, current->fencing_number + 1, clock());
  }

  /// Returns true if an order sent at `now` arrives before the lease ends. Must
  /// be called again immediately before each order is sent.
  bool CanSendOrder(base::Millis now) const {
    return held_until_ &&
           now + options_.max_send_duration + options_.clock_drift_margin <=
               *held_until_;
  }

  /// The fencing number to send with each order. Valid only while the lease is
  /// held.
  uint64_t FencingNumber() const { return fencing_number_; }

 private:
  void ObserveOtherHolder(const LeaseRow& other, base::Millis now) {
    if (other.nonce != other_nonce_) {
      other_nonce_ = other.nonce;
      other_nonce_seen_at_ = now;
    }
  }

  LeaseOutcome WriteLease(uint64_t row_version,
                          uint64_t fencing_number,
                          base::Millis lease_start) {
    LeaseRow row;
    row.holder = holder_;
    row.fencing_number = fencing_number;
    row.duration = options_.duration;
    row.nonce = base::ToHex(base::RandomNumber());
    const auto written = table_->Transact({{key_, ToJson(row), row_version}});
    bool is_written = written.outcome == store::StoreOutcome::kCommitted;
    if (written.outcome == store::StoreOutcome::kUnknown) {
      // The store's reply was lost. The nonce shows whether the write took
      // effect.
      const auto read = table_->Read({key_});
      const auto current =
          read.IsRead() ? LeaseRowFromJson(read.rows[0].value) : std::nullopt;
      is_written = current && current->nonce == row.nonce;
    }
    if (!is_written) {
      return written.outcome == store::StoreOutcome::kConflict
                 ? LeaseOutcome::kHeldByOther
                 : LeaseOutcome::kStoreUnavailable;
    }
    const bool is_growing =
        metrics_->CheckInvariant(base::Invariant::kFencingNumberGrows,
                                 fencing_number >= fencing_number_);
    if (!is_growing) {
      return LeaseOutcome::kStoreUnavailable;
    }
    nonce_ = row.nonce;
    fencing_number_ = fencing_number;
    held_until_ = lease_start + options_.duration;
    return LeaseOutcome::kHeld;
  }

  Table* table_;
  std::string holder_;
  std::string key_;
  LeaseOptions options_;
  base::Metrics* metrics_;
  std::string nonce_;
  uint64_t fencing_number_ = 0;
  std::optional<base::Millis> held_until_;
  std::string other_nonce_;
  base::Millis other_nonce_seen_at_;
};

}  // namespace daisypond::orders

#endif  // DAISYPOND_ORDERS_LEASE_KEEPER_H_
