#include "load/answer_checker.h"

#include "base/log.h"
#include "generation/digest_chain.h"
#include "standins/token_format.h"

namespace daisypond::load {

AnswerChecker::AnswerChecker(const std::string& qualified_request_id,
                             Report* report)
    : request_digest_(standins::RequestDigest(qualified_request_id)),
      report_(report) {}

void AnswerChecker::CheckEventId(const std::string& event_id,
                                 const std::string& text) {
  const auto position = generation::PositionFromEventId(event_id);
  if (!position || position->index != next_index_) {
    report_->Add(ResultCounter::kDigestsWrong);
    return;
  }
  const uint64_t before =
      event_id_digest_.value_or(generation::EmptyDigest(position->generation));
  event_id_digest_ = generation::ExtendDigest(before, text);
  if (*event_id_digest_ != position->digest) {
    report_->Add(ResultCounter::kDigestsWrong);
  }
}

void AnswerChecker::OnToken(const std::string& event_id,
                            const std::string& text) {
  const auto token = standins::ParseVerifiableToken(text);
  if (!token || token->request_digest != request_digest_) {
    report_->Add(ResultCounter::kTokensCrossed);
    return;
  }
  if (token->index > next_index_) {
    report_->Add(ResultCounter::kTokensMissing, token->index - next_index_);
  } else if (token->index < next_index_) {
    report_->Add(ResultCounter::kTokensRepeated);
  }
  const bool is_mixed =
      (nonce_ && *nonce_ != token->nonce) ||
      (token->index == next_index_ && token->chain_digest != chain_digest_);
  if (is_mixed) {
    report_->Add(ResultCounter::kTokensMixed);
    base::Log(base::LogLevel::kError, "token_mixed",
              {{"index", token->index}, {"text", text}});
  }
  if (!event_id.empty()) {
    CheckEventId(event_id, text);
  }
  nonce_ = token->nonce;
  chain_digest_ = standins::ExtendChainDigest(token->chain_digest, text);
  next_index_ = token->index + 1;
  last_event_id_ = event_id;
  report_->Add(ResultCounter::kTokens);
}

void AnswerChecker::OnCompleteText(const std::string& text) {
  size_t start = 0;
  for (size_t end = text.find(';'); end != std::string::npos;
       end = text.find(';', start)) {
    OnToken("", text.substr(start, end + 1 - start));
    start = end + 1;
  }
}

void AnswerChecker::Reset() {
  next_index_ = 0;
  chain_digest_ = 0;
  nonce_.reset();
  event_id_digest_.reset();
  last_event_id_.clear();
}

}  // namespace daisypond::load
