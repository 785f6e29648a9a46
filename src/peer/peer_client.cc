#include "peer/peer_client.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <set>
#include <utility>

#include "base/link_faults.h"
#include "peer/convert.h"

namespace daisypond::peer {

namespace {

constexpr int kMaximumReconnectBackoffMilliseconds = 500;
// gRPC uses its minimum reconnect backoff as the timeout for connecting.
constexpr int kConnectTimeoutMilliseconds = 1000;
constexpr base::Millis kDeathReportTimeout{1000};

grpc::ChannelArguments ChannelArguments() {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   kConnectTimeoutMilliseconds);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                   kMaximumReconnectBackoffMilliseconds);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 0);
  return arguments;
}

std::chrono::system_clock::time_point DeadlineAfter(base::Millis timeout) {
  return std::chrono::system_clock::now() + timeout.ToChrono();
}

/// Makes gRPC keep the completion queue that all channels share until the
/// process ends, with a channel that is never closed. gRPC 1.51 can abort the
/// process when the last channel that uses the queue is closed.
void KeepCompletionQueue() {
  struct CancelledCall {
    std::unique_ptr<Peers::Stub> stub = Peers::NewStub(
        grpc::CreateCustomChannel("127.0.0.1:1",
                                  grpc::InsecureChannelCredentials(),
                                  ChannelArguments()));
    grpc::ClientContext context;
    ExchangeRequest request;
    ExchangeReply reply;
  };
  // Never deleted, so that the channel outlives static objects.
  static const auto* const kCall = [] {
    auto* call = new CancelledCall;
    call->context.TryCancel();
    call->stub->async()->Exchange(&call->context, &call->request, &call->reply,
                                  [](const grpc::Status&) {});
    return call;
  }();
  static_cast<void>(kCall);
}

generation::CopyOutcome ToCopyOutcome(generation::AppendOutcome outcome) {
  switch (outcome) {
    case generation::AppendOutcome::kStored:
      return generation::CopyOutcome::kStored;
    case generation::AppendOutcome::kGap:
      return generation::CopyOutcome::kGap;
    default:
      return generation::CopyOutcome::kSuperseded;
  }
}

}  // namespace

/// The context and reply of a call, which must live until its callback has run.
template <typename Reply>
struct PeerClient::Call {
  grpc::ClientContext context;
  Reply reply;
};

PeerClient::PeerClient(PeerClientOptions options, base::Metrics* metrics)
    : options_(std::move(options)), metrics_(metrics) {
  KeepCompletionQueue();
  if (!options_.credentials) {
    options_.credentials = grpc::InsecureChannelCredentials();
  }
}

PeerClient::~PeerClient() {
  std::unique_lock lock(calls_mutex_);
  for (const auto& it : active_calls_) {
    it.second->TryCancel();
  }
  call_ended_.wait(lock, [this] { return active_calls_.empty(); });
}

std::shared_ptr<PeerClient::Link> PeerClient::GetOrCreateLink(
    const std::string& address) {
  const std::lock_guard lock(mutex_);
  std::shared_ptr<Link>& link = links_[address];
  if (!link) {
    link = std::make_shared<Link>();
    link->address = address;
    link->stub = Peers::NewStub(grpc::CreateCustomChannel(
        address, options_.credentials, ChannelArguments()));
  }
  return link;
}

void PeerClient::CloseLinksExcept(const std::vector<std::string>& addresses) {
  const std::set<std::string> kept_addresses(addresses.begin(),
                                             addresses.end());
  const std::lock_guard lock(mutex_);
  std::erase_if(links_, [&](const auto& it) {
    return !kept_addresses.contains(it.first);
  });
}

void PeerClient::CountMessage(size_t bytes) {
  metrics_->Add(base::Counter::kPeerMessages);
  metrics_->Add(base::Counter::kPeerBytes, static_cast<int64_t>(bytes));
}

template <typename Request, typename Reply, typename Method>
void PeerClient::StartCall(const std::string& address,
                           const Request& request,
                           base::Millis timeout,
                           Method method,
                           std::function<void(std::optional<Reply>)> done) {
  const base::LinkState state = base::LinkFaults::Instance().StateOf(address);
  if (state != base::LinkState::kOpen) {
    done(std::nullopt);
    return;
  }
  const auto link = GetOrCreateLink(address);
  auto call = std::make_shared<Call<Reply>>();
  call->context.set_deadline(DeadlineAfter(timeout));
  CountMessage(request.ByteSizeLong());
  const uint64_t id = AddActiveCall(&call->context);
  auto on_done = [this, id, link, call,
                  done = std::move(done)](const grpc::Status& status) {
    CountMessage(call->reply.ByteSizeLong());
    done(status.ok() ? std::optional<Reply>(std::move(call->reply))
                     : std::nullopt);
    RemoveActiveCall(id);
  };
  method(link->stub->async(), &call->context, request, &call->reply,
         std::move(on_done));
}

