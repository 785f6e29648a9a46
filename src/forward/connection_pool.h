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
  static constexpr size_t kMaximumIdle = 6;

  explicit ConnectionPool(const net::asio::any_io_executor& executor)
      : executor_(executor) {}
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /// An idle connection that was used within `youngest`, or null.
  std::shared_ptr<TargetConnection> Take(const std::string& target,
                                         base::Millis longest_idle,
                                         base::Millis now);

  /// A connection that is not open yet.
  std::shared_ptr<TargetConnection> Make(const std::string& target,
                                         const std::string& address);

  /// Keeps a connection on which an answer was read to its last byte.
  void Put(std::shared_ptr<TargetConnection> connection, base::Millis now);

  /// Closes what has been idle for too long.
  void Expire(base::Millis now);

  /// Closes connections to targets that are not in force.
  void KeepOnly(const catalog::Targets& targets);

  size_t Idle() const;

 private:
  void Watch(const std::shared_ptr<TargetConnection>& connection);
  void Drop(const TargetConnection* connection);

  net::asio::any_io_executor executor_;
  std::map<std::string, std::deque<std::shared_ptr<TargetConnection>>> idle_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_CONNECTION_POOL_H_
