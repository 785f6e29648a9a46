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

/// What the checking of answers counts.
enum class ResultCounter : uint8_t {
  kGenerationsStarted,
  kGenerationsWhole,
  kGenerationsRefused,
  kGenerationsLost,
  kGenerationsCondemned,
  kGenerationsUnfinished,
  kTokens,
  kTokensMissing,
  kTokensRepeated,
  kTokensMixed,
  kTokensCrossed,
  kDigestsWrong,
  kReconnects,
  kRestarts,
  kHandOvers,
  kStreamsCut,
  kPostings,
  kPostingsRan,
  kPostingsNotRun,
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

enum class LatencyKind : uint8_t {
  kFirstToken,
  kInterToken,
  /// Between the last token before a caller came back and the next new one.
  kReconnectResume,
  /// The longest wait between two tokens of one generation.
  kLongestGap,
  kPosting,
  kLookup,
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

/// Counts and latencies of a whole run. Thread-safe.
class Report {
 public:
  void Add(ResultCounter counter, int64_t n = 1);
  void Observe(LatencyKind kind, double milliseconds);
  void AddReason(const std::string& reason);
  void AddWorkspaceFirstToken(const std::string& workspace,
                              double milliseconds);

  int64_t Value(ResultCounter counter) const;

  /// Answers that no failure excuses: zero in every run.
  int64_t CorrectnessErrors() const;

  std::string ToText(double seconds) const;
  std::string ToJson(double seconds) const;

 private:
  std::array<std::atomic<int64_t>, kResultCounterNames.Size()> counters_{};
  std::array<base::Histogram, kLatencyKindNames.Size()> latencies_;
  mutable std::mutex mutex_;
  std::map<std::string, int64_t> reason_counts_;
  std::map<std::string, base::Histogram> first_token_by_workspace_;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_REPORT_H_
