#include <array>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

#include <sys/wait.h>
#include <unistd.h>

#include "base/failure_report.h"
#include "base/log.h"
#include "tests/test_macros.h"

namespace daisypond::base {

namespace {

/// How a child process ended, and what it wrote to standard output.
struct ChildEnd {
  int signal = 0;
  std::string output;
};

ChildEnd RunInChild(const std::function<void()>& body) {
  std::array<int, 2> fds{};
  EXPECT_EQ(0, pipe(fds.data()));
  const pid_t pid = fork();
  if (pid == 0) {
    dup2(fds[1], STDOUT_FILENO);
    InstallFailureReport();
    body();
    _exit(0);
  }
  close(fds[1]);
  ChildEnd end;
  char c = 0;
  while (read(fds[0], &c, 1) == 1) {
    end.output += c;
  }
  close(fds[0]);
  int status = 0;
  waitpid(pid, &status, 0);
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
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestAbortIsReportedWithOpenRequests() {
    const ChildEnd end = RunInChild([] {
      CurrentProcessState().is_stopping = true;
      const OpenRequest open_request;
      Log(LogLevel::kError, "last_line");
      std::abort();
    });
    EXPECT_EQ(SIGABRT, end.signal);
    EXPECT(Contains(end.output, "event=last_line"));
    EXPECT(Contains(end.output, "event=process_failed signal=6"));
    EXPECT(Contains(end.output, "open_requests=1 stopping=true"));
  }

  void TestUnhandledExceptionOfAThreadIsReported() {
    const ChildEnd end = RunInChild([] {
      std::thread([] { throw std::runtime_error("no room"); }).join();
    });
    EXPECT_EQ(SIGABRT, end.signal);
    EXPECT(Contains(end.output, "error=\"no room\""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureReportTest);

}  // namespace

}  // namespace daisypond::base