uint64_t PeerClient::AddActiveCall(grpc::ClientContext* context) {
  const std::lock_guard lock(calls_mutex_);
  active_calls_[++last_call_id_] = context;
  return last_call_id_;
}

void PeerClient::RemoveActiveCall(uint64_t id) {
  const std::lock_guard lock(calls_mutex_);
  active_calls_.erase(id);
  call_ended_.notify_all();
}

void PeerClient::AppendCopy(const std::string& address,
                            const generation::AppendTokens& append,
                            CopyCallback done) {
  const auto link = GetOrCreateLink(address);
  {
    const std::lock_guard lock(link->mutex);
    link->pending.push_back({ToProto(append), std::move(done)});
    if (link->is_sending) {
      return;
    }
    link->is_sending = true;
  }
  SendAppends(link);
}

void PeerClient::SendAppends(const std::shared_ptr<Link>& link) {
  auto request = std::make_shared<AppendRequest>();
  auto sent = std::make_shared<std::vector<PendingAppend>>();
  {
    const std::lock_guard lock(link->mutex);
    const size_t n = std::min(link->pending.size(),
                              static_cast<size_t>(options_.maximum_appends));
    if (n == 0) {
      link->is_sending = false;
      return;
    }
    const auto end = link->pending.begin() + static_cast<long>(n);
    for (auto it = link->pending.begin(); it != end; ++it) {
      *request->add_appends() = std::move(it->append);
      sent->push_back({{}, std::move(it->done)});
    }
    link->pending.erase(link->pending.begin(), end);
  }
  StartCall<AppendRequest, AppendReply>(
      link->address, *request, options_.copy_timeout,
      [request](auto* stub, auto* context, const auto&, auto* reply,
                auto on_done) {
        stub->AppendCopies(context, request.get(), reply,
                           [request, on_done](const grpc::Status& status) {
                             on_done(status);
                           });
      },
      [this, link, sent](const std::optional<AppendReply>& reply) {
        OnAppendReply(link, std::move(*sent), reply.has_value(),
                      reply.value_or(AppendReply()));
      });
}

void PeerClient::OnAppendReply(const std::shared_ptr<Link>& link,
                               std::vector<PendingAppend> sent,
                               bool is_answered,
                               const AppendReply& reply) {
  for (size_t i = 0; i < sent.size(); ++i) {
    const bool has_outcome =
        is_answered && static_cast<int>(i) < reply.outcomes_size();
    sent[i].done(has_outcome ? ToCopyOutcome(FromProto(
                                   reply.outcomes(static_cast<int>(i))))
                             : generation::CopyOutcome::kFailed);
  }
  SendAppends(link);
}

std::vector<generation::TakeOverResult> PeerClient::TakeOver(
    const std::vector<std::string>& addresses,
    const TakeOverRequest& request,
    base::Millis timeout) {
  struct CollectedReplies {
    std::mutex mutex;
    std::condition_variable changed;
    size_t remaining = 0;
    std::vector<generation::TakeOverResult> results;
  };
  auto collected = std::make_shared<CollectedReplies>();
  auto shared_request = std::make_shared<TakeOverRequest>(request);
  collected->remaining = addresses.size();
  for (const std::string& it : addresses) {
    StartCall<TakeOverRequest, TakeOverReply>(
        it, request, timeout,
        [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                         auto on_done) {
          stub->TakeOver(context, shared_request.get(), reply, on_done);
        },
        [collected, shared_request](std::optional<TakeOverReply> reply) {
          const std::lock_guard lock(collected->mutex);
          --collected->remaining;
          if (reply) {
            collected->results.push_back(FromProto(*reply));
          }
          collected->changed.notify_one();
        });
  }
  std::unique_lock lock(collected->mutex);
  collected->changed.wait_for(lock, timeout.ToChrono(),
                              [&] { return collected->remaining == 0; });
  return collected->results;
}

void PeerClient::Exchange(const std::string& address,
                          const ExchangeRequest& request,
                          base::Millis timeout,
                          ExchangeCallback done) {
  auto shared_request = std::make_shared<ExchangeRequest>(request);
  StartCall<ExchangeRequest, ExchangeReply>(
      address, request, timeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->Exchange(context, shared_request.get(), reply,
                       [shared_request, on_done](const grpc::Status& status) {
                         on_done(status);
                       });
      },
      std::move(done));
}

void PeerClient::FetchConfiguration(const std::string& address,
                                    uint64_t known_version,
                                    base::Millis timeout,
                                    ConfigurationCallback done) {
  auto request = std::make_shared<FetchConfigurationRequest>();
  request->set_known_version(known_version);
  StartCall<FetchConfigurationRequest, FetchConfigurationReply>(
      address, *request, timeout,
      [request](auto* stub, auto* context, const auto&, auto* reply,
                auto on_done) {
        stub->FetchConfiguration(
            context, request.get(), reply,
            [request, on_done](const grpc::Status& status) {
              on_done(status);
            });
      },
      std::move(done));
}

