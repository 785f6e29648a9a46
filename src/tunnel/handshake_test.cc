#include "tunnel/handshake.h"

#include <string>

#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::tunnel {

namespace {

constexpr const char* kRequest =
    "CONNECT t-1 HTTP/1.1\r\n"
    "Host: t-1\r\n"
    "Target-Started-At: 17\r\n"
    "Requesting-Instance: front-1\r\n\r\n";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kRequest;
  return text.replace(text.find(from), from.size(), to);
}

bool IsMalformed(const std::string& bytes) {
  const auto it = ParseRequest(bytes);
  return !it && it.error() == ParseError::kMalformed;
}

bool IsMalformedAnswer(const std::string& bytes) {
  const auto it = ParseAnswer(bytes);
  return !it && it.error() == ParseError::kMalformed;
}

SUITE(TunnelHandshakeTest) {
  CPPUNIT_TEST_SUITE(TunnelHandshakeTest);
  CPPUNIT_TEST(TestRequestIsFormattedAndParsed);
  CPPUNIT_TEST(TestNamesThatDoNotFitAreNotFormatted);
  CPPUNIT_TEST(TestLongestRequestFits);
  CPPUNIT_TEST(TestSplitRequestIsIncomplete);
  CPPUNIT_TEST(TestBytesAfterRequestAreNotCounted);
  CPPUNIT_TEST(TestMalformedRequestsAreRejected);
  CPPUNIT_TEST(TestUnknownFieldIsIgnored);
  CPPUNIT_TEST(TestEndlessRequestIsMalformed);
  CPPUNIT_TEST(TestAnswers);
  CPPUNIT_TEST(TestSplitAnswerIsIncomplete);
  CPPUNIT_TEST(TestMalformedAnswersAreRejected);
  CPPUNIT_TEST(TestRandomBytesAreHandled);
  CPPUNIT_TEST(TestFramingIsNegotiated);
  CPPUNIT_TEST(TestBuildsWithoutFramesUseNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRequestIsFormattedAndParsed() {
    const ConnectRequest request{"t-1", 17, "front-1"};
    EXPECT_EQ(std::string(kRequest), FormatRequest(request).value());
    const auto parsed = ParseRequest(kRequest);
    EXPECT(parsed.has_value());
    EXPECT(request == parsed->request);
    EXPECT_EQ(std::string(kRequest).size(), parsed->size);
  }

  void TestFramingIsNegotiated() {
    const ConnectRequest request{"t-1", 17, "front-1", Framing::kFrames};
    EXPECT(request == ParseRequest(FormatRequest(request).value())->request);
    const std::string answer = FormatAnswer(Status::kOpen, Framing::kFrames);
    const auto parsed = ParseAnswer(answer + "bytes");
    EXPECT(parsed->status == Status::kOpen);
    EXPECT(parsed->framing == Framing::kFrames);
    EXPECT_EQ(answer.size(), parsed->size);
  }

  void TestBuildsWithoutFramesUseNone() {
    EXPECT(ParseRequest(kRequest)->request.framing == Framing::kNone);
    EXPECT(ParseAnswer("HTTP/1.1 200 OK\r\n\r\n")->framing == Framing::kNone);
    EXPECT(ParseAnswer("HTTP/1.1 200 OK\r\nTunnel-Framing: later\r\n\r\n")
               ->framing == Framing::kNone);
    EXPECT_EQ(std::string("HTTP/1.1 200 OK\r\n\r\n"),
              FormatAnswer(Status::kOpen));
  }

  void TestNamesThatDoNotFitAreNotFormatted() {
    for (const std::string& it :
         {std::string(), std::string("a b"), std::string("a\r\nb"),
          std::string("\xc3\xa4"), std::string(kMaximumNameBytes + 1, 'a')}) {
      EXPECT(!FormatRequest({it, 0, "front-1"}));
      EXPECT(!FormatRequest({"t-1", 0, it}));
    }
    EXPECT(!FormatRequest({"t-1", -1, "front-1"}));
  }

  void TestLongestRequestFits() {
    const std::string name(kMaximumNameBytes, 'a');
    const ConnectRequest request{name, INT64_MAX, name, Framing::kFrames};
    const std::string text = FormatRequest(request).value();
    EXPECT(text.size() <= kMaximumHandshakeBytes);
    EXPECT(request == ParseRequest(text)->request);
  }

  void TestSplitRequestIsIncomplete() {
    const std::string text = kRequest;
    for (size_t n = 0; n < text.size(); ++n) {
      const auto it = ParseRequest(text.substr(0, n));
      EXPECT(!it);
      EXPECT(it.error() == ParseError::kIncomplete);
    }
  }

  void TestBytesAfterRequestAreNotCounted() {
    const std::string text = kRequest;
    EXPECT_EQ(text.size(), ParseRequest(text + "GET / HTTP/1.1\r\n\r\n")->size);
    EXPECT_EQ(text.size(), ParseRequest(text + std::string(5000, 'x'))->size);
  }

  void TestMalformedRequestsAreRejected() {
    EXPECT(IsMalformed("GET / HTTP/1.1\r\n\r\n"));
    EXPECT(IsMalformed("CONN-"));
    EXPECT(IsMalformed(Replaced("HTTP/1.1", "HTTP/1.0")));
    EXPECT(IsMalformed(Replaced("CONNECT t-1", "CONNECT ")));
    EXPECT(IsMalformed(Replaced("CONNECT t-1", "CONNECT t 1")));
    EXPECT(IsMalformed(Replaced("Host: t-1", "Host: t-2")));
    EXPECT(IsMalformed(Replaced("Host: t-1\r\n", "")));
    EXPECT(IsMalformed(Replaced("Host: t-1", "Host: t-1\r\nHost: t-1")));
    EXPECT(IsMalformed(Replaced("Host: ", "Host:")));
    EXPECT(IsMalformed(Replaced("Host: ", "Host : ")));
    EXPECT(IsMalformed(Replaced("17", "-17")));
    EXPECT(IsMalformed(Replaced("17", "+17")));
    EXPECT(IsMalformed(Replaced("17", "17x")));
    EXPECT(IsMalformed(Replaced("17", "99999999999999999999")));
    EXPECT(IsMalformed(Replaced("Target-Started-At: 17\r\n", "")));
    EXPECT(IsMalformed(Replaced("Requesting-Instance: front-1\r\n", "")));
    EXPECT(IsMalformed(Replaced("front-1", "front\n1")));
    EXPECT(IsMalformed(Replaced("front-1", std::string("front\0", 6))));
    EXPECT(IsMalformed(Replaced("Host", "Content-Length: 1\r\nHost")));
    EXPECT(IsMalformed(Replaced("Host", "Transfer-Encoding: x\r\nHost")));
  }

  void TestUnknownFieldIsIgnored() {
    EXPECT(ParseRequest(Replaced("Host", "Later: 1\r\nhost")).has_value());
  }

  void TestEndlessRequestIsMalformed() {
    std::string text = "CONNECT ";
    text.append(kMaximumHandshakeBytes - text.size() - 1, 'a');
    EXPECT(ParseRequest(text).error() == ParseError::kIncomplete);
    EXPECT(IsMalformed(text + "a"));
    EXPECT(IsMalformed(text + "aaaa\r\n\r\n"));
  }

  void TestAnswers() {
    for (const Status it :
         {Status::kOpen, Status::kRefused, Status::kTargetUnreachable}) {
      const std::string text = FormatAnswer(it);
      const auto parsed = ParseAnswer(text + "HTTP/1.1 200 OK\r\n\r\n");
      EXPECT(parsed.has_value());
      EXPECT(it == parsed->status);
      EXPECT_EQ(text.size(), parsed->size);
    }
  }

  void TestSplitAnswerIsIncomplete() {
    const std::string text = FormatAnswer(Status::kRefused);
    for (size_t n = 0; n < text.size(); ++n) {
      EXPECT(ParseAnswer(text.substr(0, n)).error() == ParseError::kIncomplete);
    }
  }

  void TestMalformedAnswersAreRejected() {
    EXPECT(IsMalformedAnswer("HTTP/1.0"));
    EXPECT(IsMalformedAnswer("HTTP/1.1 \r\n\r\n"));
    EXPECT(IsMalformedAnswer("HTTP/1.1 2\r\n\r\n"));
    EXPECT(IsMalformedAnswer("HTTP/1.1 2000\r\n\r\n"));
    EXPECT(IsMalformedAnswer("HTTP/1.1 404 Not Found\r\n\r\n"));
    EXPECT(IsMalformedAnswer("HTTP/1.1 200 " +
                             std::string(kMaximumHandshakeBytes, 'x')));
  }

  void TestRandomBytesAreHandled() {
    EXPECT(rc::check("no input is read beyond its limits",
                     [](const std::string& tail, const std::string& value) {
                       const std::string text = kRequest;
                       const size_t n =
                           *rc::gen::inRange<size_t>(0, text.size());
                       const std::string bytes =
                           text.substr(0, n) + value + text.substr(n) + tail;
                       const auto it = ParseRequest(bytes);
                       if (it) {
                         RC_ASSERT(it->size <= kMaximumHandshakeBytes);
                         RC_ASSERT(it->size <= bytes.size());
                         RC_ASSERT(FormatRequest(it->request).has_value());
                       }
                       const auto answer =
                           ParseAnswer("HTTP/1.1 " + value + tail);
                       if (answer) {
                         RC_ASSERT(answer->size <= kMaximumHandshakeBytes);
                       }
                     }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TunnelHandshakeTest);

}  // namespace

}  // namespace daisypond::tunnel
