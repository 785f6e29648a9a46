#include "forward/version_history.h"

#include <algorithm>
#include <utility>

namespace daisypond::forward {

void VersionHistory::OnTargets(const catalog::Targets& targets,
                               base::Millis now) {
  FindReleases(targets, now);
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
        services_
            .try_emplace(target.service, ServiceHistory{now, false, {}, {}})
            .first->second;
    history.versions[target.version] = {now, true};
  }
  for (auto& service : services_) {
    std::erase_if(service.second.versions,
                  [&](const auto& it) { return !IsRecent(it.second, now); });
  }
}

void VersionHistory::FindReleases(const catalog::Targets& targets,
                                  base::Millis now) {
  for (const auto& it : targets) {
    const auto service = services_.find(it.second.service);
    if (service == services_.end()) {
      continue;
    }
    ServiceHistory& history = service->second;
    const auto known = history.versions.find(it.second.version);
    if ((known != history.versions.end() && IsRecent(known->second, now)) ||
        Count(service->first, now) != VersionCount::kOne) {
      continue;
    }
    // A version that an earlier instance has recorded may have been joined
    // before this instance listed anything.
    const auto only = history.versions.find(*LatestVersion(service->first));
    if (only->second.is_listed) {
      history.earlier = {only->first, now};
    }
  }
}

std::optional<std::string> VersionHistory::EarlierVersion(
    const std::string& service,
    base::Millis now,
    base::Millis records_lost_at) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.earlier) {
    return std::nullopt;
  }
  const Earlier& earlier = *found->second.earlier;
  if (now - earlier.joined_at >= kLongestStream ||
      records_lost_at + kJoinPeriod >= earlier.joined_at) {
    return std::nullopt;
  }
  return earlier.version;
}

void VersionHistory::OnRecordsRead(const ServiceVersions& recorded,
                                   base::Millis now) {
  for (const auto& service : recorded) {
    ServiceHistory& history =
        services_.try_emplace(service.first, ServiceHistory{now, false, {}, {}})
            .first->second;
    history.is_recorded = !service.second.empty();
    for (const std::string& it : service.second) {
      history.versions.try_emplace(it, Listed{now, false});
    }
  }
}

bool VersionHistory::IsRecent(const Listed& version, base::Millis now) {
  return version.is_listed || now - version.last_listed_at < kLongestStream;
}

VersionCount VersionHistory::Count(const std::string& service,
                                   base::Millis now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return VersionCount::kUnknown;
  }
  const ServiceHistory& history = found->second;
  const auto n_versions =
      std::count_if(history.versions.begin(), history.versions.end(),
                    [&](const auto& it) { return IsRecent(it.second, now); });
  if (n_versions != 1) {
    return n_versions > 1 ? VersionCount::kSeveral : VersionCount::kUnknown;
  }
  const bool is_certain =
      history.is_recorded || now - history.observed_since >= kLongestStream;
  return is_certain ? VersionCount::kOne : VersionCount::kUnknown;
}

ServiceVersions VersionHistory::RecentVersions(base::Millis now) const {
  ServiceVersions recent;
  for (const auto& service : services_) {
    for (const auto& it : service.second.versions) {
      if (IsRecent(it.second, now)) {
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
