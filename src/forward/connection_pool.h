#ifndef DAISYPOND_FORWARD_CONNECTION_POOL_H_
#define DAISYPOND_FORWARD_CONNECTION_POOL_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "catalog/target.h"
#include "forward/target_connection.h"

namespace daisypond::forward {

/// Idle connections to targets. A connection that closes or brings bytes
/// while it is idle is dropped at once, as such bytes belong to no request.
class ConnectionPool {
 public:
  /// Idle connections kept to one target; more are closed.
  static constexpr size_t kMaximumIdlePerTarget = 6;

  explicit ConnectionPool(const net::asio::any_io_executor& executor)
      : executor_(executor) {}
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// An idle connection that was used within `youngest`, or null.
  std::shared_ptr<TargetConnection> TakeIdle(const std::string& target,
                                             base::Millis maximum_idle_time,
                                             base::Millis now);

  /// A connection that is not open yet.
  std::shared_ptr<TargetConnection> CreateConnection(
      const std::string& target,
      const std::string& address);

  /// Keeps a connection on which an answer was read to its last byte.
  void ReturnIdle(std::shared_ptr<TargetConnection> connection,
                  base::Millis now);

  /// Closes what has been idle for too long.
  void CloseExpired(base::Millis now);

  /// Closes connections to targets that are not in force.
  void CloseRemovedTargets(const catalog::Targets& targets);

  size_t IdleCount() const;

 private:
  void WatchForInput(const std::shared_ptr<TargetConnection>& connection);
  void CloseIdle(const TargetConnection* connection);

  net::asio::any_io_executor executor_;
  std::map<std::string, std::deque<std::shared_ptr<TargetConnection>>> idle_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CONNECTION_POOL_H_
