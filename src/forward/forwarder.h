#ifndef DAISYPOND_FORWARD_FORWARDER_H_
#define DAISYPOND_FORWARD_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/name_table.h"
#include "catalog/catalog.h"
#include "forward/caller_room.h"
#include "forward/connection_pool.h"
#include "forward/crashing_request_tracker.h"
#include "forward/message.h"
#include "forward/path_monitor.h"
#include "forward/request_content.h"
#include "forward/request_permit_pool.h"
#include "forward/retry_limit.h"
#include "forward/slot_lease.h"
#include "forward/stream_base.h"
#include "forward/stream_record.h"
#include "forward/target_loss.h"
#include "forward/target_selector.h"
#include "forward/tunnel_peer.h"
#include "forward/tunnel_peer_selector.h"
#include "intake/room_plan.h"

namespace daisypond::forward {

/// Who found a target lost.
enum class LossSource : uint8_t { kThisInstance, kPeer };

inline constexpr base::NameTable<LossSource, 2> kLossSourceNames(
    "this_instance",
    "peer");

/// The peers to which a lost target is reported.
enum class LossAudience : uint8_t {
  /// A few random peers; enough for a loss that other instances find as well.
  kSomePeers,
  /// All peers; for a loss that only this instance can connect with a request.
  kAllPeers,
};

struct ForwarderOptions {
  /// Name of this instance.
  std::string instance;
  /// Failure domain of this instance.
  std::string failure_domain;
  RetryLimitOptions retries;
  /// The memory that may be held for callers.
  intake::RoomPlan room = intake::MakeRoomPlan(intake::kDefaultMemoryBytes);
};

/// State shared by all requests of the traffic thread. Used only on that
/// thread.
struct Forwarder {
  Forwarder(const net::asio::any_io_executor& traffic_executor,
            ForwarderOptions forwarder_options,
            base::Metrics* process_metrics);

  /// Makes `next` the current catalog. A configuration that is older than the
  /// current one is ignored.
  void Apply(const catalog::Catalog& next);

  /// Called when a request starts to wait for retry budget.
  void OnRetryWaitBegun(const std::string& service);
  /// Called when a request stops waiting for retry budget.
  void OnRetryWaitEnded(const std::string& service);
  /// Borrows retries from the shared pool when fewer borrowed retries are
  /// unused than requests wait for retry budget.
  void BorrowMissingRetries(const std::string& service);

  /// Records the loss of a target, found by this instance or reported by a
  /// peer. `content` is that of a request that may have crashed the target.
  void OnTargetLost(const TargetLoss& target,
                    const RequestContent& content,
                    LossSource source);
  void OnTargetLost(const TargetLoss& target,
                    const RequestContent& content,
                    LossSource source,
                    base::Millis lost_at);

  /// Records that a target began to answer a request at `began_at` and went on.
  void OnRequestAnswered(const RequestContent& content, base::Millis began_at);

  /// Adds what a peer knows of requests and prompt parts that may crash
  /// targets.
  void OnSuspectedByPeer(const std::vector<Suspect>& suspects);

  /// Records what a response of the target states of the target: its limits, or
  /// that it has none, and that it is leaving.
  void OnResponse(const TargetProcess& target,
                  const ResponseMetadata& metadata);

  /// True when another connection to a target may be opened.
  bool MayConnectTarget() const {
    return !may_connect_target || may_connect_target();
  }

  /// False when the catalog is incomplete or the process is stopping.
  bool IsReady() const { return catalog.IsComplete() && !is_stopping; }

  net::asio::any_io_executor executor;
  ForwarderOptions options;
  base::Metrics* metrics;
  catalog::Catalog catalog;
  TargetSelector selector;
  ConnectionPool connection_pool;
  RetryLimit retry_limit;
  CrashingRequestTracker crashing_requests;
  CallerRoom caller_room;
  PathMonitor path_monitor;
  TunnelPeerSelector tunnel_peer_selector;
  /// Called when this instance has found a target lost. `content_hash` is the
  /// hash of a request that may have crashed the target, or zero if there is
  /// none.
  std::function<void(const TargetLoss& target,
                     uint64_t content_hash,
                     LossAudience audience)>
      on_target_lost;
  /// Called when all peers are to be told of prompt parts that may crash
  /// targets; see CrashingRequestTracker::TakeUnsharedParts().
  std::function<void()> on_unshared_parts;
  /// Borrows retries for a service from the shared pool. `done` is called once
  /// with the number granted.
  std::function<void(const std::string& service,
                     int wanted,
                     std::function<void(int)> done)>
      borrow_retries;
  /// Takes a permit to send one request to a target that limits the requests a
  /// second of all instances together. `done` is called once, on the traffic
  /// thread.
  std::function<void(const TargetProcess& target,
                     double limit,
                     std::function<void(RequestPermit)> done)>
      take_permit;
  /// Leases one of the slots that all instances share of a brittle target.
  /// `done` is called once, on the traffic thread.
  std::function<void(const SlotRequest& request,
                     std::function<void(RequestPermit)> done)>
      take_slot;
  /// Gives a leased slot back.
  std::function<void(const SlotReturn& slot)> return_slot;
  /// Records by which software a stream was begun; `id` is that of the attempt
  /// that got its first event.
  std::function<void(const std::string& id,
                     const StreamRecord& record,
                     RecordState state)>
      record_stream;
  /// Stores the record of a stream that begins when it is stored. `done` is
  /// called once, on the traffic thread. Null if streams need no record.
  std::function<void(const std::string& id,
                     const StreamRecord& record,
                     std::function<void(RecordOutcome)> done)>
      record_stream_first;
  StreamBases stream_bases;
  /// Until then no stream waits for its record, as the last one got none.
  base::Millis records_failing_until;
  /// Finds out which version of a service began a stream. `done` is called
  /// once, on the traffic thread.
  std::function<void(const std::string& id,
                     const std::string& service,
                     std::function<void(StreamOrigin)> done)>
      find_stream_origin;
  /// Returns whether a connection to a target may be opened; false when too
  /// many connections are open. If not set, there is no limit.
  std::function<bool()> may_connect_target;
  /// Called when this instance's direct path to the targets is lost or back.
  std::function<void(bool is_lost)> on_path_changed;
  /// Peers through which targets can be reached.
  std::vector<TunnelPeer> tunnel_peers;
  /// Requests that wait for retry budget for one service, and the borrow
  /// requests to the shared pool on their behalf.
  struct RetryBorrowState {
    /// Number of requests that wait for retry budget.
    int n_waiting = 0;
    /// True while a borrow request is pending.
    bool is_borrowing = false;
    /// The next borrow request is not sent before this time. Set when the pool
    /// granted fewer retries than requested.
    base::Millis next_borrow_at;
  };
  /// By service.
  std::map<std::string, RetryBorrowState> retry_borrow_states;
  bool is_stopping = false;
  /// Time at which open streams and calls are cut. Valid only while stopping.
  base::Millis stop_at;
  /// Time from which callers' new connections go to other instances. Valid only
  /// while stopping.
  base::Millis out_of_rotation_at;

 private:
  void LogIfBodiesExceedRoom() const;
  void OnLeaving(const TargetProcess& target, const ResponseMetadata& metadata);
  void OnRequestLimit(const std::string& target,
                      const ResponseMetadata& metadata);
  void OnRejectionLimit(const std::string& target,
                        const ResponseMetadata& metadata);
  /// Logs which prompt parts are blocked now or not any more, and passes on
  /// that peers are to be told of some.
  void OnSuspectsChanged();
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_FORWARDER_H_
