#include "standins/platform.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <thread>

namespace daisypond::standins {

namespace {

using base::Json;

// The number of rows of a transaction that count as one write toward the write
// limit. A smaller remainder counts as one write, too.
constexpr double kRowsPerWrite = 25;
constexpr int64_t kPermille = 1000;

void SendJson(int status, const Json& body, http::ResponseStream* stream) {
  http::ServerResponse response;
  response.status = status;
  response.body = base::WriteJson(body);
  stream->Send(response);
}

}  // namespace

Platform::Platform(PlatformOptions options)
    : options_(options), random_(options.seed) {}

bool Platform::TakeFromBucket(double per_second,
                              double cost,
                              TokenBucket* bucket) {
  const base::Millis now = base::Clock::Now();
  if (bucket->filled_at.count == 0) {
    bucket->tokens = per_second;
  } else {
    const auto elapsed_ms =
        static_cast<double>((now - bucket->filled_at).count);
    bucket->tokens = std::min(
        per_second, bucket->tokens + elapsed_ms * per_second / kPermille);
  }
  bucket->filled_at = now;
  if (bucket->tokens < cost) {
    return false;
  }
  bucket->tokens -= cost;
  return true;
}

bool Platform::ShouldLoseAnswer() {
  const std::lock_guard lock(mutex_);
  return static_cast<int64_t>(random_() % kPermille) < lost_answers_permille_;
}

void Platform::Handle(const http::ServerRequest& request,
                      http::ResponseStream& stream) {
  if (request.path == "/control") {
    HandleControl(request, &stream);
    return;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms_.load()));
  if (is_down_) {
    // Closes the connection without a response and without applying the
    // request.
    return;
  }
  if (request.path == "/table/transact") {
    HandleTransaction(base::ParseJson(request.body), &stream);
  } else if (request.path == "/table/read") {
    HandleRead(base::ParseJson(request.body), &stream);
  } else if (request.path.starts_with("/objects/")) {
    HandleObject(request, &stream);
  } else if (request.path == "/instances") {
    const std::lock_guard lock(mutex_);
    SendJson(200,
             {{"instances", is_list_stale_ ? stale_instances_ : instances_}},
             &stream);
  } else {
    SendJson(404, Json::object(), &stream);
  }
}

void Platform::HandleTransaction(const Json& body,
                                 http::ResponseStream* stream) {
  const Json& writes = base::ArrayField(body, "writes");
  Json conflicts = Json::array();
  {
    const std::lock_guard lock(mutex_);
    const double cost =
        std::ceil(static_cast<double>(writes.size()) / kRowsPerWrite);
    if (!TakeFromBucket(options_.writes_per_second, cost, &write_bucket_)) {
      SendJson(429, {{"error", "too many writes"}}, stream);
      return;
    }
    ++transaction_count_;
    for (const Json& it : writes) {
      const std::string key = base::StringField(it, "key");
      const auto row = rows_.find(key);
      const uint64_t version = row == rows_.end() ? 0 : row->second.version;
      const auto expected =
          static_cast<uint64_t>(base::IntegerField(it, "expected_version"));
      if (version != expected) {
        conflicts.push_back(key);
      }
    }
    if (conflicts.empty()) {
      for (const Json& it : writes) {
        StoredRow& row = rows_[base::StringField(it, "key")];
        row.value = base::StringField(it, "value");
        ++row.version;
      }
    }
  }
  if (ShouldLoseAnswer()) {
    return;
  }
  if (conflicts.empty()) {
    SendJson(200, Json::object(), stream);
  } else {
    SendJson(409, {{"conflicts", conflicts}}, stream);
  }
}

void Platform::HandleRead(const Json& body, http::ResponseStream* stream) {
  Json rows = Json::array();
  {
    const std::lock_guard lock(mutex_);
    if (!TakeFromBucket(options_.reads_per_second, 1, &read_bucket_)) {
      SendJson(429, {{"error", "too many reads"}}, stream);
      return;
    }
    ++read_count_;
    for (const Json& key : base::ArrayField(body, "keys")) {
      const std::string name = key.is_string() ? key.get<std::string>() : "";
      const auto row = rows_.find(name);
      const bool is_present = row != rows_.end();
      rows.push_back({{"key", name},
                      {"value", is_present ? row->second.value : ""},
                      {"version", is_present ? row->second.version : 0}});
    }
  }
  if (!ShouldLoseAnswer()) {
    SendJson(200, {{"rows", rows}}, stream);
  }
}

void Platform::HandleObject(const http::ServerRequest& request,
                            http::ResponseStream* stream) {
  const std::lock_guard lock(mutex_);
  if (request.method == "PUT") {
    objects_[request.path] = request.body;
    SendJson(200, Json::object(), stream);
    return;
  }
  const auto it = objects_.find(request.path);
  if (it == objects_.end()) {
    SendJson(404, Json::object(), stream);
    return;
  }
  http::ServerResponse response;
  response.content_type = "application/octet-stream";
  response.body = it->second;
  stream->Send(response);
}

void Platform::HandleControl(const http::ServerRequest& request,
                             http::ResponseStream* stream) {
  const Json body = base::ParseJson(request.body);
  is_down_ = base::BoolField(body, "down", is_down_);
  slow_ms_ = base::IntegerField(body, "slow_ms", slow_ms_);
  lost_answers_permille_ =
      base::IntegerField(body, "lost_answers_permille", lost_answers_permille_);
  const std::lock_guard lock(mutex_);
  const bool was_stale = is_list_stale_;
  is_list_stale_ = base::BoolField(body, "stale_list", is_list_stale_);
  if (is_list_stale_ && !was_stale) {
    stale_instances_ = instances_;
  }
  if (body.is_object() && body.contains("instances")) {
    instances_ = base::ArrayField(body, "instances");
  }
  SendJson(200,
           {{"transactions", transaction_count_},
            {"reads", read_count_},
            {"rows", rows_.size()}},
           stream);
}

}  // namespace daisypond::standins
