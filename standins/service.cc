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
constexpr int kCrashExitStatus = 9;

void SendJson(const Json& body, http::ResponseStream* stream) {
  http::ServerResponse response;
  response.body = base::WriteJson(body);
  stream->Send(response);
}

}  // namespace

Service::Service(const std::string& journal_path)
    : process_id_(base::ToHex(base::RandomNumber())) {
  if (journal_path.empty()) {
    return;
  }
  std::ifstream journal_file(journal_path);
  for (std::string key; std::getline(journal_file, key);) {
    ++execution_counts_[key];
  }
  journal_fd_ = open(journal_path.c_str(),
                     O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
}

void Service::RecordExecution(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++execution_counts_[key];
  const std::string line = key + "\n";
  if (journal_fd_ >= 0 && write(journal_fd_, line.data(), line.size()) < 0) {
    _exit(1);
  }
}

void Service::Handle(const http::ServerRequest& request,
                     http::ResponseStream& stream) {
  if (request.path == "/load") {
    SendJson({{"running", running_.load()},
              {"queued", 0},
              {"leaving", is_leaving_.load()},
              {"process", process_id_}},
             &stream);
  } else if (request.path == "/counts") {
    const std::lock_guard lock(mutex_);
    SendJson({{"counts", execution_counts_}}, &stream);
  } else if (request.path == "/control") {
    HandleControl(request, &stream);
  } else if (request.path.starts_with("/calls/")) {
    ++running_;
    HandleCall(request, &stream);
    --running_;
  }
}

void Service::HandleControl(const http::ServerRequest& request,
                            http::ResponseStream* stream) {
  const Json body = base::ParseJson(request.body);
  if (base::BoolField(body, "die")) {
    _exit(kCrashExitStatus);
  }
  fault_ = kFaultNames.ValueOf(base::StringField(body, "fault", "none"))
               .value_or(ServiceFault::kNone);
  slow_ms_ = base::IntegerField(body, "slow_ms", slow_ms_);
  is_leaving_ = base::BoolField(body, "leaving", is_leaving_);
  SendJson(Json::object(), stream);
}

void Service::HandleCall(const http::ServerRequest& request,
                         http::ResponseStream* stream) {
  std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms_.load()));
  const std::string key(request.HeaderValue("Idempotency-Key"));
  const ServiceFault fault = fault_.exchange(ServiceFault::kNone);
  if (fault == ServiceFault::kDieBeforeEffect) {
    _exit(kCrashExitStatus);
  }
  if (fault == ServiceFault::kDropRequest) {
    return;
  }
  RecordExecution(key);
  if (fault == ServiceFault::kDieAfterEffect) {
    _exit(kCrashExitStatus);
  }
  if (fault == ServiceFault::kDropAnswer) {
    return;
  }
  SendJson({{"receipt", base::ToHex(base::Hash(key))}}, stream);
}

}  // namespace daisypond::standins
