#include "base/log_writer.h"

#include <algorithm>
#include <cerrno>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace daisypond::base {

namespace {

// Lines that come within this span share one system call.
constexpr Millis kGatherSpan{50};
constexpr Millis kPollStep{100};
// A pipe that is ready takes this many bytes without blocking (PIPE_BUF).
constexpr size_t kWriteBytes = 4096;
constexpr double kMillisPerSecond = 1000;

}  // namespace

LogWriter::LogWriter(int fd, LogWriterOptions options)
    : fd_(fd),
      options_(options),
      allowance_(options.burst_lines),
      refilled_at_(Clock::Now()),
      thread_([this] { Run(); }) {}

LogWriter::~LogWriter() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    stop_at_ = Clock::Now() + kStopBound;
  }
  arrived_.notify_one();
  thread_.join();
}

bool LogWriter::Push(std::string_view line, Millis now) {
  {
    const std::lock_guard lock(mutex_);
    const double passed = static_cast<double>((now - refilled_at_).count);
    allowance_ = std::min(
        options_.burst_lines,
        allowance_ + passed * options_.lines_per_second / kMillisPerSecond);
    refilled_at_ = now;
    if (allowance_ < 1 || queue_.size() + line.size() > options_.queue_bytes) {
      ++dropped_;
      return false;
    }
    allowance_ -= 1;
    const bool was_empty = queue_.empty();
    queue_ += line;
    if (!was_empty) {
      return true;
    }
  }
  arrived_.notify_one();
  return true;
}

int64_t LogWriter::Dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

bool LogWriter::IsPastStopBound() const {
  const std::lock_guard lock(mutex_);
  return is_stopping_ && Clock::Now() >= stop_at_;
}

bool LogWriter::WriteAll(std::string_view text) {
  while (!text.empty()) {
    pollfd it{fd_, POLLOUT, 0};
    const int n_ready = poll(&it, 1, static_cast<int>(kPollStep.count));
    if (n_ready <= 0) {
      if (IsPastStopBound()) {
        return false;
      }
      continue;
    }
    const ssize_t n =
        write(fd_, text.data(), std::min(text.size(), kWriteBytes));
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
      arrived_.wait(lock, [this] { return is_stopping_ || !queue_.empty(); });
      if (is_stopping_ && queue_.empty()) {
        return;
      }
      arrived_.wait_for(lock, kGatherSpan.ToChrono(),
                        [this] { return is_stopping_; });
      text.swap(queue_);
      if (dropped_ > reported_dropped_) {
        text +=
            fmt::format("time_ms={} level=warning event=log_dropped n={}\n",
                        Clock::UnixNow().count, dropped_ - reported_dropped_);
        reported_dropped_ = dropped_;
      }
    }
    is_writable = WriteAll(text);
  }
}

}  // namespace daisypond::base
