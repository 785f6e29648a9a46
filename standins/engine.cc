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
constexpr size_t kCachedPrefixBytes = 512;
constexpr Millis kFreezeStep{5};
constexpr Millis kLoadPeriod{700};
constexpr Millis kLeavingBound{3000};
constexpr int kDeathStatus = 9;
constexpr std::string_view kCrashMark = "[[crash";

void SendJson(int status,
              const std::string& body,
              http::ResponseStream* stream) {
  http::ServerResponse response;
  response.status = status;
  response.body = body;
  stream->Send(response);
}

/// The milliseconds in "[[crash after_ms=N]]"; zero without a number.
int64_t CrashDelay(const std::string& prompt, size_t mark) {
  const std::string name = "after_ms=";
  const size_t at = prompt.find(name, mark);
  return at == std::string::npos
             ? 0
             : std::strtoll(prompt.c_str() + at + name.size(), nullptr, 10);
}

}  // namespace

/// One request's progress.
struct Engine::Job {
  std::string request_id;
  int64_t attempt = 0;
  std::string prompt;
  int64_t maximum_tokens = 0;
  uint32_t nonce = 0;
  uint32_t chain = 0;
  int64_t next_index = 0;
  int64_t resumed = 0;
  Millis next_token_at;
  Millis next_load_at;
};

Engine::Engine(EngineOptions options)
    : options_(options), process_(base::ToHex(base::RandomNumber())) {}

std::string Engine::LoadJson() const {
  const std::lock_guard lock(mutex_);
  return base::WriteJson({{"running", running_.load()},
                          {"queued", 0},
                          {"capacity", options_.capacity},
                          {"leaving", faults_.is_leaving.load()},
                          {"process", process_},
                          {"computed_tokens", computed_tokens_.load()},
                          {"prefilled_tokens", prefilled_tokens_.load()},
                          {"prefix_hits", prefix_hits_.load()},
                          {"prefix_misses", prefix_misses_.load()},
                          {"state", state_},
                          {"late_work", late_work_.load()}});
}

void Engine::Handle(const http::ServerRequest& request,
                    http::ResponseStream& stream) {
  WaitWhileFrozen();
  if (request.path == "/load") {
    SendJson(200, LoadJson(), &stream);
  } else if (request.path == "/v1/completions") {
    Complete(request, &stream);
  } else if (request.path == "/control") {
    Control(request, &stream);
  } else if (request.path == "/orders") {
    Order(request, &stream);
  } else {
    SendJson(404, "{}", &stream);
  }
}

void Engine::Control(const http::ServerRequest& request,
                     http::ResponseStream* stream) {
  const Json body = base::ParseJson(request.body);
  if (base::BoolField(body, "die")) {
    _exit(kDeathStatus);
  }
  const int64_t freeze = base::IntegerField(body, "freeze_ms");
  if (freeze > 0) {
    faults_.freeze_until_ms = Clock::Now().count + freeze;
  }
  faults_.slow_factor =
      base::IntegerField(body, "slow_factor", faults_.slow_factor);
  faults_.cut_after_tokens =
      base::IntegerField(body, "cut_after_tokens", faults_.cut_after_tokens);
  const auto set = [&body](const char* name, std::atomic<bool>* flag) {
    *flag = base::BoolField(body, name, *flag);
  };
  set("restarts_from_zero", &faults_.restarts_from_zero);
  set("sends_late_tokens", &faults_.sends_late_tokens);
  set("crosses_requests", &faults_.crosses_requests);
  set("repeats_token", &faults_.repeats_token);
  set("skips_token", &faults_.skips_token);
  const bool was_leaving = faults_.is_leaving;
  set("leaving", &faults_.is_leaving);
  if (faults_.is_leaving && !was_leaving) {
    faults_.leaving_since_ms = Clock::Now().count;
  }
  SendJson(200, LoadJson(), stream);
}

void Engine::Order(const http::ServerRequest& request,
                   http::ResponseStream* stream) {
  const Json body = base::ParseJson(request.body);
  const auto fencing =
      static_cast<uint64_t>(base::IntegerField(body, "fencing_number"));
  const bool is_checked = base::BoolField(body, "check_fencing");
  const std::lock_guard lock(mutex_);
  if (is_checked && fencing < highest_fencing_number_) {
    SendJson(409, "{\"refused\":\"old fencing number\"}", stream);
    return;
  }
  highest_fencing_number_ = std::max(highest_fencing_number_, fencing);
  state_ = base::StringField(body, "state");
  SendJson(200, base::WriteJson({{"state", state_}}), stream);
}

void Engine::WaitWhileFrozen() const {
  while (Clock::Now().count < faults_.freeze_until_ms) {
    std::this_thread::sleep_for(kFreezeStep.ToChrono());
  }
}

Millis Engine::PrefillOf(const Job& job) {
  const uint64_t prefix = base::Hash(job.prompt.substr(0, kCachedPrefixBytes));
  auto tokens = static_cast<int64_t>(job.prompt.size() / kBytesPerPromptToken);
  {
    const std::lock_guard lock(mutex_);
    const auto it = std::find(cached_.begin(), cached_.end(), prefix);
    if (it != cached_.end()) {
      ++prefix_hits_;
      tokens -=
          std::min<int64_t>(tokens, kCachedPrefixBytes / kBytesPerPromptToken);
      cached_.erase(it);
    } else {
      ++prefix_misses_;
    }
    cached_.push_front(prefix);
    if (cached_.size() > options_.cached_prefixes) {
      cached_.pop_back();
    }
  }
  tokens += job.resumed;
  prefilled_tokens_ += tokens;
  return options_.prefill_for_thousand * tokens / 1000;
}

