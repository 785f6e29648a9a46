#ifndef DAISYPOND_FORWARD_REQUEST_CONTENT_H_
#define DAISYPOND_FORWARD_REQUEST_CONTENT_H_

#include <cstdint>
#include <vector>

namespace daisypond::forward {

/// What of a request may crash a target: the request as a whole or a part of
/// its prompt.
struct RequestContent {
  /// Hash of path, workspace and body; equal when a caller sends the request
  /// again. Zero when these do not identify the request.
  uint64_t hash = 0;
  /// Hashes of the parts of the prompt that other requests may have as well, in
  /// order.
  std::vector<uint64_t> prompt_parts;
  /// True if the loss of a target says little about the request: the target had
  /// run it for some time, or different requests have the same hash, as one
  /// path may serve all lookups of a workspace, which have no body.
  bool is_loss_weak = false;

  bool IsEmpty() const { return hash == 0 && prompt_parts.empty(); }
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_REQUEST_CONTENT_H_
