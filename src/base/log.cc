#include "base/log.h"

#include <algorithm>
#include <atomic>

#include <unistd.h>

#include "base/clock.h"
#include "base/log_writer.h"
#include "base/name_table.h"

namespace daisypond::base {

namespace {

constexpr NameTable<LogLevel, 4> kLevelNames("debug",
                                             "info",
                                             "warning",
                                             "error");
constexpr size_t kMaximumValueBytes = 400;

std::atomic<LogLevel> g_level = LogLevel::kInfo;

// Created when the first line is logged, so that a process that logs nothing
// has no writer thread.
LogWriter& StdoutWriter() {
  static LogWriter writer(STDOUT_FILENO, LogWriterOptions{});
  return writer;
}

bool NeedsNoEscape(char c) {
  return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
}

}  // namespace

void SetLogLevel(LogLevel level) {
  g_level = level;
}

std::string EscapeLogValue(std::string_view value) {
  value = value.substr(0, kMaximumValueBytes);
  if (!value.empty() &&
      std::all_of(value.begin(), value.end(), NeedsNoEscape)) {
    return std::string(value);
  }
  std::string buf = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      buf += '\\';
      buf += c;
    } else if (c < ' ' || c >= 0x7f) {
      buf += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      buf += c;
    }
  }
  return buf + '"';
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  if (level < g_level.load(std::memory_order_relaxed)) {
    return;
  }
  std::string buf =
      fmt::format("time_ms={} level={} event={}", Clock::UnixNow().count,
                  kLevelNames.NameOf(level), event);
  for (const LogField& it : fields) {
    buf += fmt::format(" {}={}", it.key, EscapeLogValue(it.value));
  }
  buf += '\n';
  StdoutWriter().Push(buf, Clock::Now());
}

void WriteQueuedLogLines() {
  StdoutWriter().WriteQueued();
}

int64_t DroppedLogLines() {
  return StdoutWriter().DroppedLines();
}

}  // namespace daisypond::base
