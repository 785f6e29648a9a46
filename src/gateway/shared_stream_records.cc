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
#include "gateway/stream_record_queue.h"
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
// A peer may state any time for which a stream is resumable; it counts up to
// this one.
constexpr base::Millis kMaximumStreamTime{24 * 3'600'000};
// How long a keeper has to store a record for which a stream waits. After that
// the instance that serves the stream stores it itself.
constexpr base::Millis kAwaitedCallTimeout{300};
// How long an instance of an older build has observed a service of which it
// states the only version.
constexpr base::Millis kObservedByOlderBuilds{30'000};
// Members that read the records of versions again do so within this time for
// each member, 20 calls a second.
constexpr base::Millis kReadSpreadPerMember{50};
constexpr base::Millis kMinimumReadSpread{1000};

/// The search for the origin of a stream among the peers.
struct Search {
  /// How long the caller may have had the stream.
  base::Millis longest_stream{0};
  size_t n_asked = 0;
  size_t n_pending = 0;
  size_t n_answered = 0;
  bool is_done = false;
  /// The versions that the instances list.
  std::set<std::string> versions;
  /// True when an instance knows that there has been a single version.
  bool is_only_version_known = false;
  bool has_several_versions = false;
  /// The version that the table service names for a stream without a record.
  std::optional<std::string> base;

  void Add(const peer::FindStreamReply& reply) {
    const auto count = static_cast<forward::VersionCount>(reply.versions());
    const base::Millis observed_for =
        reply.observed_ms() == 0
            ? kObservedByOlderBuilds
            : base::Millis{static_cast<int64_t>(reply.observed_ms())};
    is_only_version_known |=
        count == forward::VersionCount::kOne && observed_for >= longest_stream;
    has_several_versions |= count == forward::VersionCount::kSeveral;
    if (reply.has_version()) {
      versions.insert(reply.version());
    }
  }

  /// Returns the version that began a stream of which nobody has a record.
  forward::StreamOrigin OriginWithoutRecord(const std::string& service) const {
    return base ? forward::StreamOrigin{forward::VersionSource::kBaseVersion,
                                        {service, *base}}
                : OnlyVersion(service);
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

void Ignore(const std::optional<peer::RecordStreamReply>&) {}

peer::RecordStreamRequest ToProto(const std::string& id,
                                  const forward::StreamRecord& record) {
  peer::RecordStreamRequest request;
  request.set_id(id);
  request.set_service(record.service);
  request.set_version(record.version);
  const base::Millis left = record.resumable_until - base::Clock::Now();
  request.set_resumable_ms(
      static_cast<uint64_t>(std::max(left.count, int64_t{0})));
  return request;
}

/// Returns the record in a request that arrived at `now`.
forward::StreamRecord FromProto(const peer::RecordStreamRequest& request,
                                base::Millis now) {
  const auto left = static_cast<int64_t>(
      std::min<uint64_t>(request.resumable_ms(), kMaximumStreamTime.count));
  return {request.service(), request.version(), now + base::Millis{left}};
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
             {"longest_stream_ms", search.longest_stream.count},
             {"several_versions", search.has_several_versions}});
}

}  // namespace

void SharedStreamRecords::Record(const std::string& id,
                                 const forward::StreamRecord& record,
                                 forward::RecordState state) {
  const base::Millis now = base::Clock::Now();
  records_.Add(id, record, now);
  own_records_.Add(id, record, now);
  OnStream(record);
  if (state == forward::RecordState::kNotStored && IsRecordStored(record)) {
    Store(id, record);
  }
  const peer::RecordStreamRequest request = ToProto(id, record);
  const membership::PeerState& self = membership_->Table().Self();
  const auto ranked = membership::RankCopyPeers(
      id, {self.failure_domain, self.region}, membership_->Table().Reachable());
  for (size_t i = 0; i < std::min(kRecordCopies, ranked.size()); ++i) {
    client_->RecordStream(ranked[i].address, request, kCallTimeout, Ignore);
  }
}

bool SharedStreamRecords::IsRecordStored(
    const forward::StreamRecord& record) const {
  const forward::StreamBase base =
      bases_.BaseOf(record.service, base::Clock::Now());
  return stored_services_.contains(record.service) ||
         base.MustRecordFirst(record.version);
}

