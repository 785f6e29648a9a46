#ifndef DAISYPOND_GENERATION_DIGEST_CHAIN_H_
#define DAISYPOND_GENERATION_DIGEST_CHAIN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypond::generation {

/// Returns the digest of an empty token sequence of `generation`.
uint64_t EmptyDigest(uint64_t generation);

/// Returns the digest of a token sequence to which `token` has been appended.
/// `digest` is the digest of the same sequence without `token`.
uint64_t ExtendDigest(uint64_t digest, std::string_view token);

/// Returns the digest of the first `n` tokens in `tokens`, which belong to
/// `generation`.
uint64_t DigestOf(uint64_t generation,
                  const std::vector<std::string>& tokens,
                  size_t n);

/// A token's position in a generation, as encoded in an event id. The digest
/// covers the tokens with the indexes 0 to `index`, inclusive.
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
