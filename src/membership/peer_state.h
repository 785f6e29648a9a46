#ifndef DAISYPOND_MEMBERSHIP_PEER_STATE_H_
#define DAISYPOND_MEMBERSHIP_PEER_STATE_H_

#include <cstdint>
#include <string>

#include "base/name_table.h"

namespace daisypond::membership {

/// The order of the values matters: for the same incarnation, a later status
/// outranks an earlier one.
enum class PeerStatus : uint8_t { kAlive, kLeaving, kSuspect, kDead };

inline constexpr base::NameTable<PeerStatus, 4> kPeerStatusNames("alive",
                                                                 "leaving",
                                                                 "suspect",
                                                                 "dead");

/// The level of PeerState::feature_level at which an instance passes the first
/// event of a stream on only when the stream's origin is certain.
inline constexpr uint32_t kKeepsStreamOrigins = 1;

/// The level at which an instance stores the record of a stream for as long as
/// the stream is resumable.
inline constexpr uint32_t kKeepsLongStreams = 2;

/// The level of this build.
inline constexpr uint32_t kFeatureLevel = kKeepsLongStreams;

/// The membership state of an instance, as it reports itself or as a peer knows
/// it.
struct PeerState {
  std::string instance;
  /// "IP:PORT" of its gRPC server.
  std::string address;
  std::string failure_domain;
  std::string region;
  /// Increases with each start of the instance, each time it refutes a
  /// suspicion and each time `is_path_lost` changes.
  uint64_t incarnation = 0;
  PeerStatus status = PeerStatus::kAlive;
  uint64_t configuration_version = 0;
  /// "IP:PORT" at which it opens tunnels to targets; empty if it opens none.
  std::string tunnel_address;
  /// True if it cannot reach the targets directly.
  bool is_path_lost = false;
  /// Which rules between instances its build keeps; 0 for builds before the
  /// first of them.
  uint32_t feature_level = 0;
};

}  // namespace daisypond::membership

#endif  // DAISYPOND_MEMBERSHIP_PEER_STATE_H_
