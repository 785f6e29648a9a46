#ifndef DAISYPOND_GENERATION_RELAY_MESSAGE_H_
#define DAISYPOND_GENERATION_RELAY_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/name_table.h"
#include "base/verdict.h"

namespace daisypond::generation {

/// The number of an attempt to run a generation on a target. Each relay counts
/// its attempts from 1.
struct AttemptId {
  int value = 0;
  auto operator<=>(const AttemptId&) const = default;
};

/// A token as received from a target. The target echoes the request id and the
/// attempt number of the request.
struct UpstreamToken {
  std::string request_id;
  int64_t attempt = 0;
  int64_t index = -1;
  std::string text;
};

/// How an attempt's stream ended.
enum class UpstreamEndKind : uint8_t {
  /// The target reported that the generation is complete.
  kFinished,
  /// The stream ended, or its connection was lost, before the target reported
  /// the end of the generation.
  kBroken,
  /// No connection to the target could be opened.
  kNotConnected,
  /// The target answered that it accepts no more requests at present.
  kOverloaded,
  /// The target rejected this request.
  kRefused,
};

/// Returns the reason to record for an attempt that was lost because its stream
/// ended with `end`.
constexpr base::Reason ReasonOf(UpstreamEndKind end) {
  switch (end) {
    case UpstreamEndKind::kNotConnected:
      return base::Reason::kTargetUnreachable;
    case UpstreamEndKind::kOverloaded:
      return base::Reason::kQueueFull;
    case UpstreamEndKind::kRefused:
      return base::Reason::kTargetRefused;
    default:
      return base::Reason::kTargetBroken;
  }
}

struct UpstreamEnding {
  UpstreamEndKind kind = UpstreamEndKind::kBroken;
  /// For kFinished: the number of tokens of the generation, as reported by the
  /// target.
  int64_t token_count = -1;
  std::string finish_reason;
};

/// The result of copying tokens to a peer. The first three values are those of
/// AppendOutcome; kFailed means that no peer was available or that the peer did
/// not answer.
enum class CopyOutcome : uint8_t { kStored, kSuperseded, kGap, kFailed };

enum class RelayActionKind : uint8_t {
  /// Request the tokens that start at index `from` from a target.
  kStartAttempt,
  kCancelAttempt,
  /// Copy the tokens in the range [from, to) to a peer.
  kCopy,
  /// Send the tokens in the range [from, to) to the caller.
  kSend,
  /// Tell the caller to discard the tokens received so far; a new generation
  /// follows.
  kRestart,
  /// Complete the response; all tokens have been sent.
  kFinish,
  /// End the response with the error in `verdict`.
  kFail,
};

/// Whether a copy goes to the same peer as the previous copy or to the next
/// peer in the ranking.
enum class CopyPeer : uint8_t { kSame, kNext };

/// An action that the relay's driver has to perform.
struct RelayAction {
  RelayActionKind kind = RelayActionKind::kFail;
  AttemptId attempt;
  size_t from = 0;
  size_t to = 0;
  CopyPeer peer = CopyPeer::kSame;
  /// For kStartAttempt: why another attempt is needed, or kNone for the first
  /// attempt.
  base::Reason reason = base::Reason::kNone;
  base::Verdict verdict;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_RELAY_MESSAGE_H_
