#ifndef DAISYPOND_HTTP_CONNECTION_TABLE_H_
#define DAISYPOND_HTTP_CONNECTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/clock.h"

namespace daisypond::http {

enum class RequestKind : uint8_t {
  /// A GET request, such as a check of /readyz.
  kQuery,
  kWork,
};

/// The open connections of a server, to decide when it may close its port.
class ConnectionTable {
 public:
  /// Unique among the open connections.
  using ConnectionId = uintptr_t;

  /// `threads` connections are served at the same time. Further ones wait in a
  /// queue and are not in the table.
  explicit ConnectionTable(size_t threads) : threads_(threads) {}

  /// Adds a connection when a thread takes it, before its first byte is read.
  void Add(ConnectionId id, base::Millis now);
  /// The header of the connection's request has been read.
  void BeginRequest(ConnectionId id, RequestKind kind);
  /// Removes a connection that has been closed.
  void Remove(ConnectionId id, base::Millis now);

  /// The number of requests whose header has been read and whose connection is
  /// open.
  int64_t OpenRequests() const;

  /// The number of connections that are in the table.
  size_t Count() const { return connections_.size(); }

  /// True if further connections have to wait in the queue.
  bool AreAllThreadsInUse() const { return connections_.size() >= threads_; }

  /// True if no request is open, expected soon or may wait in the queue.
  bool IsIdle(base::Millis now) const;

  /// True if a server that began to stop at `began_at` may close its port: it
  /// is idle and no request has ended for kQuietPeriod, or requests keep
  /// arriving for longer than kQuietTimeout.
  bool MayClose(base::Millis began_at, base::Millis now) const;

 private:
  // A new connection is expected to send its header within this time.
  static constexpr base::Millis kHeaderWait{1000};
  static constexpr base::Millis kQuietPeriod{500};
  static constexpr base::Millis kQuietTimeout{5000};

  struct Connection {
    base::Millis accepted_at;
    bool has_request = false;
    RequestKind kind = RequestKind::kQuery;
  };

  size_t threads_;
  std::map<ConnectionId, Connection> connections_;
  // When the last request of kWork ended.
  base::Millis last_work_at_{-kQuietPeriod.count};
  // When all threads were last in use.
  base::Millis last_full_at_{-kQuietPeriod.count};
};

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_CONNECTION_TABLE_H_
