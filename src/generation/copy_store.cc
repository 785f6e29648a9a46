#include "generation/copy_store.h"

#include <algorithm>
#include <utility>

#include "generation/digest_chain.h"

namespace daisypond::generation {

namespace {

// Approximate memory of an entry without its tokens: the map node, the Entry
// and its string objects.
constexpr size_t kEntryOverheadBytes = 400;

size_t TokenBytes(const std::string& token) {
  return sizeof(std::string) + (token.size() > 15 ? token.size() + 1 : 0);
}

}  // namespace

uint64_t NextEpoch(uint64_t epoch, uint16_t holder_tag) {
  constexpr int kTagBits = 16;
  return (((epoch >> kTagBits) + 1) << kTagBits) | holder_tag;
}

uint64_t FirstEpoch(uint16_t holder_tag) {
  constexpr int kTagBits = 16;
  const auto now = static_cast<uint64_t>(base::Clock::UnixNow().count);
  return (now << kTagBits) | holder_tag;
}

CopyStore::CopyStore(CopyStoreOptions options, base::Metrics* metrics)
    : options_(options), metrics_(metrics) {}

void CopyStore::RecountBytes(Entry* entry) {
  size_t bytes = kEntryOverheadBytes;
  for (const std::string& it : entry->copy.tokens) {
    bytes += TokenBytes(it);
  }
  bytes_ = bytes_ - entry->bytes + bytes;
  entry->bytes = bytes;
}

void CopyStore::EraseLocked(Entries::iterator it) {
  bytes_ -= it->second.bytes;
  entries_.erase(it);
}

bool CopyStore::HasPrefix(const AppendTokens& append, const Entry& entry) {
  const GenerationCopy& copy = entry.copy;
  if (append.first_index > copy.tokens.size()) {
    return false;
  }
  const uint64_t digest =
      append.first_index == copy.tokens.size()
          ? entry.digest
          : DigestOf(copy.generation, copy.tokens, append.first_index);
  return digest == append.prefix_digest;
}

void CopyStore::ReplaceTokens(const AppendTokens& append, Entry* entry) {
  std::vector<std::string>& held = entry->copy.tokens;
  // Messages can arrive out of order. An older append of the same holder, whose
  // tokens are a prefix of the copy, must not truncate the copy.
  const bool is_outdated =
      append.epoch == entry->copy.epoch && append.tokens.size() < held.size() &&
      std::equal(append.tokens.begin(), append.tokens.end(), held.begin());
  if (is_outdated) {
    return;
  }
  held = append.tokens;
  entry->digest = DigestOf(append.generation, held, held.size());
  RecountBytes(entry);
}

AppendOutcome CopyStore::AppendToEntry(const AppendTokens& append,
                                       Entry* entry) {
  GenerationCopy& copy = entry->copy;
  const bool is_new_epoch = append.epoch > copy.epoch;
  if (append.first_index == 0) {
    ReplaceTokens(append, entry);
  } else if (is_new_epoch || !HasPrefix(append, *entry)) {
    // Tokens stored under an earlier epoch may differ from the tokens of the
    // new holder, so the new holder has to send all its tokens.
    return AppendOutcome::kGap;
  }
  copy.epoch = append.epoch;
  copy.attempt = append.attempt;
  const size_t existing_count = copy.tokens.size() - append.first_index;
  const size_t overlap_count = std::min(existing_count, append.tokens.size());
  const auto existing_begin =
      copy.tokens.begin() + static_cast<long>(append.first_index);
  const bool is_same = std::equal(
      append.tokens.begin(),
      append.tokens.begin() + static_cast<long>(overlap_count), existing_begin);
  if (!metrics_->CheckInvariant(base::Invariant::kOneAttemptAppends, is_same)) {
    return AppendOutcome::kSuperseded;
  }
  for (size_t i = existing_count; i < append.tokens.size(); ++i) {
    const size_t bytes = TokenBytes(append.tokens[i]);
    entry->bytes += bytes;
    bytes_ += bytes;
    entry->digest = ExtendDigest(entry->digest, append.tokens[i]);
    copy.tokens.push_back(append.tokens[i]);
  }
  if (append.first_index + append.tokens.size() == copy.tokens.size()) {
    copy.is_finished = append.is_finished;
    copy.finish_reason = append.finish_reason;
  }
  return AppendOutcome::kStored;
}

AppendOutcome CopyStore::Append(const AppendTokens& append, base::Millis now) {
  const std::lock_guard lock(mutex_);
  auto it = entries_.find(append.key);
  if (it != entries_.end() && append.epoch < it->second.copy.epoch) {
    metrics_->Add(base::Counter::kCopiesRefused);
    return AppendOutcome::kSuperseded;
  }
  // An epoch belongs to one holder of one generation. Takeovers of different
  // copies can yield the same epoch for two generations; the copy of the
  // generation that was stored first is kept.
  if (it != entries_.end() && append.epoch == it->second.copy.epoch &&
      append.generation != it->second.copy.generation) {
    metrics_->Add(base::Counter::kCopiesRefused);
    return AppendOutcome::kSuperseded;
  }
  const bool is_new_generation =
      it == entries_.end() || append.generation != it->second.copy.generation;
  if (is_new_generation && append.first_index > 0) {
    return AppendOutcome::kGap;
  }
  if (is_new_generation) {
    if (it == entries_.end()) {
      EvictToLimit();
      it = entries_.try_emplace(append.key).first;
    }
    Entry& entry = it->second;
    entry.copy = GenerationCopy{};
    entry.copy.generation = append.generation;
    entry.copy.epoch = append.epoch;
    entry.copy.body_digest = append.body_digest;
    entry.copy.model_version = append.model_version;
    entry.digest = EmptyDigest(append.generation);
    RecountBytes(&entry);
    metrics_->Add(base::Counter::kCopiesStored);
  }
  it->second.updated_at = now;
  return AppendToEntry(append, &it->second);
}

TakeOverResult CopyStore::TakeOver(const std::string& key,
                                   uint64_t body_digest,
                                   int64_t attempt,
                                   uint16_t holder_tag,
                                   base::Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return {TakeOverOutcome::kAbsent, {}};
  }
  GenerationCopy& copy = it->second.copy;
  if (copy.body_digest != body_digest) {
    return {TakeOverOutcome::kOtherBody, {}};
  }
  if (attempt > 0 && attempt < copy.attempt) {
    return {TakeOverOutcome::kOutdated, {}};
  }
  copy.attempt = std::max(copy.attempt, attempt);
  copy.epoch = NextEpoch(copy.epoch, holder_tag);
  it->second.updated_at = now;
  return {TakeOverOutcome::kTaken, copy};
}

