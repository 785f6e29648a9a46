#ifndef DAISYPOND_BASE_LOG_WRITER_H_
#define DAISYPOND_BASE_LOG_WRITER_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "base/clock.h"

namespace daisypond::base {

/// Limits beyond which a log writer drops lines.
struct LogWriterOptions {
  /// Maximum number of queued bytes. Large enough that no line is lost when
  /// the reader of the descriptor stalls for one second at the allowed rate.
  size_t maximum_queue_bytes = 256u << 10;
  /// Rate limit (token bucket): average lines per second, and lines that may
  /// come at once. The average allows 5 lines per request at 100 requests per
  /// second.
  double lines_per_second = 500;
  double burst_lines = 2000;
};

/// Writes lines to a file descriptor on a background thread. Push() never
/// blocks, even when nobody reads from the descriptor. Thread-safe.
class LogWriter {
 public:
  LogWriter(int fd, LogWriterOptions options);

  /// Writes the queued lines, then stops the thread. Discards the lines that
  /// are not written within kStopTimeout because the descriptor is not
  /// writable.
  ~LogWriter();

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues a line, which must end in a newline. Returns false when the line
  /// was dropped because of a limit in LogWriterOptions.
  bool Push(std::string_view line, Millis now);

  /// Writes the queued lines on the calling thread, unless the queue stays in
  /// use or the descriptor is not writable. Allocates no memory.
  void WriteQueued();

  int64_t DroppedLines() const;

  /// How long the destructor waits when the descriptor is not writable.
  static constexpr Millis kStopTimeout{300};

 private:
  void Run();
  bool WriteAll(std::string_view text);
  bool IsPastStopDeadline() const;

  const int fd_;
  const LogWriterOptions options_;
  mutable std::mutex mutex_;
  std::condition_variable wake_condition_;
  std::string queue_;
  double available_lines_;
  Millis refilled_at_;
  int64_t dropped_lines_ = 0;
  int64_t reported_dropped_lines_ = 0;
  bool is_stopping_ = false;
  Millis stop_deadline_;
  std::thread thread_;
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_LOG_WRITER_H_
