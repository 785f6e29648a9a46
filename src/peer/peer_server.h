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

/// Answers an exchange on the control thread; `done` may run later.
using ExchangeHandler =
    std::function<void(const ExchangeRequest& request,
                       std::function<void(ExchangeReply)> done)>;

/// Takes in a report of a target's death on the control thread.
using ReportDeathHandler =
    std::function<void(const ReportDeathRequest& request)>;

/// Tells what this instance holds of the catalog; on the control thread.
/// `done` may run later, when there is something new.
using FetchCatalogHandler =
    std::function<void(const FetchCatalogRequest& request,
                       std::function<void(FetchCatalogReply)> done)>;

/// Counts repeated sends for a peer on the control thread. Returns how many.
using LendRetriesHandler =
    std::function<int(const LendRetriesRequest& request)>;

/// Takes in a peer's report of its requests on the control thread.
using ReportRequestsHandler =
    std::function<void(const ReportRequestsRequest& request)>;

/// Calls that have no part are answered as not implemented.
struct PeerServerDependencies {
  generation::CopyStore* copy_store = nullptr;
  intents::ActiveConfiguration* configuration = nullptr;
  /// Runs a task on the control thread, from any thread.
  std::function<void(std::function<void()>)> post;
  ExchangeHandler on_exchange;
  ReportDeathHandler on_report_death;
  FetchCatalogHandler on_fetch_catalog;
  LendRetriesHandler on_lend_retries;
  ReportRequestsHandler on_report_requests;
};

/// Serves the Peers protocol. Copies are stored on gRPC's threads, membership
/// is answered on the control thread.
class PeerServer {
 public:
  PeerServer(const std::string& address,
             const std::shared_ptr<grpc::ServerCredentials>& credentials,
             PeerServerDependencies dependencies);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Takes no more calls and waits for the open ones, for a bounded time. The
  /// control thread must still run, as it answers them.
  void Shutdown();

  /// False when the address could not be bound.
  bool IsRunning() const { return server_ != nullptr; }

 private:
  class Service;

  std::unique_ptr<Service> service_;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace daisypond::peer

#endif  // DAISYPOND_PEER_PEER_SERVER_H_
