#include "entry/upstream.h"

#include <utility>

#include "base/hash.h"
#include "base/json.h"
#include "entry/death_watch.h"
#include "http/sse_parser.h"

namespace daisypond::entry {

namespace {

using base::Json;
using generation::AttemptId;
using generation::UpstreamEnd;

constexpr base::Millis kConnectTimeout{1000};
constexpr int kSuccess = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// Turns the bytes of one attempt's stream into events. Used by the HTTP
/// client's thread only.
class StreamReader {
 public:
  StreamReader(AttemptId attempt, std::shared_ptr<RelayMailbox> mailbox)
      : attempt_(attempt), mailbox_(std::move(mailbox)) {}

  void OnChunk(int status, std::string_view bytes) {
    if (status != kSuccess) {
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
    ending.end = EndOf(response);
    mailbox_->Push(StreamEnded{attempt_, ending});
  }

 private:
  void OnEvent(const http::SseEvent& event) {
    if (event.name == "load") {
      mailbox_->Push(LoadArrived{attempt_, LoadReportFromJson(event.data)});
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
      ending.end = UpstreamEnd::kFinished;
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

  static UpstreamEnd EndOf(const http::ClientResponse& response) {
    if (response.transfer_result == http::TransferResult::kNotConnected) {
      return UpstreamEnd::kNotConnected;
    }
    if (response.transfer_result != http::TransferResult::kComplete ||
        response.status == kSuccess) {
      return UpstreamEnd::kBroken;
    }
    const bool is_full =
        response.status == kTooManyRequests || response.status == kUnavailable;
    return is_full ? UpstreamEnd::kOverloaded : UpstreamEnd::kRefused;
  }

  AttemptId attempt_;
  std::shared_ptr<RelayMailbox> mailbox_;
  http::SseParser parser_;
  bool has_ended_ = false;
};

std::string BodyOf(const GenerationRequest& request,
                   const generation::Progress& progress,
                   AttemptId attempt) {
  return base::WriteJson(
      {{"request_id", request.caller.Key()},
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

http::ExchangeId StartUpstream(http::Client* client,
                               const std::string& address,
                               const GenerationRequest& request,
                               const generation::Progress& progress,
                               AttemptId attempt,
                               std::shared_ptr<RelayMailbox> mailbox) {
  http::ClientRequest upstream;
  upstream.address = address;
  upstream.path = "/v1/completions";
  upstream.headers.push_back({"Content-Type", "application/json"});
  upstream.body = BodyOf(request, progress, attempt);
  upstream.connect_timeout = kConnectTimeout;
  upstream.connection_use = http::ConnectionUse::kNew;
  auto reader = std::make_shared<StreamReader>(attempt, std::move(mailbox));
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
