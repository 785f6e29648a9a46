#ifndef DAISYPOND_STANDINS_TOKEN_FORMAT_H_
#define DAISYPOND_STANDINS_TOKEN_FORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisypond::standins {

/// A token of a fake model engine. Its text identifies the request and the
/// generation and contains a digest of all earlier tokens, so that a client can
/// detect lost, repeated and foreign tokens.
struct VerifiableToken {
  /// 32-bit digest of the request id.
  uint32_t request_digest = 0;
  /// A random number that is the same in all tokens of a generation.
  uint32_t nonce = 0;
  /// Position in the generation, from 0.
  int64_t index = 0;
  /// 32-bit digest of the texts of all earlier tokens of the generation; 0 for
  /// the first token.
  uint32_t chain_digest = 0;
};

/// Formats a token as "request_digest.nonce.index.chain_digest;". The index is
/// decimal, the other fields are hexadecimal.
std::string ToText(const VerifiableToken& token);

/// Parses the text that ToText() returns; empty for any other text.
std::optional<VerifiableToken> ParseVerifiableToken(std::string_view text);

uint32_t RequestDigest(std::string_view request_id);

/// Returns the digest of a sequence of texts followed by `text`, where
/// `chain_digest` is the digest of the sequence (0 if it is empty).
uint32_t ExtendChainDigest(uint32_t chain_digest, std::string_view text);

}  // namespace daisypond::standins

#endif  // DAISYPOND_STANDINS_TOKEN_FORMAT_H_
