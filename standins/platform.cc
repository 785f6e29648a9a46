#include "standins/platform.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <thread>

namespace daisypond::standins {

namespace {

using base::Json;

constexpr double kRowsOfOneWrite = 25;
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

bool Platform::TakeRate(double per_second, double cost, Rate* rate) {
  const base::Millis now = base::Clock::Now();
  if (rate->filled_at.count == 0) {
    rate->tokens = per_second;
  } else {
    const auto span = static_cast<double>((now - rate->filled_at).count);
    rate->tokens =
        std::min(per_second, rate->tokens + span * per_second / kPermille);
  }
  rate->filled_at = now;
  if (rate->tokens < cost) {
    return false;
  }
  rate->tokens -= cost;
  return true;
}

bool Platform::IsAnswerLost() {
  const std::lock_guard lock(mutex_);
  return static_cast<int64_t>(random_() % kPermille) < lost_answers_permille_;
}

void Platform::Handle(const http::ServerRequest& request,
                      http::ResponseStream& stream) {
  if (request.path == "/control") {
    Control(request, &stream);
    return;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms_.load()));
  if (is_down_) {
    // Closes the connection without an answer and without an effect.
    return;
  }
  if (request.path == "/table/transact") {
    Transact(base::ParseJson(request.body), &stream);
  } else if (request.path == "/table/read") {
    Read(base::ParseJson(request.body), &stream);
  } else if (request.path.starts_with("/objects/")) {
    Object(request, &stream);
  } else if (request.path == "/instances") {
    const std::lock_guard lock(mutex_);
    SendJson(200, {{"instances", is_list_stale_ ? listed_ : instances_}},
             &stream);
  } else {
    SendJson(404, Json::object(), &stream);
  }
}

void Platform::Transact(const Json& body, http::ResponseStream* stream) {
  const Json& writes = base::ArrayField(body, "writes");
  Json conflicts = Json::array();
  {
    const std::lock_guard lock(mutex_);
    const double cost =
        std::ceil(static_cast<double>(writes.size()) / kRowsOfOneWrite);
    if (!TakeRate(options_.writes_per_second, cost, &writes_)) {
      SendJson(429, {{"error", "too many writes"}}, stream);
      return;
    }
    ++transactions_;
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
  if (IsAnswerLost()) {
    return;
  }
  if (conflicts.empty()) {
    SendJson(200, Json::object(), stream);
  } else {
    SendJson(409, {{"conflicts", conflicts}}, stream);
  }
}

void Platform::Read(const Json& body, http::ResponseStream* stream) {
  Json rows = Json::array();
  {
    const std::lock_guard lock(mutex_);
    if (!TakeRate(options_.reads_per_second, 1, &reads_)) {
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
  if (!IsAnswerLost()) {
    SendJson(200, {{"rows", rows}}, stream);
  }
}

void Platform::Object(const http::ServerRequest& request,
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

void Platform::Control(const http::ServerRequest& request,
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
    listed_ = instances_;
  }
  if (body.is_object() && body.contains("instances")) {
    instances_ = base::ArrayField(body, "instances");
  }
  SendJson(200,
           {{"transactions", transactions_},
            {"reads", read_count_},
            {"rows", rows_.size()}},
           stream);
}

}  // namespace daisypond::standins
