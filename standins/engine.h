#ifndef DAISYPOND_STANDINS_ENGINE_H_
#define DAISYPOND_STANDINS_ENGINE_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/server.h"

namespace daisypond::standins {

struct EngineOptions {
  base::Millis token_interval{20};
  /// For each 1,000 prompt or prefix tokens that are not cached.
  base::Millis prefill_per_1000_tokens{200};
  int64_t capacity = 16;
  /// Prompt prefixes that the cache holds.
  size_t maximum_cached_prefixes = 64;
};

/// Faults that tests switch on; see docs/STANDINS.md.
struct EngineFaults {
  std::atomic<int64_t> freeze_until_ms = 0;
  std::atomic<int64_t> slow_factor = 1;
  /// Resumes start again at token 0, as a new generation.
  std::atomic<bool> restarts_from_zero = false;
  /// Resumes first send a token of an earlier attempt.
  std::atomic<bool> sends_late_tokens = false;
  /// Streams contain a token of another request.
  std::atomic<bool> crosses_requests = false;
  /// Streams repeat or skip an index once.
  std::atomic<bool> repeats_token = false;
  std::atomic<bool> skips_token = false;
  /// Streams end early, without saying that they are complete; zero: never.
  std::atomic<int64_t> cut_after_tokens = 0;
  std::atomic<bool> is_leaving = false;
  std::atomic<int64_t> leaving_since_ms = 0;
};

/// A model engine that only counts: it streams sealed tokens at a set pace.
class Engine {
 public:
  explicit Engine(EngineOptions options);

  void Handle(const http::ServerRequest& request, http::ResponseStream& stream);

 private:
  struct GenerationState;

  void HandleCompletion(const http::ServerRequest& request,
                        http::ResponseStream* stream);
  void HandleControl(const http::ServerRequest& request,
                     http::ResponseStream* stream);
  void HandleOrder(const http::ServerRequest& request,
                   http::ResponseStream* stream);
  bool StreamTokens(GenerationState* generation, http::ResponseStream* stream);
  bool SendToken(GenerationState* generation, http::ResponseStream* stream);
  bool SendFaultyTokens(const GenerationState& generation,
                        http::ResponseStream* stream);
  void WaitWhileFrozen() const;
  base::Millis SimulatePrefill(const GenerationState& generation);
  std::string LoadJson() const;

  EngineOptions options_;
  EngineFaults faults_;
  std::string process_id_;
  std::atomic<int64_t> running_ = 0;
  std::atomic<int64_t> computed_tokens_ = 0;
  std::atomic<int64_t> prefilled_tokens_ = 0;
  std::atomic<int64_t> prefix_hits_ = 0;
  std::atomic<int64_t> prefix_misses_ = 0;
  /// New work that came later than the bound after `leaving` was reported.
  std::atomic<int64_t> late_requests_ = 0;
  mutable std::mutex mutex_;
  std::deque<uint64_t> cached_prefixes_;
  uint64_t highest_fencing_number_ = 0;
  std::string ordered_state_;
};

}  // namespace daisypond::standins

#endif  // DAISYPOND_STANDINS_ENGINE_H_
