#include "forward/answer_window.h"

namespace daisypond::forward {

void AnswerWindow::Add(uint64_t prompt_part, base::Millis now) {
  answers_.emplace_back(now, prompt_part);
  ++counts_[prompt_part];
  RemoveExpired(now);
}

int AnswerWindow::Count(uint64_t prompt_part, base::Millis now) {
  RemoveExpired(now);
  const auto it = counts_.find(prompt_part);
  return it == counts_.end() ? 0 : it->second;
}

void AnswerWindow::RemoveExpired(base::Millis now) {
  while (!answers_.empty() && (now - answers_.front().first >= kPeriod ||
                               answers_.size() > kMaximumAnswers)) {
    const auto it = counts_.find(answers_.front().second);
    if (--it->second == 0) {
      counts_.erase(it);
    }
    answers_.pop_front();
  }
}

}  // namespace daisypond::forward
