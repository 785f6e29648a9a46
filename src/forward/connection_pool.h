#ifndef DAISYPOND_FORWARD_CONNECTION_POOL_H_
#define DAISYPOND_FORWARD_CONNECTION_POOL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "catalog/target.h"
#include "forward/target_connection.h"

namespace daisypond::forward {

/// Pool of idle connections to targets. An idle connection is closed at once
/// when the target closes it or sends bytes, because such bytes belong to no
/// request.
class ConnectionPool {
 public:
  /// Maximum number of idle connections to one target. Further connections are
  /// closed instead of being added.
  static constexpr size_t kMaximumIdlePerTarget = 6;

  explicit ConnectionPool(const net::asio::any_io_executor& executor)
      : executor_(executor) {}
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// Removes an idle connection to the target from the pool and returns it, or
  /// returns null if there is no usable one. A connection is not usable, and is
  /// closed when the search finds it, if it has been idle for longer than
  /// `maximum_idle_time` or if the target will soon close it because of the
  /// target's own idle timeout.
  std::shared_ptr<TargetConnection> TakeIdle(const std::string& target,
                                             base::Millis maximum_idle_time,
                                             base::Millis now);

  /// Creates a connection object without connecting its socket.
  std::shared_ptr<TargetConnection> CreateConnection(
      const std::string& target,
      const std::string& address);

  /// Adds a connection to the pool. Its last response must have been read
  /// completely.
  void ReturnIdle(std::shared_ptr<TargetConnection> connection,
                  base::Millis now);

  /// Closes connections that are about to reach their idle timeout.
  void CloseExpired(base::Millis now);

  /// Closes the connections for which `is_unusable` returns true.
  void CloseIdleIf(
      const std::function<bool(const TargetConnection&)>& is_unusable);

  /// Closes connections to targets that are not in `targets`.
  void CloseRemovedTargets(const catalog::Targets& targets);

  size_t IdleCount() const;

  /// Number of connections that this pool has created and that still exist.
  size_t OpenCount() const {
    return static_cast<size_t>(open_.use_count() - 1);
  }

 private:
  void WatchForInput(const std::shared_ptr<TargetConnection>& connection);
  void CloseIdle(const TargetConnection* connection);

  net::asio::any_io_executor executor_;
  /// Each connection holds a reference.
  std::shared_ptr<const bool> open_ = std::make_shared<const bool>(true);
  std::map<std::string, std::deque<std::shared_ptr<TargetConnection>>> idle_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CONNECTION_POOL_H_