bool CopyStore::Install(const std::string& key,
                        const GenerationCopy& copy,
                        base::Millis now) {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(key);
  if (it != entries_.end() && it->second.copy.epoch > copy.epoch) {
    return false;
  }
  if (it == entries_.end()) {
    EvictToLimit();
  }
  Entry& entry = entries_[key];
  entry.copy = copy;
  entry.digest = DigestOf(copy.generation, copy.tokens, copy.tokens.size());
  entry.updated_at = now;
  RecountBytes(&entry);
  return true;
}

std::vector<std::string> CopyStore::TokensFrom(const std::string& key,
                                               size_t first) const {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(key);
  if (it == entries_.end() || it->second.copy.tokens.size() <= first) {
    return {};
  }
  const auto& tokens = it->second.copy.tokens;
  return {tokens.begin() + static_cast<long>(first), tokens.end()};
}

uint64_t CopyStore::EpochOf(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(key);
  return it == entries_.end() ? 0 : it->second.copy.epoch;
}

void CopyStore::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = entries_.find(key);
  if (it != entries_.end()) {
    EraseLocked(it);
  }
}

void CopyStore::RemoveExpiredCopies(base::Millis now) {
  const std::lock_guard lock(mutex_);
  for (auto it = entries_.begin(); it != entries_.end();) {
    const base::Millis lifetime = it->second.copy.is_finished
                                      ? options_.finished_lifetime
                                      : options_.running_lifetime;
    const auto next = std::next(it);
    if (now - it->second.updated_at > lifetime) {
      EraseLocked(it);
    }
    it = next;
  }
}

void CopyStore::EvictToLimit() {
  while (bytes_ > options_.maximum_bytes && !entries_.empty()) {
    // Evicts finished generations before unfinished ones, and within each group
    // the generations that have not changed for the longest time first.
    const auto is_evicted_before = [](const auto& a, const auto& b) {
      const Entry& x = a.second;
      const Entry& y = b.second;
      if (x.copy.is_finished != y.copy.is_finished) {
        return x.copy.is_finished;
      }
      return x.updated_at < y.updated_at;
    };
    EraseLocked(
        std::min_element(entries_.begin(), entries_.end(), is_evicted_before));
  }
}

size_t CopyStore::Count() const {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

size_t CopyStore::Bytes() const {
  const std::lock_guard lock(mutex_);
  return bytes_;
}

}  // namespace daisypond::generation
