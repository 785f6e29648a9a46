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

/// Returns an epoch greater than `epoch` for a new holder of a generation. The
/// holder is the instance that serves the generation to its caller. The low
/// bits hold the holder's tag, so that two instances that take over different
/// copies at the same time get different epochs.
uint64_t NextEpoch(uint64_t epoch, uint16_t holder_tag);

/// Returns the epoch for a generation that starts from its first token. The
/// epoch grows with the wall clock, so that a later attempt with the same key
/// gets a higher epoch than an earlier attempt. If the clock of the later
/// attempt's instance is behind, the later attempt is rejected. In neither case
/// are tokens of two attempts mixed in a copy.
uint64_t FirstEpoch(uint16_t holder_tag);

/// The tokens of a generation that one instance has stored.
struct GenerationCopy {
  /// Identifies the generation. A generation that restarts from its first token
  /// gets a new number.
  uint64_t generation = 0;
  /// Grows with each takeover. Only the holder with the highest epoch may
  /// append.
  uint64_t epoch = 0;
  /// The digest of the caller's request body without the field `stream`.
  uint64_t body_digest = 0;
  /// The model version, as ModelVersion::ToString writes it. Only a target that
  /// serves exactly this version can continue the generation.
  std::string model_version;
  std::vector<std::string> tokens;
  bool is_finished = false;
  std::string finish_reason;
  /// The number of the caller's attempt that the holder serves, or zero when
  /// unknown.
  int64_t attempt = 0;
};

/// A request to add tokens to a copy. It is sent by the holder of the
/// generation: the instance that serves the generation to its caller.
struct AppendTokens {
  std::string key;
  uint64_t generation = 0;
  uint64_t epoch = 0;
  uint64_t body_digest = 0;
  std::string model_version;
  uint64_t first_index = 0;
  /// The digest of the tokens before `first_index`. A copy whose tokens before
  /// that index differ rejects the append.
  uint64_t prefix_digest = 0;
  std::vector<std::string> tokens;
  bool is_finished = false;
  std::string finish_reason;
  /// The number of the caller's attempt, as in GenerationCopy.
  int64_t attempt = 0;
};

/// kSuperseded: another instance is now the holder of the generation. kGap: the
/// tokens before `first_index` are missing or may differ, so that the holder
/// has to send all tokens.
enum class AppendOutcome : uint8_t { kStored, kSuperseded, kGap };

enum class TakeOverOutcome : uint8_t {
  kTaken,
  kAbsent,
  /// The copy belongs to a request with the same key but a different body.
  kOtherBody,
  /// The holder already serves a later attempt of the caller.
  kOutdated,
};

struct TakeOverResult {
  TakeOverOutcome outcome = TakeOverOutcome::kAbsent;
  /// For kTaken: the copy with its new epoch, which is already stored.
  GenerationCopy copy;
};

struct CopyStoreOptions {
  size_t maximum_bytes = 48u << 20;
  /// How long the copy of an unfinished generation is kept after its last
  /// change.
  base::Millis running_lifetime{900'000};
  /// How long the copy of a finished generation is kept after its last change.
  base::Millis finished_lifetime{180'000};
};

/// Stores copies of the generations that this instance or its peers serve.
/// Thread-safe.
class CopyStore {
 public:
  CopyStore(CopyStoreOptions options, base::Metrics* metrics);

  AppendOutcome Append(const AppendTokens& append, base::Millis now);

  /// Makes the instance with the tag `holder_tag` the holder of the copy. Later
  /// appends of the previous holder are rejected. Fails with kOutdated when the
  /// current holder serves a later attempt than `attempt`: an instance that was
  /// paused may still serve an earlier attempt and try to take over the copy.
  TakeOverResult TakeOver(const std::string& key,
                          uint64_t body_digest,
                          int64_t attempt,
                          uint16_t holder_tag,
                          base::Millis now);

  /// Stores `copy` in place of the stored copy with the same key, if any.
  /// Returns false and changes nothing when the stored copy has a higher epoch.
  bool Install(const std::string& key,
               const GenerationCopy& copy,
               base::Millis now);

  /// Returns the stored tokens from index `first` on.
  std::vector<std::string> TokensFrom(const std::string& key,
                                      size_t first) const;

  /// Returns the epoch of the copy, or zero when there is no copy.
  uint64_t EpochOf(const std::string& key) const;

  void Remove(const std::string& key);

  /// Removes copies that have not changed within the lifetime that
  /// CopyStoreOptions sets for them.
  void RemoveExpiredCopies(base::Millis now);

  size_t Count() const;
  size_t Bytes() const;

 private:
  struct Entry {
    GenerationCopy copy;
    base::Millis updated_at;
    size_t bytes = 0;
    /// The digest of all tokens of the copy.
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
