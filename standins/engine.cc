#include "standins/engine.h"

#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "base/hash.h"
#include "base/json.h"
#include "http/sse_parser.h"
#include "standins/token_format.h"

namespace daisypond::standins {

namespace {

using base::Clock;
using base::Json;
using base::Millis;

constexpr size_t kBytesPerPromptToken = 4;
// Prompts that start with the same 512 bytes share one prefix cache entry.
constexpr size_t kCachedPrefixBytes = 512;
constexpr Millis kFreezePollInterval{5};
constexpr Millis kLoadEventInterval{700};
// Requests that arrive after this time since the engine started to report
// `leaving` are counted as `late_work`.
constexpr Millis kLeavingGracePeriod{3000};
constexpr int kCrashExitStatus = 9;
// A prompt that contains this marker terminates the engine process. Simulates a
// request that crashes every engine that runs it.
constexpr std::string_view kCrashMarker = "[[crash";

void SendJson(int status,
              const std::string& body,
              http::ResponseStream* stream) {
  http::ServerResponse response;
  response.status = status;
  response.body = body;
  stream->Send(response);
}

/// Returns N of a crash marker "[[crash after_ms=N]]" in milliseconds, or 0 if
/// the marker contains no number. `marker_offset` is the offset of the marker.
int64_t ParseCrashDelay(const std::string& prompt, size_t marker_offset) {
  const std::string label = "after_ms=";
  const size_t position = prompt.find(label, marker_offset);
  return position == std::string::npos
             ? 0
             : std::strtoll(prompt.c_str() + position + label.size(), nullptr,
                            10);
}

}  // namespace

/// Progress of one generation within one request.
struct Engine::GenerationState {
  std::string request_id;
  int64_t attempt = 0;
  std::string prompt;
  int64_t maximum_tokens = 0;
  uint32_t nonce = 0;
  uint32_t chain_digest = 0;
  /// Index of the next token to send.
  int64_t next_index = 0;
  /// Tokens that the request passed in to resume an earlier generation.
  int64_t resumed_tokens = 0;
  Millis next_token_at;
  Millis next_load_event_at;
};

Engine::Engine(EngineOptions options)
    : options_(options), process_id_(base::ToHex(base::RandomNumber())) {}

std::string Engine::LoadJson() const {
  const std::lock_guard lock(mutex_);
  return base::WriteJson({{"running", running_.load()},
                          {"queued", 0},
                          {"capacity", options_.capacity},
                          {"leaving", faults_.is_leaving.load()},
                          {"process", process_id_},
                          {"computed_tokens", computed_tokens_.load()},
                          {"prefilled_tokens", prefilled_tokens_.load()},
                          {"prefix_hits", prefix_hits_.load()},
                          {"prefix_misses", prefix_misses_.load()},
                          {"state", ordered_state_},
                          {"late_work", late_requests_.load()}});
}

void Engine::Handle(const http::ServerRequest& request,
                    http::ResponseStream& stream) {
  WaitWhileFrozen();
  if (request.path == "/load") {
    SendJson(200, LoadJson(), &stream);
  } else if (request.path == "/v1/completions") {
    HandleCompletion(request, &stream);
  } else if (request.path == "/control") {
    HandleControl(request, &stream);
  } else if (request.path == "/orders") {
    HandleOrder(request, &stream);
  } else {
    SendJson(404, "{}", &stream);
  }
}

void Engine::HandleControl(const http::ServerRequest& request,
                           http::ResponseStream* stream) {
  const Json body = base::ParseJson(request.body);
  if (base::BoolField(body, "die")) {
    _exit(kCrashExitStatus);
  }
  const int64_t freeze = base::IntegerField(body, "freeze_ms");
  if (freeze > 0) {
    faults_.freeze_until_ms = Clock::Now().count + freeze;
  }
  faults_.slow_factor =
      base::IntegerField(body, "slow_factor", faults_.slow_factor);
  faults_.cut_after_tokens =
      base::IntegerField(body, "cut_after_tokens", faults_.cut_after_tokens);
  const auto set_flag = [&body](const char* name, std::atomic<bool>* flag) {
    *flag = base::BoolField(body, name, *flag);
  };
  set_flag("restarts_from_zero", &faults_.restarts_from_zero);
  set_flag("sends_late_tokens", &faults_.sends_late_tokens);
  set_flag("crosses_requests", &faults_.crosses_requests);
  set_flag("repeats_token", &faults_.repeats_token);
  set_flag("skips_token", &faults_.skips_token);
  const bool was_leaving = faults_.is_leaving;
  set_flag("leaving", &faults_.is_leaving);
  if (faults_.is_leaving && !was_leaving) {
    faults_.leaving_since_ms = Clock::Now().count;
  }
  SendJson(200, LoadJson(), stream);
}

void Engine::HandleOrder(const http::ServerRequest& request,
                         http::ResponseStream* stream) {
  const Json body = base::ParseJson(request.body);
  const auto fencing_number =
      static_cast<uint64_t>(base::IntegerField(body, "fencing_number"));
  const bool must_check_fencing = base::BoolField(body, "check_fencing");
  const std::lock_guard lock(mutex_);
  if (must_check_fencing && fencing_number < highest_fencing_number_) {
    SendJson(409, "{\"refused\":\"old fencing number\"}", stream);
    return;
  }
  highest_fencing_number_ = std::max(highest_fencing_number_, fencing_number);
  ordered_state_ = base::StringField(body, "state");
  SendJson(200, base::WriteJson({{"state", ordered_state_}}), stream);
}

void Engine::WaitWhileFrozen() const {
  while (Clock::Now().count < faults_.freeze_until_ms) {
    std::this_thread::sleep_for(kFreezePollInterval.ToChrono());
  }
}

Millis Engine::SimulatePrefill(const GenerationState& generation) {
  const uint64_t prefix =
      base::Hash(generation.prompt.substr(0, kCachedPrefixBytes));
  auto tokens =
      static_cast<int64_t>(generation.prompt.size() / kBytesPerPromptToken);
  {
    const std::lock_guard lock(mutex_);
    const auto it =
        std::find(cached_prefixes_.begin(), cached_prefixes_.end(), prefix);
    if (it != cached_prefixes_.end()) {
      ++prefix_hits_;
      tokens -=
          std::min<int64_t>(tokens, kCachedPrefixBytes / kBytesPerPromptToken);
      cached_prefixes_.erase(it);
    } else {
      ++prefix_misses_;
    }
    cached_prefixes_.push_front(prefix);
    if (cached_prefixes_.size() > options_.maximum_cached_prefixes) {
      cached_prefixes_.pop_back();
    }
  }
  tokens += generation.resumed_tokens;
  prefilled_tokens_ += tokens;
  return options_.prefill_per_1000_tokens * tokens / 1000;
}

void Engine::HandleCompletion(const http::ServerRequest& request,
                              http::ResponseStream* stream) {
  const Json body = base::ParseJson(request.body);
  if (running_ >= options_.capacity) {
    SendJson(429, "{}", stream);
    return;
  }
  ++running_;
  const Millis leaving_since{faults_.leaving_since_ms};
  if (faults_.is_leaving &&
      Clock::Now() - leaving_since > kLeavingGracePeriod) {
    ++late_requests_;
  }
  GenerationState generation;
  generation.request_id = base::StringField(body, "request_id");
  generation.attempt = base::IntegerField(body, "attempt");
  generation.prompt = base::StringField(body, "prompt");
  generation.maximum_tokens = base::IntegerField(body, "max_tokens");
  generation.nonce = static_cast<uint32_t>(base::RandomNumber());
  if (!faults_.restarts_from_zero) {
    for (const Json& it : base::ArrayField(body, "resume_tokens")) {
      const std::string text = it.is_string() ? it.get<std::string>() : "";
      const auto token = ParseVerifiableToken(text);
      generation.nonce = token ? token->nonce : generation.nonce;
      generation.chain_digest =
          ExtendChainDigest(generation.chain_digest, text);
      ++generation.next_index;
    }
  }
  generation.resumed_tokens = generation.next_index;
  http::ServerResponse response;
  response.content_type = "text/event-stream";
  if (stream->Begin(response)) {
    const size_t marker_offset = generation.prompt.find(kCrashMarker);
    if (marker_offset != std::string::npos) {
      const Millis delay{ParseCrashDelay(generation.prompt, marker_offset)};
      std::thread([delay] {
        std::this_thread::sleep_for(delay.ToChrono());
        _exit(kCrashExitStatus);
      }).detach();
    }
    StreamTokens(&generation, stream);
  }
  --running_;
}

bool Engine::StreamTokens(GenerationState* generation,
                          http::ResponseStream* stream) {
  const std::string started =
      base::WriteJson({{"first_index", generation->next_index}});
  if (!stream->Write(http::ToSse({"", "load", LoadJson()}) +
                     http::ToSse({"", "started", started}))) {
    return false;
  }
  std::this_thread::sleep_for(SimulatePrefill(*generation).ToChrono());
  generation->next_token_at = Clock::Now();
  generation->next_load_event_at = Clock::Now() + kLoadEventInterval;
  if (!SendFaultyTokens(*generation, stream)) {
    return false;
  }
  const int64_t start_index = generation->next_index;
  while (generation->next_index < generation->maximum_tokens) {
    generation->next_token_at = generation->next_token_at +
                                options_.token_interval * faults_.slow_factor;
    const Millis wait = generation->next_token_at - Clock::Now();
    if (wait.count > 0) {
      std::this_thread::sleep_for(wait.ToChrono());
    }
    WaitWhileFrozen();
    const int64_t cut_after = faults_.cut_after_tokens;
    if (cut_after > 0 && generation->next_index - start_index >= cut_after) {
      return false;
    }
    if (!SendToken(generation, stream)) {
      return false;
    }
  }
  return stream->Write(
      http::ToSse({"", "finished",
                   base::WriteJson({{"tokens", generation->next_index},
                                    {"finish_reason", "stop"}})}));
}

bool Engine::SendFaultyTokens(const GenerationState& generation,
                              http::ResponseStream* stream) {
  const auto send = [&](std::string request_id, int64_t attempt) {
    VerifiableToken token{RequestDigest(request_id),
                          static_cast<uint32_t>(base::RandomNumber()),
                          generation.next_index, 0};
    return stream->Write(
        http::ToSse({"", "",
                     base::WriteJson({{"request_id", std::move(request_id)},
                                      {"attempt", attempt},
                                      {"index", generation.next_index},
                                      {"text", ToText(token)}})}));
  };
  if (faults_.sends_late_tokens && generation.attempt > 1 &&
      !send(generation.request_id, generation.attempt - 1)) {
    return false;
  }
  return !faults_.crosses_requests ||
         send(generation.request_id + "-other", generation.attempt);
}

bool Engine::SendToken(GenerationState* generation,
                       http::ResponseStream* stream) {
  const VerifiableToken token{RequestDigest(generation->request_id),
                              generation->nonce, generation->next_index,
                              generation->chain_digest};
  const std::string text = ToText(token);
  constexpr int64_t kFaultyTokenOffset = 7;
  const bool is_faulty_token =
      generation->next_index == generation->resumed_tokens + kFaultyTokenOffset;
  int64_t index = generation->next_index;
  index -= faults_.repeats_token && is_faulty_token ? 1 : 0;
  index += faults_.skips_token && is_faulty_token ? 1 : 0;
  std::string buf =
      http::ToSse({"", "",
                   base::WriteJson({{"request_id", generation->request_id},
                                    {"attempt", generation->attempt},
                                    {"index", index},
                                    {"text", text}})});
  if (Clock::Now() >= generation->next_load_event_at) {
    generation->next_load_event_at = Clock::Now() + kLoadEventInterval;
    buf += http::ToSse({"", "load", LoadJson()});
  }
  generation->chain_digest = ExtendChainDigest(generation->chain_digest, text);
  ++generation->next_index;
  ++computed_tokens_;
  return stream->Write(buf);
}

}  // namespace daisypond::standins
