#include "gateway/shared_stream_records.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

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

  void Add(const peer::FindStreamReply& reply) {
    const auto count = static_cast<forward::VersionCount>(reply.versions());
    is_only_version_known |= count == forward::VersionCount::kOne;
    has_several_versions |= count == forward::VersionCount::kSeveral;
    if (reply.has_version()) {
      versions.insert(reply.version());
    }
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
  peer::RecordStreamRequest request;
  request.set_id(id);
  request.set_service(record.service);
  request.set_version(record.version);
  const membership::PeerState& self = membership_->Table().Self();
  const auto ranked = membership::RankCopyPeers(
      id, {self.failure_domain, self.region}, membership_->Table().Reachable());
  for (size_t i = 0; i < std::min(kRecordCopies, ranked.size()); ++i) {
    client_->RecordStream(ranked[i].address, request, kCallTimeout);
  }
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
  if (addresses.empty()) {
    finish(search->OnlyVersion(service));
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
      finish(search->OnlyVersion(service));
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
}

void SharedStreamRecords::OnReleasesRead(
    std::map<std::string, base::Millis> last_several_at) {
  history_.OnReleasesRead(std::move(last_several_at));
}

std::vector<std::string> SharedStreamRecords::ReleasesToRecord() const {
  const auto& table = membership_->Table();
  std::vector<std::string> services = history_.ServicesWithSeveralVersions();
  std::erase_if(services, [&](const std::string& it) {
    return SelectPermitHolder(it, table.Self(), table.Reachable()) !=
           table.Self().address;
  });
  return services;
}

void SharedStreamRecords::AddRecord(const peer::RecordStreamRequest& request) {
  records_.Add(request.id(), {request.service(), request.version()},
               base::Clock::Now());
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
  const forward::VersionCount count =
      history_.Count(request.service(), now, base::Clock::UnixNow());
  reply.set_versions(static_cast<uint32_t>(count));
  const auto version = history_.LatestVersion(request.service());
  if (version) {
    reply.set_version(*version);
  }
  return reply;
}

}  // namespace daisypond::gateway
