#ifndef DAISYPOND_GATEWAY_SHARED_STREAM_RECORDS_H_
#define DAISYPOND_GATEWAY_SHARED_STREAM_RECORDS_H_

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "base/clock.h"
#include "catalog/row.h"
#include "forward/stream_record.h"
#include "forward/stream_record_table.h"
#include "forward/version_history.h"
#include "peer/membership_protocol.h"
#include "peer/peer_client.h"

namespace daisypond::gateway {

/// The record that was found in the table service, if there is one.
using StoredRecordResult =
    tl::expected<std::optional<forward::StreamRecord>, catalog::TableReadError>;

/// Stores and finds records of streams in the table service.
struct StreamRecordStorage {
  std::function<void(const std::string& id, const forward::StreamRecord&)> add;
  /// `done` is called once.
  std::function<void(const std::string& id,
                     std::function<void(StoredRecordResult)> done)>
      find;
};

/// Lets any instance find out which software version began a stream, so that a
/// caller can take the stream up again at any instance, also when the instance
/// that served it is dead. Each record is kept by the instance that served the
/// stream and by a few peers. While a service has several versions, its records
/// are also stored in the table service, where they outlive all instances.
/// Without a record the version is known only if the service has had a single
/// one for long enough, or had a single one until another one joined and no
/// record of a stream begun since can be missing. Runs on the control thread.
class SharedStreamRecords {
 public:
  using OriginCallback = std::function<void(forward::StreamOrigin)>;

  SharedStreamRecords(const peer::MembershipProtocol* membership_protocol,
                      peer::PeerClient* client,
                      std::function<void(std::function<void()>)> post)
      : membership_(membership_protocol),
        client_(client),
        post_(std::move(post)) {}

  /// Without a storage, records are kept by instances only.
  void SetStorage(StreamRecordStorage storage) {
    storage_ = std::move(storage);
  }

  /// Records here and at a few peers that the attempt `id` got the first event
  /// of a stream.
  void Record(const std::string& id, const forward::StreamRecord& record);

  /// Finds out which version of the service began a stream. `done` is called
  /// once, on the control thread.
  void Find(const std::string& id,
            const std::string& service,
            const OriginCallback& done);

  /// To be called with each new list of targets.
  void OnTargets(const catalog::Targets& targets);

  /// To be called with the versions that earlier instances have recorded.
  void OnReleasesRead(const forward::ServiceVersions& recorded);

  /// To be called when the table service has returned from a copy, which may
  /// lack records. This instance's recent ones are then stored again.
  void OnStoreReturnedFromCopy();

  /// Returns the recent versions of the services whose versions this instance
  /// is to record.
  forward::ServiceVersions VersionsToRecord() const;

  /// True if this instance is to remove the records that others have left in
  /// the table service. There are none unless a service had several versions.
  bool IsCleaner() const;

  /// Stores a record of a peer.
  void AddRecord(const peer::RecordStreamRequest& request);
  /// Answers a peer that looks for the origin of a stream.
  peer::FindStreamReply Answer(const peer::FindStreamRequest& request) const;

 private:
  struct OwnRecord {
    base::Millis added_at;
    std::string id;
    forward::StreamRecord record;
  };

  void Store(const std::string& id, const forward::StreamRecord& record);
  void StoreRecordsOfNewReleases();
  void AddOwnRecord(const std::string& id, const forward::StreamRecord& record);

  const peer::MembershipProtocol* membership_;
  peer::PeerClient* client_;
  std::function<void(std::function<void()>)> post_;
  forward::StreamRecordTable records_;
  forward::VersionHistory history_;
  StreamRecordStorage storage_;
  /// Records of streams that this instance served, oldest first.
  std::deque<OwnRecord> own_records_;
  /// Services whose records are being stored.
  std::set<std::string> stored_services_;
  bool has_seen_release_ = false;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SHARED_STREAM_RECORDS_H_
