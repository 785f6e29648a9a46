#include "gateway/shared_stream_records.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/hash.h"
#include "base/log.h"
#include "gateway/shared_request_limit.h"
#include "membership/copy_peers.h"

namespace daisypond::gateway {

namespace {

// Number of peers that keep a record besides the instance that served the
// stream.
constexpr size_t kRecordCopies = 2;
// Timeout of a call to a peer, which allows several network round trips.
constexpr base::Millis kCallTimeout{250};
// In a group of up to this size, each instance stores its records itself. In a
// larger group a few instances store the records of all, because many writers
// with few records each would cost a call a record.
constexpr size_t kMaximumWriters = 16;
// Number of instances that store records in a large group.
constexpr uint64_t kKeepers = 2;
constexpr size_t kMaximumOwnRecords = 10'000;

/// The search for the origin of a stream among the peers.
struct Search {
  size_t n_asked = 0;
  size_t n_pending = 0;
  size_t n_answered = 0;
  bool is_done = false;
  /// The versions that the instances list.
  std::set<std::string> versions;
  /// True when an instance knows that there has been a single version.
  bool is_only_version_known = false;
  bool has_several_versions = false;
  /// The versions that instances name as that of all streams without a record.
  std::set<std::string> earlier_versions;
  /// True when an instance can't name one.
  bool is_earlier_version_unknown = false;
  /// True when the table service has answered that it has no record.
  bool is_unknown_to_storage = false;

  void Add(const peer::FindStreamReply& reply) {
    const auto count = static_cast<forward::VersionCount>(reply.versions());
    is_only_version_known |= count == forward::VersionCount::kOne;
    has_several_versions |= count == forward::VersionCount::kSeveral;
    if (reply.has_version()) {
      versions.insert(reply.version());
    }
    if (reply.has_earlier_version()) {
      earlier_versions.insert(reply.earlier_version());
    } else if (count == forward::VersionCount::kOne && reply.has_version()) {
      earlier_versions.insert(reply.version());
    } else {
      is_earlier_version_unknown = true;
    }
  }

  /// Returns the version that began a stream of which nobody has a record.
  forward::StreamOrigin OriginWithoutRecord(const std::string& service) const {
    const forward::StreamOrigin only = OnlyVersion(service);
    return only.source == forward::VersionSource::kUnknown
               ? EarlierVersion(service)
               : only;
  }

  /// Returns the version that all instances name as that of all streams without
  /// a record. An instance that does not answer may have one.
  forward::StreamOrigin EarlierVersion(const std::string& service) const {
    if (earlier_versions.size() != 1 || is_earlier_version_unknown ||
        n_answered != n_asked || !is_unknown_to_storage) {
      return {};
    }
    return {forward::VersionSource::kEarlierVersion,
            {service, *earlier_versions.begin()}};
  }

