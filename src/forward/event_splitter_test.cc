#include "forward/event_splitter.h"

#include <string>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

SUITE(EventSplitterTest) {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(TestEventWithoutIdHasNone);
  CPPUNIT_TEST(TestNonNumericIdIsIgnored);
  CPPUNIT_TEST(TestPartialEventIsBuffered);
  CPPUNIT_TEST(TestChunkBoundariesDoNotMatter);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestEventWithoutIdHasNone() {
    EventSplitter splitter;
    const auto events = splitter.Append("data: x\n\n");
    EXPECT_EQ(size_t{1}, events.size());
    EXPECT(!events[0].id.has_value());
  }

  void TestNonNumericIdIsIgnored() {
    EventSplitter splitter;
    EXPECT(!splitter.Append("id: 1x\ndata: y\n\n")[0].id.has_value());
  }

  void TestPartialEventIsBuffered() {
    EventSplitter splitter;
    EXPECT(splitter.Append("id: 1\ndata: a\n").empty());
    EXPECT(splitter.HasPartialEvent());
    EXPECT_EQ(size_t{1}, splitter.Append("\n").size());
    EXPECT(!splitter.HasPartialEvent());
  }

  void TestChunkBoundariesDoNotMatter() {
    EXPECT(rc::check("chunk boundaries do not change the events", [] {
      const int n = *rc::gen::inRange(1, 12);
      const std::string line_end =
          *rc::gen::element(std::string("\n"), std::string("\r\n"));
      std::string text;
      for (int i = 1; i <= n; ++i) {
        text += fmt::format("id: {1}{0}data: {2}{0}{0}", line_end, i,
                            std::string(static_cast<size_t>(i % 5), 'x'));
      }
      EventSplitter splitter;
      std::string joined;
      int64_t last = 0;
      for (size_t at = 0; at < text.size();) {
        const auto step = static_cast<size_t>(*rc::gen::inRange<int>(1, 40));
        for (const StreamEvent& it : splitter.Append(text.substr(at, step))) {
          RC_ASSERT(it.id == last + 1);
          last = *it.id;
          joined += it.bytes;
        }
        at += step;
      }
      RC_ASSERT(last == n);
      RC_ASSERT(joined == text);
      RC_ASSERT(!splitter.HasPartialEvent());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

}  // namespace

}  // namespace daisypond::forward
