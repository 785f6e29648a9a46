#include "peer/peer_server.h"

#include <chrono>
#include <utility>

#include <grpcpp/resource_quota.h>

#include "base/clock.h"
#include "peer/convert.h"

namespace daisypond::peer {

namespace {

constexpr int kMaximumMessageBytes = 32 << 20;
constexpr int kMaximumThreads = 4;
constexpr std::chrono::milliseconds kShutdownTimeout{500};

}  // namespace

class PeerServer::Service final : public Peers::CallbackService {
 public:
  explicit Service(PeerServerDependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  grpc::ServerUnaryReactor* AppendCopies(grpc::CallbackServerContext* context,
                                         const AppendRequest* request,
                                         AppendReply* reply) override {
    if (dependencies_.copy_store == nullptr) {
      return FinishUnimplemented(context);
    }
    const base::Millis now = base::Clock::Now();
    for (const Append& it : request->appends()) {
      reply->add_outcomes(
          ToProto(dependencies_.copy_store->Append(FromProto(it), now)));
    }
    return FinishOk(context);
  }

  grpc::ServerUnaryReactor* TakeOver(grpc::CallbackServerContext* context,
                                     const TakeOverRequest* request,
                                     TakeOverReply* reply) override {
    if (dependencies_.copy_store == nullptr) {
      return FinishUnimplemented(context);
    }
    *reply = ToProto(dependencies_.copy_store->TakeOver(
        request->key(), request->body_digest(), request->attempt(),
        static_cast<uint16_t>(request->holder_tag()), base::Clock::Now()));
    return FinishOk(context);
  }

  grpc::ServerUnaryReactor* Exchange(grpc::CallbackServerContext* context,
                                     const ExchangeRequest* request,
                                     ExchangeReply* reply) override {
    auto* reactor = context->DefaultReactor();
    dependencies_.post([this, request, reply, reactor] {
      dependencies_.on_exchange(*request,
                                [reply, reactor](ExchangeReply answer) {
                                  *reply = std::move(answer);
                                  reactor->Finish(grpc::Status::OK);
                                });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* ReportDeath(grpc::CallbackServerContext* context,
                                        const ReportDeathRequest* request,
                                        ReportDeathReply* reply) override {
    dependencies_.post(
        [this, copy = *request] { dependencies_.on_report_death(copy); });
    return FinishOk(context);
  }

  grpc::ServerUnaryReactor* FetchConfiguration(
      grpc::CallbackServerContext* context,
      const FetchConfigurationRequest* request,
      FetchConfigurationReply* reply) override {
    if (dependencies_.configuration == nullptr) {
      return FinishUnimplemented(context);
    }
    reply->set_version(dependencies_.configuration->Version());
    if (reply->version() > request->known_version()) {
      reply->set_bundle(*dependencies_.configuration->CurrentBundleJson());
    }
    return FinishOk(context);
  }

  grpc::ServerUnaryReactor* FetchCatalog(grpc::CallbackServerContext* context,
                                         const FetchCatalogRequest* request,
                                         FetchCatalogReply* reply) override {
    if (!dependencies_.on_fetch_catalog) {
      return FinishUnimplemented(context);
    }
    auto* reactor = context->DefaultReactor();
    dependencies_.post([this, request, reply, reactor] {
      dependencies_.on_fetch_catalog(
          *request, [reply, reactor](FetchCatalogReply answer) {
            *reply = std::move(answer);
            reactor->Finish(grpc::Status::OK);
          });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* LendRetries(grpc::CallbackServerContext* context,
                                        const LendRetriesRequest* request,
                                        LendRetriesReply* reply) override {
    if (!dependencies_.on_lend_retries) {
      return FinishUnimplemented(context);
    }
    auto* reactor = context->DefaultReactor();
    dependencies_.post([this, request, reply, reactor] {
      reply->set_granted(dependencies_.on_lend_retries(*request));
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* ReportRequests(
      grpc::CallbackServerContext* context,
      const ReportRequestsRequest* request,
      ReportRequestsReply* reply) override {
    if (!dependencies_.on_report_requests) {
      return FinishUnimplemented(context);
    }
    dependencies_.post(
        [this, copy = *request] { dependencies_.on_report_requests(copy); });
    return FinishOk(context);
  }

  grpc::ServerUnaryReactor* TakePermit(grpc::CallbackServerContext* context,
                                       const TakePermitRequest* request,
                                       TakePermitReply* reply) override {
    if (!dependencies_.on_take_permit) {
      return FinishUnimplemented(context);
    }
    auto* reactor = context->DefaultReactor();
    dependencies_.post([this, request, reply, reactor] {
      *reply = dependencies_.on_take_permit(*request);
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* TakeSlot(grpc::CallbackServerContext* context,
                                     const TakeSlotRequest* request,
                                     TakeSlotReply* reply) override {
    if (!dependencies_.on_take_slot) {
      return FinishUnimplemented(context);
    }
    auto* reactor = context->DefaultReactor();
    dependencies_.post([this, request, reply, reactor] {
      *reply = dependencies_.on_take_slot(*request);
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* ReturnSlot(grpc::CallbackServerContext* context,
                                       const ReturnSlotRequest* request,
                                       ReturnSlotReply*) override {
    if (!dependencies_.on_return_slot) {
      return FinishUnimplemented(context);
    }
    dependencies_.post(
        [this, copy = *request] { dependencies_.on_return_slot(copy); });
    return FinishOk(context);
  }

  grpc::ServerUnaryReactor* RecordStream(grpc::CallbackServerContext* context,
                                         const RecordStreamRequest* request,
                                         RecordStreamReply* reply) override {
    if (!dependencies_.on_record_stream) {
      return FinishUnimplemented(context);
    }
    auto* reactor = context->DefaultReactor();
    dependencies_.post([this, request, reply, reactor] {
      dependencies_.on_record_stream(
          *request, [reply, reactor](const RecordStreamReply& answer) {
            *reply = answer;
            reactor->Finish(grpc::Status::OK);
          });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* FindStream(grpc::CallbackServerContext* context,
                                       const FindStreamRequest* request,
                                       FindStreamReply* reply) override {
    if (!dependencies_.on_find_stream) {
      return FinishUnimplemented(context);
    }
    auto* reactor = context->DefaultReactor();
    dependencies_.post([this, request, reply, reactor] {
      *reply = dependencies_.on_find_stream(*request);
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

 private:
  static grpc::ServerUnaryReactor* FinishUnimplemented(
      grpc::CallbackServerContext* context) {
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status(grpc::StatusCode::UNIMPLEMENTED,
                                 "this instance does not serve the call"));
    return reactor;
  }

  static grpc::ServerUnaryReactor* FinishOk(
      grpc::CallbackServerContext* context) {
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  PeerServerDependencies dependencies_;
};

PeerServer::PeerServer(
    const std::string& address,
    const std::shared_ptr<grpc::ServerCredentials>& credentials,
    PeerServerDependencies dependencies)
    : service_(std::make_unique<Service>(std::move(dependencies))) {
  grpc::ServerBuilder builder;
  grpc::ResourceQuota quota("peers");
  quota.SetMaxThreads(kMaximumThreads);
  builder.SetResourceQuota(quota);
  builder.SetMaxReceiveMessageSize(kMaximumMessageBytes);
  // With SO_REUSEPORT, a second process could listen on the same port and would
  // get part of the connections.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(address, credentials);
  builder.RegisterService(service_.get());
  server_ = builder.BuildAndStart();
}

PeerServer::~PeerServer() {
  Shutdown();
}

void PeerServer::Shutdown() {
  if (server_) {
    server_->Shutdown(std::chrono::system_clock::now() + kShutdownTimeout);
  }
}

}  // namespace daisypond::peer
