#include "forward/version_history.h"

#include <algorithm>
#include <utility>

namespace daisypond::forward {

void VersionHistory::OnTargets(const catalog::Targets& targets,
                               base::Millis now) {
  for (auto& service : services_) {
    service.second.started_at.clear();
    for (auto& it : service.second.versions) {
      it.second.last_listed_at =
          it.second.is_listed ? now : it.second.last_listed_at;
      it.second.is_listed = false;
    }
  }
  for (const auto& it : targets) {
    const catalog::Target& target = it.second;
    ServiceHistory& history =
        services_.try_emplace(target.service, ServiceHistory{now, {}, {}})
            .first->second;
    history.versions[target.version] = {now, true};
    history.started_at[target.id] = target.started_at;
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
  const auto n_old = std::count_if(
      history.started_at.begin(), history.started_at.end(),
      [&](const auto& it) {
        return it.second != 0 &&
               unix_now - base::Millis{it.second} >= kLongestStream;
      });
  const bool are_most_old =
      static_cast<size_t>(n_old) * 2 > history.started_at.size();
  return now - history.observed_since >= kLongestStream || are_most_old
             ? VersionCount::kOne
             : VersionCount::kUnknown;
}

std::string VersionHistory::LatestVersion(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return "";
  }
  const auto& versions = found->second.versions;
  const auto it = std::max_element(
      versions.begin(), versions.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.is_listed, a.second.last_listed_at) <
               std::pair(b.second.is_listed, b.second.last_listed_at);
      });
  return it == versions.end() ? "" : it->first;
}

}  // namespace daisypond::forward
