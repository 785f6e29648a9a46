#include "tunnel/frame.h"

#include <algorithm>

namespace daisypond::tunnel {

std::array<char, kFrameHeaderBytes> FormatFrameHeader(size_t size) {
  return {static_cast<char>(size >> 8), static_cast<char>(size & 0xFF)};
}

bool FrameDecoder::Decode(std::string_view bytes, std::string* data) {
  while (!bytes.empty()) {
    if (has_ended_) {
      return false;
    }
    if (n_left_ > 0) {
      const size_t n = std::min(n_left_, bytes.size());
      data->append(bytes.substr(0, n));
      bytes.remove_prefix(n);
      n_left_ -= n;
      continue;
    }
    header_value_ =
        header_value_ << 8 | static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    if (++n_header_ == kFrameHeaderBytes) {
      n_left_ = header_value_;
      has_ended_ = n_left_ == 0;
      n_header_ = 0;
      header_value_ = 0;
    }
  }
  return true;
}

}  // namespace daisypond::tunnel
