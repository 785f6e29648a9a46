#include "intents/active_configuration.h"

#include <utility>

#include "base/log.h"

namespace daisypond::intents {

ActiveConfiguration::ActiveConfiguration(base::Metrics* metrics)
    : metrics_(metrics),
      current_(std::make_shared<Configuration>()),
      bundle_json_(std::make_shared<std::string>()) {}

bool ActiveConfiguration::ApplyIfNewer(const Bundle& bundle) {
  const uint64_t version = bundle.manifest.version;
  if (version <= Version()) {
    return false;
  }
  auto parsed = ParseIntents(bundle.files);
  if (!parsed) {
    base::Log(base::LogLevel::kError, "configuration_refused",
              {{"version", version}, {"error", parsed.error().ToString()}});
    return false;
  }
  parsed->version = version;
  auto next = std::make_shared<const Configuration>(std::move(*parsed));
  auto json = std::make_shared<const std::string>(ToJson(bundle));
  const std::lock_guard lock(mutex_);
  if (version <= current_->version) {
    return false;
  }
  const bool is_growing = next->version > current_->version;
  if (!metrics_->CheckInvariant(base::Invariant::kConfigurationNeverReverts,
                                is_growing)) {
    return false;
  }
  current_ = std::move(next);
  bundle_ = bundle;
  bundle_json_ = std::move(json);
  metrics_->Add(base::Counter::kConfigurationChanges);
  base::Log(base::LogLevel::kInfo, "configuration_in_force",
            {{"version", version}, {"author", bundle.manifest.author}});
  return true;
}

std::shared_ptr<const Configuration> ActiveConfiguration::Current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

std::shared_ptr<const std::string> ActiveConfiguration::CurrentBundleJson()
    const {
  const std::lock_guard lock(mutex_);
  return bundle_json_;
}

std::optional<std::string> ActiveConfiguration::FindFileText(
    const std::string& name,
    const std::string& digest) const {
  const std::lock_guard lock(mutex_);
  const auto it = bundle_.manifest.files.find(name);
  if (it == bundle_.manifest.files.end() || it->second != digest) {
    return std::nullopt;
  }
  for (const IntentFile& file : bundle_.files) {
    if (file.name == name) {
      return file.text;
    }
  }
  return std::nullopt;
}

}  // namespace daisypond::intents
