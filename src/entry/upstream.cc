#include "entry/upstream.h"

#include <utility>

#include "base/hash.h"
#include "base/json.h"
#include "entry/target_death_detector.h"
#include "http/sse_parser.h"

namespace daisypond::entry {

namespace {

using base::Json;
using generation::AttemptId;
using generation::UpstreamEndKind;

constexpr base::Millis kConnectTimeout{1000};
constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

/// Parses the response stream of one attempt and pushes its events to the
/// mailbox. Used only by the thread of the HTTP client.
class UpstreamStreamReader {
 public:
  UpstreamStreamReader(AttemptId attempt, std::shared_ptr<RelayMailbox> mailbox)
      : attempt_(attempt), mailbox_(std::move(mailbox)) {}

  void OnChunk(int status, std::string_view bytes) {
    if (status != kStatusOk) {
      return;
    }
    for (const http::SseEvent& it : parser_.Feed(bytes)) {
      OnEvent(it);
    }
  }

  void OnDone(const http::ClientResponse& response) {
    if (has_ended_) {
      return;
    }
    generation::UpstreamEnding ending;
    ending.kind = ClassifyEnd(response);
    mailbox_->Push(StreamEnded{attempt_, ending});
  }

 private:
  void OnEvent(const http::SseEvent& event) {
    if (event.name == "load") {
      mailbox_->Push(
          LoadReportArrived{attempt_, LoadReportFromJson(event.data)});
      return;
    }
    const Json data = base::ParseJson(event.data);
    if (event.name == "started") {
      mailbox_->Push(StreamConfirmed{
          attempt_, base::IntegerField(data, "first_index", -1)});
      return;
    }
    if (event.name == "finished") {
      generation::UpstreamEnding ending;
      ending.kind = UpstreamEndKind::kFinished;
      ending.token_count = base::IntegerField(data, "tokens", -1);
      ending.finish_reason = base::StringField(data, "finish_reason", "stop");
      has_ended_ = true;
      mailbox_->Push(StreamEnded{attempt_, ending});
      return;
    }
    generation::UpstreamToken token;
    token.request_id = base::StringField(data, "request_id");
    token.attempt = base::IntegerField(data, "attempt");
    token.index = base::IntegerField(data, "index", -1);
    token.text = base::StringField(data, "text");
    mailbox_->Push(TokenArrived{attempt_, std::move(token)});
  }

  static UpstreamEndKind ClassifyEnd(const http::ClientResponse& response) {
    if (response.transfer_result == http::TransferResult::kNotConnected) {
      return UpstreamEndKind::kNotConnected;
    }
    if (response.transfer_result != http::TransferResult::kComplete ||
        response.status == kStatusOk) {
      return UpstreamEndKind::kBroken;
    }
    const bool is_full = response.status == kStatusTooManyRequests ||
                         response.status == kStatusUnavailable;
    return is_full ? UpstreamEndKind::kOverloaded : UpstreamEndKind::kRefused;
  }

  AttemptId attempt_;
  std::shared_ptr<RelayMailbox> mailbox_;
  http::SseParser parser_;
  bool has_ended_ = false;
};

std::string MakeRequestBody(const GenerationRequest& request,
                            const generation::TokenSequence& progress,
                            AttemptId attempt) {
  return base::WriteJson(
      {{"request_id", request.caller.GlobalKey()},
       {"attempt", attempt.value},
       {"model", request.model.model},
       {"version", request.model.version},
       {"adapter", request.model.adapter},
       {"priority", intents::kPriorityNames.NameOf(request.kind.priority)},
       {"prompt", request.prompt},
       {"max_tokens", request.maximum_tokens},
       {"seed", progress.Generation()},
       {"stream", true},
       {"resume_tokens", progress.Tokens()}});
}

}  // namespace

http::ExchangeId StartUpstreamAttempt(http::Client* client,
                                      const std::string& address,
                                      const GenerationRequest& request,
                                      const generation::TokenSequence& progress,
                                      AttemptId attempt,
                                      std::shared_ptr<RelayMailbox> mailbox) {
  http::ClientRequest upstream;
  upstream.address = address;
  upstream.path = "/v1/completions";
  upstream.headers.push_back({"Content-Type", "application/json"});
  upstream.body = MakeRequestBody(request, progress, attempt);
  upstream.connect_timeout = kConnectTimeout;
  upstream.connection_use = http::ConnectionUse::kNew;
  auto reader =
      std::make_shared<UpstreamStreamReader>(attempt, std::move(mailbox));
  return client->Start(
      std::move(upstream),
      [reader](int status, std::string_view bytes) {
        reader->OnChunk(status, bytes);
      },
      [reader](const http::ClientResponse& response) {
        reader->OnDone(response);
      });
}

}  // namespace daisypond::entry