void SharedStreamRecords::RecordFirst(const std::string& id,
                                      const forward::StreamRecord& record,
                                      RecordCallback done) {
  if (!storage_.add_first) {
    done(forward::RecordOutcome::kStored);
    return;
  }
  const std::string keeper = KeeperOf(id, record);
  if (keeper.empty()) {
    storage_.add_first(id, record, std::move(done));
    return;
  }
  peer::RecordStreamRequest request = ToProto(id, record);
  request.set_is_to_be_stored(true);
  request.set_is_awaited(true);
  client_->RecordStream(
      keeper, request, kAwaitedCallTimeout,
      [this, id, record, done = std::move(done)](
          const std::optional<peer::RecordStreamReply>& reply) {
        const auto unknown =
            static_cast<uint32_t>(forward::RecordOutcome::kUnknown);
        if (reply && reply->has_outcome()) {
          done(static_cast<forward::RecordOutcome>(
              std::min(reply->outcome(), unknown)));
          return;
        }
        post_([this, id, record, done] {
          RecordWithoutKeeper(id, record, done);
        });
      });
}

void SharedStreamRecords::RecordWithoutKeeper(
    const std::string& id,
    const forward::StreamRecord& record,
    const RecordCallback& done) {
  storage_.add_first(id, record, [done](forward::RecordOutcome outcome) {
    // The keeper may have stored the record, or may do so yet.
    done(outcome == forward::RecordOutcome::kStored
             ? outcome
             : forward::RecordOutcome::kUnknown);
  });
}

void SharedStreamRecords::OnStream(const forward::StreamRecord& record) {
  bases_.Lifetimes().OnStream(record.service, record.resumable_until,
                              base::Clock::Now());
}

std::string SharedStreamRecords::KeeperOf(
    const std::string& id,
    const forward::StreamRecord& record) const {
  const auto& table = membership_->Table();
  const auto peers = table.Reachable();
  if (peers.size() < kMaximumWriters) {
    return "";
  }
  const std::string keeper = SelectPermitHolder(
      fmt::format("stream-records-{}", base::Hash(id) % kKeepers), table.Self(),
      peers);
  // A keeper of an older build removes the row too soon.
  const bool is_long = record.resumable_until - base::Clock::Now() >
                       StreamRecordQueue::kMinimumRetention;
  const bool is_kept_too_short =
      is_long && std::any_of(peers.begin(), peers.end(), [&](const auto& it) {
        return it.address == keeper &&
               it.feature_level < membership::kKeepsLongStreams;
      });
  return keeper == table.Self().address || is_kept_too_short ? "" : keeper;
}

void SharedStreamRecords::Store(const std::string& id,
                                const forward::StreamRecord& record) {
  const std::string keeper = KeeperOf(id, record);
  if (!keeper.empty()) {
    peer::RecordStreamRequest request = ToProto(id, record);
    request.set_is_to_be_stored(true);
    client_->RecordStream(keeper, request, kCallTimeout, Ignore);
  } else if (storage_.add) {
    storage_.add(id, record);
  }
}

void SharedStreamRecords::StoreRecordsOfNewReleases() {
  const base::Millis now = base::Clock::Now();
  std::set<std::string> services;
  for (const auto& it : bases_.RecentVersions(now)) {
    has_seen_release_ |= it.second.size() > 1;
    if (it.second.size() > 1 && !bases_.BaseOf(it.first, now).version) {
      services.insert(it.first);
    }
  }
  const bool has_new_service =
      !std::includes(stored_services_.begin(), stored_services_.end(),
                     services.begin(), services.end());
  if (has_new_service) {
    own_records_.ForEach(
        now, [&](const std::string& id, const forward::StreamRecord& record) {
          if (services.contains(record.service) &&
              !stored_services_.contains(record.service)) {
            Store(id, record);
          }
        });
  }
  stored_services_ = std::move(services);
}