void PeerClient::FetchCatalog(const std::string& address,
                              const FetchCatalogRequest& request,
                              base::Millis timeout,
                              CatalogCallback done) {
  auto shared_request = std::make_shared<FetchCatalogRequest>(request);
  StartCall<FetchCatalogRequest, FetchCatalogReply>(
      address, *shared_request, timeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->FetchCatalog(
            context, shared_request.get(), reply,
            [shared_request, on_done](const grpc::Status& status) {
              on_done(status);
            });
      },
      std::move(done));
}

void PeerClient::LendRetries(const std::string& address,
                             const LendRetriesRequest& request,
                             base::Millis timeout,
                             std::function<void(std::optional<int>)> done) {
  auto shared_request = std::make_shared<LendRetriesRequest>(request);
  StartCall<LendRetriesRequest, LendRetriesReply>(
      address, *shared_request, timeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->LendRetries(context, shared_request.get(), reply,
                          [shared_request, on_done](
                              const grpc::Status& status) { on_done(status); });
      },
      [done = std::move(done)](const std::optional<LendRetriesReply>& reply) {
        done(reply ? std::optional<int>(reply->granted()) : std::nullopt);
      });
}

void PeerClient::ReportRequests(const std::string& address,
                                const ReportRequestsRequest& request,
                                base::Millis timeout,
                                std::function<void(bool)> done) {
  auto shared_request = std::make_shared<ReportRequestsRequest>(request);
  StartCall<ReportRequestsRequest, ReportRequestsReply>(
      address, *shared_request, timeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->ReportRequests(
            context, shared_request.get(), reply,
            [shared_request, on_done](const grpc::Status& status) {
              on_done(status);
            });
      },
      [done =
           std::move(done)](const std::optional<ReportRequestsReply>& reply) {
        done(reply.has_value());
      });
}

void PeerClient::TakePermit(
    const std::string& address,
    const TakePermitRequest& request,
    base::Millis timeout,
    std::function<void(std::optional<TakePermitReply>)> done) {
  auto shared_request = std::make_shared<TakePermitRequest>(request);
  StartCall<TakePermitRequest, TakePermitReply>(
      address, *shared_request, timeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->TakePermit(context, shared_request.get(), reply,
                         [shared_request, on_done](const grpc::Status& status) {
                           on_done(status);
                         });
      },
      std::move(done));
}

void PeerClient::TakeSlot(
    const std::string& address,
    const TakeSlotRequest& request,
    base::Millis timeout,
    std::function<void(std::optional<TakeSlotReply>)> done) {
  auto shared_request = std::make_shared<TakeSlotRequest>(request);
  StartCall<TakeSlotRequest, TakeSlotReply>(
      address, *shared_request, timeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->TakeSlot(context, shared_request.get(), reply,
                       [shared_request, on_done](const grpc::Status& status) {
                         on_done(status);
                       });
      },
      std::move(done));
}

void PeerClient::ReturnSlot(const std::string& address,
                            const ReturnSlotRequest& request,
                            base::Millis timeout) {
  auto shared_request = std::make_shared<ReturnSlotRequest>(request);
  StartCall<ReturnSlotRequest, ReturnSlotReply>(
      address, *shared_request, timeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->ReturnSlot(context, shared_request.get(), reply,
                         [shared_request, on_done](const grpc::Status& status) {
                           on_done(status);
                         });
      },
      [](const std::optional<ReturnSlotReply>&) {});
}

void PeerClient::RecordStream(
    const std::string& address,
    const RecordStreamRequest& request,
    base::Millis timeout,
    std::function<void(std::optional<RecordStreamReply>)> done) {
  auto shared_request = std::make_shared<RecordStreamRequest>(request);
  StartCall<RecordStreamRequest, RecordStreamReply>(
      address, *shared_request, timeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->RecordStream(
            context, shared_request.get(), reply,
            [shared_request, on_done](const grpc::Status& status) {
              on_done(status);
            });
      },
      std::move(done));
}

void PeerClient::FindStream(
    const std::string& address,
    const FindStreamRequest& request,
    base::Millis timeout,
    std::function<void(std::optional<FindStreamReply>)> done) {
  auto shared_request = std::make_shared<FindStreamRequest>(request);
  StartCall<FindStreamRequest, FindStreamReply>(
      address, *shared_request, timeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->FindStream(context, shared_request.get(), reply,
                         [shared_request, on_done](const grpc::Status& status) {
                           on_done(status);
                         });
      },
      std::move(done));
}

void PeerClient::ReportDeath(const std::string& address,
                             const ReportDeathRequest& request) {
  auto shared_request = std::make_shared<ReportDeathRequest>(request);
  StartCall<ReportDeathRequest, ReportDeathReply>(
      address, request, kDeathReportTimeout,
      [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                       auto on_done) {
        stub->ReportDeath(context, shared_request.get(), reply,
                          [shared_request, on_done](
                              const grpc::Status& status) { on_done(status); });
      },
      [](const std::optional<ReportDeathReply>&) {});
}

}  // namespace daisypond::peer
