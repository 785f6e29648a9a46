#ifndef DAISYPOND_ORDERS_LEASE_H_
#define DAISYPOND_ORDERS_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"

namespace daisypond::orders {

/// The table row that names the instance that may send orders to a target. An
/// order tells the target which state to enter.
struct LeaseRow {
  std::string holder;
  /// Grows with each change of holder. Targets that check fencing numbers
  /// refuse an order whose number is lower than that of an earlier order.
  uint64_t fencing_number = 0;
  base::Millis duration;
  /// Random value, new for each write, by which the holder recognises its own
  /// write when the store's reply was lost.
  std::string nonce;
  /// The state that the target should be in: "MODEL:VERSION", or empty.
  std::string wanted_state;
};

std::string ToJson(const LeaseRow& row);
std::optional<LeaseRow> LeaseRowFromJson(const std::string& text);

/// Returns the table key of a target's lease.
std::string LeaseKey(const std::string& target);

}  // namespace daisypond::orders

#endif  // DAISYPOND_ORDERS_LEASE_H_
