#include <array>
#include <csignal>
#include <cstdlib>
#include <string>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "tests/test_macros.h"

namespace daisypond::base {

namespace {

/// How a child process ended, and what it wrote to standard output.
struct ChildEnd {
  int signal = 0;
  std::string output;
};

/// Writes to a pipe until it is full.
void FillPipe(int fd) {
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const std::array<char, 4096> buf{};
  while (write(fd, buf.data(), buf.size()) > 0) {
  }
  fcntl(fd, F_SETFL, 0);
}

/// Whether the child's output is read.
enum class Reader : uint8_t { kReads, kStalls };

/// Runs this program as a child that ends in the way that tests/main.cc knows
/// by this name. A child that does not end is killed after kMaximumSeconds.
ChildEnd RunChild(const char* way, Reader reader) {
  constexpr unsigned kMaximumSeconds = 5;
  std::array<int, 2> fds{};
  EXPECT_EQ(0, pipe(fds.data()));
  if (reader == Reader::kStalls) {
    FillPipe(fds[1]);
  }
  const pid_t pid = fork();
  if (pid == 0) {
    dup2(fds[1], STDOUT_FILENO);
    alarm(kMaximumSeconds);
    execl("/proc/self/exe", "daisypond-tests", "--end-by", way, nullptr);
    _exit(1);
  }
  close(fds[1]);
  ChildEnd end;
  char c = 0;
  while (reader == Reader::kReads && read(fds[0], &c, 1) == 1) {
    end.output += c;
  }
  int status = 0;
  waitpid(pid, &status, 0);
  close(fds[0]);
  end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  return end;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

SUITE(FailureReportTest) {
  CPPUNIT_TEST_SUITE(FailureReportTest);
  CPPUNIT_TEST(TestAbortIsReportedWithOpenRequests);
  CPPUNIT_TEST(TestUnhandledExceptionOfAThreadIsReported);
  CPPUNIT_TEST(TestFailedProcessEndsAlthoughNobodyReadsItsOutput);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestAbortIsReportedWithOpenRequests() {
    const ChildEnd end = RunChild("abort", Reader::kReads);
    EXPECT_EQ(SIGABRT, end.signal);
    EXPECT(Contains(end.output, "event=last_line"));
    EXPECT(Contains(end.output, "event=process_failed signal=6"));
    EXPECT(Contains(end.output, "open_requests=1 stopping=true"));
  }

  void TestUnhandledExceptionOfAThreadIsReported() {
    const ChildEnd end = RunChild("exception", Reader::kReads);
    EXPECT_EQ(SIGABRT, end.signal);
    EXPECT(Contains(end.output, "error=\"no room\""));
  }

  void TestFailedProcessEndsAlthoughNobodyReadsItsOutput() {
    EXPECT_EQ(SIGABRT, RunChild("abort", Reader::kStalls).signal);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureReportTest);

}  // namespace

}  // namespace daisypond::base
