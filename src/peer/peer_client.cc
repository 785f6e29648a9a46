#include "peer/peer_client.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <set>
#include <utility>

#include "base/link_faults.h"
#include "peer/convert.h"

namespace daisypond::peer {

namespace {

constexpr int kReconnectBackoffMilliseconds = 500;
constexpr int kConnectTimeoutMilliseconds = 1000;
constexpr base::Millis kReportTimeout{1000};

grpc::ChannelArguments ChannelArguments() {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   kConnectTimeoutMilliseconds);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                   kReconnectBackoffMilliseconds);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 0);
  return arguments;
}

std::chrono::system_clock::time_point Deadline(base::Millis timeout) {
  return std::chrono::system_clock::now() + timeout.ToChrono();
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

/// Keeps what a call needs until its callback has run.
template <typename Reply>
struct PeerClient::Call {
  grpc::ClientContext context;
  Reply reply;
};

PeerClient::PeerClient(PeerClientOptions options, base::Metrics* metrics)
    : options_(std::move(options)), metrics_(metrics) {
  if (!options_.credentials) {
    options_.credentials = grpc::InsecureChannelCredentials();
  }
}

PeerClient::~PeerClient() {
  std::unique_lock lock(calls_mutex_);
  calls_ended_.wait(lock, [this] { return calls_ == 0; });
}

std::shared_ptr<PeerClient::Link> PeerClient::LinkTo(
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

void PeerClient::KeepOnly(const std::vector<std::string>& addresses) {
  const std::set<std::string> kept(addresses.begin(), addresses.end());
  const std::lock_guard lock(mutex_);
  std::erase_if(links_,
                [&](const auto& it) { return !kept.contains(it.first); });
}

void PeerClient::NoteSent(size_t bytes) {
  metrics_->Add(base::Counter::kPeerMessages);
  metrics_->Add(base::Counter::kPeerBytes, static_cast<int64_t>(bytes));
}

template <typename Request, typename Reply, typename Method>
void PeerClient::Start(const std::string& address,
                       const Request& request,
                       base::Millis timeout,
                       Method method,
                       std::function<void(std::optional<Reply>)> done) {
  const base::LinkState state = base::LinkFaults::Instance().StateOf(address);
  if (state != base::LinkState::kOpen) {
    done(std::nullopt);
    return;
  }
  const auto link = LinkTo(address);
  auto call = std::make_shared<Call<Reply>>();
  call->context.set_deadline(Deadline(timeout));
  NoteSent(request.ByteSizeLong());
  {
    const std::lock_guard lock(calls_mutex_);
    ++calls_;
  }
  auto on_done = [this, link, call,
                  done = std::move(done)](const grpc::Status& status) {
    NoteSent(call->reply.ByteSizeLong());
    done(status.ok() ? std::optional<Reply>(std::move(call->reply))
                     : std::nullopt);
    const std::lock_guard lock(calls_mutex_);
    --calls_;
    calls_ended_.notify_all();
  };
  method(link->stub->async(), &call->context, request, &call->reply,
         std::move(on_done));
}

void PeerClient::AppendCopy(const std::string& address,
                            const generation::AppendTokens& append,
                            OnCopied done) {
  const auto link = LinkTo(address);
  {
    const std::lock_guard lock(link->mutex);
    link->pending.push_back({ToMessage(append), std::move(done)});
    if (link->is_sending) {
      return;
    }
    link->is_sending = true;
  }
  SendAppends(link);
}

void PeerClient::SendAppends(const std::shared_ptr<Link>& link) {
  auto request = std::make_shared<AppendRequest>();
  auto sent = std::make_shared<std::vector<Pending>>();
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
  Start<AppendRequest, AppendReply>(
      link->address, *request, options_.copy_timeout,
      [request](auto* stub, auto* context, const auto&, auto* reply,
                auto on_done) {
        stub->AppendCopies(context, request.get(), reply,
                           [request, on_done](const grpc::Status& status) {
                             on_done(status);
                           });
      },
      [this, link, sent](const std::optional<AppendReply>& reply) {
        OnAppended(link, std::move(*sent), reply.has_value(),
                   reply.value_or(AppendReply()));
      });
}

void PeerClient::OnAppended(const std::shared_ptr<Link>& link,
                            std::vector<Pending> sent,
                            bool is_answered,
                            const AppendReply& reply) {
  for (size_t i = 0; i < sent.size(); ++i) {
    const bool is_told =
        is_answered && static_cast<int>(i) < reply.outcomes_size();
    sent[i].done(is_told ? ToCopyOutcome(
                               FromMessage(reply.outcomes(static_cast<int>(i))))
                         : generation::CopyOutcome::kFailed);
  }
  SendAppends(link);
}

std::vector<generation::TakeOverResult> PeerClient::TakeOver(
    const std::vector<std::string>& addresses,
    const TakeOverRequest& request,
    base::Millis timeout) {
  struct Gathered {
    std::mutex mutex;
    std::condition_variable changed;
    size_t open = 0;
    std::vector<generation::TakeOverResult> results;
  };
  auto gathered = std::make_shared<Gathered>();
  auto shared_request = std::make_shared<TakeOverRequest>(request);
  gathered->open = addresses.size();
  for (const std::string& it : addresses) {
    Start<TakeOverRequest, TakeOverReply>(
        it, request, timeout,
        [shared_request](auto* stub, auto* context, const auto&, auto* reply,
                         auto on_done) {
          stub->TakeOver(context, shared_request.get(), reply, on_done);
        },
        [gathered, shared_request](std::optional<TakeOverReply> reply) {
          const std::lock_guard lock(gathered->mutex);
          --gathered->open;
          if (reply) {
            gathered->results.push_back(FromMessage(*reply));
          }
          gathered->changed.notify_one();
        });
  }
  std::unique_lock lock(gathered->mutex);
  gathered->changed.wait_for(lock, timeout.ToChrono(),
                             [&] { return gathered->open == 0; });
  return gathered->results;
}

void PeerClient::Exchange(const std::string& address,
                          const ExchangeRequest& request,
                          base::Millis timeout,
                          OnExchanged done) {
  auto shared = std::make_shared<ExchangeRequest>(request);
  Start<ExchangeRequest, ExchangeReply>(
      address, request, timeout,
      [shared](auto* stub, auto* context, const auto&, auto* reply,
               auto on_done) {
        stub->Exchange(
            context, shared.get(), reply,
            [shared, on_done](const grpc::Status& status) { on_done(status); });
      },
      std::move(done));
}

void PeerClient::FetchConfiguration(const std::string& address,
                                    uint64_t known_version,
                                    base::Millis timeout,
                                    OnConfiguration done) {
  auto request = std::make_shared<FetchConfigurationRequest>();
  request->set_known_version(known_version);
  Start<FetchConfigurationRequest, FetchConfigurationReply>(
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
                              OnCatalog done) {
  auto shared = std::make_shared<FetchCatalogRequest>(request);
  Start<FetchCatalogRequest, FetchCatalogReply>(
      address, *shared, timeout,
      [shared](auto* stub, auto* context, const auto&, auto* reply,
               auto on_done) {
        stub->FetchCatalog(
            context, shared.get(), reply,
            [shared, on_done](const grpc::Status& status) { on_done(status); });
      },
      std::move(done));
}

void PeerClient::LendRetries(const std::string& address,
                             const LendRetriesRequest& request,
                             base::Millis timeout,
                             std::function<void(std::optional<int>)> done) {
  auto shared = std::make_shared<LendRetriesRequest>(request);
  Start<LendRetriesRequest, LendRetriesReply>(
      address, *shared, timeout,
      [shared](auto* stub, auto* context, const auto&, auto* reply,
               auto on_done) {
        stub->LendRetries(
            context, shared.get(), reply,
            [shared, on_done](const grpc::Status& status) { on_done(status); });
      },
      [done = std::move(done)](const std::optional<LendRetriesReply>& reply) {
        done(reply ? std::optional<int>(reply->granted()) : std::nullopt);
      });
}

void PeerClient::ReportRequests(const std::string& address,
                                const ReportRequestsRequest& request,
                                base::Millis timeout,
                                std::function<void(bool)> done) {
  auto shared = std::make_shared<ReportRequestsRequest>(request);
  Start<ReportRequestsRequest, ReportRequestsReply>(
      address, *shared, timeout,
      [shared](auto* stub, auto* context, const auto&, auto* reply,
               auto on_done) {
        stub->ReportRequests(
            context, shared.get(), reply,
            [shared, on_done](const grpc::Status& status) { on_done(status); });
      },
      [done =
           std::move(done)](const std::optional<ReportRequestsReply>& reply) {
        done(reply.has_value());
      });
}

void PeerClient::ReportDeath(const std::string& address,
                             const ReportDeathRequest& request) {
  auto shared = std::make_shared<ReportDeathRequest>(request);
  Start<ReportDeathRequest, ReportDeathReply>(
      address, request, kReportTimeout,
      [shared](auto* stub, auto* context, const auto&, auto* reply,
               auto on_done) {
        stub->ReportDeath(
            context, shared.get(), reply,
            [shared, on_done](const grpc::Status& status) { on_done(status); });
      },
      [](const std::optional<ReportDeathReply>&) {});
}

}  // namespace daisypond::peer
