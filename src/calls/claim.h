#ifndef DAISYPOND_CALLS_CLAIM_H_
#define DAISYPOND_CALLS_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/name_table.h"
#include "base/verdict.h"

namespace daisypond::calls {

/// State of the table row of a non-idempotent call. kDone is final. Only the
/// instance that wrote the claim may change the row to kDone, or to kAbandoned
/// if it has not dispatched the call.
enum class ClaimState : uint8_t { kClaimed, kDone, kAbandoned };

inline constexpr base::NameTable<ClaimState, 3> kClaimStateNames("claimed",
                                                                 "done",
                                                                 "abandoned");

/// The answer of a service, stored for repeated attempts of the call.
struct CallAnswer {
  int status = 0;
  std::string body;
};

/// The table row that claims one idempotency key.
struct ClaimRow {
  ClaimState state = ClaimState::kClaimed;
  uint64_t body_digest = 0;
  /// Random value by which the claiming instance recognises its own write when
  /// the store's reply was lost.
  std::string nonce;
  /// The instance that wrote the claim.
  std::string claimer;
  base::AttemptNumber attempt;
  CallAnswer answer;
};

std::string ToJson(const ClaimRow& row);
std::optional<ClaimRow> ClaimRowFromJson(const std::string& text);

/// Returns the table key of a call's row.
std::string ClaimKey(const std::string& workspace,
                     const std::string& idempotency_key);

/// A request for the right to dispatch a call that must run at most once.
struct ClaimRequest {
  std::string table_key;
  uint64_t body_digest = 0;
  base::AttemptNumber attempt;
};

enum class ClaimOutcome : uint8_t {
  /// This instance, and no other, may dispatch the call once.
  kGranted,
  /// The call has already run, and its answer is in ClaimResult::answer.
  kRecorded,
  /// Another attempt has claimed the call, and its outcome is not known.
  kInProgress,
  /// The key was abandoned before any attempt ran. This attempt must not run.
  kAbandoned,
  /// The key was used for a call with a different body.
  kBodyMismatch,
  kStoreUnavailable,
};

/// The right to dispatch one call a single time. Not thread-safe.
class Claim {
 public:
  Claim() = default;
  Claim(ClaimRequest request, ClaimRow row, uint64_t row_version)
      : request_(std::move(request)),
        row_(std::move(row)),
        row_version_(row_version) {}

  /// Uses up the right to dispatch. Returns false if it was already used up.
  bool MarkDispatched() {
    const bool is_first = !is_dispatched_;
    is_dispatched_ = true;
    return is_first;
  }

  /// Restores the right to dispatch. Allowed only if no byte of the call has
  /// left this process.
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
  /// Set if the outcome is kGranted.
  Claim claim;
  /// Set if the outcome is kRecorded.
  CallAnswer answer;
};

}  // namespace daisypond::calls

#endif  // DAISYPOND_CALLS_CLAIM_H_
