#ifndef DAISYPOND_FORWARD_LOSS_HOLD_H_
#define DAISYPOND_FORWARD_LOSS_HOLD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/name_table.h"
#include "forward/request_content.h"
#include "forward/target_loss.h"
#include "forward/target_path.h"
#include "forward/tunnel_peer.h"

namespace daisypond::forward {

/// How a target was found lost.
enum class LossKind : uint8_t {
  /// No connection could be opened.
  kConnectFailed,
  /// A connection broke, or the target did not answer.
  kRequestFailed,
};

inline constexpr base::NameTable<LossKind, 2> kLossKindNames("connect_failed",
                                                             "request_failed");

struct HeldLoss {
  TargetLoss target;
  /// Of a request that may have crashed the target.
  RequestContent content;
  LossKind kind = LossKind::kRequestFailed;
  base::Millis found_at;
  /// The peer that relayed the connection; empty for a direct one.
  std::string peer;
};

/// What is to be done with losses that were held.
struct SettledLosses {
  /// Losses of targets.
  std::vector<HeldLoss> confirmed;
  /// Losses that the lost path explains.
  std::vector<HeldLoss> explained;
};

/// Holds losses while it is not known whether the target or the path to all
/// targets is lost. The class reads no clock: callers pass the current time.
class LossHold {
 public:
  /// A loss that is held for this long counts as one of the target.
  static constexpr base::Millis kMaximumHold{600};
  /// Bytes of another target show that the path is sound when they arrive this
  /// long after the loss. Longer than a round trip.
  static constexpr base::Millis kMinimumHeardDelay{50};

  void Add(HeldLoss loss) { held_.push_back(std::move(loss)); }

  /// Bytes arrived from the target on a direct connection.
  void OnBytesReceived(const std::string& target, base::Millis now);

  /// Returns the losses that need not be held any longer. Those on a connection
  /// that a peer relayed are explained if the peer is not in `peers` any more
  /// or has lost its own path.
  SettledLosses TakeSettled(const TargetPath& path,
                            const std::vector<TunnelPeer>& peers,
                            base::Millis now);

  bool IsEmpty() const { return held_.empty(); }
  size_t Size() const { return held_.size(); }

 private:
  std::vector<HeldLoss> held_;
  /// Bytes from two different targets, so that at least one of them is not the
  /// lost one.
  struct Heard {
    std::string target;
    base::Millis at{INT64_MIN / 2};
  };
  Heard last_heard_;
  Heard last_heard_other_;

  bool IsPathSoundAfter(const HeldLoss& loss) const;
  bool IsExplained(const HeldLoss& loss,
                   const TargetPath& path,
                   const std::vector<TunnelPeer>& peers) const;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_LOSS_HOLD_H_
