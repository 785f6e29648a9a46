#ifndef DAISYPOND_INTENTS_CONFIGURATION_PUBLISHER_H_
#define DAISYPOND_INTENTS_CONFIGURATION_PUBLISHER_H_

#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"
#include "base/name_table.h"
#include "intents/bundle.h"
#include "store/table_message.h"

namespace daisypond::intents {

/// The object store operations that publishing a configuration needs.
template <typename T>
concept ObjectStore = requires(T store, std::string text) {
  { store.PutObject(text, text) } -> std::same_as<store::StoreOutcome>;
  { store.GetObject(text) } -> std::same_as<std::optional<std::string>>;
};

enum class PublishOutcome : uint8_t {
  kPublished,
  kUnchanged,
  /// Another operator has already published a different change to one of the
  /// files.
  kConflict,
  /// The change, merged with the current files, is not a valid configuration.
  kInvalid,
  /// A store could not be reached, and nothing was published.
  kStoreUnavailable,
  /// The store's answer to the write was lost, and reading the manifest back
  /// did not show whether the write took effect.
  kUnknown,
};

inline constexpr base::NameTable<PublishOutcome, 6> kPublishOutcomeNames(
    "published",
    "unchanged",
    "conflict",
    "invalid",
    "store_unavailable",
    "unknown");

struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnknown;
  uint64_t version = 0;
  /// For kConflict: the names of files that another operator changed too.
  std::vector<std::string> conflicts;
  /// For kInvalid: the first error found.
  yaml::Error error;
  /// The digests of the files after merging the change with the current files.
  /// For kPublished and kUnchanged, these are the files of the current version.
  FileDigests files;
};

/// The current manifest and the version of the table row that holds it. A row
/// version of 0 means that nothing has been published yet.
struct CurrentManifest {
  Manifest manifest;
  uint64_t row_version = 0;
};

/// The files that an operator wants to publish. `base` holds the digests of the
/// published files that the operator started from.
struct FolderChange {
  std::vector<IntentFile> files;
  FileDigests base;
  std::string author;
};

/// Performs a three-way merge of an operator's change with the current files.
/// Files that the operator did not change relative to `change.base` are taken
/// from `current`. Returns the names of conflicting files, which both the
/// operator and others changed in different ways.
std::vector<std::string> MergeChange(const FolderChange& change,
                                     const FileDigests& current,
                                     FileDigests* merged);

/// Publishes configuration files through the platform's table service and
/// object store. When two operators change different files, both changes are
/// published. When both change the same file differently, the later one gets
/// kConflict.
template <store::TableService Table, ObjectStore Objects>
class ConfigurationPublisher {
 public:
  ConfigurationPublisher(Table* table, Objects* objects)
      : table_(table), objects_(objects) {}

  std::optional<CurrentManifest> ReadCurrentManifest() {
    const auto read = table_->Read({kCurrentManifestRow});
    if (!read.IsRead()) {
      return std::nullopt;
    }
    CurrentManifest current;
    current.row_version = read.rows[0].version;
    if (current.row_version == 0) {
      return current;
    }
    const auto manifest = ManifestFromJson(read.rows[0].value);
    if (!manifest) {
      return std::nullopt;
    }
    current.manifest = *manifest;
    return current;
  }

  /// Reads the files of a manifest. Returns nothing when a file cannot be read
  /// or does not match its digest.
  std::optional<std::vector<IntentFile>> ReadFiles(const Manifest& manifest) {
    std::vector<IntentFile> files;
    for (const auto& [name, digest] : manifest.files) {
      auto text = objects_->GetObject(BlobObjectName(digest));
      if (!text || base::Sha256Hex(*text) != digest) {
        return std::nullopt;
      }
      files.push_back({name, std::move(*text)});
    }
    return files;
  }

  PublishResult Publish(const FolderChange& change) {
    PublishResult result;
    for (int i = 0; i < kMaximumAttempts; ++i) {
      result = PublishOnce(change);
      if (result.outcome != PublishOutcome::kUnknown || !should_retry_) {
        return result;
      }
    }
    return result;
  }

 private:
  static constexpr int kMaximumAttempts = 20;

