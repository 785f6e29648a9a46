#include "gateway/stream_base_tracker.h"

namespace daisypond::gateway {

bool StreamBaseTracker::IsCommon(const Service& service,
                                 const std::string& version) {
  size_t n_targets = 0;
  for (const auto& it : service.n_listed) {
    n_targets += it.second;
  }
  const auto found = service.n_listed.find(version);
  return found != service.n_listed.end() && found->second * 2 >= n_targets;
}

std::optional<std::string> StreamBaseTracker::MajorityVersion(
    const Service& service) {
  size_t n_targets = 0;
  for (const auto& it : service.n_listed) {
    n_targets += it.second;
  }
  for (const auto& it : service.n_listed) {
    if (it.second * 2 > n_targets) {
      return it.first;
    }
  }
  return std::nullopt;
}

std::set<std::string> StreamBaseTracker::RecentOf(const std::string& service,
                                                  base::Millis now) const {
  const forward::ServiceVersions recent = history_.RecentVersions(now);
  const auto found = recent.find(service);
  return found == recent.end() ? std::set<std::string>() : found->second;
}

void StreamBaseTracker::OnTargets(const catalog::Targets& targets,
                                  base::Millis now) {
  history_.OnTargets(targets, now);
  for (auto& it : services_) {
    it.second.n_listed.clear();
  }
  for (const auto& it : targets) {
    ++services_[it.second.service].n_listed[it.second.version];
  }
  CheckKnowledge(now);
}

void StreamBaseTracker::OnEra(uint64_t era, base::Millis now) {
  if (era_ && era <= *era_) {
    return;
  }
  if (era_) {
    undisturbed_since_ = now;
    for (auto& it : services_) {
      it.second.is_read = false;
      it.second.is_current = false;
      it.second.base.reset();
      it.second.asked_for.clear();
    }
  }
  era_ = era;
}

void StreamBaseTracker::OnRecordsRead(const ReleaseRecordMap& records,
                                      uint64_t era,
                                      base::Millis now) {
  OnEra(era, now);
  forward::ServiceVersions versions;
  for (const auto& it : records) {
    versions[it.first] = it.second.versions;
    services_.try_emplace(it.first);
  }
  history_.OnRecordsRead(versions, now);
  read_at_.reset();
  if (era != era_) {
    return;
  }
  for (auto& it : services_) {
    const auto record = records.find(it.first);
    SetKnown(
        it.first,
        record == records.end() ? std::nullopt : std::optional(record->second),
        now);
  }
  CheckKnowledge(now);
}

void StreamBaseTracker::OnRecordKnown(const std::string& service,
                                      const ReleaseRecord& record,
                                      uint64_t era,
                                      base::Millis now) {
  OnEra(era, now);
  if (era == era_) {
    SetKnown(service, record, now);
    CheckKnowledge(now);
  }
}

void StreamBaseTracker::SetKnown(const std::string& name,
                                 const std::optional<ReleaseRecord>& record,
                                 base::Millis now) {
  Service& service = services_[name];
  const std::optional<std::string> base =
      era_ ? BaseInEra(record, *era_) : std::nullopt;
  if (service.base != base) {
    service.scarce_since.reset();
  }
  service.is_read = true;
  service.is_current = true;
  service.last_single.reset();
  service.has_record = record.has_value();
  service.base = base;
  service.is_base_doubtful = service.is_base_doubtful && base;
  service.versions_at_read = RecentOf(name, now);
  service.asked_for = service.versions_at_read;
  service.has_read_observed =
      service.versions_at_read.size() == 1 && history_.HasObserved(name, now);
}

void StreamBaseTracker::CheckKnowledge(base::Millis now) {
  for (auto& it : services_) {
    Service& service = it.second;
    const std::set<std::string> recent = RecentOf(it.first, now);
    if (recent.size() == 1) {
      service.last_single = *recent.begin();
      service.single_since = service.single_since.value_or(now);
    } else {
      service.single_since.reset();
    }
    const bool is_unchanged = service.base ? IsCommon(service, *service.base)
                                           : recent == service.versions_at_read;
    const bool is_current = service.is_current && is_unchanged &&
                            !is_list_old_ &&
                            !(service.base && has_older_members_);
    if (service.is_current && !is_current) {
      service.asked_for.clear();
    }
    service.is_current = is_current;
    if (!service.base || IsCommon(service, *service.base)) {
      service.scarce_since.reset();
    } else {
      service.scarce_since = service.scarce_since.value_or(now);
    }
  }
}

void StreamBaseTracker::Update(std::optional<base::Millis> list_age,
                               uint64_t era,
                               bool has_older_members,
                               base::Millis read_spread,
                               base::Millis now) {
  if (era != 0) {
    OnEra(era, now);
  }
  has_older_members_ = has_older_members;
  is_list_old_ = !list_age || *list_age > kMaximumListAge;
  if ((list_age && *list_age > kMaximumClaimAge) || has_older_members) {
    undisturbed_since_ = now;
  }
  for (auto& it : services_) {
    it.second.is_base_doubtful |= has_older_members;
  }
  CheckKnowledge(now);
  ScheduleRead(read_spread, now);
}

bool StreamBaseTracker::WantsRead(const std::string& name,
                                  const Service& service,
                                  base::Millis now) const {
  if (is_list_old_) {
    return false;
  }
  if (has_older_members_ && service.base) {
    return true;
  }
  if (service.is_read && !service.has_record) {
    return true;
  }
  const std::set<std::string> recent = RecentOf(name, now);
  // A base may have been claimed since.
  const bool may_have_base = !service.base && !service.has_read_observed &&
                             recent.size() == 1 &&
                             history_.HasObserved(name, now);
  return may_have_base || (!service.is_current && recent != service.asked_for);
}

void StreamBaseTracker::ScheduleRead(base::Millis spread, base::Millis now) {
  for (auto& it : services_) {
    if (WantsRead(it.first, it.second, now)) {
      Service& service = it.second;
      service.asked_for = RecentOf(it.first, now);
      const bool is_first = service.is_read && !service.has_record;
      // Covers the time that the holder waits before it withdraws the base.
      const bool is_withdrawn =
          service.base && !IsCommon(service, *service.base);
      read_at_ = read_at_.value_or(
          now +
          (is_first || is_withdrawn ? kFirstRecordDelay : base::Millis{0}) +
          kReadDelay + spread);
    }
  }
}

forward::StreamBase StreamBaseTracker::BaseOf(const std::string& service,
                                              base::Millis now) const {
  forward::StreamBase known;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return known;
  }
  const Service& state = found->second;
  // Without eras nobody would trust a base.
  const bool is_withdrawn =
      has_older_members_ && state.is_read && state.is_current && !state.base;
  known.is_record_required = !is_withdrawn;
  const std::set<std::string> recent = RecentOf(service, now);
  if (state.is_current && state.base) {
    known.version = state.base;
  } else if (state.is_current && state.has_record && recent.size() == 1 &&
             recent == state.versions_at_read) {
    known.version = *recent.begin();
  }
  // What the table service may name as the base by now.
  const std::optional<std::string> candidate =
      state.base || state.is_current ? state.base : state.last_single;
  const bool is_candidate_listed =
      candidate && state.n_listed.contains(*candidate);
  if (is_candidate_listed) {
    known.fallback = candidate;
  } else if (!state.is_read) {
    known.fallback = MajorityVersion(state);
  }
  // The first base may be claimed by one that lists a single version only.
  const bool may_be_any =
      state.is_read && !state.has_record && recent.size() > 1;
  known.may_begin_unrecorded =
      !may_be_any && (!candidate || is_candidate_listed);
  return known;
}

