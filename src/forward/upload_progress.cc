#include "forward/upload_progress.h"

namespace daisypond::forward {

void UploadProgress::Sample(size_t acknowledged_bytes, base::Millis now) {
  if (acknowledged_bytes > acknowledged_bytes_) {
    acknowledged_bytes_ = acknowledged_bytes;
    idle_since_ = IsComplete() ? sampled_at_ : now;
  }
  sampled_at_ = now;
}

}  // namespace daisypond::forward
