#include "http/response_head_checker.h"

#include <string>

#include "tests/test_macros.h"

namespace daisypond::http {

namespace {

constexpr const char* kStatusLine = "HTTP/1.1 200 OK\r\n";

/// True if a head of `status_line` and `field_line` is valid.
bool IsValid(const std::string& status_line, const std::string& field_line) {
  ResponseHeadChecker checker;
  return checker.CheckLine(status_line) && checker.CheckLine(field_line) &&
         checker.CheckLine("\r\n");
}

SUITE(ResponseHeadCheckerTest) {
  CPPUNIT_TEST_SUITE(ResponseHeadCheckerTest);
  CPPUNIT_TEST(TestStatusLines);
  CPPUNIT_TEST(TestFieldLines);
  CPPUNIT_TEST(TestInterimHeadsAndTrailers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestStatusLines() {
    for (const char* it : {kStatusLine, "HTTP/1.0 599\r\n", "HTTP/1.1 100 \n",
                           "HTTP/1.1 200 \xC3\xA9t\xC3\xA9\r\n"}) {
      EXPECT(IsValid(it, "A: b\r\n"));
    }
    for (const char* it :
         {"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 600 X\r\n",
          "HTTP/1.1 20 X\r\n", "HTTP/1.1 2000 X\r\n", "HTTP/1.1  200 X\r\n",
          "HTTP/1.1 -20 X\r\n", "HTTP/1.1 2x0 X\r\n", "HTTP/1.1\t200 X\r\n",
          "HTTP/1.1 200 O\1K\r\n", "HTTP/1.2 200 X\r\n", "HTTP/2 200\r\n",
          "A: b\r\n", "\r\n", ""}) {
      EXPECT(!IsValid(it, "A: b\r\n"));
    }
  }

  void TestFieldLines() {
    for (const char* it : {"A: b\r\n", "A:\r\n", "a_1!: b \tc\n"}) {
      EXPECT(IsValid(kStatusLine, it));
    }
    for (const char* it :
         {"A B: c\r\n", "A : b\r\n", " A: b\r\n", "\tA: b\r\n", "A\t: b\r\n",
          "A\1: b\r\n", "A\x7F: b\r\n", "A\x80: b\r\n", "A\rB: c\r\n",
          ": b\r\n", "A\r\n", "A: b\1\r\n", kStatusLine}) {
      EXPECT(!IsValid(kStatusLine, it));
    }
    EXPECT(!IsValid(kStatusLine, {"A\0: b\r\n", 8}));
  }

  void TestInterimHeadsAndTrailers() {
    ResponseHeadChecker checker;
    for (const char* it : {"HTTP/1.1 103 X\r\n", "A: b\r\n", "\r\n",
                           kStatusLine, "\r\n", "Trailer: c\r\n", "\r\n"}) {
      EXPECT(checker.CheckLine(it));
    }
    EXPECT(!checker.CheckLine("A B: c\r\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseHeadCheckerTest);

}  // namespace

}  // namespace daisypond::http
