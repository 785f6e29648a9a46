#include "entry/generation_response_writer.h"

#include "base/json.h"
#include "http/sse_parser.h"

namespace daisypond::entry {

namespace {

using base::Json;

constexpr char kRequestIdHeader[] = "Daisypond-Request-Id";
constexpr int64_t kMillisecondsPerSecond = 1000;
constexpr base::Millis kKeepAlivePeriod{400};

}  // namespace

void SendVerdict(const base::Verdict& verdict, http::ResponseStream* stream) {
  http::ServerResponse response;
  response.status = base::HttpStatusOf(verdict);
  response.body = base::ToJson(verdict);
  if (verdict.retry_after.count > 0) {
    // Retry-After is in whole seconds (RFC 9110, section 10.2.3): round up.
    const int64_t seconds =
        (verdict.retry_after.count + kMillisecondsPerSecond - 1) /
        kMillisecondsPerSecond;
    response.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  stream->Send(response);
}

void GenerationResponseWriter::SendKeepAlive(base::Millis now) {
  const bool is_stream =
      request_->mode == ResponseMode::kStream && stream_->HasBegun();
  if (is_stream && now - last_write_at_ >= kKeepAlivePeriod) {
    // WHATWG HTML, section "Server-sent events": a line that starts with a
    // colon is a comment.
    Write(":\n\n");
  }
}

void GenerationResponseWriter::Write(const std::string& bytes) {
  last_write_at_ = base::Clock::Now();
  if (!is_caller_gone_ && !stream_->Write(bytes)) {
    is_caller_gone_ = true;
  }
}

std::string GenerationResponseWriter::CompletionJson(
    const std::string& text,
    const std::string& finish_reason) const {
  Json choice = {{"index", 0}, {"text", text}, {"finish_reason", nullptr}};
  if (!finish_reason.empty()) {
    choice["finish_reason"] = finish_reason;
  }
  return base::WriteJson({{"id", request_->caller.request_id},
                          {"object", "text_completion"},
                          {"model", request_->model.ToString()},
                          {"choices", Json::array({choice})}});
}

void GenerationResponseWriter::BeginStream() {
  if (request_->mode != ResponseMode::kStream || stream_->HasBegun()) {
    return;
  }
  last_write_at_ = base::Clock::Now();
  http::ServerResponse head;
  head.content_type = "text/event-stream";
  head.headers.push_back({kRequestIdHeader, request_->caller.request_id});
  is_caller_gone_ = !stream_->Begin(head);
}

void GenerationResponseWriter::SendTokens(
    const generation::TokenSequence& progress,
    size_t from,
    size_t to) {
  if (request_->mode != ResponseMode::kStream) {
    return;
  }
  std::string buf;
  for (size_t i = from; i < to; ++i) {
    const std::string id = generation::ToEventId(progress.PositionOf(i));
    buf += http::ToSse({id, "", CompletionJson(progress.Tokens()[i], "")});
  }
  Write(buf);
}

void GenerationResponseWriter::SendRestart() {
  if (request_->mode == ResponseMode::kStream) {
    Write(http::ToSse({"", "restart", "{}"}));
  }
}

void GenerationResponseWriter::SendHandover() {
  Write(http::ToSse({"", "handover", "{}"}));
}

void GenerationResponseWriter::FinishResponse(
    const generation::TokenSequence& progress,
    const std::string& finish_reason) {
  if (request_->mode == ResponseMode::kStream) {
    Write(http::ToSse({"", "", CompletionJson("", finish_reason)}) +
          http::ToSse({"", "", "[DONE]"}));
    return;
  }
  std::string text;
  for (const std::string& it : progress.Tokens()) {
    text += it;
  }
  http::ServerResponse response;
  response.headers.push_back({kRequestIdHeader, request_->caller.request_id});
  Json body = Json::parse(CompletionJson(text, finish_reason));
  body["usage"] = {{"completion_tokens", progress.Size()}};
  response.body = base::WriteJson(body);
  is_caller_gone_ = !stream_->Send(response);
}

void GenerationResponseWriter::FailResponse(const base::Verdict& verdict) {
  if (!stream_->HasBegun()) {
    SendVerdict(verdict, stream_);
    return;
  }
  Write(http::ToSse({"", "verdict", base::ToJson(verdict)}));
}

}  // namespace daisypond::entry
