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

/// Lines below this level are not written.
void SetLogLevel(LogLevel level);

/// Hands one line of key=value pairs to the writer of standard output. Never
/// blocks: lines beyond the writer's bounds are dropped and counted.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

/// Lines that were dropped since the process started.
int64_t DroppedLogLines();

/// Quotes a value that holds spaces, quotes or control characters, so that no
/// input can add a line or a pair to the log.
std::string EscapeLogValue(std::string_view value);

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_LOG_H_
