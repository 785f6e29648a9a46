#ifndef DAISYPOND_NET_SPAWN_H_
#define DAISYPOND_NET_SPAWN_H_

#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace daisypond::net {

/// Returns the text of an exception.
std::string DescribeException(const std::exception_ptr& exception);

/// Logs that an exception has ended a task of this process.
void LogTaskFailed(std::string_view name, const std::exception_ptr& exception);

/// Runs handlers until the context is stopped or has no work left. An exception
/// ends only the handler that has thrown it.
void RunHandlers(boost::asio::io_context& context, std::string_view name);

/// Starts a coroutine for whose end nobody waits. `executor` is an executor or
/// an execution context, `task` an awaitable or a function that returns one.
/// An exception that ends the coroutine is logged under `name`, which must be a
/// literal.
template <typename Executor, typename Task>
void Spawn(Executor&& executor, std::string_view name, Task&& task) {
  boost::asio::co_spawn(std::forward<Executor>(executor),
                        std::forward<Task>(task),
                        [name](const std::exception_ptr& exception) {
                          if (exception) {
                            LogTaskFailed(name, exception);
                          }
                        });
}

}  // namespace daisypond::net

#endif  // DAISYPOND_NET_SPAWN_H_