void SharedStreamRecords::Find(const std::string& id,
                               const std::string& service,
                               const OriginCallback& done) {
  const auto search = std::make_shared<Search>();
  search->longest_stream =
      bases_.History().Lifetimes().Longest(service, base::Clock::Now());
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
  // Another version may have come and gone before this instance began to
  // observe the service.
  const base::Millis now = base::Clock::Now();
  const bool is_observed =
      bases_.History().Count(service, now) == forward::VersionCount::kOne &&
      bases_.History().HasObserved(service, now);
  if (storage_.find && !is_observed) {
    ++search->n_pending;
    storage_.find(
        id, service, [this, search, service, finish](const StoredOrigin& it) {
          --search->n_pending;
          // Members of older builds begin streams without a record.
          search->base = bases_.HasOlderMembers() ? std::nullopt : it.base;
          if (it.record && *it.record) {
            finish({forward::VersionSource::kStoredRecord, **it.record});
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
  bases_.OnTargets(targets, base::Clock::Now());
  StoreRecordsOfNewReleases();
}

void SharedStreamRecords::OnLongestTimeouts(
    const forward::ServiceTimes& timeouts) {
  bases_.Lifetimes().OnConfiguration(timeouts, base::Clock::Now());
}

void SharedStreamRecords::Update(std::optional<base::Millis> list_age,
                                 uint64_t era) {
  const auto peers = membership_->Table().Reachable();
  const uint32_t needed_level =
      bases_.Lifetimes().HasLongStreams(base::Clock::Now())
          ? membership::kKeepsLongStreams
          : membership::kKeepsStreamOrigins;
  const bool has_older_members = std::any_of(
      peers.begin(), peers.end(),
      [&](const auto& it) { return it.feature_level < needed_level; });
  const base::Millis spread =
      std::max(kMinimumReadSpread,
               kReadSpreadPerMember * static_cast<int64_t>(peers.size() + 1));
  bases_.Update(list_age, era, has_older_members,
                {static_cast<int64_t>(base::RandomNumber() %
                                      static_cast<uint64_t>(spread.count))},
                base::Clock::Now());
  StoreRecordsOfNewReleases();
}

void SharedStreamRecords::OnStoreReturnedFromCopy() {
  stored_services_.clear();
  StoreRecordsOfNewReleases();
}

void SharedStreamRecords::OnReleasesRead(const ReleaseRecordMap& records,
                                         uint64_t era) {
  bases_.OnRecordsRead(records, era, base::Clock::Now());
  StoreRecordsOfNewReleases();
}

std::vector<std::string> SharedStreamRecords::HeldServices() const {
  const auto& table = membership_->Table();
  std::vector<std::string> services;
  for (const auto& it : bases_.RecentVersions(base::Clock::Now())) {
    if (SelectPermitHolder(it.first, table.Self(), table.Reachable()) ==
        table.Self().address) {
      services.push_back(it.first);
    }
  }
  return services;
}

bool SharedStreamRecords::IsCleaner() const {
  const auto& table = membership_->Table();
  return has_seen_release_ &&
         SelectPermitHolder("stream-records", table.Self(),
                            table.Reachable()) == table.Self().address;
}

void SharedStreamRecords::AddRecord(
    const peer::RecordStreamRequest& request,
    std::function<void(peer::RecordStreamReply)> done) {
  const base::Millis now = base::Clock::Now();
  const forward::StreamRecord record = FromProto(request, now);
  if (request.is_awaited() && storage_.add_first) {
    // The stream has not begun and may yet begin at another version.
    storage_.add_first(request.id(), record,
                       [done = std::move(done)](forward::RecordOutcome it) {
                         peer::RecordStreamReply reply;
                         reply.set_outcome(static_cast<uint32_t>(it));
                         done(reply);
                       });
    return;
  }
  records_.Add(request.id(), record, now);
  OnStream(record);
  if (request.is_to_be_stored() && storage_.add) {
    storage_.add(request.id(), record);
  }
  done({});
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
  // A record of the versions without a base proves nothing: one may have come
  // and gone since, and the table service may have returned from a copy.
  forward::VersionCount count = bases_.History().Count(request.service(), now);
  if (count == forward::VersionCount::kOne &&
      !bases_.History().HasObserved(request.service(), now)) {
    count = forward::VersionCount::kUnknown;
  }
  reply.set_versions(static_cast<uint32_t>(count));
  reply.set_observed_ms(static_cast<uint64_t>(
      bases_.History().ObservedFor(request.service(), now).count));
  const auto version = bases_.History().LatestVersion(request.service());
  if (version) {
    reply.set_version(*version);
  }
  return reply;
}

}  // namespace daisypond::gateway
