#include "base/failure_report.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <string_view>

#include <poll.h>
#include <unistd.h>
#include <ctime>

#include "base/log.h"

namespace daisypond::base {

namespace {

constexpr std::array kFatalSignals = {SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV};
constexpr size_t kMaximumLineBytes = 512;
constexpr int kMaximumWriteWaitMs = 50;
constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kNanosPerMilli = 1'000'000;

// Text of the exception that has ended the process, or empty.
std::array<char, kMaximumLineBytes / 2> g_exception_text{};

/// Builds a line without allocating memory, which a signal handler must not do.
class LineBuffer {
 public:
  LineBuffer& operator<<(std::string_view text) {
    const size_t n = std::min(text.size(), buf_.size() - size_);
    std::copy_n(text.begin(), n, buf_.begin() + size_);
    size_ += n;
    return *this;
  }

  LineBuffer& operator<<(int64_t number) {
    std::array<char, 24> digits{};
    const auto [end, ec] = std::to_chars(digits.begin(), digits.end(), number);
    return *this << std::string_view(digits.begin(), end);
  }

  std::string_view Text() const { return {buf_.data(), size_}; }

 private:
  std::array<char, kMaximumLineBytes> buf_{};
  size_t size_ = 0;
};

int64_t UnixMillis() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli;
}

void OnFatalSignal(int signal) {
  const ProcessState& state = CurrentProcessState();
  LineBuffer line;
  line << "time_ms=" << UnixMillis()
       << " level=error event=process_failed signal=" << int64_t{signal}
       << " open_requests=" << state.open_requests.load()
       << " stopping=" << (state.is_stopping ? "true" : "false") << " error=\""
       << g_exception_text.data() << "\"\n";
  WriteQueuedLogLines();
  // A reader that has stalled must not keep the process from ending.
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  if (poll(&output, 1, kMaximumWriteWaitMs) > 0) {
    const ssize_t ignored =
        write(STDOUT_FILENO, line.Text().data(), line.Text().size());
    static_cast<void>(ignored);
  }
  // The handler has been reset, so the signal now ends the process.
  raise(signal);
}

void KeepExceptionText(std::string_view text) {
  const size_t n = std::min(text.size(), g_exception_text.size() - 1);
  std::transform(text.begin(), text.begin() + static_cast<long>(n),
                 g_exception_text.begin(),
                 [](char c) { return c < ' ' || c == '"' ? '?' : c; });
}

[[noreturn]] void OnTerminate() {
  if (const std::exception_ptr exception = std::current_exception()) {
    try {
      std::rethrow_exception(exception);
    } catch (const std::exception& it) {
      KeepExceptionText(it.what());
    } catch (...) {
      KeepExceptionText("not a std::exception");
    }
  }
  std::abort();
}

}  // namespace

ProcessState& CurrentProcessState() {
  static ProcessState state;
  return state;
}

void InstallFailureReport() {
  // Creates the objects that the handler uses.
  CurrentProcessState();
  WriteQueuedLogLines();
  std::set_terminate(OnTerminate);
  struct sigaction action {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
  sigemptyset(&action.sa_mask);
  for (const int it : kFatalSignals) {
    sigaction(it, &action, nullptr);
  }
}

}  // namespace daisypond::base
