#ifndef DAISYPOND_FORWARD_ANSWER_BODY_H_
#define DAISYPOND_FORWARD_ANSWER_BODY_H_

#include <cstddef>
#include <deque>
#include <string>

namespace daisypond::forward {

/// The body of an answer while it is buffered, in blocks: it grows without
/// copies, and its memory returns block by block while it is written.
class AnswerBody {
 public:
  /// Bytes of one block.
  static constexpr size_t kBlockBytes = 64u << 10;
  /// Most bytes that are appended to Tail() at once.
  static constexpr size_t kMaximumPartBytes = 8u << 10;
  /// A body of at most this size is written at once and not accounted for.
  static constexpr size_t kSmallBytes = 16u << 10;

  /// Returns the text to which the next part is to be appended. Valid until the
  /// next call of a method that is not const.
  std::string* Tail();

  /// Number of bytes of the body.
  size_t Size() const;
  bool IsEmpty() const { return Size() == 0; }

  /// Returns the memory in bytes that the body takes once the next part has
  /// been appended; zero while it is small.
  size_t BytesAfterNextPart() const;
  /// Returns the memory in bytes that the body takes; zero if it is small.
  size_t HeldBytes() const;

  /// Removes the first block and returns it.
  std::string TakeFront();

 private:
  bool IsTailFull() const {
    return blocks_.back().size() + kMaximumPartBytes > kBlockBytes;
  }

  std::deque<std::string> blocks_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_ANSWER_BODY_H_
