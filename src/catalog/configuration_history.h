#ifndef DAISYPOND_CATALOG_CONFIGURATION_HISTORY_H_
#define DAISYPOND_CATALOG_CONFIGURATION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace daisypond::catalog {

/// The encoded text of a configuration, compressed for another instance.
struct CompressedText {
  std::string bytes;
  /// Digest of the text.
  uint64_t digest = 0;
  /// Digest of the earlier text against which it was compressed; 0 if none is
  /// needed.
  uint64_t base_digest = 0;
};

/// The text of the configuration in force, and those that were in force before
/// it. A text is sent to an instance that has an earlier one as the difference
/// from that one: a change costs the links between instances what has changed,
/// whatever the size of the configuration.
class ConfigurationHistory {
 public:
  /// Makes `text` the current one.
  void Add(std::string text);

  /// Empty if there is none yet.
  const std::string& Current() const { return current_; }
  /// 0 if there is no text yet.
  uint64_t CurrentDigest() const { return current_digest_; }

  /// Compresses the current text for an instance that has the text with the
  /// digest `base_digest`, or without a base if that is not known here. The
  /// result is kept until the next Add().
  const CompressedText& CompressFor(uint64_t base_digest) const;

  /// Returns the text, or nothing if it was compressed against another text
  /// than the current one, is damaged or has more than `maximum_bytes`.
  std::optional<std::string> Decompress(const CompressedText& text,
                                        size_t maximum_bytes) const;

 private:
  std::optional<std::string> FindText(uint64_t digest) const;

  std::string current_;
  uint64_t current_digest_ = 0;
  /// Texts before the current one, newest last, each compressed without a base.
  std::deque<CompressedText> earlier_;
  /// By digest of the base: the current text.
  mutable std::map<uint64_t, CompressedText> compressed_;
};

}  // namespace daisypond::catalog

#endif  // DAISYPOND_CATALOG_CONFIGURATION_HISTORY_H_
