#ifndef DAISYPOND_HTTP_THREAD_SHARES_H_
#define DAISYPOND_HTTP_THREAD_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace daisypond::http {

struct ThreadSharesOptions {
  /// The threads of the server, each of which serves one connection.
  size_t threads = 64;
  /// A body of at most this size in bytes is small.
  size_t small_body_bytes = 16u << 10;
  /// A caller is stalled if it needs longer than this for `progress_bytes`.
  base::Millis stall_time{10'000};
  /// As `stall_time`, if others wait for a thread.
  base::Millis busy_stall_time{1000};
  size_t progress_bytes = 2048;
  /// The time for a whole body.
  base::Millis body_time{120'000};
  /// How long a connection may stay open after its answer.
  base::Millis close_time{2000};
};

/// Decides which callers may occupy threads of a server while they send a
/// body or take an answer, and which have done so for too long. Not
/// thread-safe.
class ThreadShares {
 public:
  using CallerId = uintptr_t;

  explicit ThreadShares(ThreadSharesOptions options) : options_(options) {}

  /// A caller is about to send a body of `announced` bytes (empty: unknown).
  /// False if the share of threads for large bodies is in use; the body is not
  /// to be read then.
  bool BeginBody(CallerId id,
                 std::optional<size_t> announced,
                 base::Millis now);

  /// The caller has sent `n` bytes of its body.
  void OnBytes(CallerId id, size_t n, base::Millis now);

  /// The system has let the caller wait for room, until now.
  void OnRoom(CallerId id, base::Millis now);

  /// The body has been read, or is not read further.
  void EndBody(CallerId id);

  /// A part of the answer is being written to the caller, or has been taken by
  /// it. How long this may last at most is up to the writer.
  void BeginWrite(CallerId id, base::Millis now);
  void EndWrite(CallerId id);

  /// The answer has been written, and only the caller's end is missing.
  void OnAnswered(CallerId id, base::Millis now);

  /// The connection has been closed.
  void Remove(CallerId id);

  /// Returns the callers whose input or connections are to be ended, each one
  /// once. `n_waiting` connections wait for a thread: for each of them, one
  /// caller is ended after `busy_stall_time`, those with the oldest progress
  /// first; and one with a large body for each that BeginBody() has refused.
  std::vector<CallerId> TakeOverdue(size_t n_waiting, base::Millis now);

  /// Ends a caller whose body is being read, for another reason. False if there
  /// is none, or if it is ended already.
  bool End(CallerId id);

  /// True after End(), or if TakeOverdue() has returned this caller.
  bool IsEnded(CallerId id) const;

  /// True while the body of this caller is being read.
  bool IsReadingBody(CallerId id) const;

  /// The number of threads that may read large bodies at a time.
  size_t LargeBodyThreads() const;

 private:
  enum class Stage : uint8_t {
    kSmallBody,
    kLargeBody,
    kHandled,
    kWriting,
    kAnswered,
  };

  struct Caller {
    Stage stage = Stage::kHandled;
    base::Millis began_at;
    base::Millis progress_at;
    /// Bytes since `progress_at`.
    size_t progress = 0;
    bool is_ended = false;
  };

  static bool IsReading(Stage stage);
  bool IsOverdue(const Caller& caller, base::Millis now) const;
  bool IsStalled(const Caller& caller, base::Millis now) const;

  ThreadSharesOptions options_;
  std::map<CallerId, Caller> callers_;
  /// Callers in Stage::kLargeBody.
  size_t n_large_ = 0;
  /// Large bodies that have been refused since the last TakeOverdue().
  size_t n_refused_ = 0;
};

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_THREAD_SHARES_H_
