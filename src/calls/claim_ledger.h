#ifndef DAISYPOND_CALLS_CLAIM_LEDGER_H_
#define DAISYPOND_CALLS_CLAIM_LEDGER_H_

#include <string>
#include <utility>

#include "base/clock.h"
#include "base/hash.h"
#include "base/metrics.h"
#include "calls/claim.h"
#include "calls/group_committer.h"
#include "store/table_message.h"

namespace daisypond::calls {

/// Grants the right to dispatch a non-idempotent call, at most once for each
/// idempotency key in the whole deployment. A claim is a conditional write to
/// the table service. No instance takes over the claim of another instance.
template <store::TableService Table>
class ClaimLedger {
 public:
  ClaimLedger(Table* table,
              std::string claimer,
              GroupCommitterOptions options,
              base::Metrics* metrics)
      : table_(table),
        claimer_(std::move(claimer)),
        metrics_(metrics),
        committer_(table, options, metrics) {}

  ClaimResult Acquire(const ClaimRequest& request) {
    metrics_->Add(base::Counter::kClaims);
    // A first attempt usually finds no row, so it inserts one without reading
    // first.
    if (!request.attempt.IsFirst()) {
      ClaimResult found = ReadClaim(request);
      if (found.outcome != ClaimOutcome::kGranted) {
        return found;
      }
      return InsertClaim(request, found.claim.RowVersion());
    }
    ClaimResult inserted = InsertClaim(request, 0);
    if (inserted.outcome != ClaimOutcome::kInProgress) {
      return inserted;
    }
    ClaimResult found = ReadClaim(request);
    if (found.outcome != ClaimOutcome::kGranted) {
      return found;
    }
    return InsertClaim(request, found.claim.RowVersion());
  }

  /// Stores the answer of a dispatched call for later attempts with the same
  /// key.
  store::StoreOutcome RecordAnswer(const Claim& claim,
                                   const CallAnswer& answer) {
    ClaimRow row = claim.Row();
    row.state = ClaimState::kDone;
    row.answer = answer;
    return committer_.Write(
        {claim.Request().table_key, ToJson(row), claim.RowVersion()});
  }

  /// Marks the key of a call that was never dispatched as abandoned. Only if
  /// this returns kCommitted does the verdict `not_run` hold for every attempt
  /// with the key so far.
  store::StoreOutcome Abandon(const Claim& claim) {
    const bool may_abandon = metrics_->CheckInvariant(
        base::Invariant::kNotRunNeverDispatched, !claim.IsDispatched());
    if (!may_abandon) {
      return store::StoreOutcome::kNotReached;
    }
    ClaimRow row = claim.Row();
    row.state = ClaimState::kAbandoned;
    return committer_.Write(
        {claim.Request().table_key, ToJson(row), claim.RowVersion()});
  }

 private:
  /// Writes a claim. Returns kInProgress if the version of the stored row is
  /// not `expected_version`.
  ClaimResult InsertClaim(const ClaimRequest& request,
                          uint64_t expected_version) {
    ClaimRow row;
    row.body_digest = request.body_digest;
    row.nonce = base::ToHex(base::RandomNumber());
    row.claimer = claimer_;
    row.attempt = request.attempt;
    const auto outcome =
        committer_.Write({request.table_key, ToJson(row), expected_version});
    ClaimResult result;
    if (outcome == store::StoreOutcome::kCommitted) {
      result.outcome = ClaimOutcome::kGranted;
      result.claim = Claim(request, std::move(row), expected_version + 1);
    } else if (outcome == store::StoreOutcome::kConflict) {
      result.outcome = ClaimOutcome::kInProgress;
    } else {
      result.outcome = ClaimOutcome::kStoreUnavailable;
    }
    return result;
  }

  /// Reads the row of the key. Returns kGranted if this request may claim the
  /// key; the version of the row to overwrite is then in ClaimResult::claim.
  ClaimResult ReadClaim(const ClaimRequest& request) {
    ClaimResult result;
    const auto read = table_->Read({request.table_key});
    if (!read.IsRead()) {
      return result;
    }
    const uint64_t version = read.rows[0].version;
    const auto row = ClaimRowFromJson(read.rows[0].value);
    if (version == 0) {
      result.outcome = ClaimOutcome::kGranted;
      return result;
    }
    if (!row || row->body_digest != request.body_digest) {
      result.outcome = ClaimOutcome::kBodyMismatch;
      return result;
    }
    switch (row->state) {
      case ClaimState::kDone:
        result.outcome = ClaimOutcome::kRecorded;
        result.answer = row->answer;
        return result;
      case ClaimState::kClaimed:
        result.outcome = ClaimOutcome::kInProgress;
        return result;
      case ClaimState::kAbandoned:
        break;
    }
    // The caller may have been told that no attempt up to the abandoned one
    // ran, so a delayed earlier attempt must not run now. Only an attempt with
    // a higher number may claim the key again.
    const bool is_later =
        request.attempt.value > row->attempt.value && row->attempt.value > 0;
    result.outcome =
        is_later ? ClaimOutcome::kGranted : ClaimOutcome::kAbandoned;
    result.claim = Claim(request, *row, version);
    return result;
  }

  Table* table_;
  std::string claimer_;
  base::Metrics* metrics_;
  GroupCommitter<Table> committer_;
};

}  // namespace daisypond::calls

#endif  // DAISYPOND_CALLS_CLAIM_LEDGER_H_
