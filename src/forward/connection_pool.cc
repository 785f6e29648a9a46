#include "forward/connection_pool.h"

#include <algorithm>
#include <utility>

namespace daisypond::forward {

namespace {

// Connections are closed this long before their idle timeout, because targets
// state the timeout in whole seconds and both ends measure it with their own
// clocks.
constexpr base::Millis kIdleTimeoutMargin{700};

bool IsNearIdleTimeout(const TargetConnection& connection, base::Millis now) {
  return now - connection.idle_since + kIdleTimeoutMargin >=
         connection.idle_timeout;
}

}  // namespace

std::shared_ptr<TargetConnection> ConnectionPool::TakeIdle(
    const std::string& target,
    base::Millis maximum_idle_time,
    base::Millis now) {
  const auto it = idle_.find(target);
  if (it == idle_.end()) {
    return nullptr;
  }
  while (!it->second.empty()) {
    std::shared_ptr<TargetConnection> connection = std::move(it->second.back());
    it->second.pop_back();
    net::ErrorCode ignored;
    connection->Socket().Raw().cancel(ignored);
    if (!IsNearIdleTimeout(*connection, now) &&
        now - connection->idle_since <= maximum_idle_time &&
        !connection->Socket().HasInputOrIsClosed()) {
      return connection;
    }
    connection->Socket().Close();
  }
  return nullptr;
}

std::shared_ptr<TargetConnection> ConnectionPool::CreateConnection(
    const std::string& target,
    const std::string& address) {
  auto connection =
      std::make_shared<TargetConnection>(executor_, target, address);
  connection->pool_reference = open_;
  return connection;
}

void ConnectionPool::ReturnIdle(std::shared_ptr<TargetConnection> connection,
                                base::Millis now) {
  auto& idle = idle_[connection->Target()];
  if (idle.size() >= kMaximumIdlePerTarget ||
      connection->Socket().HasInputOrIsClosed()) {
    connection->Socket().Close();
    return;
  }
  connection->idle_since = now;
  WatchForInput(connection);
  idle.push_back(std::move(connection));
}

void ConnectionPool::WatchForInput(
    const std::shared_ptr<TargetConnection>& connection) {
  connection->Socket().Raw().async_wait(
      net::Tcp::socket::wait_read,
      [this, weak = std::weak_ptr(connection)](net::ErrorCode ec) {
        if (ec) {
          return;
        }
        if (const auto readable = weak.lock()) {
          CloseIdle(readable.get());
        }
      });
}

void ConnectionPool::CloseIdle(const TargetConnection* connection) {
  const auto it = idle_.find(connection->Target());
  if (it == idle_.end()) {
    return;
  }
  std::erase_if(it->second, [&](const auto& idle) {
    if (idle.get() != connection) {
      return false;
    }
    idle->Socket().Close();
    return true;
  });
}

void ConnectionPool::CloseExpired(base::Millis now) {
  CloseIdleIf([now](const TargetConnection& idle) {
    return IsNearIdleTimeout(idle, now);
  });
}

void ConnectionPool::CloseIdleIf(
    const std::function<bool(const TargetConnection&)>& is_unusable) {
  for (auto& it : idle_) {
    std::erase_if(it.second, [&](const auto& idle) {
      if (!is_unusable(*idle)) {
        return false;
      }
      idle->Socket().Close();
      return true;
    });
  }
}

void ConnectionPool::CloseRemovedTargets(const catalog::Targets& targets) {
  std::erase_if(idle_, [&](auto& it) {
    if (targets.contains(it.first)) {
      return false;
    }
    for (const auto& idle : it.second) {
      idle->Socket().Close();
    }
    return true;
  });
}

size_t ConnectionPool::IdleCount() const {
  size_t n = 0;
  for (const auto& it : idle_) {
    n += it.second.size();
  }
  return n;
}

}  // namespace daisypond::forward
