#ifndef DAISYPOND_INTENTS_BUNDLE_H_
#define DAISYPOND_INTENTS_BUNDLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "intents/parse.h"

namespace daisypond::intents {

/// SHA-256 digests of the files of a configuration version, by file name.
using FileDigests = std::map<std::string, std::string>;

/// Describes a configuration version: its number, author and file digests. The
/// manifest of the current version is stored in the row `intents/current` of
/// the table service.
struct Manifest {
  uint64_t version = 0;
  /// Random value by which a writer recognizes its own manifest when it reads
  /// the row back because the store's answer to the write was lost.
  std::string nonce;
  /// The nonce of the previous version, needed to find that version's manifest.
  std::string previous_nonce;
  std::string author;
  /// Unix time in milliseconds. Only displayed, never compared.
  int64_t written_at_ms = 0;
  FileDigests files;
};

std::string ToJson(const Manifest& manifest);
std::optional<Manifest> ManifestFromJson(const std::string& text);

/// A configuration version with the text of all its files. Instances send
/// bundles to each other.
struct Bundle {
  Manifest manifest;
  std::vector<IntentFile> files;
};

std::string ToJson(const Bundle& bundle);

/// Parses a bundle. Returns nothing when the text is not a bundle or when a
/// file does not match its digest.
std::optional<Bundle> BundleFromJson(const std::string& text);

/// Key of the table row that holds the current manifest.
inline constexpr char kCurrentManifestRow[] = "intents/current";

/// Returns the name of the object that holds the file content with a digest.
std::string BlobObjectName(const std::string& digest);

/// Returns the name of the object that holds the manifest of a version. The
/// nonce gives two concurrent writers of the same version different names.
std::string ManifestObjectName(uint64_t version, const std::string& nonce);

FileDigests ComputeDigests(const std::vector<IntentFile>& files);

}  // namespace daisypond::intents

#endif  // DAISYPOND_INTENTS_BUNDLE_H_
