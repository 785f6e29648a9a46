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
// A caller that hears nothing for so long, not even a comment, comes back
// elsewhere (docs/CALLERS.md).
constexpr Millis kSilence{1500};
constexpr Millis kLeastPause{100};
constexpr int kSuccess = 200;

struct StreamPiece {
  std::string bytes;
  int status = 0;
  std::optional<http::ClientResponse> end;
};

}  // namespace

GenerationCaller::GenerationCaller(const Options* options,
                                   CallerPlan plan,
                                   http::Client* client,
                                   Report* report)
    : options_(options),
      plan_(std::move(plan)),
      client_(client),
      report_(report),
      random_(plan_.seed),
      checker_(Key(), report) {}

std::string GenerationCaller::Key() const {
  return fmt::format("{}/{}/{}", plan_.workspace.name.size(),
                     plan_.workspace.name, plan_.request_id);
}

std::string GenerationCaller::PickEntry() {
  const auto& entries = options_->entries;
  for (int i = 0; i < 4; ++i) {
    entry_ = entries[random_() % entries.size()];
    if (entry_ != failed_entry_) {
      break;
    }
  }
  return entry_;
}

http::ClientRequest GenerationCaller::NextRequest() {
  ++attempt_;
  http::ClientRequest request;
  request.address = PickEntry();
  request.path = "/v1/completions";
  request.connect_timeout = kConnectTimeout;
  request.connection_use = http::ConnectionUse::kNew;
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + plan_.workspace.api_key},
                     {"Idempotency-Key", plan_.request_id},
                     {"Daisypond-Attempt", std::to_string(attempt_)}};
  if (!checker_.LastEventId().empty()) {
    request.headers.push_back({"Last-Event-ID", checker_.LastEventId()});
  }
  base::Json body = {{"model", options_->model},
                     {"prompt", plan_.prompt},
                     {"max_tokens", options_->tokens},
                     {"stream", !plan_.is_whole}};
  if (!options_->kind.empty()) {
    body["kind"] = options_->kind;
  }
  request.body = base::WriteJson(body);
  return request;
}

GenerationCaller::TryEnd GenerationCaller::OnVerdict(const std::string& body,
                                                     int status) {
  const base::Json error = base::ObjectField(base::ParseJson(body), "error");
  const std::string reason = base::StringField(error, "reason", "none");
  report_->AddReason(reason);
  retry_after_ = {base::IntegerField(error, "retry_after_ms")};
  if (reason == "generation_lost") {
    return TryEnd::kStartAgain;
  }
  if (reason == "condemned") {
    report_->Add(Tally::kGenerationsCondemned);
    return TryEnd::kGivenUp;
  }
  return retry_after_.count > 0 ? TryEnd::kComeBackLater : TryEnd::kGivenUp;
}

void GenerationCaller::OnNewToken() {
  const Millis now = Clock::Now();
  if (last_token_at_.count == 0) {
    const auto wait = static_cast<double>((now - started_at_).count);
    report_->Observe(Span::kFirstToken, wait);
    report_->AddWorkspaceFirstToken(plan_.workspace.name, wait);
  } else {
    const Millis gap = now - last_token_at_;
    longest_gap_ = std::max(longest_gap_, gap);
    report_->Observe(is_back_ ? Span::kReconnectResume : Span::kInterToken,
                     static_cast<double>(gap.count));
  }
  is_back_ = false;
  last_token_at_ = now;
}

