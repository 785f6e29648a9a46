#include "intents/bundle.h"

#include <utility>

#include <fmt/format.h>

#include "base/hash.h"
#include "base/json.h"

namespace daisypond::intents {

namespace {

using base::Json;

Json ManifestJson(const Manifest& manifest) {
  return {{"version", manifest.version},
          {"nonce", manifest.nonce},
          {"previous_nonce", manifest.previous_nonce},
          {"author", manifest.author},
          {"written_at_ms", manifest.written_at_ms},
          {"files", manifest.files}};
}

std::optional<Manifest> ParseManifest(const Json& value) {
  Manifest manifest;
  manifest.version =
      static_cast<uint64_t>(base::IntegerField(value, "version"));
  manifest.nonce = base::StringField(value, "nonce");
  manifest.previous_nonce = base::StringField(value, "previous_nonce");
  manifest.author = base::StringField(value, "author");
  manifest.written_at_ms = base::IntegerField(value, "written_at_ms");
  for (const auto& [name, digest] : base::ObjectField(value, "files").items()) {
    if (!digest.is_string()) {
      return std::nullopt;
    }
    manifest.files.emplace(name, digest.get<std::string>());
  }
  if (manifest.version == 0) {
    return std::nullopt;
  }
  return manifest;
}

}  // namespace

std::string ToJson(const Manifest& manifest) {
  return base::WriteJson(ManifestJson(manifest));
}

std::optional<Manifest> ManifestFromJson(const std::string& text) {
  return ParseManifest(base::ParseJson(text));
}

std::string ToJson(const Bundle& bundle) {
  Json texts = Json::object();
  for (const IntentFile& it : bundle.files) {
    texts[it.name] = it.text;
  }
  return base::WriteJson(
      {{"manifest", ManifestJson(bundle.manifest)}, {"texts", texts}});
}

std::optional<Bundle> BundleFromJson(const std::string& text) {
  const Json value = base::ParseJson(text);
  auto manifest = ParseManifest(base::ObjectField(value, "manifest"));
  if (!manifest) {
    return std::nullopt;
  }
  Bundle bundle{std::move(*manifest), {}};
  const Json& texts = base::ObjectField(value, "texts");
  for (const auto& [name, digest] : bundle.manifest.files) {
    std::string content = base::StringField(texts, name.c_str());
    if (base::Sha256Hex(content) != digest) {
      return std::nullopt;
    }
    bundle.files.push_back({name, std::move(content)});
  }
  return bundle;
}

std::string BlobObjectName(const std::string& digest) {
  return "intents/blob/" + digest;
}

std::string ManifestObjectName(uint64_t version, const std::string& nonce) {
  return fmt::format("intents/manifest/{}-{}", version, nonce);
}

FileDigests ComputeDigests(const std::vector<IntentFile>& files) {
  FileDigests digests;
  for (const IntentFile& it : files) {
    digests.emplace(it.name, base::Sha256Hex(it.text));
  }
  return digests;
}

}  // namespace daisypond::intents
