#include "standins/service.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <thread>

#include "base/hash.h"
#include "base/json.h"
#include "base/name_table.h"

namespace daisypond::standins {

namespace {

using base::Json;

constexpr base::NameTable<ServiceFault, 5> kFaultNames("none",
                                                       "die_before_effect",
                                                       "die_after_effect",
                                                       "drop_answer",
                                                       "drop_request");
constexpr int kDeathStatus = 9;

void SendJson(const Json& body, http::ResponseStream* stream) {
  http::ServerResponse response;
  response.body = base::WriteJson(body);
  stream->Send(response);
}

}  // namespace

Service::Service(const std::string& journal)
    : process_(base::ToHex(base::RandomNumber())) {
  if (journal.empty()) {
    return;
  }
  std::ifstream earlier(journal);
  for (std::string key; std::getline(earlier, key);) {
    ++counts_[key];
  }
  journal_ =
      open(journal.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
}

void Service::AddEffect(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++counts_[key];
  const std::string line = key + "\n";
  if (journal_ >= 0 && write(journal_, line.data(), line.size()) < 0) {
    _exit(1);
  }
}

void Service::Handle(const http::ServerRequest& request,
                     http::ResponseStream& stream) {
  if (request.path == "/load") {
    SendJson({{"running", running_.load()},
              {"queued", 0},
              {"leaving", is_leaving_.load()},
              {"process", process_}},
             &stream);
  } else if (request.path == "/counts") {
    const std::lock_guard lock(mutex_);
    SendJson({{"counts", counts_}}, &stream);
  } else if (request.path == "/control") {
    Control(request, &stream);
  } else if (request.path.starts_with("/calls/")) {
    ++running_;
    Run(request, &stream);
    --running_;
  }
}

void Service::Control(const http::ServerRequest& request,
                      http::ResponseStream* stream) {
  const Json body = base::ParseJson(request.body);
  if (base::BoolField(body, "die")) {
    _exit(kDeathStatus);
  }
  fault_ = kFaultNames.ValueOf(base::StringField(body, "fault", "none"))
               .value_or(ServiceFault::kNone);
  slow_ms_ = base::IntegerField(body, "slow_ms", slow_ms_);
  is_leaving_ = base::BoolField(body, "leaving", is_leaving_);
  SendJson(Json::object(), stream);
}

void Service::Run(const http::ServerRequest& request,
                  http::ResponseStream* stream) {
  std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms_.load()));
  const std::string key(request.HeaderValue("Idempotency-Key"));
  const ServiceFault fault = fault_.exchange(ServiceFault::kNone);
  if (fault == ServiceFault::kDieBeforeEffect) {
    _exit(kDeathStatus);
  }
  if (fault == ServiceFault::kDropRequest) {
    return;
  }
  AddEffect(key);
  if (fault == ServiceFault::kDieAfterEffect) {
    _exit(kDeathStatus);
  }
  if (fault == ServiceFault::kDropAnswer) {
    return;
  }
  SendJson({{"receipt", base::ToHex(base::Hash(key))}}, stream);
}

}  // namespace daisypond::standins
