#ifndef DAISYPOND_HTTP_RESPONSE_HEAD_CHECKER_H_
#define DAISYPOND_HTTP_RESPONSE_HEAD_CHECKER_H_

#include <cstdint>
#include <string_view>

namespace daisypond::http {

/// Checks the syntax of the heads and trailers of a response (RFC 9112,
/// sections 4 and 5), which libcurl does not.
class ResponseHeadChecker {
 public:
  /// Checks the next line, which includes its line ending. The lines of a
  /// response are those of its heads, interim ones too, each with its blank
  /// line, and those of its trailer. Returns false if the line is not valid.
  bool CheckLine(std::string_view line);

 private:
  enum class Expected : uint8_t {
    kStatusLine,
    kFieldLine,
    /// The status line of the next head, or a line of the trailer.
    kStatusOrFieldLine,
  };

  Expected expected_ = Expected::kStatusLine;
};

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_RESPONSE_HEAD_CHECKER_H_
