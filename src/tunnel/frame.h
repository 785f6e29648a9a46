#ifndef DAISYPOND_TUNNEL_FRAME_H_
#define DAISYPOND_TUNNEL_FRAME_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace daisypond::tunnel {

/// A frame begins with the size of its data in bytes, as a 16-bit number in
/// network byte order. A frame without data marks the end of the target's data.
inline constexpr size_t kFrameHeaderBytes = 2;
inline constexpr size_t kMaximumFrameBytes = 0xFFFF;

/// Returns the header of a frame with `size` bytes of data, at most
/// kMaximumFrameBytes.
std::array<char, kFrameHeaderBytes> FormatFrameHeader(size_t size);

/// Extracts the data from a sequence of frames.
class FrameDecoder {
 public:
  /// Decodes the next bytes of the sequence and appends their data to `data`.
  /// Returns false if bytes follow the end mark.
  bool Decode(std::string_view bytes, std::string* data);

  /// True when the end mark has been decoded.
  bool HasEnded() const { return has_ended_; }

  /// True when the bytes decoded so far end with a complete frame.
  bool IsBetweenFrames() const { return n_header_ == 0 && n_left_ == 0; }

 private:
  /// Bytes of the current frame's header that have been decoded.
  size_t n_header_ = 0;
  size_t header_value_ = 0;
  /// Bytes of the current frame's data that are still to come.
  size_t n_left_ = 0;
  bool has_ended_ = false;
};

}  // namespace daisypond::tunnel

#endif  // DAISYPOND_TUNNEL_FRAME_H_
