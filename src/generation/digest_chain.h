#ifndef DAISYPOND_GENERATION_DIGEST_CHAIN_H_
#define DAISYPOND_GENERATION_DIGEST_CHAIN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypond::generation {

/// The digest of an empty token sequence of `generation`.
uint64_t EmptyDigest(uint64_t generation);

/// Returns the digest of a token sequence extended by `token`, where `digest`
/// is the digest of the sequence before.
uint64_t ExtendDigest(uint64_t digest, std::string_view token);

/// The digest of the first `n` tokens of `generation`.
uint64_t DigestOf(uint64_t generation,
                  const std::vector<std::string>& tokens,
                  size_t n);

/// A token's position in a generation, as encoded in an event id. The digest
/// covers the tokens from 0 to `index`, inclusive.
struct TokenPosition {
  uint64_t generation = 0;
  int64_t index = -1;
  uint64_t digest = 0;
};

/// Formats a position as "generation:index:digest". The index is decimal, the
/// other numbers are hexadecimal.
std::string ToEventId(const TokenPosition& position);

/// Parses an event id. Returns nothing when the text is malformed.
std::optional<TokenPosition> PositionFromEventId(std::string_view text);

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_DIGEST_CHAIN_H_
