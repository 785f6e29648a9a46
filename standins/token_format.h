#ifndef DAISYPOND_STANDINS_TOKEN_FORMAT_H_
#define DAISYPOND_STANDINS_TOKEN_FORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisypond::standins {

/// A token that makes each wrong answer visible: it names its request and its
/// generation and seals everything before it.
struct VerifiableToken {
  /// Digest of the request id, 32 bits.
  uint32_t request_digest = 0;
  /// Random for each generation.
  uint32_t nonce = 0;
  int64_t index = 0;
  /// Digest of the texts of all tokens before this one, 32 bits.
  uint32_t chain_digest = 0;
};

/// "request.nonce.index.chain;" in hexadecimal digits but for the index.
std::string ToText(const VerifiableToken& token);
std::optional<VerifiableToken> ParseVerifiableToken(std::string_view text);

uint32_t RequestDigest(std::string_view request_id);

/// The digest of the texts so far, joined with one more text.
uint32_t ExtendChainDigest(uint32_t chain_digest, std::string_view text);

}  // namespace daisypond::standins

#endif  // DAISYPOND_STANDINS_TOKEN_FORMAT_H_
