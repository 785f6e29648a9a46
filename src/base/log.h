#ifndef DAISYPOND_BASE_LOG_H_
#define DAISYPOND_BASE_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace daisypond::base {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/// One key=value pair of a log line. The value is escaped when written.
struct LogField {
  template <typename T>
  LogField(std::string_view name, const T& field_value)
      : key(name), value(fmt::format("{}", field_value)) {}

  std::string_view key;
  std::string value;
};

/// Makes Log() discard lines below `level` from now on.
void SetLogLevel(LogLevel level);

/// Queues one line of key=value pairs for standard output. Never blocks: when
/// the queue is full or lines come too fast, the line is dropped and counted.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

/// Writes the lines that are queued, as far as that is possible at once. For
/// the signal handler of a process that ends; allocates no memory.
void WriteQueuedLogLines();

/// Number of lines that were dropped since the process started.
int64_t DroppedLogLines();

/// Quotes and escapes a value that contains spaces, quotes, backslashes, '=',
/// control or non-ASCII characters, so that untrusted input cannot add a line
/// or a key=value pair to the log. Long values are truncated.
std::string EscapeLogValue(std::string_view value);

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_LOG_H_
