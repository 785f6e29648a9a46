#include "generation/digest_chain.h"

#include <charconv>

#include <fmt/format.h>

#include "base/hash.h"

namespace daisypond::generation {

uint64_t EmptyDigest(uint64_t generation) {
  return base::Hash("", generation);
}

uint64_t ExtendDigest(uint64_t digest, std::string_view token) {
  return base::Hash(token, digest);
}

uint64_t DigestOf(uint64_t generation,
                  const std::vector<std::string>& tokens,
                  size_t n) {
  uint64_t digest = EmptyDigest(generation);
  for (size_t i = 0; i < n; ++i) {
    digest = ExtendDigest(digest, tokens[i]);
  }
  return digest;
}

std::string ToEventId(const TokenPosition& position) {
  return fmt::format("{}:{}:{}", base::ToHex(position.generation),
                     position.index, base::ToHex(position.digest));
}

std::optional<TokenPosition> PositionFromEventId(std::string_view text) {
  const size_t first = text.find(':');
  const size_t second = text.rfind(':');
  if (first == std::string_view::npos || first == second) {
    return std::nullopt;
  }
  TokenPosition position;
  const std::string_view index = text.substr(first + 1, second - first - 1);
  const char* end = index.data() + index.size();
  const auto [last, ec] = std::from_chars(index.data(), end, position.index);
  if (ec != std::errc() || last != end || position.index < 0 ||
      !base::FromHex(text.substr(0, first), &position.generation) ||
      !base::FromHex(text.substr(second + 1), &position.digest)) {
    return std::nullopt;
  }
  return position;
}

}  // namespace daisypond::generation
