#ifndef DAISYPOND_CALLS_CLAIM_H_
#define DAISYPOND_CALLS_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/name_table.h"
#include "base/verdict.h"

namespace daisypond::calls {

/// The life of a non-idempotent call's row. A row never leaves kDone; only
/// the claimer itself moves a row to kDone or, when it knows that it has not
/// dispatched the call, to kAbandoned.
enum class ClaimState : uint8_t { kClaimed, kDone, kAbandoned };

inline constexpr base::NameTable<ClaimState, 3> kClaimStateNames("claimed",
                                                                 "done",
                                                                 "abandoned");

/// The answer of a service, as it is kept for repeats.
struct CallAnswer {
  int status = 0;
  std::string body;
};

/// The row of one idempotency key.
struct ClaimRow {
  ClaimState state = ClaimState::kClaimed;
  uint64_t body_digest = 0;
  /// Chosen by the claimer, to recognise its own write after a lost answer.
  std::string nonce;
  std::string claimer;
  base::AttemptNumber attempt;
  CallAnswer answer;
};

std::string ToJson(const ClaimRow& row);
std::optional<ClaimRow> ClaimRowFromJson(const std::string& text);

/// The table key of a call's row.
std::string ClaimKey(const std::string& workspace,
                     const std::string& idempotency_key);

/// A request to run a call at most once.
struct ClaimRequest {
  std::string table_key;
  uint64_t body_digest = 0;
  base::AttemptNumber attempt;
};

enum class ClaimOutcome : uint8_t {
  /// This instance alone may dispatch the call, once.
  kGranted,
  /// The call has run; its answer is at hand.
  kRecorded,
  /// Another try has claimed the call and its outcome is not known.
  kInProgress,
  /// The key is dead: no try of it has run, and this one must not.
  kAbandoned,
  kBodyMismatch,
  kStoreUnavailable,
};

/// The right to dispatch a call. Held by one thread.
class Claim {
 public:
  Claim() = default;
  Claim(ClaimRequest request, ClaimRow row, uint64_t row_version)
      : request_(std::move(request)),
        row_(std::move(row)),
        row_version_(row_version) {}

  /// Uses the right up. False when it was used before.
  bool MarkDispatched() {
    const bool is_first = !is_dispatched_;
    is_dispatched_ = true;
    return is_first;
  }

  /// Gives the right back when no byte of the call left this process.
  void MarkNotSent() { is_dispatched_ = false; }

  bool IsDispatched() const { return is_dispatched_; }
  const ClaimRequest& Request() const { return request_; }
  const ClaimRow& Row() const { return row_; }
  uint64_t RowVersion() const { return row_version_; }

 private:
  ClaimRequest request_;
  ClaimRow row_;
  uint64_t row_version_ = 0;
  bool is_dispatched_ = false;
};

struct ClaimResult {
  ClaimOutcome outcome = ClaimOutcome::kStoreUnavailable;
  /// For kGranted.
  Claim claim;
  /// For kRecorded.
  CallAnswer answer;
};

}  // namespace daisypond::calls

#endif  // DAISYPOND_CALLS_CLAIM_H_
