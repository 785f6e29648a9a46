#include "forward/version_history.h"

#include <algorithm>
#include <utility>

namespace daisypond::forward {

void VersionHistory::OnTargets(const catalog::Targets& targets,
                               base::Millis now) {
  for (auto& service : services_) {
    for (auto& it : service.second.versions) {
      it.second.last_listed_at =
          it.second.is_listed ? now : it.second.last_listed_at;
      it.second.is_listed = false;
    }
  }
  for (const auto& it : targets) {
    const catalog::Target& target = it.second;
    ServiceHistory& history =
        services_.try_emplace(target.service, ServiceHistory{now, {}})
            .first->second;
    history.versions[target.version] = {now, true};
  }
  for (auto& service : services_) {
    std::erase_if(service.second.versions, [&](const auto& it) {
      return !it.second.is_listed &&
             now - it.second.last_listed_at >= kLongestStream;
    });
  }
}

VersionCount VersionHistory::Count(const std::string& service,
                                   base::Millis now,
                                   base::Millis unix_now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return VersionCount::kUnknown;
  }
  const ServiceHistory& history = found->second;
  const auto n_versions = std::count_if(
      history.versions.begin(), history.versions.end(), [&](const auto& it) {
        return it.second.is_listed ||
               now - it.second.last_listed_at < kLongestStream;
      });
  if (n_versions != 1) {
    return n_versions > 1 ? VersionCount::kSeveral : VersionCount::kUnknown;
  }
  if (now - history.observed_since >= kLongestStream) {
    return VersionCount::kOne;
  }
  if (!last_several_at_) {
    return VersionCount::kUnknown;
  }
  const auto it = last_several_at_->find(service);
  const bool had_several =
      it != last_several_at_->end() &&
      unix_now - it->second < kLongestStream + kRecordSlack;
  return had_several ? VersionCount::kSeveral : VersionCount::kOne;
}

void VersionHistory::OnReleasesRead(
    std::map<std::string, base::Millis> last_several_at) {
  last_several_at_ = std::move(last_several_at);
}

std::vector<std::string> VersionHistory::ServicesWithSeveralVersions() const {
  std::vector<std::string> services;
  for (const auto& service : services_) {
    const auto n = std::count_if(
        service.second.versions.begin(), service.second.versions.end(),
        [](const auto& it) { return it.second.is_listed; });
    if (n > 1) {
      services.push_back(service.first);
    }
  }
  return services;
}

std::optional<std::string> VersionHistory::LatestVersion(
    const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return std::nullopt;
  }
  const auto& versions = found->second.versions;
  const auto it = std::max_element(
      versions.begin(), versions.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.is_listed, a.second.last_listed_at) <
               std::pair(b.second.is_listed, b.second.last_listed_at);
      });
  return it == versions.end() ? std::nullopt : std::optional(it->first);
}

}  // namespace daisypond::forward
