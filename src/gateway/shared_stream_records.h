#ifndef DAISYPOND_GATEWAY_SHARED_STREAM_RECORDS_H_
#define DAISYPOND_GATEWAY_SHARED_STREAM_RECORDS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "base/clock.h"
#include "catalog/row.h"
#include "forward/stream_base.h"
#include "forward/stream_lifetimes.h"
#include "forward/stream_record.h"
#include "forward/stream_record_table.h"
#include "gateway/release_record.h"
#include "gateway/stream_base_tracker.h"
#include "peer/membership_protocol.h"
#include "peer/peer_client.h"

namespace daisypond::gateway {

/// The record that was found in the table service, if there is one.
using StoredRecordResult =
    tl::expected<std::optional<forward::StreamRecord>, catalog::TableReadError>;

/// What the table service has on the origin of a stream.
struct StoredOrigin {
  StoredRecordResult record;
  /// The version that began all streams of the service without a record, if
  /// the stream has none and that version is known.
  std::optional<std::string> base;
};

using RecordCallback = std::function<void(forward::RecordOutcome)>;

/// Stores and finds records of streams in the table service. Callbacks are
/// called once.
struct StreamRecordStorage {
  std::function<void(const std::string& id, const forward::StreamRecord&)> add;
  /// Stores a record for which a stream waits.
  std::function<void(const std::string& id,
                     const forward::StreamRecord&,
                     RecordCallback done)>
      add_first;
  std::function<void(const std::string& id,
                     const std::string& service,
                     std::function<void(StoredOrigin)> done)>
      find;
};

/// Lets any instance find out which software version began a stream, so that a
/// caller can take the stream up again at any instance, also when the instance
/// that served it is dead. Each record is kept by the instance that served the
/// stream and by a few peers. The table service, which outlives all instances,
/// names a base version of each service and has the records of all streams of
/// other versions; a stream without a record there was begun by the base
/// version. Without a base the records of all streams are stored while a
/// service has several versions, and a stream without a record can be taken up
/// only if the service has had a single version for long enough. Runs on the
/// control thread.
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
  /// of a stream, and in the table service if that needs the record and does
  /// not have it.
  void Record(const std::string& id,
              const forward::StreamRecord& record,
              forward::RecordState state);

  /// Stores the record of a stream that begins when it is stored. `done` is
  /// called once, on the control thread or on the peer client's.
  void RecordFirst(const std::string& id,
                   const forward::StreamRecord& record,
                   RecordCallback done);

  /// Finds out which version of the service began a stream. `done` is called
  /// once, on the control thread.
  void Find(const std::string& id,
            const std::string& service,
            const OriginCallback& done);

  /// To be called with each new list of targets.
  void OnTargets(const catalog::Targets& targets);

  /// To be called with the longest timeouts of each new configuration.
  void OnLongestTimeouts(const forward::ServiceTimes& timeouts);

  /// The base versions of the services.
  StreamBaseTracker& Bases() { return bases_; }

  /// To be called regularly and when the bases may have changed; see
  /// StreamBaseTracker::Update().
  void Update(std::optional<base::Millis> list_age, uint64_t era);

  /// To be called with the records of versions that were read in `era`.
  void OnReleasesRead(const ReleaseRecordMap& records, uint64_t era);

  /// To be called when the table service has returned from a copy, which may
  /// lack records. This instance's recent ones are then stored again.
  void OnStoreReturnedFromCopy();

  /// Returns the services whose recorded versions this instance keeps.
  std::vector<std::string> HeldServices() const;

  /// True if this instance is to remove the records that others have left in
  /// the table service. There are none unless a service had several versions.
  bool IsCleaner() const;

  /// Adds a record of a peer. `done` is called once.
  void AddRecord(const peer::RecordStreamRequest& request,
                 std::function<void(peer::RecordStreamReply)> done);
  /// Answers a peer that looks for the origin of a stream.
  peer::FindStreamReply Answer(const peer::FindStreamRequest& request) const;

 private:
  /// Returns the address of the peer that stores the record; empty if this
  /// instance does.
  std::string KeeperOf(const std::string& id,
                       const forward::StreamRecord& record) const;
  void Store(const std::string& id, const forward::StreamRecord& record);
  /// Stores a record for which a stream waits and the keeper does not answer.
  void RecordWithoutKeeper(const std::string& id,
                           const forward::StreamRecord& record,
                           const RecordCallback& done);
  bool IsRecordStored(const forward::StreamRecord& record) const;
  void StoreRecordsOfNewReleases();
  void OnStream(const forward::StreamRecord& record);

  const peer::MembershipProtocol* membership_;
  peer::PeerClient* client_;
  std::function<void(std::function<void()>)> post_;
  forward::StreamRecordTable records_;
  StreamBaseTracker bases_;
  StreamRecordStorage storage_;
  /// Records of streams that this instance served.
  forward::StreamRecordTable own_records_{forward::StreamLifetimes::kMinimum};
  /// Services with several versions and no base: all records are stored.
  std::set<std::string> stored_services_;
  bool has_seen_release_ = false;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SHARED_STREAM_RECORDS_H_
