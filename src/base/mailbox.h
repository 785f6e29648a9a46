#ifndef DAISYPOND_BASE_MAILBOX_H_
#define DAISYPOND_BASE_MAILBOX_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "base/clock.h"

namespace daisypond::base {

/// A queue that any number of threads push to and one thread pops from.
template <typename Message>
class Mailbox {
 public:
  void Push(Message message) {
    {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(message));
    }
    message_available_.notify_one();
  }

  /// Removes the oldest message, waiting for one for at most `timeout`.
  /// Returns an empty optional when the wait timed out.
  std::optional<Message> Pop(Millis timeout) {
    std::unique_lock lock(mutex_);
    const auto has_message = [this] { return !messages_.empty(); };
    if (!message_available_.wait_for(lock, timeout.ToChrono(), has_message)) {
      return std::nullopt;
    }
    Message message = std::move(messages_.front());
    messages_.pop_front();
    return message;
  }

 private:
  std::mutex mutex_;
  std::condition_variable message_available_;
  std::deque<Message> messages_;
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_MAILBOX_H_
