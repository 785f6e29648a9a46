#include "forward/answer_body.h"

#include <utility>

namespace daisypond::forward {

std::string* AnswerBody::Tail() {
  if (blocks_.empty()) {
    blocks_.emplace_back();
  } else if (IsTailFull()) {
    blocks_.emplace_back();
    blocks_.back().reserve(kBlockBytes);
  }
  return &blocks_.back();
}

size_t AnswerBody::Size() const {
  size_t n = 0;
  for (const std::string& it : blocks_) {
    n += it.size();
  }
  return n;
}

size_t AnswerBody::BytesAfterNextPart() const {
  const bool is_small =
      blocks_.empty() ||
      (blocks_.size() == 1 &&
       blocks_.front().size() + kMaximumPartBytes <= kSmallBytes);
  return is_small ? 0 : (blocks_.size() + (IsTailFull() ? 1 : 0)) * kBlockBytes;
}

size_t AnswerBody::HeldBytes() const {
  const bool is_small =
      blocks_.empty() ||
      (blocks_.size() == 1 && blocks_.front().size() <= kSmallBytes);
  return is_small ? 0 : blocks_.size() * kBlockBytes;
}

std::string AnswerBody::TakeFront() {
  std::string block = std::move(blocks_.front());
  blocks_.pop_front();
  return block;
}

}  // namespace daisypond::forward
