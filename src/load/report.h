#ifndef DAISYPOND_LOAD_REPORT_H_
#define DAISYPOND_LOAD_REPORT_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/histogram.h"
#include "base/name_table.h"

namespace daisypond::load {

/// Counters of a load run. A posting is a service call that must not run more
/// than once per key; a lookup is an idempotent service call.
enum class ResultCounter : uint8_t {
  kGenerationsStarted,
  /// Generations that were received to the end.
  kGenerationsWhole,
  /// Generations that ended with an error response, because it allowed no retry
  /// or no attempts were left.
  kGenerationsRefused,
  /// Generations that ended with the reason `generation_lost` and were repeated
  /// with a new key.
  kGenerationsLost,
  /// Generations that were refused with the reason `condemned`.
  kGenerationsCondemned,
  /// Generations that were not complete within the maximum number of attempts
  /// and the time limit.
  kGenerationsUnfinished,
  kTokens,
  kTokensMissing,
  kTokensRepeated,
  /// Tokens of another generation of the same request. Each token contains the
  /// nonce of its generation and a digest of the earlier tokens; a token is
  /// counted if either does not match the tokens that the caller received.
  kTokensMixed,
  /// Tokens that belong to another request or are malformed.
  kTokensCrossed,
  /// Event ids with a wrong index or digest.
  kDigestsWrong,
  /// Requests that a caller repeated for the same generation.
  kReconnects,
  /// Generations that the server restarted from token 0.
  kRestarts,
  /// Streams that an instance handed over to another instance.
  kHandOvers,
  /// Connections that closed before the end of the stream.
  kStreamsCut,
  kPostings,
  kPostingsRan,
  kPostingsNotRun,
  /// Postings whose caller does not know whether they ran.
  kPostingsMayHaveRun,
  kLookups,
  kLookupsAnswered,
};

inline constexpr base::NameTable<ResultCounter, 22> kResultCounterNames(
    "generations_started",
    "generations_whole",
    "generations_refused",
    "generations_lost",
    "generations_condemned",
    "generations_unfinished",
    "tokens",
    "missing",
    "repeated",
    "mixed",
    "crossed",
    "digests_wrong",
    "reconnects",
    "restarts",
    "handovers",
    "streams_cut",
    "postings",
    "postings_ran",
    "postings_not_run",
    "postings_may_have_run",
    "lookups",
    "lookups_answered");

/// Latencies of a load run, in milliseconds.
enum class LatencyKind : uint8_t {
  kFirstToken,
  kInterToken,
  /// From the last token before a reconnect to the first token after it.
  kReconnectResume,
  /// The longest time between two consecutive tokens of a generation.
  kLongestGap,
  kPosting,
  kLookup,
  /// From the start of an attempt to the error response that ends the
  /// generation.
  kRefusal,
};

inline constexpr base::NameTable<LatencyKind, 7> kLatencyKindNames(
    "first_token_ms",
    "inter_token_ms",
    "reconnect_resume_ms",
    "longest_gap_ms",
    "posting_ms",
    "lookup_ms",
    "refusal_ms");

/// Counters and latencies of a load run. Thread-safe.
class Report {
 public:
  void Add(ResultCounter counter, int64_t n = 1);
  void Observe(LatencyKind kind, double milliseconds);
  /// Counts an error response by its reason.
  void CountErrorReason(const std::string& reason);
  /// Adds the time to the first token to the histogram of the workspace.
  void ObserveWorkspaceFirstToken(const std::string& workspace,
                                  double milliseconds);

  int64_t Value(ResultCounter counter) const;

  /// Number of missing, repeated, mixed and crossed tokens and wrong digests.
  /// Must be 0 in every run, also in runs with injected failures.
  int64_t CorrectnessErrors() const;

  std::string ToText(double seconds) const;
  std::string ToJson(double seconds) const;

 private:
  std::array<std::atomic<int64_t>, kResultCounterNames.Size()> counters_{};
  std::array<base::Histogram, kLatencyKindNames.Size()> latencies_;
  mutable std::mutex mutex_;
  /// Error responses by reason.
  std::map<std::string, int64_t> reason_counts_;
  std::map<std::string, base::Histogram> first_token_by_workspace_;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_REPORT_H_
