#ifndef DAISYPOND_ROLLOUT_CONTROLLER_H_
#define DAISYPOND_ROLLOUT_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/name_table.h"
#include "rollout/exposure_plan.h"
#include "rollout/types.h"
#include "rollout/version_comparison.h"

namespace daisypond::rollout {

/// How far a roll-out has come.
enum class Stage : uint8_t {
  /// No request goes to the new version yet.
  kWaiting,
  /// A bounded share goes to it.
  kTrial,
  /// All new requests go to it, in steps for long ones.
  kSwitch,
  kCompleted,
  kRolledBack,
};

inline constexpr base::NameTable<Stage, 5> kStageNames("waiting",
                                                       "trial",
                                                       "switch",
                                                       "completed",
                                                       "rolled_back");

/// The row of one service in the table service.
struct Row {
  /// Controller that wrote the row: the member and its incarnation.
  std::string writer;
  Stage stage = Stage::kWaiting;
  /// Its number is the first of the kNumbersPerRow numbers of the writer.
  Decision decision;
  std::map<std::string, int64_t> requests;
  int64_t exposed = 0;

  bool operator==(const Row&) const = default;
};

/// Decisions without a write of their own have the numbers after their row's.
/// The last one is for rolling back.
inline constexpr uint64_t kNumbersPerRow = 1000;

/// What operators read of an order.
struct Status {
  State state = State::kRunning;
  std::string to;
  Cause cause = Cause::kNone;
};

struct ControllerOutput {
  /// Newest decision, if it has changed since the last step.
  std::optional<Decision> decision;
  /// The decision is to be sent to all members; else it goes with the replies
  /// to their reports. Members report at once after it.
  bool is_pushed = false;
  /// To be written under the condition that the row is as it was read or
  /// written last.
  std::optional<Row> row;
  std::optional<Status> status;
};

/// Decides on the orders of one service, one at a time, on one member of the
/// group. Raises a share only after the row that states it is acknowledged;
/// lowers shares and rolls back at once. Errors of the two tests add up to
/// 2 * kAlpha for each controller of an order.
class Controller {
 public:
  /// `row` is the service's row as read when `self` became the controller.
  Controller(std::string self,
             Limits limits,
             const std::optional<Row>& row,
             base::Millis now);

  /// The operator's order, which is `age` old, or none if it was taken back.
  void SetOrder(const std::optional<Order>& order,
                base::Millis age,
                base::Millis now);
  /// Listed targets of earlier versions and of the new one.
  void SetTargets(int64_t old_targets, int64_t new_targets);
  /// Members in reach, and whether one of them is of a build without orders.
  void SetMembers(std::set<std::string> members, bool has_older);
  void Add(const std::string& instance, const Report& report, base::Millis now);

  /// The row with this number was written.
  void Acknowledge(uint64_t number, base::Millis now);
  /// The row is not as this controller wrote or read it, by a failed condition
  /// or a later read; `present` is the row that was read.
  void Conflict(const std::optional<Row>& present);

  /// Decides. To be called at least each 0.1 s, and after each input.
  ControllerOutput Step(base::Millis now);

  Stage CurrentStage() const { return stage_; }
  const Decision& Current() const { return decision_; }
  /// Another member has written the row: this controller does nothing more.
  bool IsDeposed() const { return is_deposed_; }

  static constexpr double kAlpha = 2.5e-3;
  /// Time in which a controller that takes over counts before it goes on.
  static constexpr base::Millis kCountAgain{2000};

 private:
  struct Instance {
    Report newest;
    base::Millis heard_at;
  };

  bool IsEnded() const;
  bool IsCounting(base::Millis now) const { return now < counting_until_; }
  ExposureInputs Inputs(base::Millis now) const;
  std::map<std::string, double> Rates(base::Millis now) const;
  int64_t Exposed() const;
  bool HasSwitched(base::Millis now) const;

  void Begin(const Order& order, base::Millis start);
  void Advance(base::Millis now);
  void AdvanceWaiting(const ExposurePlan& plan, base::Millis now);
  void AdvanceTrial(const ExposurePlan& plan, base::Millis now);
  void AdvanceSwitch(const ExposurePlan& plan, base::Millis now);
  void MoveToNextTargets(base::Millis now);
  ExposurePlan Plan(base::Millis now) const;
  void FollowPlan(const ExposurePlan& plan, base::Millis now);
  void ProposeShare(Stage stage, double share);
  void Propose(Stage stage, Decision decision);
  void RollBack(Cause cause);
  void TakeWrite(base::Millis now, ControllerOutput* output);

  std::string self_;
  Limits limits_;
  std::optional<Row> row_;
  std::optional<Order> order_;
  base::Millis start_;
  base::Millis counting_until_;
  Stage stage_ = Stage::kWaiting;
  Decision decision_;
  std::optional<Row> pending_;
  std::optional<base::Millis> write_started_;
  std::optional<base::Millis> raised_at_;
  std::optional<base::Millis> lowered_at_;
  uint64_t highest_number_ = 0;
  std::optional<base::Millis> moved_at_;
  /// Newest decision that was given out.
  Decision told_;
  bool is_deposed_ = false;
  /// The order was begun by an earlier controller.
  bool is_taken_over_ = false;
  bool has_own_row_ = false;
  /// A share was lowered since the proposal of the pending row.
  bool is_lowered_since_ = false;
  bool is_decision_due_ = false;
  bool is_status_due_ = false;

  int64_t old_targets_ = 0;
  int64_t new_targets_ = 0;
  std::set<std::string> members_;
  bool has_older_ = false;
  std::map<std::string, Instance> instances_;
  /// Requests by second since the order and by route.
  std::map<int64_t, std::map<std::string, int64_t>> arrivals_;
  VersionComparison comparison_{kAlpha};
};

}  // namespace daisypond::rollout

#endif  // DAISYPOND_ROLLOUT_CONTROLLER_H_