GenerationCaller::TryEnd GenerationCaller::ReadStream(
    const http::ClientRequest& request) {
  auto mailbox = std::make_shared<base::Mailbox<StreamPiece>>();
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
    const auto piece = mailbox->Pop(kSilence);
    if (!piece) {
      client_->Cancel(exchange);
      return TryEnd::kComeBackNow;
    }
    if (piece->end) {
      const bool is_answer = piece->status != 0 && piece->status != kSuccess;
      if (is_answer) {
        return OnVerdict(body, piece->status);
      }
      if (piece->end->transfer_result == http::TransferResult::kNotConnected) {
        failed_entry_ = entry_;
      } else {
        report_->Add(Tally::kStreamsCut);
      }
      return TryEnd::kComeBackNow;
    }
    if (piece->status != kSuccess) {
      body += piece->bytes;
      continue;
    }
    for (const http::SseEvent& it : parser.Feed(piece->bytes)) {
      if (it.name == "verdict") {
        return OnVerdict(it.data, kSuccess);
      }
      if (it.name == "handover") {
        report_->Add(Tally::kHandOvers);
        failed_entry_ = entry_;
        return TryEnd::kComeBackNow;
      }
      if (it.name == "restart") {
        report_->Add(Tally::kRestarts);
        checker_.Discard();
        continue;
      }
      if (it.data == "[DONE]") {
        return TryEnd::kWhole;
      }
      const base::Json chunk = base::ParseJson(it.data);
      const base::Json& choices = base::ArrayField(chunk, "choices");
      const std::string text =
          choices.empty() ? "" : base::StringField(choices[0], "text");
      if (!it.id.empty()) {
        checker_.OnToken(it.id, text);
        OnNewToken();
      }
    }
  }
}

GenerationCaller::TryEnd GenerationCaller::Try() {
  http::ClientRequest request = NextRequest();
  if (!plan_.is_whole) {
    return ReadStream(request);
  }
  request.total_timeout = options_->patience;
  const auto response = client_->Fetch(std::move(request));
  if (response.transfer_result != http::TransferResult::kComplete) {
    failed_entry_ = entry_;
    return TryEnd::kComeBackNow;
  }
  if (response.status != kSuccess) {
    return OnVerdict(response.body, response.status);
  }
  const base::Json body = base::ParseJson(response.body);
  const base::Json& choices = base::ArrayField(body, "choices");
  checker_.OnWholeText(choices.empty() ? ""
                                       : base::StringField(choices[0], "text"));
  return TryEnd::kWhole;
}

void GenerationCaller::Run() {
  report_->Add(Tally::kGenerationsStarted);
  started_at_ = Clock::Now();
  const Millis end = started_at_ + options_->patience;
  while (attempt_ < options_->maximum_tries && Clock::Now() < end) {
    const Millis asked_at = Clock::Now();
    const TryEnd outcome = Try();
    if (outcome == TryEnd::kWhole) {
      const int64_t missing = options_->tokens - checker_.Count();
      report_->Add(Tally::kTokensMissing, std::max<int64_t>(0, missing));
      report_->Add(Tally::kGenerationsWhole);
      if (longest_gap_.count > 0) {
        report_->Observe(Span::kLongestGap,
                         static_cast<double>(longest_gap_.count));
      }
      return;
    }
    const bool is_refused =
        outcome == TryEnd::kGivenUp || (outcome == TryEnd::kComeBackLater &&
                                        attempt_ >= options_->maximum_tries);
    if (is_refused) {
      report_->Observe(Span::kRefusal,
                       static_cast<double>((Clock::Now() - asked_at).count));
      report_->Add(Tally::kGenerationsRefused);
      return;
    }
    if (outcome == TryEnd::kStartAgain) {
      report_->Add(Tally::kGenerationsLost);
      plan_.request_id += "-again";
      checker_ = AnswerChecker(Key(), report_);
      attempt_ = 0;
      continue;
    }
    if (outcome == TryEnd::kComeBackLater) {
      std::this_thread::sleep_for(
          std::max(retry_after_, kLeastPause).ToChrono());
    }
    is_back_ = true;
    report_->Add(Tally::kReconnects);
    std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 50));
  }
  report_->Add(Tally::kGenerationsUnfinished);
  base::Log(base::LogLevel::kWarning, "generation_unfinished",
            {{"key", Key()}, {"tokens", checker_.Count()}});
}

}  // namespace daisypond::load
