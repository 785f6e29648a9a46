#ifndef DAISYPOND_GATEWAY_SHARED_STREAM_RECORDS_H_
#define DAISYPOND_GATEWAY_SHARED_STREAM_RECORDS_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "forward/stream_record.h"
#include "forward/stream_record_table.h"
#include "forward/version_history.h"
#include "peer/membership_protocol.h"
#include "peer/peer_client.h"

namespace daisypond::gateway {

/// Lets any instance find out which software version began a stream, so that a
/// caller can take the stream up again at any instance, also when the instance
/// that served it is dead. Each record is kept by the instance that served the
/// stream and by a few peers. Without a record the version is known only if the
/// service has had a single one for long enough. Runs on the control thread.
class SharedStreamRecords {
 public:
  using OriginCallback = std::function<void(forward::StreamOrigin)>;

  SharedStreamRecords(const peer::MembershipProtocol* membership_protocol,
                      peer::PeerClient* client,
                      std::function<void(std::function<void()>)> post)
      : membership_(membership_protocol),
        client_(client),
        post_(std::move(post)) {}

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

  /// To be called with what the instances have recorded of releases; see
  /// VersionHistory::OnReleasesRead().
  void OnReleasesRead(std::map<std::string, base::Millis> last_several_at);

  /// Returns the services of which this instance is to record that several
  /// versions are listed.
  std::vector<std::string> ReleasesToRecord() const;

  /// Stores a record of a peer.
  void AddRecord(const peer::RecordStreamRequest& request);
  /// Answers a peer that looks for the origin of a stream.
  peer::FindStreamReply Answer(const peer::FindStreamRequest& request) const;

 private:
  const peer::MembershipProtocol* membership_;
  peer::PeerClient* client_;
  std::function<void(std::function<void()>)> post_;
  forward::StreamRecordTable records_;
  forward::VersionHistory history_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_SHARED_STREAM_RECORDS_H_