  /// Returns the only version of the service, if an instance knows that it is
  /// the only one and no other instance contradicts.
  forward::StreamOrigin OnlyVersion(const std::string& service) const {
    // An instance that reaches no peer may have missed a release.
    const bool is_cut_off = n_asked > 0 && n_answered == 0;
    if (!is_only_version_known || has_several_versions ||
        versions.size() != 1 || is_cut_off) {
      return {};
    }
    return {forward::VersionSource::kOnlyVersion, {service, *versions.begin()}};
  }
};

peer::RecordStreamRequest ToProto(const std::string& id,
                                  const forward::StreamRecord& record) {
  peer::RecordStreamRequest request;
  request.set_id(id);
  request.set_service(record.service);
  request.set_version(record.version);
  return request;
}

forward::StreamOrigin RecordedOrigin(const peer::FindStreamReply& reply) {
  return {forward::VersionSource::kRecord, {reply.service(), reply.version()}};
}

void LogOrigin(const std::string& id,
               const Search& search,
               const forward::StreamOrigin& origin) {
  base::Log(base::LogLevel::kInfo, "stream_origin",
            {{"resumes", id},
             {"source", forward::kVersionSourceNames.NameOf(origin.source)},
             {"service", origin.record.service},
             {"software", origin.record.version},
             {"asked", search.n_asked},
             {"answered", search.n_answered},
             {"several_versions", search.has_several_versions}});
}

}  // namespace

void SharedStreamRecords::Record(const std::string& id,
                                 const forward::StreamRecord& record) {
  records_.Add(id, record, base::Clock::Now());
  AddOwnRecord(id, record);
  if (stored_services_.contains(record.service)) {
    Store(id, record);
  }
  const peer::RecordStreamRequest request = ToProto(id, record);
  const membership::PeerState& self = membership_->Table().Self();
  const auto ranked = membership::RankCopyPeers(
      id, {self.failure_domain, self.region}, membership_->Table().Reachable());
  for (size_t i = 0; i < std::min(kRecordCopies, ranked.size()); ++i) {
    client_->RecordStream(ranked[i].address, request, kCallTimeout);
  }
}

void SharedStreamRecords::AddOwnRecord(const std::string& id,
                                       const forward::StreamRecord& record) {
  const base::Millis now = base::Clock::Now();
  own_records_.push_back({now, id, record});
  while (own_records_.size() > kMaximumOwnRecords ||
         now - own_records_.front().added_at >=
             forward::VersionHistory::kLongestStream) {
    own_records_.pop_front();
  }
}

void SharedStreamRecords::Store(const std::string& id,
                                const forward::StreamRecord& record) {
  const auto& table = membership_->Table();
  const auto peers = table.Reachable();
  const std::string keeper = SelectPermitHolder(
      fmt::format("stream-records-{}", base::Hash(id) % kKeepers), table.Self(),
      peers);
  if (peers.size() >= kMaximumWriters && keeper != table.Self().address) {
    peer::RecordStreamRequest request = ToProto(id, record);
    request.set_is_to_be_stored(true);
    client_->RecordStream(keeper, request, kCallTimeout);
  } else if (storage_.add) {
    storage_.add(id, record);
  }
}

void SharedStreamRecords::StoreRecordsOfNewReleases() {
  std::set<std::string> services;
  for (const auto& it : history_.RecentVersions(base::Clock::Now())) {
    if (it.second.size() > 1) {
      services.insert(it.first);
    }
  }
  for (const OwnRecord& it : own_records_) {
    if (services.contains(it.record.service) &&
        !stored_services_.contains(it.record.service)) {
      Store(it.id, it.record);
    }
  }
  has_seen_release_ |= !services.empty();
  stored_services_ = std::move(services);
}

void SharedStreamRecords::Find(const std::string& id,
                               const std::string& service,
                               const OriginCallback& done) {
  const auto search = std::make_shared<Search>();
  const auto finish = [id, search, done](const forward::StreamOrigin& origin) {
    if (!std::exchange(search->is_done, true)) {
      LogOrigin(id, *search, origin);
      done(origin);
    }
  };
  peer::FindStreamRequest request;
  request.set_id(id);
  request.set_service(service);
  const peer::FindStreamReply own = Answer(request);
  if (own.is_found()) {
    finish(RecordedOrigin(own));
    return;
  }
  search->Add(own);
  const std::vector<std::string> addresses =
      membership::CopyLookupAddresses(id, membership_->Table().Reachable());
  search->n_asked = addresses.size();
  search->n_pending = addresses.size();
  if (storage_.find && history_.Count(service, base::Clock::Now()) !=
                           forward::VersionCount::kOne) {
    ++search->n_pending;
    storage_.find(id,
                  [search, service, finish](const StoredRecordResult& result) {
                    --search->n_pending;
                    search->is_unknown_to_storage = result && !*result;
                    if (result && *result) {
                      finish({forward::VersionSource::kStoredRecord, **result});
                    } else if (search->n_pending == 0) {
                      finish(search->OriginWithoutRecord(service));
                    }
                  });
  }
  if (search->n_pending == 0) {
    finish(search->OriginWithoutRecord(service));
    return;
  }
  const auto on_reply = [search, service, finish](
                            const std::optional<peer::FindStreamReply>& reply) {
    --search->n_pending;
    search->n_answered += reply ? 1 : 0;
    if (reply && reply->is_found()) {
      finish(RecordedOrigin(*reply));
      return;
    }
    if (reply) {
      search->Add(*reply);
    }
    if (search->n_pending == 0) {
      finish(search->OriginWithoutRecord(service));
    }
  };
  for (const std::string& it : addresses) {
    client_->FindStream(
        it, request, kCallTimeout,
        [this, on_reply](std::optional<peer::FindStreamReply> reply) {
          post_([on_reply, reply = std::move(reply)] { on_reply(reply); });
        });
  }
}

void SharedStreamRecords::OnTargets(const catalog::Targets& targets) {
  history_.OnTargets(targets, base::Clock::Now());
  StoreRecordsOfNewReleases();
}

void SharedStreamRecords::OnStoreReturnedFromCopy() {
  stored_services_.clear();
  StoreRecordsOfNewReleases();
}

void SharedStreamRecords::OnReleasesRead(
    const forward::ServiceVersions& recorded) {
  history_.OnRecordsRead(recorded, base::Clock::Now());
  StoreRecordsOfNewReleases();
}

forward::ServiceVersions SharedStreamRecords::VersionsToRecord() const {
  const auto& table = membership_->Table();
  forward::ServiceVersions versions =
      history_.RecentVersions(base::Clock::Now());
  std::erase_if(versions, [&](const auto& it) {
    return SelectPermitHolder(it.first, table.Self(), table.Reachable()) !=
           table.Self().address;
  });
  return versions;
}

bool SharedStreamRecords::IsCleaner() const {
  const auto& table = membership_->Table();
  return has_seen_release_ &&
         SelectPermitHolder("stream-records", table.Self(),
                            table.Reachable()) == table.Self().address;
}

void SharedStreamRecords::AddRecord(const peer::RecordStreamRequest& request) {
  const forward::StreamRecord record{request.service(), request.version()};
  records_.Add(request.id(), record, base::Clock::Now());
  if (request.is_to_be_stored() && storage_.add) {
    storage_.add(request.id(), record);
  }
}

peer::FindStreamReply SharedStreamRecords::Answer(
    const peer::FindStreamRequest& request) const {
  const base::Millis now = base::Clock::Now();
  peer::FindStreamReply reply;
  const auto record = records_.Find(request.id(), now);
  if (record) {
    reply.set_is_found(true);
    reply.set_service(record->service);
    reply.set_version(record->version);
    return reply;
  }
  const forward::VersionCount count = history_.Count(request.service(), now);
  reply.set_versions(static_cast<uint32_t>(count));
  const auto earlier = history_.EarlierVersion(
      request.service(), now, membership_->Table().LastDisturbedAt());
  if (earlier) {
    reply.set_earlier_version(*earlier);
  }
  const auto version = history_.LatestVersion(request.service());
  if (version) {
    reply.set_version(*version);
  }
  return reply;
}

}  // namespace daisypond::gateway
