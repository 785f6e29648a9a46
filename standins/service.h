#ifndef DAISYPOND_STANDINS_SERVICE_H_
#define DAISYPOND_STANDINS_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "http/server.h"

namespace daisypond::standins {

/// A fault that affects the next call to a service. The only effect of a call
/// is that the service counts its execution.
enum class ServiceFault : uint8_t {
  kNone,
  /// The process exits before it counts the execution.
  kDieBeforeEffect,
  /// The process exits after it counted the execution, without a response.
  kDieAfterEffect,
  /// Runs the call and closes the connection without a response.
  kDropAnswer,
  /// Closes the connection without running the call.
  kDropRequest,
};

/// A fake plain service for tests. It counts the executions of calls by
/// idempotency key. Each execution is appended to a journal file so that the
/// counts survive a restart of the process.
class Service {
 public:
  /// Loads the counts of the journal. Keeps counts in memory only if
  /// `journal_path` is empty.
  explicit Service(const std::string& journal_path);

  void Handle(const http::ServerRequest& request, http::ResponseStream& stream);

 private:
  void HandleCall(const http::ServerRequest& request,
                  http::ResponseStream* stream);
  void HandleControl(const http::ServerRequest& request,
                     http::ResponseStream* stream);
  void RecordExecution(const std::string& key);

  /// File descriptor of the journal; -1 if there is no journal.
  int journal_fd_ = -1;
  /// Random; lets clients detect a restart of the process.
  std::string process_id_;
  std::mutex mutex_;
  /// Number of executions by idempotency key.
  std::map<std::string, int64_t> execution_counts_;
  std::atomic<int64_t> running_ = 0;
  /// Delay before each call, in milliseconds.
  std::atomic<int64_t> slow_ms_ = 0;
  std::atomic<bool> is_leaving_ = false;
  /// The fault to simulate on the next call; later calls are not affected.
  std::atomic<ServiceFault> fault_ = ServiceFault::kNone;
};

}  // namespace daisypond::standins

#endif  // DAISYPOND_STANDINS_SERVICE_H_
