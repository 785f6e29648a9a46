#include "catalog/configuration_history.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <string_view>
#include <utility>

#include <zstd.h>

#include "base/hash.h"

namespace daisypond::catalog {

namespace {

// An instance that has missed more changes than this gets the whole text.
constexpr size_t kMaximumEarlierTexts = 16;
constexpr int kCompressionLevel = 3;
// Every instance compresses each text for its history, few of them for peers.
constexpr int kHistoryCompressionLevel = 1;
// The smallest window of the format, and the largest that decoders accept by
// default.
constexpr int kMinimumWindowLog = 10;
constexpr int kMaximumWindowLog = 27;

using CompressionContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressionContext =
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

/// Returns an empty string on failure.
std::string Compress(std::string_view text, std::string_view base, int level) {
  const CompressionContext context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  // The window must reach from the end of the text to the start of the base.
  const int window_log =
      std::clamp<int>(std::bit_width(text.size() + base.size()),
                      kMinimumWindowLog, kMaximumWindowLog);
  std::string bytes(ZSTD_compressBound(text.size()), '\0');
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log);
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  const size_t n = ZSTD_compress2(context.get(), bytes.data(), bytes.size(),
                                  text.data(), text.size());
  bytes.resize(ZSTD_isError(n) != 0 ? 0 : n);
  bytes.shrink_to_fit();
  return bytes;
}

std::optional<std::string> DecompressBytes(std::string_view bytes,
                                           std::string_view base,
                                           size_t maximum_bytes) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > maximum_bytes) {
    return std::nullopt;
  }
  const DecompressionContext context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  std::string text(static_cast<size_t>(size), '\0');
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  const size_t n = ZSTD_decompressDCtx(context.get(), text.data(), text.size(),
                                       bytes.data(), bytes.size());
  if (ZSTD_isError(n) != 0 || n != text.size()) {
    return std::nullopt;
  }
  return text;
}

}  // namespace

void ConfigurationHistory::Add(std::string text) {
  if (current_digest_ != 0) {
    earlier_.push_back(
        {Compress(current_, "", kHistoryCompressionLevel), current_digest_, 0});
    if (earlier_.size() > kMaximumEarlierTexts) {
      earlier_.pop_front();
    }
  }
  current_ = std::move(text);
  current_digest_ = base::Hash(current_);
  compressed_.clear();
}

std::optional<std::string> ConfigurationHistory::FindText(
    uint64_t digest) const {
  const auto it =
      std::find_if(earlier_.begin(), earlier_.end(),
                   [&](const auto& text) { return text.digest == digest; });
  return it == earlier_.end()
             ? std::nullopt
             : DecompressBytes(it->bytes, "", std::string().max_size());
}

const CompressedText& ConfigurationHistory::CompressFor(
    uint64_t base_digest) const {
  const std::optional<std::string> base =
      base_digest == 0 ? std::nullopt : FindText(base_digest);
  const uint64_t used_digest = base ? base_digest : 0;
  const auto [it, is_new] = compressed_.try_emplace(used_digest);
  if (is_new) {
    it->second = {Compress(current_, base.value_or(""), kCompressionLevel),
                  current_digest_, used_digest};
  }
  return it->second;
}

std::optional<std::string> ConfigurationHistory::Decompress(
    const CompressedText& text,
    size_t maximum_bytes) const {
  if (text.base_digest != 0 && text.base_digest != current_digest_) {
    return std::nullopt;
  }
  std::optional<std::string> decompressed = DecompressBytes(
      text.bytes, text.base_digest == 0 ? std::string_view() : current_,
      maximum_bytes);
  if (!decompressed || base::Hash(*decompressed) != text.digest) {
    return std::nullopt;
  }
  return decompressed;
}

}  // namespace daisypond::catalog
