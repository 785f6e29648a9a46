#ifndef DAISYPOND_GENERATION_RELAY_MESSAGE_H_
#define DAISYPOND_GENERATION_RELAY_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/name_table.h"
#include "base/verdict.h"

namespace daisypond::generation {

/// Numbers the attempts at targets within one relay, from 1.
struct AttemptId {
  int value = 0;
  auto operator<=>(const AttemptId&) const = default;
};

/// A token as a target sent it, with the fields that it echoes.
struct UpstreamToken {
  std::string request_id;
  int64_t attempt = 0;
  int64_t index = -1;
  std::string text;
};

/// How an attempt's stream ended.
enum class UpstreamEndKind : uint8_t {
  /// The target said that the generation is complete.
  kFinished,
  kBroken,
  kNotConnected,
  /// The target answered that it takes no more work.
  kOverloaded,
  /// The target answered that it will not run this request.
  kRefused,
};

/// The reason under which a lost attempt is counted.
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
  /// The target's own count of the generation's tokens, for kFinished.
  int64_t token_count = -1;
  std::string finish_reason;
};

enum class CopyOutcome : uint8_t { kStored, kSuperseded, kGap, kFailed };

enum class RelayActionKind : uint8_t {
  /// Ask a target for the tokens from `from` on.
  kStartAttempt,
  kCancelAttempt,
  /// Copy the tokens from `from` to `to` to a peer.
  kCopy,
  /// Send the tokens from `from` to `to` to the caller.
  kSend,
  /// Tell the caller to discard what it has; a new generation follows.
  kRestart,
  /// Everything has been sent: end the answer.
  kFinish,
  /// End the answer with `verdict`.
  kFail,
};

/// Which peer a copy goes to.
enum class CopyPeer : uint8_t { kSame, kNext };

/// What the relay's driver has to do next.
struct RelayAction {
  RelayActionKind kind = RelayActionKind::kFail;
  AttemptId attempt;
  size_t from = 0;
  size_t to = 0;
  CopyPeer peer = CopyPeer::kSame;
  /// Why an attempt is started again; kNone for a first one.
  base::Reason reason = base::Reason::kNone;
  base::Verdict verdict;
};

}  // namespace daisypond::generation

#endif  // DAISYPOND_GENERATION_RELAY_MESSAGE_H_
