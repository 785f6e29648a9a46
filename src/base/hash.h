#ifndef DAISYPOND_BASE_HASH_H_
#define DAISYPOND_BASE_HASH_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace daisypond::base {

/// xxHash64 of `text`, seeded with `seed`.
uint64_t Hash(std::string_view text, uint64_t seed = 0);

/// Hash() of the concatenation of `parts`.
uint64_t HashOfAll(std::initializer_list<std::string_view> parts);

/// Formats `value` as sixteen lower-case hexadecimal digits.
std::string ToHex(uint64_t value);

/// Parses exactly sixteen hexadecimal digits, the format of ToHex(). Returns
/// false for any other text.
bool FromHex(std::string_view text, uint64_t* value);

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// Compares two secrets in a time that depends only on their lengths, so that
/// the time does not reveal how many bytes match.
bool EqualsConstantTime(std::string_view a, std::string_view b);

/// A pseudo-random 64-bit number. Each thread has its own generator, seeded
/// once from the system's random source.
uint64_t RandomNumber();

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_HASH_H_
