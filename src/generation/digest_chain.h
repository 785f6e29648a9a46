#ifndef DAISYPOND_GENERATION_DIGEST_CHAIN_H_
#define DAISYPOND_GENERATION_DIGEST_CHAIN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisypond::generation {

/// The digest of no token of a generation.
uint64_t EmptyDigest(uint64_t generation);

/// The digest of a run of tokens followed by `token`.
uint64_t ExtendDigest(uint64_t digest, std::string_view token);

/// The digest of the first `n` tokens.
uint64_t DigestOf(uint64_t generation,
                  const std::vector<std::string>& tokens,
                  size_t n);

/// The place in a generation that an event id names: the digest covers the
/// tokens 0 to `index`.
struct TokenPosition {
  uint64_t generation = 0;
  int64_t index = -1;
  uint64_t digest = 0;
};

/// "generation:index:digest", numbers in hexadecimal but for the index.
std::string ToEventId(const TokenPosition& position);

/// Empty for any text that ToEventId does not write.
std::optional<TokenPosition> PositionFromEventId(std::string_view text);

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_DIGEST_CHAIN_H_
