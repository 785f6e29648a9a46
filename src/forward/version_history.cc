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
        services_.try_emplace(target.service, ServiceHistory{now, false, {}})
            .first->second;
    history.versions[target.version] = {now, true};
  }
  for (auto& service : services_) {
    std::erase_if(service.second.versions, [&](const auto& it) {
      return !IsRecent(service.first, it.second, now);
    });
  }
}

void VersionHistory::OnRecordsRead(const ServiceVersions& recorded,
                                   base::Millis now) {
  for (const auto& service : recorded) {
    ServiceHistory& history =
        services_.try_emplace(service.first, ServiceHistory{now, false, {}})
            .first->second;
    history.is_recorded = !service.second.empty();
    for (const std::string& it : service.second) {
      history.versions.try_emplace(it, Listed{now, false});
    }
  }
}

bool VersionHistory::IsRecent(const std::string& service,
                              const Listed& version,
                              base::Millis now) const {
  return version.is_listed ||
         now - version.last_listed_at < lifetimes_.Longest(service, now);
}

VersionCount VersionHistory::Count(const std::string& service,
                                   base::Millis now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return VersionCount::kUnknown;
  }
  const ServiceHistory& history = found->second;
  const auto n_versions = std::count_if(
      history.versions.begin(), history.versions.end(),
      [&](const auto& it) { return IsRecent(service, it.second, now); });
  if (n_versions != 1) {
    return n_versions > 1 ? VersionCount::kSeveral : VersionCount::kUnknown;
  }
  return history.is_recorded || HasObserved(service, now)
             ? VersionCount::kOne
             : VersionCount::kUnknown;
}

base::Millis VersionHistory::ObservedFor(const std::string& service,
                                         base::Millis now) const {
  const auto found = services_.find(service);
  return found == services_.end() ? base::Millis{0}
                                  : now - found->second.observed_since;
}

bool VersionHistory::HasObserved(const std::string& service,
                                 base::Millis now) const {
  return ObservedFor(service, now) >= lifetimes_.Longest(service, now);
}

ServiceVersions VersionHistory::RecentVersions(base::Millis now) const {
  ServiceVersions recent;
  for (const auto& service : services_) {
    for (const auto& it : service.second.versions) {
      if (IsRecent(service.first, it.second, now)) {
        recent[service.first].insert(it.first);
      }
    }
  }
  return recent;
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
