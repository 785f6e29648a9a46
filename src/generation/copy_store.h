#ifndef DAISYPOND_GENERATION_COPY_STORE_H_
#define DAISYPOND_GENERATION_COPY_STORE_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "base/name_table.h"

namespace daisypond::generation {

/// The epoch that follows `epoch` for a holder. The tag in the low bits keeps
/// apart two holders that take over at once through different copies.
uint64_t NextEpoch(uint64_t epoch, uint16_t holder_tag);

/// The epoch of a generation that starts anew. A later try of the same key
/// should outrank an earlier one, so it grows with the wall clock; a clock
/// that is behind makes the later try yield, never mix.
uint64_t FirstEpoch(uint16_t holder_tag);

/// The tokens of a generation as far as one instance knows them.
struct Copy {
  uint64_t generation = 0;
  /// Grows with each takeover; only the highest epoch may append.
  uint64_t epoch = 0;
  uint64_t body_digest = 0;
  /// What a target must serve exactly to go on, from ModelVersion::ToString.
  std::string identity;
  std::vector<std::string> tokens;
  bool is_finished = false;
  std::string finish_reason;
  /// The number of the caller's try that the holder serves; zero: unknown.
  int64_t attempt = 0;
};

/// Tokens that a holder adds to a copy.
struct AppendTokens {
  std::string key;
  uint64_t generation = 0;
  uint64_t epoch = 0;
  uint64_t body_digest = 0;
  std::string identity;
  uint64_t first_index = 0;
  /// The digest of the tokens before `first_index`: a copy whose tokens
  /// there differ takes nothing that follows them.
  uint64_t prefix_digest = 0;
  std::vector<std::string> tokens;
  bool is_finished = false;
  std::string finish_reason;
  int64_t attempt = 0;
};

enum class AppendOutcome : uint8_t { kStored, kSuperseded, kGap };

enum class TakeOverOutcome : uint8_t {
  kTaken,
  kAbsent,
  kOtherBody,
  /// A later try of the caller holds the generation.
  kOutdated,
};

struct TakeOverResult {
  TakeOverOutcome outcome = TakeOverOutcome::kAbsent;
  /// With the new epoch, which the store already holds.
  Copy copy;
};

struct CopyStoreOptions {
  size_t maximum_bytes = 48u << 20;
  base::Millis running_lifetime{900'000};
  base::Millis finished_lifetime{180'000};
};

/// Copies of generations, this instance's own and its peers'. Thread-safe.
class CopyStore {
 public:
  CopyStore(CopyStoreOptions options, base::Metrics* metrics);

  AppendOutcome Append(const AppendTokens& append, base::Millis now);

  /// Gives the copy to the new holder `holder_tag`: later appends of the old
  /// one are refused. A try that a paused instance serves late must not take
  /// the generation from a later one.
  TakeOverResult TakeOver(const std::string& key,
                          uint64_t body_digest,
                          int64_t attempt,
                          uint16_t holder_tag,
                          base::Millis now);

  /// Makes `copy` the stored one unless a higher epoch is there. Returns
  /// false in that case.
  bool Install(const std::string& key, const Copy& copy, base::Millis now);

  /// Tokens from `first` on, for a peer that lacks them.
  std::vector<std::string> TokensFrom(const std::string& key,
                                      size_t first) const;

  /// The epoch that may append; zero when there is no copy.
  uint64_t EpochOf(const std::string& key) const;

  void Remove(const std::string& key);

  /// Drops copies past their lifetime.
  void Expire(base::Millis now);

  size_t Count() const;
  size_t Bytes() const;

 private:
  struct Entry {
    Copy copy;
    base::Millis updated_at;
    size_t bytes = 0;
    /// Of all tokens of the copy.
    uint64_t digest = 0;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  void RecountBytes(Entry* entry);
  void EraseLocked(Entries::iterator it);
  void EvictToLimit();
  AppendOutcome AppendToEntry(const AppendTokens& append, Entry* entry);
  void ReplaceTokens(const AppendTokens& append, Entry* entry);
  static bool HasPrefix(const AppendTokens& append, const Entry& entry);

  CopyStoreOptions options_;
  base::Metrics* metrics_;
  mutable std::mutex mutex_;
  Entries entries_;
  size_t bytes_ = 0;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_COPY_STORE_H_
