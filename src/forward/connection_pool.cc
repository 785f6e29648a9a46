#include "forward/connection_pool.h"

#include <algorithm>
#include <utility>

namespace daisypond::forward {

namespace {

// A target's limit is given in whole seconds and both ends count it apart.
constexpr base::Millis kIdleMargin{700};

bool IsStale(const TargetConnection& connection, base::Millis now) {
  return now - connection.idle_since + kIdleMargin >= connection.idle_limit;
}

}  // namespace

std::shared_ptr<TargetConnection> ConnectionPool::Take(
    const std::string& target,
    base::Millis longest_idle,
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
    if (!IsStale(*connection, now) &&
        now - connection->idle_since <= longest_idle &&
        !connection->Socket().HasInput()) {
      return connection;
    }
    connection->Socket().Close();
  }
  return nullptr;
}

std::shared_ptr<TargetConnection> ConnectionPool::Make(
    const std::string& target,
    const std::string& address) {
  return std::make_shared<TargetConnection>(executor_, target, address);
}

void ConnectionPool::Put(std::shared_ptr<TargetConnection> connection,
                         base::Millis now) {
  auto& idle = idle_[connection->Target()];
  if (idle.size() >= kMaximumIdle || connection->Socket().HasInput()) {
    connection->Socket().Close();
    return;
  }
  connection->idle_since = now;
  Watch(connection);
  idle.push_back(std::move(connection));
}

void ConnectionPool::Watch(
    const std::shared_ptr<TargetConnection>& connection) {
  connection->Socket().Raw().async_wait(
      net::Tcp::socket::wait_read,
      [this, weak = std::weak_ptr(connection)](net::ErrorCode ec) {
        if (ec) {
          return;
        }
        if (const auto readable = weak.lock()) {
          Drop(readable.get());
        }
      });
}

void ConnectionPool::Drop(const TargetConnection* connection) {
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

void ConnectionPool::Expire(base::Millis now) {
  for (auto& it : idle_) {
    std::erase_if(it.second, [&](const auto& idle) {
      if (!IsStale(*idle, now)) {
        return false;
      }
      idle->Socket().Close();
      return true;
    });
  }
}

void ConnectionPool::KeepOnly(const catalog::Targets& targets) {
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

size_t ConnectionPool::Idle() const {
  size_t n = 0;
  for (const auto& it : idle_) {
    n += it.second.size();
  }
  return n;
}

}  // namespace daisypond::forward
