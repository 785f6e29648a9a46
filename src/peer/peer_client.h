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
  /// Appends in one message.
  int maximum_appends = 256;
  std::shared_ptr<grpc::ChannelCredentials> credentials;
};

/// Calls other entry instances over gRPC. Appends that come while a message
/// to the same peer is on its way share the next one. Thread-safe; callbacks
/// run on gRPC's threads and must not block.
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

  void AppendCopy(const std::string& address,
                  const generation::AppendTokens& append,
                  CopyCallback done);

  /// Asks every address to hand over its copy and waits for the answers, at
  /// most `timeout`. Peers that do not answer are left out.
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

  /// `done` gets the number of repeated sends that the peer grants; empty when
  /// it has not answered.
  void LendRetries(const std::string& address,
                   const LendRetriesRequest& request,
                   base::Millis timeout,
                   std::function<void(std::optional<int>)> done);

  /// `done` gets whether the peer has taken the report.
  void ReportRequests(const std::string& address,
                      const ReportRequestsRequest& request,
                      base::Millis timeout,
                      std::function<void(bool)> done);

  /// Sends without waiting for an answer.
  void ReportDeath(const std::string& address,
                   const ReportDeathRequest& request);

  /// Closes connections to all other addresses.
  void CloseLinksExcept(const std::vector<std::string>& addresses);

 private:
  struct PendingAppend {
    Append append;
    CopyCallback done;
  };

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
  template <typename Request, typename Reply, typename Method>
  void StartCall(const std::string& address,
                 const Request& request,
                 base::Millis timeout,
                 Method method,
                 std::function<void(std::optional<Reply>)> done);
  void CountMessage(size_t bytes);

  PeerClientOptions options_;
  base::Metrics* metrics_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Link>> links_;
  // Calls on their way; the destructor waits for them.
  std::mutex calls_mutex_;
  std::condition_variable call_ended_;
  int active_calls_ = 0;
};

}  // namespace daisypond::peer

#endif  // DAISYPOND_PEER_PEER_CLIENT_H_
