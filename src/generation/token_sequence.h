#ifndef DAISYPOND_GENERATION_TOKEN_SEQUENCE_H_
#define DAISYPOND_GENERATION_TOKEN_SEQUENCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "generation/digest_chain.h"

namespace daisypond::generation {

/// The tokens of one generation. Stores for each token the digest of all tokens
/// up to and including that token.
class TokenSequence {
 public:
  explicit TokenSequence(uint64_t generation) : generation_(generation) {}

  TokenSequence(uint64_t generation, std::vector<std::string> tokens)
      : generation_(generation) {
    for (std::string& it : tokens) {
      Append(std::move(it));
    }
  }

  void Append(std::string token) {
    digests_.push_back(ExtendDigest(LastDigest(), token));
    tokens_.push_back(std::move(token));
  }

  size_t Size() const { return tokens_.size(); }
  uint64_t Generation() const { return generation_; }
  const std::vector<std::string>& Tokens() const { return tokens_; }

  uint64_t LastDigest() const {
    return digests_.empty() ? EmptyDigest(generation_) : digests_.back();
  }

  /// Returns the digest of the first `n` tokens.
  uint64_t DigestBefore(size_t n) const {
    return n == 0 ? EmptyDigest(generation_) : digests_[n - 1];
  }

  TokenPosition PositionOf(size_t index) const {
    return {generation_, static_cast<int64_t>(index), digests_[index]};
  }

  /// True when `position` refers to a token of this sequence: the generation is
  /// the same, the index exists, and the tokens up to that index have the same
  /// digest.
  bool Contains(const TokenPosition& position) const {
    const auto index = static_cast<size_t>(position.index);
    return position.generation == generation_ && position.index >= 0 &&
           index < digests_.size() && digests_[index] == position.digest;
  }

 private:
  uint64_t generation_;
  std::vector<std::string> tokens_;
  std::vector<uint64_t> digests_;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_TOKEN_SEQUENCE_H_
