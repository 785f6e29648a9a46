#ifndef DAISYPOND_BASE_FAILURE_REPORT_H_
#define DAISYPOND_BASE_FAILURE_REPORT_H_

#include <atomic>
#include <cstdint>

namespace daisypond::base {

/// What a report of a failed process states of its work. Set by the threads
/// that do the work, read by the signal handler.
struct ProcessState {
  std::atomic<int64_t> open_requests = 0;
  std::atomic<bool> is_stopping = false;
};

ProcessState& CurrentProcessState();

/// Counts a request as open during its own lifetime.
class OpenRequest {
 public:
  OpenRequest() { ++CurrentProcessState().open_requests; }
  ~OpenRequest() { --CurrentProcessState().open_requests; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;
};

/// Makes a process that is about to end by an unhandled exception, abort() or a
/// fault write the queued log lines and one line `process_failed` to standard
/// output. The process then ends with the same status as without the report.
/// To be called once, at the start of main().
void InstallFailureReport();

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_FAILURE_REPORT_H_
