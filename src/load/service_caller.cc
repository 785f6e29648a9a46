#include "load/service_caller.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "base/clock.h"
#include "base/json.h"

namespace daisypond::load {

namespace {

using base::Clock;
using base::Millis;

constexpr Millis kCallTimeout{8000};
constexpr Millis kConnectTimeout{500};
constexpr int kPostingTries = 6;
constexpr int kSuccess = 200;

}  // namespace

void PostingLedger::Set(const std::string& key, PostingVerdict verdict) {
  const std::lock_guard lock(mutex_);
  verdicts_[key] = verdict;
}

size_t PostingLedger::Size() const {
  const std::lock_guard lock(mutex_);
  return verdicts_.size();
}

int64_t PostingLedger::Judge(const std::map<std::string, int64_t>& counts,
                             bool is_journal_whole) const {
  const std::lock_guard lock(mutex_);
  int64_t broken = 0;
  const auto complain = [&broken](const std::string& key,
                                  const std::string& what) {
    ++broken;
    fmt::print("broken_promise key={} what={}\n", key, what);
  };
  for (const auto& [key, n] : counts) {
    if (n > 1 && verdicts_.contains(key)) {
      complain(key, fmt::format("ran_{}_times", n));
    }
  }
  for (const auto& [key, verdict] : verdicts_) {
    const auto it = counts.find(key);
    const int64_t n = it == counts.end() ? 0 : it->second;
    if (verdict == PostingVerdict::kNotRun && n > 0) {
      complain(key, "told_not_run_but_ran");
    }
    if (verdict == PostingVerdict::kRan && n == 0 && is_journal_whole) {
      complain(key, "told_ran_but_did_not");
    }
  }
  return broken;
}

ServiceCaller::ServiceCaller(const Options* options,
                             CallingWorkspace workspace,
                             http::Client* client,
                             Report* report,
                             PostingLedger* ledger,
                             uint64_t seed)
    : options_(options),
      workspace_(std::move(workspace)),
      client_(client),
      report_(report),
      ledger_(ledger),
      random_(seed) {}

http::ClientResponse ServiceCaller::Send(const std::string& call,
                                         const std::string& key,
                                         int attempt,
                                         const std::string& body) {
  const auto& entries = options_->entries;
  http::ClientRequest request;
  request.address = entries[random_() % entries.size()];
  request.path = "/v1/services/" + options_->service + "/" + call;
  request.connect_timeout = kConnectTimeout;
  request.total_timeout = kCallTimeout;
  request.connection_use = http::ConnectionUse::kNew;
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + workspace_.api_key}};
  if (!key.empty()) {
    request.headers.push_back({"Idempotency-Key", key});
    request.headers.push_back({"Daisypond-Attempt", std::to_string(attempt)});
  }
  request.body = body;
  return client_->Fetch(std::move(request));
}

void ServiceCaller::Post(const std::string& key) {
  report_->Add(Tally::kPostings);
  const std::string service_key =
      fmt::format("{}/{}/{}", workspace_.name.size(), workspace_.name, key);
  const std::string body = base::WriteJson({{"entry", key}});
  const Millis started_at = Clock::Now();
  auto verdict = PostingVerdict::kMayHaveRun;
  int attempt = 0;
  for (int i = 0; i < kPostingTries; ++i) {
    const auto response = Send(options_->posting, key, ++attempt, body);
    verdict = PostingVerdict::kMayHaveRun;
    if (response.transfer_result == http::TransferResult::kNotConnected) {
      // Nothing was sent; the number of the try may be used again when no
      // earlier try was.
      verdict = attempt == 1 ? PostingVerdict::kNotRun : verdict;
      --attempt;
      continue;
    }
    if (response.transfer_result != http::TransferResult::kComplete) {
      continue;
    }
    if (response.status == kSuccess) {
      verdict = PostingVerdict::kRan;
      break;
    }
    const base::Json answer = base::ParseJson(response.body);
    const base::Json& error = base::ObjectField(answer, "error");
    report_->AddReason(base::StringField(error, "reason", "none"));
    const bool is_not_run = base::StringField(error, "verdict") == "not_run";
    verdict =
        is_not_run ? PostingVerdict::kNotRun : PostingVerdict::kMayHaveRun;
    const Millis pause{base::IntegerField(error, "retry_after_ms")};
    // Half of the callers leave it at a certain verdict, so that it can be
    // held against the counts.
    if (pause.count == 0 || (is_not_run && random_() % 2 == 0)) {
      break;
    }
    std::this_thread::sleep_for(std::min(pause, Millis{1000}).ToChrono());
  }
  ledger_->Set(service_key, verdict);
  report_->Observe(Span::kPosting,
                   static_cast<double>((Clock::Now() - started_at).count));
  switch (verdict) {
    case PostingVerdict::kRan:
      report_->Add(Tally::kPostingsRan);
      return;
    case PostingVerdict::kNotRun:
      report_->Add(Tally::kPostingsNotRun);
      return;
    case PostingVerdict::kMayHaveRun:
      report_->Add(Tally::kPostingsMayHaveRun);
      return;
  }
}

void ServiceCaller::LookUp() {
  report_->Add(Tally::kLookups);
  const Millis started_at = Clock::Now();
  constexpr int kLookupTries = 4;
  http::ClientResponse response;
  for (int i = 0; i < kLookupTries && response.status != kSuccess; ++i) {
    response = Send(options_->lookup, "", 1, "{}");
  }
  report_->Observe(Span::kLookup,
                   static_cast<double>((Clock::Now() - started_at).count));
  const bool is_answered =
      response.transfer_result == http::TransferResult::kComplete &&
      response.status == kSuccess;
  report_->Add(Tally::kLookupsAnswered, is_answered ? 1 : 0);
}

}  // namespace daisypond::load
