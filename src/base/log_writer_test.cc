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
  CPPUNIT_TEST(TestFullPipeDoesNotBlockPush);
  CPPUNIT_TEST(TestLinesBeyondBurstAreDropped);
  CPPUNIT_TEST(TestDestructorWritesQueuedLines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    EXPECT_EQ(0, pipe(pipe_fds_.data()));
  }

  void tearDown() override {
    close(pipe_fds_[0]);
    close(pipe_fds_[1]);
  }

  void TestFullPipeDoesNotBlockPush() {
    FillPipe();
    const Millis began_at = Clock::Now();
    {
      LogWriter writer(pipe_fds_[1], UnlimitedRateOptions());
      for (int i = 0; i < 100'000; ++i) {
        writer.Push(kLine, Clock::Now());
      }
      EXPECT(Clock::Now() - began_at < Millis{2000});
      EXPECT(writer.DroppedLines() > 0);
    }
    // The destructor must not wait forever when nobody reads the pipe.
    EXPECT(Clock::Now() - began_at < Millis{5000});
  }

  void TestLinesBeyondBurstAreDropped() {
    LogWriterOptions options = UnlimitedRateOptions();
    options.burst_lines = 2000;
    options.lines_per_second = 500;
    LogWriter writer(pipe_fds_[1], options);
    int n_accepted = 0;
    for (int i = 0; i < 10'000; ++i) {
      n_accepted += writer.Push(kLine, Millis{1'000'000'000}) ? 1 : 0;
    }
    EXPECT_EQ(2000, n_accepted);
    EXPECT_EQ(int64_t{8000}, writer.DroppedLines());
  }

  void TestDestructorWritesQueuedLines() {
    {
      LogWriter writer(pipe_fds_[1], UnlimitedRateOptions());
      writer.Push("event=first\n", Clock::Now());
      writer.Push("event=second\n", Clock::Now());
    }
    std::array<char, 256> buf{};
    const ssize_t n = read(pipe_fds_[0], buf.data(), buf.size());
    EXPECT_EQ(std::string("event=first\nevent=second\n"),
              std::string(buf.data(), static_cast<size_t>(n)));
  }

 private:
  static LogWriterOptions UnlimitedRateOptions() {
    LogWriterOptions options;
    options.lines_per_second = 1e9;
    options.burst_lines = 1e9;
    return options;
  }

  void FillPipe() {
    const int flags = fcntl(pipe_fds_[1], F_GETFL);
    fcntl(pipe_fds_[1], F_SETFL, flags | O_NONBLOCK);
    const std::string block(4096, 'x');
    while (write(pipe_fds_[1], block.data(), block.size()) > 0) {
    }
    fcntl(pipe_fds_[1], F_SETFL, flags);
  }

  std::array<int, 2> pipe_fds_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogWriterTest);

}  // namespace

}  // namespace daisypond::base
