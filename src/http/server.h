#ifndef DAISYPOND_HTTP_SERVER_H_
#define DAISYPOND_HTTP_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/metrics.h"
#include "http/caller_sockets.h"
#include "http/connection_table.h"
#include "http/message.h"
#include "http/thread_shares.h"
#include "http/unheard_callers.h"
#include "intake/room_ledger.h"

struct mg_connection;
struct mg_context;

namespace daisypond::http {

class Server;

/// Writes the response to one request, as a whole or in parts.
class ResponseStream {
 public:
  ResponseStream(mg_connection* connection, Server* server)
      : connection_(connection), server_(server) {}

  /// Sends the status line and headers of `response`, without Content-Length.
  /// Write() then sends the body, and closing the connection marks its end.
  /// Returns false when the caller has disconnected.
  bool Begin(const ServerResponse& response);

  /// Sends a part of the body. Returns false when the caller has disconnected,
  /// or has taken less than kWritePieceBytes within the caller timeout.
  bool Write(std::string_view bytes);

  /// Sends a whole response, with Content-Length. Returns false on failure.
  bool Send(const ServerResponse& response);

  /// True if other connections wait for the thread of this one.
  bool IsThreadWanted() const;

  /// True after Begin() or Send(): the status line can no longer change.
  bool HasBegun() const { return has_begun_; }

  static constexpr size_t kWritePieceBytes = 16u << 10;

 private:
  mg_connection* connection_;
  Server* server_;
  bool has_begun_ = false;
};

/// Names who a request counts for when callers share memory: the API key if it
/// is a known one, else the address of the caller.
using OwnerOf = std::function<std::string(const ServerRequest& request,
                                          std::string_view caller_address)>;

struct ServerOptions {
  /// "IP:PORT"; for port 0 the system chooses a free port.
  std::string address;
  /// Each open connection occupies one thread, so this also limits the number
  /// of connections that are served at the same time.
  int threads = 64;
  size_t maximum_body_bytes = 1 << 20;
  /// Connections that wait for a thread; more of them wait in the system,
  /// without a descriptor. If not set, as many as the process has descriptors
  /// for.
  std::optional<int> queued_connections;
  /// The time for a whole header, for each 2 KiB of a body and for each
  /// ResponseStream::kWritePieceBytes of an answer.
  base::Millis caller_timeout{10'000};
  /// The time for a whole body.
  base::Millis body_timeout{120'000};
  /// The memory for the bodies of requests that are being read or handled.
  intake::RoomPlan room = intake::MakeRoomPlan(intake::kDefaultMemoryBytes);
  /// If not set, requests count for the addresses of their callers.
  OwnerOf owner_of;
  /// Counts callers that are refused or closed, if not null.
  base::Metrics* metrics = nullptr;
};

/// An HTTP/1.1 server based on CivetWeb. The handler runs on the connection's
/// own thread and may block.
///
/// CivetWeb bounds the header of a request (16 KiB) and refuses extensions of
/// chunks and does not read trailers. The server bounds the rest: memory and
/// threads for bodies, time, and descriptors (docs/design/caller-threads.md).
class Server {
 public:
  using Handler =
      std::function<void(const ServerRequest& request, ResponseStream& stream)>;

  /// `unread_handler` answers requests whose `body_state` is not kWhole; by
  /// default they get a status without a body.
  Server(ServerOptions options, Handler handler, Handler unread_handler = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// False when the server could not be started, for example because the
  /// address is in use.
  bool IsRunning() const { return context_ != nullptr; }

  /// The port that the server listens on.
  int Port() const;

  /// The number of requests that are being read, served or answered.
  int64_t OpenRequests() const;

  /// True if no request is open, expected soon or may wait for a thread.
  bool IsIdle() const;

  /// True if a server that began to stop at `began_at` may be destroyed without
  /// a loss of requests; see ConnectionTable::MayClose().
  bool MayClose(base::Millis began_at) const;

 private:
  friend class ResponseStream;

  using CallerId = ConnectionTable::ConnectionId;

  /// Callers that were refused or closed and are not logged yet.
  struct ClosedCallers {
    int64_t unheard = 0;
    int64_t slow = 0;
    int64_t refused = 0;
  };

  using SocketActions = std::map<std::string, SocketAction>;

  struct WaitingCallers {
    /// Connections that wait for a thread.
    size_t n = 0;
    /// If `n` is not zero, the addresses of all callers of whose header not a
    /// byte is left to read.
    std::set<std::string> unheard;
  };

  /// The body of a request that is being read or handled.
  struct Body {
    CallerId caller = 0;
    intake::HolderId holder = 0;
  };

  static int OnConnectionOpened(const mg_connection* connection, void** data);
  static void OnConnectionClosed(const mg_connection* connection);
  static int OnRequest(mg_connection* connection, void* server);

  void BeginRequest(mg_connection* connection, const ServerRequest& request);
  void EndRequest(CallerId id);
  BodyState ReadBody(mg_connection* connection, ServerRequest* request);
  BodyState ReadAnnouncedBody(mg_connection* connection,
                              size_t bytes,
                              const Body& body,
                              ServerRequest* request);
  BodyState ReadChunkedBody(mg_connection* connection,
                            const Body& body,
                            ServerRequest* request);
  /// Waits for room for `bytes` in all. False if there is none in time.
  bool TakeRoom(const Body& body, size_t bytes);
  void OnBytes(const Body& body, size_t n);
  /// What it means that no more can be read before the end of the body.
  BodyState StateOfBrokenBody(const Body& body) const;
  void CountUnread(BodyState state);
  bool WritePiece(mg_connection* connection, std::string_view piece);

  /// Ends callers that take too long, from time to time.
  void RunWatch();
  void EndOverdueCallers(base::Millis now);
  WaitingCallers FindWaitingCallers() const;
  /// Writes metrics, and at most one log line a second.
  void ReportCallers(base::Millis now);

  ServerOptions options_;
  Handler handler_;
  Handler unread_handler_;
  // Guards the members up to `is_stopping_`.
  mutable std::mutex mutex_;
  ConnectionTable connections_;
  ThreadShares shares_;
  intake::RoomLedger room_;
  UnheardCallers unheard_;
  /// Callers whose header has been read, and their addresses.
  std::map<CallerId, std::string> heard_;
  std::map<CallerId, intake::HolderId> holders_;
  ClosedCallers closed_;
  base::Millis closed_logged_at_;
  bool is_stopping_ = false;
  std::condition_variable stop_requested_;
  std::atomic<bool> are_threads_wanted_ = false;
  std::vector<int> ports_;
  mg_context* context_ = nullptr;
  std::thread watch_;
};

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_SERVER_H_
