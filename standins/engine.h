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
  /// Time between two tokens of a generation.
  base::Millis token_interval{20};
  /// Prefill time per 1,000 uncached prompt tokens or resumed tokens.
  base::Millis prefill_per_1000_tokens{200};
  /// Maximum number of concurrent requests; further requests get status 429.
  int64_t capacity = 16;
  size_t maximum_cached_prefixes = 64;
};

/// Faults that tests switch on through POST /control; see docs/STANDINS.md.
struct EngineFaults {
  /// All requests and streams pause until this time (base::Clock).
  std::atomic<int64_t> freeze_until_ms = 0;
  /// Multiplies the interval between tokens.
  std::atomic<int64_t> slow_factor = 1;
  /// Resume requests are answered with a new generation from token 0 instead
  /// of a continuation.
  std::atomic<bool> restarts_from_zero = false;
  /// Streams of second and later attempts begin with a token that carries the
  /// number of the previous attempt.
  std::atomic<bool> sends_late_tokens = false;
  /// Streams begin with a token that belongs to another request.
  std::atomic<bool> crosses_requests = false;
  /// One token of each stream carries the index of the previous token.
  std::atomic<bool> repeats_token = false;
  /// One token of each stream carries an index that is one too high.
  std::atomic<bool> skips_token = false;
  /// Streams are closed without a `finished` event after this many tokens; 0
  /// disables the fault.
  std::atomic<int64_t> cut_after_tokens = 0;
  /// The engine reports `leaving`: it should get no new work.
  std::atomic<bool> is_leaving = false;
  std::atomic<int64_t> leaving_since_ms = 0;
};

/// A fake model engine for tests. It runs no model; it streams verifiable
/// tokens at a fixed rate and can simulate faults.
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
  /// Stores the ordered state. Refuses the order if it requires the check of
  /// fencing numbers and has a lower number than an earlier order.
  void HandleOrder(const http::ServerRequest& request,
                   http::ResponseStream* stream);
  /// Streams the rest of a generation. Returns false if the stream was cut by
  /// a fault or the client disconnected.
  bool StreamTokens(GenerationState* generation, http::ResponseStream* stream);
  bool SendToken(GenerationState* generation, http::ResponseStream* stream);
  /// Sends the tokens of the faults `sends_late_tokens` and
  /// `crosses_requests`, if enabled. Returns false if the client disconnected.
  bool SendFaultyTokens(const GenerationState& generation,
                        http::ResponseStream* stream);
  void WaitWhileFrozen() const;
  /// Adds the prompt prefix to the prefix cache and returns the time that the
  /// prefill of the prompt and of resumed tokens takes.
  base::Millis SimulatePrefill(const GenerationState& generation);
  std::string LoadJson() const;

  EngineOptions options_;
  EngineFaults faults_;
  /// Random; lets clients detect a restart of the process.
  std::string process_id_;
  std::atomic<int64_t> running_ = 0;
  std::atomic<int64_t> computed_tokens_ = 0;
  std::atomic<int64_t> prefilled_tokens_ = 0;
  std::atomic<int64_t> prefix_hits_ = 0;
  std::atomic<int64_t> prefix_misses_ = 0;
  /// Requests that arrived later than kLeavingGracePeriod after the engine
  /// began to report `leaving`.
  std::atomic<int64_t> late_requests_ = 0;
  mutable std::mutex mutex_;
  /// Hashes of prompt prefixes, most recently used first.
  std::deque<uint64_t> cached_prefixes_;
  uint64_t highest_fencing_number_ = 0;
  /// The state that the last accepted order contained.
  std::string ordered_state_;
};

}  // namespace daisypond::standins

#endif  // DAISYPOND_STANDINS_ENGINE_H_
