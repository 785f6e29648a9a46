#include "load/runner.h"

#include <utility>

#include <fmt/format.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/json.h"
#include "load/generation_caller.h"

namespace daisypond::load {

namespace {

using base::Clock;
using base::Millis;

constexpr double kMillisecondsPerSecond = 1000;
constexpr Millis kExecutionCountFetchTimeout{2000};
constexpr int kMaximumExecutionCountFetches = 20;

}  // namespace

Runner::Runner(Options options) : options_(std::move(options)) {}

const CallingWorkspace& Runner::PickWorkspace(std::mt19937_64* random) const {
  double total_share = 0;
  for (const CallingWorkspace& it : options_.workspaces) {
    total_share += it.share;
  }
  std::uniform_real_distribution<double> distribution(0, total_share);
  double remaining_share = distribution(*random);
  for (const CallingWorkspace& it : options_.workspaces) {
    remaining_share -= it.share;
    if (remaining_share <= 0) {
      return it;
    }
  }
  return options_.workspaces.back();
}

template <typename StartCaller>
void Runner::RunAtRate(double per_second,
                       int64_t limit,
                       StartCaller start_caller) {
  if (per_second <= 0) {
    return;
  }
  std::vector<std::thread> callers;
  const Millis begin = Clock::Now();
  for (int64_t i = 0; limit == 0 || i < limit; ++i) {
    const double offset =
        static_cast<double>(i) * kMillisecondsPerSecond / per_second;
    if (limit == 0 &&
        offset >= options_.duration_seconds * kMillisecondsPerSecond) {
      break;
    }
    const Millis start_at = begin + Millis{static_cast<int64_t>(offset)};
    const Millis wait = start_at - Clock::Now();
    if (wait.count > 0) {
      std::this_thread::sleep_for(wait.ToChrono());
    }
    callers.emplace_back([start_caller, i] { start_caller(i); });
  }
  for (std::thread& it : callers) {
    it.join();
  }
}

void Runner::RunGenerations() {
  const std::string run_id = base::ToHex(base::RandomNumber());
  RunAtRate(
      options_.generations_per_second, options_.generation_count,
      [this, run_id](int64_t i) {
        std::mt19937_64 random(options_.seed * 1'000'003 +
                               static_cast<uint64_t>(i));
        CallerParameters parameters;
        parameters.workspace = PickWorkspace(&random);
        parameters.request_id = fmt::format("g-{}-{}", run_id, i);
        parameters.seed = random();
        const auto prefix = static_cast<int64_t>(random()) & (INT64_MAX - 1);
        parameters.prompt =
            fmt::format("prefix {:04d} ", prefix % options_.distinct_prefixes);
        parameters.prompt.resize(options_.prompt_bytes, 'x');
        parameters.prompt += fmt::format(" {} {}", i, options_.prompt_suffix);
        const double share =
            static_cast<double>(random() % 1000) / kMillisecondsPerSecond;
        parameters.is_non_streaming = share < options_.non_streaming_share;
        GenerationCaller(&options_, std::move(parameters), &client_, &report_)
            .Run();
      });
}

void Runner::RunPostings() {
  const std::string run_id = base::ToHex(base::RandomNumber());
  RunAtRate(options_.postings_per_second, 0, [this, run_id](int64_t i) {
    std::mt19937_64 random(options_.seed * 2'000'003 +
                           static_cast<uint64_t>(i));
    ServiceCaller caller(&options_, PickWorkspace(&random), &client_, &report_,
                         &ledger_, random());
    caller.Post(fmt::format("p-{}-{}", run_id, i));
  });
}

void Runner::RunLookups() {
  RunAtRate(options_.lookups_per_second, 0, [this](int64_t i) {
    std::mt19937_64 random(options_.seed * 3'000'017 +
                           static_cast<uint64_t>(i));
    ServiceCaller caller(&options_, PickWorkspace(&random), &client_, &report_,
                         &ledger_, random());
    caller.LookUp();
  });
}

int64_t Runner::CountViolations() {
  std::map<std::string, int64_t> counts;
  bool has_all_counts = !options_.service_addresses.empty();
  for (const std::string& address : options_.service_addresses) {
    http::ClientRequest request;
    request.method = "GET";
    request.address = address;
    request.path = "/counts";
    request.total_timeout = kExecutionCountFetchTimeout;
    http::ClientResponse response;
    for (int i = 0; i < kMaximumExecutionCountFetches && !response.IsSuccess();
         ++i) {
      response = client_.Fetch(request);
      if (!response.IsSuccess()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(250));
      }
    }
    if (!response.IsSuccess()) {
      fmt::print("counts_missing service={}\n", address);
      has_all_counts = false;
      continue;
    }
    const base::Json body = base::ParseJson(response.body);
    for (const auto& [key, n] : base::ObjectField(body, "counts").items()) {
      counts[key] += n.is_number_integer() ? n.get<int64_t>() : 0;
    }
  }
  const int64_t violations = ledger_.CheckCounts(counts, has_all_counts);
  if (ledger_.Size() > 0) {
    fmt::print("invariant=postings_at_most_once checked={} violated={}{}\n",
               ledger_.Size(), violations,
               has_all_counts ? "" : " (counts of a service are missing)");
  }
  return violations + report_.CorrectnessErrors();
}

int64_t Runner::Run() {
  const Millis begin = Clock::Now();
  std::thread generations([this] { RunGenerations(); });
  std::thread postings([this] { RunPostings(); });
  std::thread lookups([this] { RunLookups(); });
  generations.join();
  postings.join();
  lookups.join();
  elapsed_seconds_ = static_cast<double>((Clock::Now() - begin).count) /
                     kMillisecondsPerSecond;
  return CountViolations();
}

}  // namespace daisypond::load
