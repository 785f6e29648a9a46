#include "base/log_writer.h"

#include <array>
#include <string>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include "tests/test_macros.h"

namespace daisypond::base {

namespace {

constexpr const char* kLine = "event=test\n";

SUITE(LogWriterTest) {
  CPPUNIT_TEST_SUITE(LogWriterTest);
  CPPUNIT_TEST(TestFullPipeNeverBlocksTheCaller);
  CPPUNIT_TEST(TestBurstStaysWithinTheBound);
  CPPUNIT_TEST(TestLinesAreWrittenBeforeTheEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EXPECT_EQ(0, pipe(ends_.data()));
  }

  void tearDown() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  void TestFullPipeNeverBlocksTheCaller() {
    FillPipe();
    const Millis began_at = Clock::Now();
    {
      LogWriter writer(ends_[1], Options());
      for (int i = 0; i < 100'000; ++i) {
        writer.Push(kLine, Clock::Now());
      }
      EXPECT(Clock::Now() - began_at < Millis{2000});
      EXPECT(writer.Dropped() > 0);
    }
    // Nobody reads: the end does not wait for ever either.
    EXPECT(Clock::Now() - began_at < Millis{5000});
  }

  void TestBurstStaysWithinTheBound() {
    LogWriterOptions options = Options();
    options.burst_lines = 2000;
    options.lines_per_second = 500;
    LogWriter writer(ends_[1], options);
    int n_taken = 0;
    for (int i = 0; i < 10'000; ++i) {
      n_taken += writer.Push(kLine, Millis{1'000'000'000}) ? 1 : 0;
    }
    EXPECT_EQ(2000, n_taken);
    EXPECT_EQ(int64_t{8000}, writer.Dropped());
  }

  void TestLinesAreWrittenBeforeTheEnd() {
    {
      LogWriter writer(ends_[1], Options());
      writer.Push("event=first\n", Clock::Now());
      writer.Push("event=second\n", Clock::Now());
    }
    std::array<char, 256> buf{};
    const ssize_t n = read(ends_[0], buf.data(), buf.size());
    EXPECT_EQ(std::string("event=first\nevent=second\n"),
              std::string(buf.data(), static_cast<size_t>(n)));
  }

 private:
  static LogWriterOptions Options() {
    LogWriterOptions options;
    options.lines_per_second = 1e9;
    options.burst_lines = 1e9;
    return options;
  }

  void FillPipe() {
    const int flags = fcntl(ends_[1], F_GETFL);
    fcntl(ends_[1], F_SETFL, flags | O_NONBLOCK);
    const std::string block(4096, 'x');
    while (write(ends_[1], block.data(), block.size()) > 0) {
    }
    fcntl(ends_[1], F_SETFL, flags);
  }

  std::array<int, 2> ends_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogWriterTest);

}  // namespace

}  // namespace daisypond::base
