#ifndef DAISYPOND_STANDINS_SERVICE_H_
#define DAISYPOND_STANDINS_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "http/server.h"

namespace daisypond::standins {

/// When a service dies or goes silent on its next posting.
enum class ServiceFault : uint8_t {
  kNone,
  kDieBeforeEffect,
  kDieAfterEffect,
  kDropAnswer,
  kDropRequest,
};

/// A plain service that counts how often the call of each key has run. The
/// counts are appended to a journal file, so that they outlive the
/// process.
class Service {
 public:
  explicit Service(const std::string& journal_path);

  void Handle(const http::ServerRequest& request, http::ResponseStream& stream);

 private:
  void HandleCall(const http::ServerRequest& request,
                  http::ResponseStream* stream);
  void HandleControl(const http::ServerRequest& request,
                     http::ResponseStream* stream);
  void RecordExecution(const std::string& key);

  int journal_fd_ = -1;
  std::string process_id_;
  std::mutex mutex_;
  std::map<std::string, int64_t> execution_counts_;
  std::atomic<int64_t> running_ = 0;
  std::atomic<int64_t> slow_ms_ = 0;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<ServiceFault> fault_ = ServiceFault::kNone;
};

}  // namespace daisypond::standins

#endif  // DAISYPOND_STANDINS_SERVICE_H_
