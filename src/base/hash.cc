#include "base/hash.h"

#include <array>
#include <charconv>
#include <memory>
#include <random>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

namespace daisypond::base {

namespace {

constexpr size_t kHexDigits = 16;
constexpr int kHexBase = 16;

}  // namespace

uint64_t Hash(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

uint64_t HashOfAll(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<XXH64_state_t, XXH_errorcode (*)(XXH64_state_t*)> state(
      XXH64_createState(), XXH64_freeState);
  XXH64_reset(state.get(), 0);
  for (const std::string_view it : parts) {
    XXH64_update(state.get(), it.data(), it.size());
  }
  return XXH64_digest(state.get());
}

std::string ToHex(uint64_t value) {
  return fmt::format("{:016x}", value);
}

bool FromHex(std::string_view text, uint64_t* value) {
  if (text.size() != kHexDigits) {
    return false;
  }
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, *value, kHexBase);
  return ec == std::errc() && last == end;
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  EVP_Digest(text.data(), text.size(), buf.data(), &n, EVP_sha256(), nullptr);
  std::string hex;
  for (unsigned int i = 0; i < n; ++i) {
    hex += fmt::format("{:02x}", buf[i]);
  }
  return hex;
}

bool EqualsConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

uint64_t RandomNumber() {
  thread_local std::mt19937_64 engine = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return engine();
}

}  // namespace daisypond::base
