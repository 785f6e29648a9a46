#ifndef DAISYPOND_INTAKE_ROOM_LEDGER_H_
#define DAISYPOND_INTAKE_ROOM_LEDGER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/name_table.h"
#include "intake/room_plan.h"

namespace daisypond::intake {

/// What is held for a caller.
enum class RoomKind : uint8_t { kHeader, kBody, kAnswer };

inline constexpr base::NameTable<RoomKind, 3> kRoomKindNames("header",
                                                             "body",
                                                             "answer");

enum class RoomDecision : uint8_t {
  kGranted,
  /// There is no room now. Ask again soon, and read nothing meanwhile.
  kWait,
  /// There is no room; the request is to be refused.
  kRefused,
};

inline constexpr base::NameTable<RoomDecision, 3> kRoomDecisionNames("granted",
                                                                     "wait",
                                                                     "refused");

/// Who determines how long the room is needed.
enum class RoomPace : uint8_t {
  /// The caller, who sends a request or takes an answer.
  kCaller,
  /// This system; the caller has nothing to do.
  kSystem,
};

using HolderId = uint64_t;

/// Numbers of decisions since the start.
struct RoomCounts {
  int64_t refused = 0;
  /// Holders that had to wait, whether or not they got room then.
  int64_t waited = 0;
  /// Holders returned by RoomLedger::NextToClose().
  int64_t closed = 0;
};

/// Decides who gets room in the memory that an instance holds for its callers.
///
/// Small holders (RoomPlan::small_bytes) may use all room, large ones leave a
/// reserve to them. Of either, one owner gets at most half of what the other
/// owners leave, so that n owners that want everything get 1/(n+1) each; an
/// owner's only holder may use all that the others leave.
///
/// Makes decisions only. Not thread-safe.
class RoomLedger {
 public:
  explicit RoomLedger(const RoomPlan& plan) : plan_(plan) {}

  /// Adds a holder of no bytes. `owner` is the API key if it is a known one,
  /// else the caller's address.
  HolderId Add(RoomKind kind, std::string owner, base::Millis now);

  /// Asks for `bytes` in all for this holder, which keeps what it has unless
  /// the answer is kGranted. Smaller sizes are always granted.
  RoomDecision Resize(HolderId id, size_t bytes, base::Millis now);

  /// The caller has sent or taken `n` bytes.
  void OnProgress(HolderId id, size_t n, base::Millis now);

  /// Only holders at the caller's pace, as all are at first, can be closed.
  void SetPace(HolderId id, RoomPace pace, base::Millis now);

  void Remove(HolderId id);

  /// Returns a holder whose caller makes too little progress while others wait
  /// for room. Its owner is to close it and remove it. Returns each holder
  /// once, and no more of them than those that wait need.
  std::optional<HolderId> NextToClose(base::Millis now);

  size_t Held(RoomKind kind) const { return held_[static_cast<size_t>(kind)]; }
  size_t Held() const;
  size_t WaitingCount() const { return n_waiting_; }
  const RoomCounts& Counts() const { return counts_; }
  const RoomPlan& Plan() const { return plan_; }

  /// When a caller that has been refused for lack of room may come back.
  /// Spreads callers that are refused together.
  base::Millis RetryAfter() const;

 private:
  enum class Size : uint8_t { kSmall, kLarge };
  static constexpr size_t kSizes = 2;
  using SizeBytes = std::array<size_t, kSizes>;

  struct Owner {
    /// Bytes held, by the size of the holder.
    SizeBytes held{};
    /// Holders that have bytes, by their size.
    std::array<size_t, kSizes> holders{};
    /// All holders, and those that wait.
    size_t n = 0;
    size_t n_waiting = 0;
  };
  using Owners = std::unordered_map<std::string, Owner>;

  enum class Shortage : uint8_t {
    kNone,
    /// The owner holds its share.
    kShare,
    kTotal,
  };

  struct Holder {
    RoomKind kind = RoomKind::kBody;
    RoomPace pace = RoomPace::kCaller;
    bool is_closing = false;
    Owners::iterator owner;
    size_t bytes = 0;
    /// Bytes that it waits for, in addition to those that it has.
    size_t wanted = 0;
    Shortage shortage = Shortage::kNone;
    base::Millis waits_since;
    base::Millis progress_at;
    /// Bytes since `progress_at`.
    size_t progress = 0;
  };

  Size SizeOf(size_t bytes) const {
    return bytes <= plan_.small_bytes ? Size::kSmall : Size::kLarge;
  }
  void AddBytes(const Holder& holder);
  void SubtractBytes(const Holder& holder);
  Shortage ShortageFor(const Holder& holder, size_t bytes) const;
  bool MayBeginToWait(const Owner& owner) const;
  /// True for a request that has just arrived while others wait for room that
  /// it would take.
  bool IsBehindOthers(const Holder& holder) const;
  void SetWait(Holder* holder, Shortage shortage, size_t wanted);
  void EndWait(Holder* holder);
  /// Adds the holder's wait to the sums, or removes it (`sign` -1).
  void CountWait(const Holder& holder, int sign);
  bool MayClose(const Holder& holder, base::Millis now) const;

  RoomPlan plan_;
  std::unordered_map<HolderId, Holder> holders_;
  Owners owners_;
  std::array<size_t, kRoomKindNames.Size()> held_{};
  /// Bytes and holders that have bytes, by the size of the holder.
  SizeBytes held_by_size_{};
  std::array<size_t, kSizes> holders_by_size_{};
  size_t n_waiting_ = 0;
  /// Those of `n_waiting_` whose shortage is kTotal.
  size_t n_waiting_for_total_ = 0;
  /// Bytes that are waited for, and bytes of holders that have been closed for
  /// those that wait now.
  size_t wanted_bytes_ = 0;
  size_t closed_bytes_ = 0;
  RoomCounts counts_;
  HolderId last_id_ = 0;
};

}  // namespace daisypond::intake

#endif  // DAISYPOND_INTAKE_ROOM_LEDGER_H_
