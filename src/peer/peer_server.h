#ifndef DAISYPOND_PEER_PEER_SERVER_H_
#define DAISYPOND_PEER_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>

#include "generation/copy_store.h"
#include "intents/active_configuration.h"
#include "peer/generated/peers.grpc.pb.h"

namespace daisypond::peer {

/// Answers a membership message. Called on the control thread; `done` may be
/// called after the handler returns.
using ExchangeHandler =
    std::function<void(const ExchangeRequest& request,
                       std::function<void(ExchangeReply)> done)>;

/// Processes a peer's report of a target's death. Called on the control thread.
using ReportDeathHandler =
    std::function<void(const ReportDeathRequest& request)>;

/// Answers a peer's request for this instance's catalog. Called on the control
/// thread; the handler may delay `done` until the catalog has changed.
using FetchCatalogHandler =
    std::function<void(const FetchCatalogRequest& request,
                       std::function<void(FetchCatalogReply)> done)>;

/// Grants retries to a peer and returns the number granted. Called on the
/// control thread.
using LendRetriesHandler =
    std::function<int(const LendRetriesRequest& request)>;

/// Processes a peer's report of its request counts. Called on the control
/// thread.
using ReportRequestsHandler =
    std::function<void(const ReportRequestsRequest& request)>;

/// Answers a peer's request for a permit. Called on the control thread.
using TakePermitHandler =
    std::function<TakePermitReply(const TakePermitRequest& request)>;

/// Answers a peer's request for a slot. Called on the control thread.
using TakeSlotHandler =
    std::function<TakeSlotReply(const TakeSlotRequest& request)>;

/// Takes back a slot from a peer. Called on the control thread.
using ReturnSlotHandler = std::function<void(const ReturnSlotRequest& request)>;

/// Adds a peer's record of a stream. Called on the control thread; `done` must
/// be called once, also later.
using RecordStreamHandler =
    std::function<void(const RecordStreamRequest& request,
                       std::function<void(RecordStreamReply)> done)>;
using FindStreamHandler =
    std::function<FindStreamReply(const FindStreamRequest& request)>;

/// The objects and handlers that answer calls. `copy_store`, `configuration`,
/// `on_fetch_catalog`, `on_lend_retries`, `on_report_requests`,
/// `on_take_permit`, `on_take_slot`, `on_return_slot`, `on_record_stream` and
/// `on_find_stream` may be null; calls that need a null member fail with
/// UNIMPLEMENTED. The other members must be set.
struct PeerServerDependencies {
  generation::CopyStore* copy_store = nullptr;
  intents::ActiveConfiguration* configuration = nullptr;
  /// Queues a task for the control thread. May be called on any thread.
  std::function<void(std::function<void()>)> post;
  ExchangeHandler on_exchange;
  ReportDeathHandler on_report_death;
  FetchCatalogHandler on_fetch_catalog;
  LendRetriesHandler on_lend_retries;
  ReportRequestsHandler on_report_requests;
  TakePermitHandler on_take_permit;
  TakeSlotHandler on_take_slot;
  ReturnSlotHandler on_return_slot;
  RecordStreamHandler on_record_stream;
  FindStreamHandler on_find_stream;
};

/// Serves the gRPC service Peers. Calls that use the copy store or the
/// configuration are answered on gRPC's threads, all others on the control
/// thread.
class PeerServer {
 public:
  PeerServer(const std::string& address,
             const std::shared_ptr<grpc::ServerCredentials>& credentials,
             PeerServerDependencies dependencies);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Stops accepting calls and waits for a limited time until the active calls
  /// have ended. The control thread must still run, because it answers them.
  void Shutdown();

  /// Returns false when the server could not listen on its address.
  bool IsRunning() const { return server_ != nullptr; }

 private:
  class Service;

  std::unique_ptr<Service> service_;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace daisypond::peer

#endif  // DAISYPOND_PEER_PEER_SERVER_H_
