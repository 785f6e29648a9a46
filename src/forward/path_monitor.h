#ifndef DAISYPOND_FORWARD_PATH_MONITOR_H_
#define DAISYPOND_FORWARD_PATH_MONITOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "base/name_table.h"
#include "forward/connection_route.h"
#include "forward/loss_hold.h"
#include "forward/request_content.h"
#include "forward/response_reader.h"
#include "forward/target_connection.h"
#include "forward/target_loss.h"
#include "forward/target_path.h"

namespace daisypond::forward {

struct Forwarder;

/// What made a check of the path necessary.
enum class PathSuspicion : uint8_t {
  kConnectFailed,
  /// A connect takes much longer than a round trip.
  kConnectSlow,
  /// A connection broke, or a target did not answer.
  kRequestFailed,
  /// No target has sent anything for a while, although requests are open.
  kAllSilent,
};

inline constexpr base::NameTable<PathSuspicion, 4> kPathSuspicionNames(
    "connect_failed",
    "connect_slow",
    "request_failed",
    "all_silent");

/// Whether a send may be broken off when the path to its target is lost.
enum class SendInterruption : uint8_t { kAllowed, kForbidden };

/// Runs the probes that TargetPath asks for, and applies its decisions: passes
/// on or drops losses, and closes connections that cannot be used any more.
/// Used only on the traffic thread.
class PathMonitor {
 public:
  explicit PathMonitor(Forwarder* forwarder);
  PathMonitor(const PathMonitor&) = delete;
  PathMonitor& operator=(const PathMonitor&) = delete;

  void Configure(const catalog::Targets& targets) { path_.Configure(targets); }

  const TargetPath& Path() const { return path_; }

  /// A direct connect to the target of `connection` begins or has ended. It is
  /// cancelled when the path is lost meanwhile.
  void OnConnectBegun(TargetConnection* connection);
  void OnConnectEnded(TargetConnection* connection);
  void OnConnectFailed(const std::string& target);
  /// The answer to a call of this instance itself has been read, or has not
  /// arrived.
  void OnAnswerRead(const TargetConnection& connection, ReadStatus status);

  /// A peer has opened a tunnel to the target.
  void OnReachedThroughPeer(const std::string& target);
  /// The peers that were asked could not connect to the target.
  void OnUnreachableThroughPeer(const std::string& target);

  /// A request is being sent on the connection.
  void OnSendBegun(const std::shared_ptr<TargetConnection>& connection,
                   SendInterruption interruption);
  /// The send has ended; `status` is that of the last read.
  void OnSendEnded(const std::shared_ptr<TargetConnection>& connection,
                   ReadStatus status);

  /// This instance has found a target lost on a connection that `peer` relayed;
  /// empty for a direct one.
  void OnLossFound(const TargetLoss& target,
                   const RequestContent& content,
                   LossKind kind,
                   const std::string& peer);

  /// Adds the connection to the pool, or closes it if it must not be used for
  /// another request. Its last response must have been read completely.
  void ReturnIdle(const std::shared_ptr<TargetConnection>& connection);

  /// Waits until the check of the target's path ends, or until `deadline`.
  net::asio::awaitable<PathState> WaitForCheck(std::string target,
                                               base::Millis deadline);

 private:
  struct OpenSend {
    SendInterruption interruption = SendInterruption::kForbidden;
    base::Millis began_at;
  };

  /// A path that is lost, for its log lines.
  struct LostPath {
    base::Millis lost_at;
    base::Millis suspected_since;
    int64_t n_explained_losses = 0;
  };

  void OnConnected(const std::string& target, base::Millis connected_at);
  void OnConnectionReset(const std::string& target);
  /// Records the bytes that have arrived on a direct connection.
  void RecordBytes(const TargetConnection& connection);
  void Suspect(const std::string& target, PathSuspicion reason);
  /// Applies the state of the path. To be called after each change.
  void Update();
  void ApplyState(const std::string& service, PathState state);
  void OnPathLost(const std::string& service);
  void OnPathRestored(const std::string& service, const LostPath& lost);
  void SettleLosses();
  /// Breaks off the direct connects to targets of the service, and closes its
  /// direct connections that have been idle since before the path was lost.
  void CloseDirectConnections(const std::string& service, base::Millis since);
  /// Breaks off the direct sends to targets that cannot be reached, unless open
  /// connections live on.
  void InterruptSends();
  void CheckSlowConnects();
  void CheckSilence();
  /// Returns since when all open direct sends have had no answer, or nothing if
  /// none is open.
  std::optional<base::Millis> SilentSince();
  bool IsInScope(const TargetConnection& connection,
                 const std::string& service) const;
  bool HasWork() const;
  base::Millis NextRunAt();

  /// Makes Run() act at once.
  void Wake();
  net::asio::awaitable<void> Run();
  net::asio::awaitable<void> Probe(std::string target);

  Forwarder* forwarder_;
  TargetPath path_;
  LossHold held_losses_;
  /// By service; the path to all targets has an empty name.
  std::map<std::string, LostPath> lost_paths_;
  std::map<std::shared_ptr<TargetConnection>, OpenSend> open_sends_;
  /// Direct connects and when they began.
  std::map<TargetConnection*, base::Millis> open_connects_;
  std::set<net::asio::steady_timer*> waiting_for_check_;
  /// When bytes last arrived from any target on a direct connection, or a
  /// direct connect succeeded.
  base::Millis last_heard_at_{INT64_MIN / 2};
  base::Millis silence_timeout_;
  /// When silence last began a check.
  base::Millis silent_at_{INT64_MIN / 2};
  net::asio::steady_timer timer_;
  bool is_running_ = false;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_PATH_MONITOR_H_
