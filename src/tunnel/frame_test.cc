#include "tunnel/frame.h"

#include <algorithm>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::tunnel {

namespace {

std::string Frame(const std::string& data) {
  const auto header = FormatFrameHeader(data.size());
  return std::string(header.data(), header.size()) + data;
}

SUITE(FrameTest) {
  CPPUNIT_TEST_SUITE(FrameTest);
  CPPUNIT_TEST(TestFramesAreDecodedHoweverTheyAreSplit);
  CPPUNIT_TEST(TestLargestFrame);
  CPPUNIT_TEST(TestSequenceWithoutEndMarkHasNotEnded);
  CPPUNIT_TEST(TestBytesAfterTheEndMarkAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestFramesAreDecodedHoweverTheyAreSplit() {
    EXPECT(
        rc::check([](const std::vector<std::string>& parts, uint8_t read_size) {
          std::string sent;
          std::string expected;
          for (const std::string& it : parts) {
            sent += it.empty() ? "" : Frame(it);
            expected += it;
          }
          sent += Frame("");
          FrameDecoder decoder;
          std::string data;
          const size_t step = read_size + 1;
          for (size_t i = 0; i < sent.size(); i += step) {
            RC_ASSERT(!decoder.HasEnded());
            RC_ASSERT(
                decoder.Decode(std::string_view(sent).substr(i, step), &data));
          }
          RC_ASSERT(data == expected);
          RC_ASSERT(decoder.HasEnded());
          RC_ASSERT(decoder.IsBetweenFrames());
        }));
  }

  void TestLargestFrame() {
    FrameDecoder decoder;
    std::string data;
    EXPECT(decoder.Decode(Frame(std::string(kMaximumFrameBytes, 'x')), &data));
    EXPECT_EQ(kMaximumFrameBytes, data.size());
    EXPECT(decoder.IsBetweenFrames());
    EXPECT(!decoder.HasEnded());
  }

  void TestSequenceWithoutEndMarkHasNotEnded() {
    const std::string sent = Frame("answer") + Frame("");
    for (size_t n = 0; n < sent.size(); ++n) {
      FrameDecoder decoder;
      std::string data;
      EXPECT(decoder.Decode(sent.substr(0, n), &data));
      EXPECT(!decoder.HasEnded());
      EXPECT_EQ(n == 0 || n == Frame("answer").size(),
                decoder.IsBetweenFrames());
    }
  }

  void TestBytesAfterTheEndMarkAreRejected() {
    FrameDecoder decoder;
    std::string data;
    EXPECT(!decoder.Decode(Frame("answer") + Frame("") + "x", &data));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);

}  // namespace

}  // namespace daisypond::tunnel
