#include "standins/token_format.h"

#include <cinttypes>
#include <cstdio>

#include <fmt/format.h>

#include "base/hash.h"

namespace daisypond::standins {

std::string ToText(const VerifiableToken& token) {
  return fmt::format("{:08x}.{:08x}.{}.{:08x};", token.request_digest,
                     token.nonce, token.index, token.chain_digest);
}

std::optional<VerifiableToken> ParseVerifiableToken(std::string_view text) {
  VerifiableToken token;
  const std::string copy(text);
  // NOLINTNEXTLINE(cert-err34-c): the comparison below checks the conversion.
  const int n = std::sscanf(
      copy.c_str(), "%8" SCNx32 ".%8" SCNx32 ".%" SCNd64 ".%8" SCNx32,
      &token.request_digest, &token.nonce, &token.index, &token.chain_digest);
  constexpr int kFieldCount = 4;
  if (n != kFieldCount || ToText(token) != text) {
    return std::nullopt;
  }
  return token;
}

uint32_t RequestDigest(std::string_view request_id) {
  return static_cast<uint32_t>(base::Hash(request_id));
}

uint32_t ExtendChainDigest(uint32_t chain_digest, std::string_view text) {
  return static_cast<uint32_t>(base::Hash(text, chain_digest));
}

}  // namespace daisypond::standins
