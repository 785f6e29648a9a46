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

/// Bounds of a log writer.
struct LogWriterOptions {
  /// Bytes that may wait for the writer; a reader that stalls for a second at
  /// the allowed rate loses nothing.
  size_t maximum_queue_bytes = 256u << 10;
  /// Lines a second on average, and lines that may come at once. Five lines a
  /// request at 100 requests a second.
  double lines_per_second = 500;
  double burst_lines = 2000;
};

/// Writes lines to a file descriptor from a thread of its own. Push() never
/// blocks, also when nobody reads the descriptor. Thread-safe.
class LogWriter {
 public:
  LogWriter(int fd, LogWriterOptions options);

  /// Writes what is queued, for at most kStopTimeout.
  ~LogWriter();

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues a line that ends in a newline. False when it was dropped.
  bool Push(std::string_view line, Millis now);

  int64_t DroppedLines() const;

  /// How long the destructor waits for a reader.
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
  int64_t dropped_ = 0;
  int64_t reported_dropped_ = 0;
  bool is_stopping_ = false;
  Millis stop_deadline_;
  std::thread thread_;
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_LOG_WRITER_H_
