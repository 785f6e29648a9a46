#ifndef DAISYPOND_INTENTS_BUNDLE_H_
#define DAISYPOND_INTENTS_BUNDLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "intents/parse.h"

namespace daisypond::intents {

/// The digests of the files of one version, by file name.
using FileDigests = std::map<std::string, std::string>;

/// Names a version and the content that belongs to it. Stored as the row
/// `intents/current`.
struct Manifest {
  uint64_t version = 0;
  /// Chosen by the writer, to recognise its own write after a lost answer.
  std::string nonce;
  /// The nonce of the version before; leads to its manifest.
  std::string previous_nonce;
  std::string author;
  /// Unix time in milliseconds, for display.
  int64_t written_at_ms = 0;
  FileDigests files;
};

std::string ToJson(const Manifest& manifest);
std::optional<Manifest> ManifestFromJson(const std::string& text);

/// A version with all its files, as instances pass it to each other.
struct Bundle {
  Manifest manifest;
  std::vector<IntentFile> files;
};

std::string ToJson(const Bundle& bundle);

/// Empty when the text is not a bundle or a file differs from its digest.
std::optional<Bundle> BundleFromJson(const std::string& text);

/// The row that holds the current manifest.
inline constexpr char kCurrentManifestRow[] = "intents/current";

/// The object that holds the content with this digest.
std::string BlobObjectName(const std::string& digest);

/// The object that holds the manifest of a version. The nonce keeps the
/// manifests of two racing writers apart.
std::string ManifestObjectName(uint64_t version, const std::string& nonce);

FileDigests ComputeDigests(const std::vector<IntentFile>& files);

}  // namespace daisypond::intents

#endif  // DAISYPOND_INTENTS_BUNDLE_H_
