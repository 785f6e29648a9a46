#ifndef DAISYPOND_PEER_PEER_CLIENT_H_
#define DAISYPOND_PEER_PEER_CLIENT_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <grpcpp/grpcpp.h>

#include "base/clock.h"
#include "base/metrics.h"
#include "generation/copy_store.h"
#include "generation/relay_message.h"
#include "peer/generated/peers.grpc.pb.h"

namespace daisypond::peer {

struct PeerClientOptions {
  base::Millis copy_timeout{250};
  /// The largest number of appends in one message.
  int maximum_appends = 256;
  std::shared_ptr<grpc::ChannelCredentials> credentials;
};

/// Calls other entry instances over gRPC. While an append message to a peer is
/// in flight, further appends to that peer are queued and sent together in the
/// next message. Thread-safe. Callbacks must not block. They run on gRPC's
/// threads, or on the calling thread if a failure test has cut the link to the
/// peer.
class PeerClient {
 public:
  using CopyCallback = std::function<void(generation::CopyOutcome)>;
  using ExchangeCallback = std::function<void(std::optional<ExchangeReply>)>;
  using ConfigurationCallback =
      std::function<void(std::optional<FetchConfigurationReply>)>;

  using CatalogCallback = std::function<void(std::optional<FetchCatalogReply>)>;

  PeerClient(PeerClientOptions options, base::Metrics* metrics);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends tokens of a generation to the peer that stores its copy. `done` gets
  /// kFailed when the peer did not answer.
  void AppendCopy(const std::string& address,
                  const generation::AppendTokens& append,
                  CopyCallback done);

  /// Requests the copy of a generation from each address. Blocks until all have
  /// answered, for at most `timeout`. The result has no entry for a peer that
  /// did not answer.
  std::vector<generation::TakeOverResult> TakeOver(
      const std::vector<std::string>& addresses,
      const TakeOverRequest& request,
      base::Millis timeout);

  void Exchange(const std::string& address,
                const ExchangeRequest& request,
                base::Millis timeout,
                ExchangeCallback done);

  void FetchConfiguration(const std::string& address,
                          uint64_t known_version,
                          base::Millis timeout,
                          ConfigurationCallback done);

  void FetchCatalog(const std::string& address,
                    const FetchCatalogRequest& request,
                    base::Millis timeout,
                    CatalogCallback done);

  /// Asks a peer to grant retries from the pool that the peer holds. `done`
  /// gets the number granted, or nothing when the peer did not answer.
  void LendRetries(const std::string& address,
                   const LendRetriesRequest& request,
                   base::Millis timeout,
                   std::function<void(std::optional<int>)> done);

  /// Reports this instance's request counts to a peer. `done` gets true when
  /// the peer acknowledged the report.
  void ReportRequests(const std::string& address,
                      const ReportRequestsRequest& request,
                      base::Millis timeout,
                      std::function<void(bool)> done);

  /// Asks a peer for a permit to send a request to a target. `done` gets
  /// nothing when the peer did not answer.
  void TakePermit(const std::string& address,
                  const TakePermitRequest& request,
                  base::Millis timeout,
                  std::function<void(std::optional<TakePermitReply>)> done);

  /// Asks a peer for a slot of a brittle target. `done` gets nothing when the
  /// peer did not answer.
  void TakeSlot(const std::string& address,
                const TakeSlotRequest& request,
                base::Millis timeout,
                std::function<void(std::optional<TakeSlotReply>)> done);

  /// Gives a slot back to a peer. The result of the call is ignored.
  void ReturnSlot(const std::string& address,
                  const ReturnSlotRequest& request,
                  base::Millis timeout);

  /// Sends the record of a stream to a peer. `done` gets nothing when the peer
  /// did not answer.
  void RecordStream(const std::string& address,
                    const RecordStreamRequest& request,
                    base::Millis timeout,
                    std::function<void(std::optional<RecordStreamReply>)> done);

  /// Asks a peer by which software a stream was begun.
  void FindStream(const std::string& address,
                  const FindStreamRequest& request,
                  base::Millis timeout,
                  std::function<void(std::optional<FindStreamReply>)> done);

  /// Reports the death of a target to a peer. The result of the call is
  /// ignored.
  void ReportDeath(const std::string& address,
                   const ReportDeathRequest& request);

  /// Removes the links to all addresses that are not in `addresses`.
  void CloseLinksExcept(const std::vector<std::string>& addresses);

 private:
  /// Tokens to be copied to a peer, and the callback that gets the outcome.
  struct PendingAppend {
    Append append;
    CopyCallback done;
  };

  /// The gRPC stub for one peer and the appends queued for it. `is_sending` is
  /// true while an append message is in flight.
  struct Link {
    std::string address;
    std::unique_ptr<Peers::Stub> stub;
    std::mutex mutex;
    std::vector<PendingAppend> pending;
    bool is_sending = false;
  };

  template <typename Reply>
  struct Call;

  std::shared_ptr<Link> GetOrCreateLink(const std::string& address);
  void SendAppends(const std::shared_ptr<Link>& link);
  void OnAppendReply(const std::shared_ptr<Link>& link,
                     std::vector<PendingAppend> sent,
                     bool is_answered,
                     const AppendReply& reply);
  /// Starts a call. `method` invokes the stub's method for it. `done` gets no
  /// reply when the call failed.
  template <typename Request, typename Reply, typename Method>
  void StartCall(const std::string& address,
                 const Request& request,
                 base::Millis timeout,
                 Method method,
                 std::function<void(std::optional<Reply>)> done);
  /// Registers a call so that the destructor can cancel it. Returns its id.
  uint64_t AddActiveCall(grpc::ClientContext* context);
  void RemoveActiveCall(uint64_t id);
  /// Adds a sent or received message of `bytes` bytes to the metrics.
  void CountMessage(size_t bytes);

  PeerClientOptions options_;
  base::Metrics* metrics_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Link>> links_;
  // Guards `active_calls_` and `last_call_id_`. The destructor cancels the
  // active calls and waits until none is left.
  std::mutex calls_mutex_;
  std::condition_variable call_ended_;
  std::map<uint64_t, grpc::ClientContext*> active_calls_;
  uint64_t last_call_id_ = 0;
};

}  // namespace daisypond::peer

#endif  // DAISYPOND_PEER_PEER_CLIENT_H_
