#include "load/generation_caller.h"

#include <algorithm>
#include <memory>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "base/json.h"
#include "base/log.h"
#include "http/sse_parser.h"

namespace daisypond::load {

namespace {

using base::Clock;
using base::Millis;

constexpr Millis kConnectTimeout{500};
// A caller reconnects if it receives no data for this long, not even an SSE
// comment (docs/CALLERS.md).
constexpr Millis kSilenceTimeout{1500};
constexpr Millis kMinimumRetryDelay{100};
constexpr int kHttpOk = 200;

/// A chunk of the body of a streamed response. If `end` is set, the response
/// has ended and the chunk is empty.
struct StreamChunk {
  std::string bytes;
  int status = 0;
  std::optional<http::ClientResponse> end;
};

}  // namespace

GenerationCaller::GenerationCaller(const Options* options,
                                   CallerParameters parameters,
                                   http::Client* client,
                                   Report* report)
    : options_(options),
      parameters_(std::move(parameters)),
      client_(client),
      report_(report),
      random_(parameters_.seed),
      checker_(QualifiedRequestId(), report) {}

std::string GenerationCaller::QualifiedRequestId() const {
  return fmt::format("{}/{}/{}", parameters_.workspace.name.size(),
                     parameters_.workspace.name, parameters_.request_id);
}

std::string GenerationCaller::PickEntry() {
  const auto& entries = options_->entry_addresses;
  for (int i = 0; i < 4; ++i) {
    current_entry_ = entries[random_() % entries.size()];
    if (current_entry_ != avoided_entry_) {
      break;
    }
  }
  return current_entry_;
}

http::ClientRequest GenerationCaller::BuildNextRequest() {
  ++attempt_;
  http::ClientRequest request;
  request.address = PickEntry();
  request.path = "/v1/completions";
  request.connect_timeout = kConnectTimeout;
  request.connection_use = http::ConnectionUse::kNew;
  request.headers = {
      {"Content-Type", "application/json"},
      {"Authorization", "Bearer " + parameters_.workspace.api_key},
      {"Idempotency-Key", parameters_.request_id},
      {"Daisypond-Attempt", std::to_string(attempt_)}};
  if (!checker_.LastEventId().empty()) {
    request.headers.push_back({"Last-Event-ID", checker_.LastEventId()});
  }
  base::Json body = {{"model", options_->model},
                     {"prompt", parameters_.prompt},
                     {"max_tokens", options_->tokens_per_generation},
                     {"stream", !parameters_.is_non_streaming}};
  if (!options_->request_kind.empty()) {
    body["kind"] = options_->request_kind;
  }
  request.body = base::WriteJson(body);
  return request;
}

GenerationCaller::AttemptOutcome GenerationCaller::HandleVerdict(
    const std::string& body,
    int status) {
  const base::Json error = base::ObjectField(base::ParseJson(body), "error");
  const std::string reason = base::StringField(error, "reason", "none");
  report_->CountErrorReason(reason);
  retry_after_ = {base::IntegerField(error, "retry_after_ms")};
  if (reason == "generation_lost") {
    return AttemptOutcome::kRestartWithNewKey;
  }
  if (reason == "condemned") {
    report_->Add(ResultCounter::kGenerationsCondemned);
    return AttemptOutcome::kRefused;
  }
  return retry_after_.count > 0 ? AttemptOutcome::kRetryLater
                                : AttemptOutcome::kRefused;
}

void GenerationCaller::RecordTokenLatency() {
  const Millis now = Clock::Now();
  if (last_token_at_.count == 0) {
    const auto wait = static_cast<double>((now - started_at_).count);
    report_->Observe(LatencyKind::kFirstToken, wait);
    report_->ObserveWorkspaceFirstToken(parameters_.workspace.name, wait);
  } else {
    const Millis gap = now - last_token_at_;
    longest_gap_ = std::max(longest_gap_, gap);
    report_->Observe(is_reconnected_ ? LatencyKind::kReconnectResume
                                     : LatencyKind::kInterToken,
                     static_cast<double>(gap.count));
  }
  is_reconnected_ = false;
  last_token_at_ = now;
}

GenerationCaller::AttemptOutcome GenerationCaller::ReadStream(
    const http::ClientRequest& request) {
  auto mailbox = std::make_shared<base::Mailbox<StreamChunk>>();
  const auto exchange = client_->Start(
      request,
      [mailbox](int status, std::string_view bytes) {
        mailbox->Push({std::string(bytes), status, std::nullopt});
      },
      [mailbox](http::ClientResponse response) {
        mailbox->Push({"", response.status, std::move(response)});
      });
  http::SseParser parser;
  std::string body;
  while (true) {
    const auto stream_chunk = mailbox->Pop(kSilenceTimeout);
    if (!stream_chunk) {
      client_->Cancel(exchange);
      return AttemptOutcome::kReconnect;
    }
    if (stream_chunk->end) {
      const bool is_error_response =
          stream_chunk->status != 0 && stream_chunk->status != kHttpOk;
      if (is_error_response) {
        return HandleVerdict(body, stream_chunk->status);
      }
      if (stream_chunk->end->transfer_result ==
          http::TransferResult::kNotConnected) {
        avoided_entry_ = current_entry_;
      } else {
        report_->Add(ResultCounter::kStreamsCut);
      }
      return AttemptOutcome::kReconnect;
    }
    if (stream_chunk->status != kHttpOk) {
      body += stream_chunk->bytes;
      continue;
    }
    for (const http::SseEvent& it : parser.Feed(stream_chunk->bytes)) {
      if (it.name == "verdict") {
        return HandleVerdict(it.data, kHttpOk);
      }
      if (it.name == "handover") {
        report_->Add(ResultCounter::kHandOvers);
        avoided_entry_ = current_entry_;
        return AttemptOutcome::kReconnect;
      }
      if (it.name == "restart") {
        report_->Add(ResultCounter::kRestarts);
        checker_.Reset();
        continue;
      }
      if (it.data == "[DONE]") {
        return AttemptOutcome::kCompleted;
      }
      const base::Json chunk = base::ParseJson(it.data);
      const base::Json& choices = base::ArrayField(chunk, "choices");
      const std::string text =
          choices.empty() ? "" : base::StringField(choices[0], "text");
      if (!it.id.empty()) {
        checker_.OnToken(it.id, text);
        RecordTokenLatency();
      }
    }
  }
}

GenerationCaller::AttemptOutcome GenerationCaller::RunAttempt() {
  http::ClientRequest request = BuildNextRequest();
  if (!parameters_.is_non_streaming) {
    return ReadStream(request);
  }
  request.total_timeout = options_->caller_timeout;
  const auto response = client_->Fetch(std::move(request));
  if (response.transfer_result != http::TransferResult::kComplete) {
    avoided_entry_ = current_entry_;
    return AttemptOutcome::kReconnect;
  }
  if (response.status != kHttpOk) {
    return HandleVerdict(response.body, response.status);
  }
  const base::Json body = base::ParseJson(response.body);
  const base::Json& choices = base::ArrayField(body, "choices");
  checker_.OnCompleteText(
      choices.empty() ? "" : base::StringField(choices[0], "text"));
  return AttemptOutcome::kCompleted;
}

void GenerationCaller::Run() {
  report_->Add(ResultCounter::kGenerationsStarted);
  started_at_ = Clock::Now();
  const Millis deadline = started_at_ + options_->caller_timeout;
  while (attempt_ < options_->maximum_attempts && Clock::Now() < deadline) {
    const Millis attempt_started_at = Clock::Now();
    const AttemptOutcome outcome = RunAttempt();
    if (outcome == AttemptOutcome::kCompleted) {
      const int64_t missing =
          options_->tokens_per_generation - checker_.TokenCount();
      report_->Add(ResultCounter::kTokensMissing,
                   std::max<int64_t>(0, missing));
      report_->Add(ResultCounter::kGenerationsWhole);
      if (longest_gap_.count > 0) {
        report_->Observe(LatencyKind::kLongestGap,
                         static_cast<double>(longest_gap_.count));
      }
      return;
    }
    const bool is_refused = outcome == AttemptOutcome::kRefused ||
                            (outcome == AttemptOutcome::kRetryLater &&
                             attempt_ >= options_->maximum_attempts);
    if (is_refused) {
      report_->Observe(
          LatencyKind::kRefusal,
          static_cast<double>((Clock::Now() - attempt_started_at).count));
      report_->Add(ResultCounter::kGenerationsRefused);
      return;
    }
    if (outcome == AttemptOutcome::kRestartWithNewKey) {
      report_->Add(ResultCounter::kGenerationsLost);
      parameters_.request_id += "-again";
      checker_ = AnswerChecker(QualifiedRequestId(), report_);
      attempt_ = 0;
      continue;
    }
    if (outcome == AttemptOutcome::kRetryLater) {
      std::this_thread::sleep_for(
          std::max(retry_after_, kMinimumRetryDelay).ToChrono());
    }
    is_reconnected_ = true;
    report_->Add(ResultCounter::kReconnects);
    std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 50));
  }
  report_->Add(ResultCounter::kGenerationsUnfinished);
  base::Log(base::LogLevel::kWarning, "generation_unfinished",
            {{"key", QualifiedRequestId()}, {"tokens", checker_.TokenCount()}});
}

}  // namespace daisypond::load
