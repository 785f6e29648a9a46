#include "catalog/configuration_history.h"

#include <string>

#include <fmt/format.h>

#include "base/hash.h"
#include "tests/test_macros.h"

namespace daisypond::catalog {

namespace {

constexpr size_t kMaximumBytes = 1u << 20;
constexpr int kRoutes = 1700;

/// A configuration whose versions differ by a key and one of many routes.
std::string MakeText(int version) {
  std::string text = fmt::format(R"({{"version":{},"routes":[)", version);
  for (int i = 0; i < kRoutes + version; ++i) {
    text +=
        fmt::format(R"({{"name":"r-{}","host":"h.example","prefix":"/{:x}/",)"
                    R"("service":"s","timeout_ms":1500,"max_attempts":2}},)",
                    i, base::Hash(std::to_string(i)));
  }
  return text +
         fmt::format(R"(],"api_keys":["{:x}"]}})", base::Hash("", version));
}

SUITE(ConfigurationHistoryTest) {
  CPPUNIT_TEST_SUITE(ConfigurationHistoryTest);
  CPPUNIT_TEST(TestChangeCostsWhatHasChanged);
  CPPUNIT_TEST(TestEarlierTextsAreBasesForAWhile);
  CPPUNIT_TEST(TestUnknownBaseGetsTheWholeText);
  CPPUNIT_TEST(TestDamagedTextIsNeverTakenForAnother);
  CPPUNIT_TEST(TestTextOverTheLimitIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestChangeCostsWhatHasChanged() {
    sender_.Add(MakeText(1));
    receiver_.Add(MakeText(1));
    sender_.Add(MakeText(2));
    const CompressedText& text = sender_.CompressFor(receiver_.CurrentDigest());
    EXPECT(text.bytes.size() < 1000);
    EXPECT(receiver_.Decompress(text, kMaximumBytes) == MakeText(2));
  }

  void TestEarlierTextsAreBasesForAWhile() {
    receiver_.Add(MakeText(1));
    for (int version = 1; version <= 10; ++version) {
      sender_.Add(MakeText(version));
    }
    const CompressedText& text = sender_.CompressFor(receiver_.CurrentDigest());
    EXPECT_EQ(receiver_.CurrentDigest(), text.base_digest);
    EXPECT(receiver_.Decompress(text, kMaximumBytes) == MakeText(10));
    for (int version = 11; version <= 30; ++version) {
      sender_.Add(MakeText(version));
    }
    EXPECT_EQ(uint64_t{0},
              sender_.CompressFor(receiver_.CurrentDigest()).base_digest);
  }

  void TestUnknownBaseGetsTheWholeText() {
    sender_.Add(MakeText(2));
    receiver_.Add("another text");
    const CompressedText& text = sender_.CompressFor(receiver_.CurrentDigest());
    EXPECT(receiver_.Decompress(text, kMaximumBytes) == MakeText(2));
    EXPECT(ConfigurationHistory().Decompress(text, kMaximumBytes) ==
           MakeText(2));
  }

  void TestDamagedTextIsNeverTakenForAnother() {
    sender_.Add(MakeText(1));
    sender_.Add(MakeText(2));
    CompressedText text = sender_.CompressFor(base::Hash(MakeText(1)));
    // Another base than the one that it was compressed against.
    receiver_.Add(MakeText(3));
    EXPECT(!receiver_.Decompress(text, kMaximumBytes));
    receiver_.Add(MakeText(1));
    EXPECT(receiver_.Decompress(text, kMaximumBytes).has_value());
    for (char& it : text.bytes) {
      it ^= 1;
      // Some bits of the format do not matter.
      const auto result = receiver_.Decompress(text, kMaximumBytes);
      EXPECT(!result || *result == MakeText(2));
      it ^= 1;
    }
    text.bytes.pop_back();
    EXPECT(!receiver_.Decompress(text, kMaximumBytes));
    EXPECT(!receiver_.Decompress({"", 1, 0}, kMaximumBytes));
  }

  void TestTextOverTheLimitIsRejected() {
    sender_.Add(std::string(kMaximumBytes + 1, 'x'));
    EXPECT(!receiver_.Decompress(sender_.CompressFor(0), kMaximumBytes));
  }

 private:
  ConfigurationHistory sender_;
  ConfigurationHistory receiver_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationHistoryTest);

}  // namespace

}  // namespace daisypond::catalog