forward::StreamBases StreamBaseTracker::Bases(base::Millis now) const {
  forward::StreamBases bases;
  for (const auto& it : services_) {
    bases[it.first] = BaseOf(it.first, now);
  }
  return bases;
}

bool StreamBaseTracker::MayClaim(const std::string& service,
                                 bool is_first_record,
                                 base::Millis now) const {
  if (has_older_members_ || is_list_old_ || !era_ ||
      now - undisturbed_since_ < history_.Lifetimes().Longest(service, now)) {
    return false;
  }
  const auto found = services_.find(service);
  const std::set<std::string> recent = RecentOf(service, now);
  return found != services_.end() && recent.size() == 1 &&
         found->second.n_listed.contains(*recent.begin()) &&
         (is_first_record ||
          (history_.HasObserved(service, now) &&
           now - found->second.single_since.value_or(now) >= kClaimDelay));
}

ReleaseRecord StreamBaseTracker::RecordToKeep(
    const std::string& service,
    const std::optional<ReleaseRecord>& stored,
    base::Millis now) const {
  ReleaseRecord record;
  record.versions = RecentOf(service, now);
  const std::optional<std::string> base =
      era_ ? BaseInEra(stored, *era_) : std::nullopt;
  const auto found = services_.find(service);
  if (MayClaim(service, !stored, now)) {
    record.base = BaseVersion{*record.versions.begin(), *era_};
  } else if (base && found != services_.end() &&
             !found->second.is_base_doubtful) {
    // Also true while this instance has not read the base yet.
    const bool is_kept =
        IsCommon(found->second, *base) || found->second.base != base ||
        now - found->second.scarce_since.value_or(now) < kWithdrawalDelay;
    if (is_kept) {
      record.base = stored->base;
    }
  }
  return record;
}

}  // namespace daisypond::gateway