  PublishResult PublishOnce(const FolderChange& change) {
    should_retry_ = false;
    PublishResult result;
    const auto current = ReadCurrentManifest();
    if (!current) {
      result.outcome = PublishOutcome::kStoreUnavailable;
      return result;
    }
    Manifest next;
    result.conflicts =
        MergeChange(change, current->manifest.files, &next.files);
    result.files = next.files;
    result.version = current->manifest.version;
    if (!result.conflicts.empty()) {
      result.outcome = PublishOutcome::kConflict;
      return result;
    }
    if (next.files == current->manifest.files) {
      result.outcome = PublishOutcome::kUnchanged;
      return result;
    }
    if (!ValidateMergedFiles(change, next, &result) ||
        !PutBlobs(change, &result)) {
      return result;
    }
    next.version = current->manifest.version + 1;
    next.nonce = base::ToHex(base::RandomNumber());
    next.previous_nonce = current->manifest.nonce;
    next.author = change.author;
    next.written_at_ms = base::Clock::UnixNow().count;
    return Commit(next, current->row_version, std::move(result));
  }

  /// Validates all merged files together: two changes that are each valid may
  /// be invalid in combination.
  bool ValidateMergedFiles(const FolderChange& change,
                           const Manifest& next,
                           PublishResult* result) {
    std::vector<IntentFile> files;
    for (const auto& [name, digest] : next.files) {
      const IntentFile* changed_file = FindChangedFile(change, name, digest);
      if (changed_file != nullptr) {
        files.push_back(*changed_file);
        continue;
      }
      auto text = objects_->GetObject(BlobObjectName(digest));
      if (!text) {
        result->outcome = PublishOutcome::kStoreUnavailable;
        return false;
      }
      files.push_back({name, std::move(*text)});
    }
    const auto parsed = ParseIntents(std::move(files));
    if (!parsed) {
      result->outcome = PublishOutcome::kInvalid;
      result->error = parsed.error();
      return false;
    }
    return true;
  }

  static const IntentFile* FindChangedFile(const FolderChange& change,
                                           const std::string& name,
                                           const std::string& digest) {
    for (const IntentFile& it : change.files) {
      if (it.name == name && base::Sha256Hex(it.text) == digest) {
        return &it;
      }
    }
    return nullptr;
  }

  bool PutBlobs(const FolderChange& change, PublishResult* result) {
    for (const IntentFile& it : change.files) {
      const auto outcome = objects_->PutObject(
          BlobObjectName(base::Sha256Hex(it.text)), it.text);
      if (outcome != store::StoreOutcome::kCommitted) {
        result->outcome = PublishOutcome::kStoreUnavailable;
        return false;
      }
    }
    return true;
  }

  PublishResult Commit(const Manifest& next,
                       uint64_t row_version,
                       PublishResult result) {
    objects_->PutObject(ManifestObjectName(next.version, next.nonce),
                        ToJson(next));
    const auto written =
        table_->Transact({{kCurrentManifestRow, ToJson(next), row_version}});
    result.version = next.version;
    switch (written.outcome) {
      case store::StoreOutcome::kCommitted:
        result.outcome = PublishOutcome::kPublished;
        return result;
      case store::StoreOutcome::kNotReached:
        result.outcome = PublishOutcome::kStoreUnavailable;
        return result;
      default:
        return ResolveUnknownCommit(next, std::move(result));
    }
  }

  /// Reads the current manifest to find out whether the write of `next` took
  /// effect, after the store's answer was lost or reported a conflict. A
  /// conflict does not mean that the write failed: if the HTTP client sent the
  /// request twice, the first one may have taken effect and caused the conflict
  /// of the second one. The nonce in the manifest identifies the write.
  PublishResult ResolveUnknownCommit(const Manifest& next,
                                     PublishResult result) {
    constexpr int kMaximumReads = 5;
    for (int i = 0; i < kMaximumReads; ++i) {
      const auto current = ReadCurrentManifest();
      if (!current) {
        continue;
      }
      if (current->manifest.nonce == next.nonce) {
        result.outcome = PublishOutcome::kPublished;
        return result;
      }
      if (current->manifest.version < next.version) {
        // The store still has an older manifest: the write may not have
        // reached it yet, so read again.
        continue;
      }
      // The manifest of another write is current. Either the other write came
      // first and this write failed, or this write took effect and was then
      // replaced by the other one. Publishing again is safe in both cases,
      // because the change is merged with the current files again.
      should_retry_ = true;
      result.outcome = PublishOutcome::kUnknown;
      return result;
    }
    result.outcome = PublishOutcome::kUnknown;
    return result;
  }

  Table* table_;
  Objects* objects_;
  bool should_retry_ = false;
};

}  // namespace daisypond::intents

#endif  // DAISYPOND_INTENTS_CONFIGURATION_PUBLISHER_H_