void Engine::Complete(const http::ServerRequest& request,
                      http::ResponseStream* stream) {
  const Json body = base::ParseJson(request.body);
  if (running_ >= options_.capacity) {
    SendJson(429, "{}", stream);
    return;
  }
  ++running_;
  const Millis leaving_since{faults_.leaving_since_ms};
  if (faults_.is_leaving && Clock::Now() - leaving_since > kLeavingBound) {
    ++late_work_;
  }
  Job job;
  job.request_id = base::StringField(body, "request_id");
  job.attempt = base::IntegerField(body, "attempt");
  job.prompt = base::StringField(body, "prompt");
  job.maximum_tokens = base::IntegerField(body, "max_tokens");
  job.nonce = static_cast<uint32_t>(base::RandomNumber());
  if (!faults_.restarts_from_zero) {
    for (const Json& it : base::ArrayField(body, "resume_tokens")) {
      const std::string text = it.is_string() ? it.get<std::string>() : "";
      const auto token = SealedTokenFromText(text);
      job.nonce = token ? token->nonce : job.nonce;
      job.chain = ExtendChain(job.chain, text);
      ++job.next_index;
    }
  }
  job.resumed = job.next_index;
  http::ServerResponse head;
  head.content_type = "text/event-stream";
  if (stream->Begin(head)) {
    const size_t mark = job.prompt.find(kCrashMark);
    if (mark != std::string::npos) {
      const Millis delay{CrashDelay(job.prompt, mark)};
      std::thread([delay] {
        std::this_thread::sleep_for(delay.ToChrono());
        _exit(kDeathStatus);
      }).detach();
    }
    StreamTokens(&job, stream);
  }
  --running_;
}

bool Engine::StreamTokens(Job* job, http::ResponseStream* stream) {
  const std::string started =
      base::WriteJson({{"first_index", job->next_index}});
  if (!stream->Write(http::ToSse({"", "load", LoadJson()}) +
                     http::ToSse({"", "started", started}))) {
    return false;
  }
  std::this_thread::sleep_for(PrefillOf(*job).ToChrono());
  job->next_token_at = Clock::Now();
  job->next_load_at = Clock::Now() + kLoadPeriod;
  if (!SendFaultyTokens(*job, stream)) {
    return false;
  }
  const int64_t first = job->next_index;
  while (job->next_index < job->maximum_tokens) {
    job->next_token_at =
        job->next_token_at + options_.token_pace * faults_.slow_factor;
    const Millis wait = job->next_token_at - Clock::Now();
    if (wait.count > 0) {
      std::this_thread::sleep_for(wait.ToChrono());
    }
    WaitWhileFrozen();
    const int64_t cut = faults_.cut_after_tokens;
    if (cut > 0 && job->next_index - first >= cut) {
      return false;
    }
    if (!SendToken(job, stream)) {
      return false;
    }
  }
  return stream->Write(
      http::ToSse({"", "finished",
                   base::WriteJson({{"tokens", job->next_index},
                                    {"finish_reason", "stop"}})}));
}

bool Engine::SendFaultyTokens(const Job& job, http::ResponseStream* stream) {
  const auto send = [&](std::string request_id, int64_t attempt) {
    SealedToken token{RequestDigest(request_id),
                      static_cast<uint32_t>(base::RandomNumber()),
                      job.next_index, 0};
    return stream->Write(
        http::ToSse({"", "",
                     base::WriteJson({{"request_id", std::move(request_id)},
                                      {"attempt", attempt},
                                      {"index", job.next_index},
                                      {"text", ToText(token)}})}));
  };
  if (faults_.sends_late_tokens && job.attempt > 1 &&
      !send(job.request_id, job.attempt - 1)) {
    return false;
  }
  return !faults_.crosses_requests ||
         send(job.request_id + "-other", job.attempt);
}

bool Engine::SendToken(Job* job, http::ResponseStream* stream) {
  const SealedToken token{RequestDigest(job->request_id), job->nonce,
                          job->next_index, job->chain};
  const std::string text = ToText(token);
  constexpr int64_t kFaultyIndex = 7;
  const bool is_faulty = job->next_index == job->resumed + kFaultyIndex;
  int64_t index = job->next_index;
  index -= faults_.repeats_token && is_faulty ? 1 : 0;
  index += faults_.skips_token && is_faulty ? 1 : 0;
  std::string buf =
      http::ToSse({"", "",
                   base::WriteJson({{"request_id", job->request_id},
                                    {"attempt", job->attempt},
                                    {"index", index},
                                    {"text", text}})});
  if (Clock::Now() >= job->next_load_at) {
    job->next_load_at = Clock::Now() + kLoadPeriod;
    buf += http::ToSse({"", "load", LoadJson()});
  }
  job->chain = ExtendChain(job->chain, text);
  ++job->next_index;
  ++computed_tokens_;
  return stream->Write(buf);
}

}  // namespace daisypond::standins
