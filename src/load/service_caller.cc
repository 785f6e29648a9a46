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
constexpr int kMaximumPostingAttempts = 6;
constexpr int kHttpOk = 200;

}  // namespace

void PostingLedger::SetVerdict(const std::string& key, PostingVerdict verdict) {
  const std::lock_guard lock(mutex_);
  verdicts_[key] = verdict;
}

size_t PostingLedger::Size() const {
  const std::lock_guard lock(mutex_);
  return verdicts_.size();
}

int64_t PostingLedger::CheckCounts(const std::map<std::string, int64_t>& counts,
                                   bool has_all_counts) const {
  const std::lock_guard lock(mutex_);
  int64_t violations = 0;
  const auto report_violation = [&violations](const std::string& key,
                                              const std::string& violation) {
    ++violations;
    fmt::print("broken_promise key={} what={}\n", key, violation);
  };
  for (const auto& [key, n] : counts) {
    if (n > 1 && verdicts_.contains(key)) {
      report_violation(key, fmt::format("ran_{}_times", n));
    }
  }
  for (const auto& [key, verdict] : verdicts_) {
    const auto it = counts.find(key);
    const int64_t n = it == counts.end() ? 0 : it->second;
    if (verdict == PostingVerdict::kNotRun && n > 0) {
      report_violation(key, "told_not_run_but_ran");
    }
    if (verdict == PostingVerdict::kRan && n == 0 && has_all_counts) {
      report_violation(key, "told_ran_but_did_not");
    }
  }
  return violations;
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
  const auto& entries = options_->entry_addresses;
  http::ClientRequest request;
  request.address = entries[random_() % entries.size()];
  request.path = "/v1/services/" + options_->service_name + "/" + call;
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
  report_->Add(ResultCounter::kPostings);
  const std::string qualified_key =
      fmt::format("{}/{}/{}", workspace_.name.size(), workspace_.name, key);
  const std::string body = base::WriteJson({{"entry", key}});
  const Millis started_at = Clock::Now();
  auto verdict = PostingVerdict::kMayHaveRun;
  int attempt = 0;
  for (int i = 0; i < kMaximumPostingAttempts; ++i) {
    const auto response = Send(options_->posting_call, key, ++attempt, body);
    verdict = PostingVerdict::kMayHaveRun;
    if (response.transfer_result == http::TransferResult::kNotConnected) {
      // The request was not sent, so the next request reuses this attempt
      // number. If no earlier attempt was sent, the posting has not run.
      verdict = attempt == 1 ? PostingVerdict::kNotRun : verdict;
      --attempt;
      continue;
    }
    if (response.transfer_result != http::TransferResult::kComplete) {
      continue;
    }
    if (response.status == kHttpOk) {
      verdict = PostingVerdict::kRan;
      break;
    }
    const base::Json answer = base::ParseJson(response.body);
    const base::Json& error = base::ObjectField(answer, "error");
    report_->CountErrorReason(base::StringField(error, "reason", "none"));
    const bool is_not_run = base::StringField(error, "verdict") == "not_run";
    verdict =
        is_not_run ? PostingVerdict::kNotRun : PostingVerdict::kMayHaveRun;
    const Millis pause{base::IntegerField(error, "retry_after_ms")};
    // Half of the callers do not retry after `not_run`, so that this verdict
    // can be compared with the execution counts.
    if (pause.count == 0 || (is_not_run && random_() % 2 == 0)) {
      break;
    }
    std::this_thread::sleep_for(std::min(pause, Millis{1000}).ToChrono());
  }
  ledger_->SetVerdict(qualified_key, verdict);
  report_->Observe(LatencyKind::kPosting,
                   static_cast<double>((Clock::Now() - started_at).count));
  switch (verdict) {
    case PostingVerdict::kRan:
      report_->Add(ResultCounter::kPostingsRan);
      return;
    case PostingVerdict::kNotRun:
      report_->Add(ResultCounter::kPostingsNotRun);
      return;
    case PostingVerdict::kMayHaveRun:
      report_->Add(ResultCounter::kPostingsMayHaveRun);
      return;
  }
}

void ServiceCaller::LookUp() {
  report_->Add(ResultCounter::kLookups);
  const Millis started_at = Clock::Now();
  constexpr int kMaximumLookupAttempts = 4;
  http::ClientResponse response;
  for (int i = 0; i < kMaximumLookupAttempts && response.status != kHttpOk;
       ++i) {
    response = Send(options_->lookup_call, "", 1, "{}");
  }
  report_->Observe(LatencyKind::kLookup,
                   static_cast<double>((Clock::Now() - started_at).count));
  const bool is_answered =
      response.transfer_result == http::TransferResult::kComplete &&
      response.status == kHttpOk;
  report_->Add(ResultCounter::kLookupsAnswered, is_answered ? 1 : 0);
}

}  // namespace daisypond::load
