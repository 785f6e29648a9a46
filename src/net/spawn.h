#ifndef DAISYPOND_NET_SPAWN_H_
#define DAISYPOND_NET_SPAWN_H_

#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "base/log.h"

namespace daisypond::net {

/// Returns the text of an exception.
std::string DescribeException(const std::exception_ptr& exception);

/// Starts a coroutine for whose end nobody waits. `executor` is an executor or
/// an execution context, `task` an awaitable or a function that returns one.
/// An exception that ends the coroutine is logged under `name`, which must be a
/// literal.
template <typename Executor, typename Task>
void Spawn(Executor&& executor, std::string_view name, Task&& task) {
  boost::asio::co_spawn(
      std::forward<Executor>(executor), std::forward<Task>(task),
      [name](const std::exception_ptr& exception) {
        if (exception) {
          base::Log(base::LogLevel::kError, "task_failed",
                    {{"task", name}, {"error", DescribeException(exception)}});
        }
      });
}

}  // namespace daisypond::net

#endif  // DAISYPOND_NET_SPAWN_H_
