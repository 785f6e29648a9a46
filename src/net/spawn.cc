#include "net/spawn.h"

#include "base/log.h"

namespace daisypond::net {

std::string DescribeException(const std::exception_ptr& exception) {
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& it) {
    return it.what();
  } catch (...) {
    return "not a std::exception";
  }
}

void LogTaskFailed(std::string_view name, const std::exception_ptr& exception) {
  base::Log(base::LogLevel::kError, "task_failed",
            {{"task", name}, {"error", DescribeException(exception)}});
}

void RunHandlers(boost::asio::io_context& context, std::string_view name) {
  while (!context.stopped()) {
    try {
      context.run();
    } catch (...) {
      LogTaskFailed(name, std::current_exception());
    }
  }
}

}  // namespace daisypond::net
