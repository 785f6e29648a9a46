#include "base/log_writer.h"

#include <algorithm>
#include <cerrno>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace daisypond::base {

namespace {

// How long the thread waits for more lines, to write them in one system call.
constexpr Millis kBatchDelay{50};
constexpr Millis kPollInterval{100};
// A pipe that poll() reports as writable accepts this many bytes without
// blocking (PIPE_BUF).
constexpr size_t kMaximumWriteBytes = 4096;
constexpr double kMillisPerSecond = 1000;
// How many milliseconds WriteQueued() waits for the queue.
constexpr int kLockTries = 10;

}  // namespace

LogWriter::LogWriter(int fd, LogWriterOptions options)
    : fd_(fd),
      options_(options),
      available_lines_(options.burst_lines),
      refilled_at_(Clock::Now()),
      thread_([this] { Run(); }) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    stop_deadline_ = Clock::Now() + kStopTimeout;
  }
  wake_condition_.notify_one();
  thread_.join();
}

bool LogWriter::Push(std::string_view line, Millis now) {
  {
    const std::lock_guard lock(mutex_);
    const double elapsed_ms = static_cast<double>((now - refilled_at_).count);
    available_lines_ =
        std::min(options_.burst_lines,
                 available_lines_ +
                     elapsed_ms * options_.lines_per_second / kMillisPerSecond);
    refilled_at_ = now;
    if (available_lines_ < 1 ||
        queue_.size() + line.size() > options_.maximum_queue_bytes) {
      ++dropped_lines_;
      return false;
    }
    available_lines_ -= 1;
    const bool was_empty = queue_.empty();
    queue_ += line;
    if (!was_empty) {
      return true;
    }
  }
  wake_condition_.notify_one();
  return true;
}

void LogWriter::WriteQueued() {
  std::unique_lock lock(mutex_, std::try_to_lock);
  for (int i = 0; !lock && i < kLockTries; ++i) {
    poll(nullptr, 0, 1);
    lock.try_lock();
  }
  if (!lock) {
    return;
  }
  std::string_view left = queue_;
  pollfd it{fd_, POLLOUT, 0};
  while (!left.empty() && poll(&it, 1, 0) > 0) {
    const ssize_t n =
        write(fd_, left.data(), std::min(left.size(), kMaximumWriteBytes));
    if (n <= 0) {
      break;
    }
    left.remove_prefix(static_cast<size_t>(n));
  }
  queue_.clear();
}

int64_t LogWriter::DroppedLines() const {
  const std::lock_guard lock(mutex_);
  return dropped_lines_;
}

bool LogWriter::IsPastStopDeadline() const {
  const std::lock_guard lock(mutex_);
  return is_stopping_ && Clock::Now() >= stop_deadline_;
}

bool LogWriter::WriteAll(std::string_view text) {
  while (!text.empty()) {
    pollfd it{fd_, POLLOUT, 0};
    const int n_ready = poll(&it, 1, static_cast<int>(kPollInterval.count));
    if (n_ready <= 0) {
      if (IsPastStopDeadline()) {
        return false;
      }
      continue;
    }
    const ssize_t n =
        write(fd_, text.data(), std::min(text.size(), kMaximumWriteBytes));
    if (n < 0 && errno != EINTR && errno != EAGAIN) {
      return false;
    }
    text.remove_prefix(n > 0 ? static_cast<size_t>(n) : 0);
  }
  return true;
}

void LogWriter::Run() {
  bool is_writable = true;
  while (is_writable) {
    std::string text;
    {
      std::unique_lock lock(mutex_);
      wake_condition_.wait(lock,
                           [this] { return is_stopping_ || !queue_.empty(); });
      if (is_stopping_ && queue_.empty()) {
        return;
      }
      wake_condition_.wait_for(lock, kBatchDelay.ToChrono(),
                               [this] { return is_stopping_; });
      text.swap(queue_);
      if (dropped_lines_ > reported_dropped_lines_) {
        text += fmt::format("time_ms={} level=warning event=log_dropped n={}\n",
                            Clock::UnixNow().count,
                            dropped_lines_ - reported_dropped_lines_);
        reported_dropped_lines_ = dropped_lines_;
      }
    }
    is_writable = WriteAll(text);
  }
}

}  // namespace daisypond::base
