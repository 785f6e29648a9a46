#ifndef DAISYPOND_FORWARD_RUN_COPY_H_
#define DAISYPOND_FORWARD_RUN_COPY_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/log.h"
#include "forward/dialect.h"
#include "forward/exchange_limits.h"
#include "forward/target_call.h"
#include "forward/target_selector.h"
#include "net/spawn.h"

namespace daisypond::forward {

/// A copy of a run's KV cache that is held by another engine.
struct RunCopy {
  /// The engine that holds the copy.
  Placement holder;
  /// Identifies the copy in the request that resumes the run.
  KvCopySource source;
};

/// Maintains a copy of one run's KV cache at another engine. At first, the
/// engine of the run continuously copies the KV cache to `first_holder`. When
/// that holder is lost, the manager asks the engine of the run to copy the KV
/// cache to another engine (a copy on demand) and refreshes this copy
/// periodically.
template <Dialect DialectType>
class KvCacheCopyManager {
 public:
  /// How often a copy on demand is refreshed. The copy lacks the tokens
  /// generated since the last refresh; prefilling the tokens of one period
  /// takes about 60 ms.
  static constexpr base::Millis kCopyRefreshPeriod{1200};
  static constexpr base::Millis kCopyCallTimeout{800};
  /// Delay before the next copy call after a failed one, or when no engine can
  /// hold the copy.
  static constexpr base::Millis kCopyRetryDelay{500};

  KvCacheCopyManager(Forwarder* forwarder,
                     std::string run_id,
                     Placement engine,
                     std::optional<Placement> first_holder)
      : forwarder_(forwarder), state_(std::make_shared<State>()) {
    state_->run_id = std::move(run_id);
    state_->engine = std::move(engine);
    if (first_holder) {
      state_->copy =
          RunCopy{*first_holder, {first_holder->address, state_->run_id}};
    }
  }

  /// Returns the copy from which the run can resume if its engine is lost;
  /// empty when there is no copy.
  const std::optional<RunCopy>& CurrentCopy() const { return state_->copy; }

  /// Replaces a copy whose holder is lost, and refreshes a copy on demand when
  /// kCopyRefreshPeriod has passed. Called for each batch of events.
  void MaintainCopy(const PlacementRequest& wanted, base::Millis now) {
    if (state_->is_copying || now < state_->next_copy_at) {
      return;
    }
    const bool is_holder_lost =
        !state_->copy || !IsHolderUsable(state_->copy->holder, now);
    if (!is_holder_lost && !state_->is_on_demand) {
      return;
    }
    std::optional<Placement> holder =
        is_holder_lost ? forwarder_->selector.ChooseCopyHolder(wanted, now)
                       : std::optional(state_->copy->holder);
    if (!holder) {
      state_->next_copy_at = now + kCopyRetryDelay;
      return;
    }
    state_->is_copying = true;
    net::Spawn(forwarder_->executor, "create_copy",
               CreateCopy(forwarder_, state_, std::move(*holder)));
  }

  /// Deletes a copy on demand that is no longer needed. A copy that the engine
  /// of the run maintains by itself needs no call: it is deleted when the run
  /// ends.
  void ReleaseCopy() {
    if (!state_->is_on_demand || !state_->copy) {
      return;
    }
    net::Spawn(forwarder_->executor, "delete_copy",
               DeleteCopy(forwarder_, state_));
  }

 private:
  struct State {
    std::string run_id;
    Placement engine;
    std::optional<RunCopy> copy;
    bool is_copying = false;
    bool is_on_demand = false;
    base::Millis next_copy_at;
  };

  bool IsHolderUsable(const Placement& holder, base::Millis now) const {
    return forwarder_->selector.FindSameProcess(holder, now).has_value() &&
           !forwarder_->selector.IsSuspected(holder.id, now);
  }

  static net::asio::awaitable<void> CreateCopy(Forwarder* forwarder,
                                               std::shared_ptr<State> state,
                                               Placement holder) {
    TargetCall call;
    call.target = state->engine.id;
    call.address = state->engine.address;
    call.method = "POST";
    call.path = DialectType::kKvCopyPath;
    call.body = DialectType::KvCopyRequestBody(state->run_id, holder.address);
    forwarder->metrics->Add(base::Counter::kCopiesOnDemand);
    const CallResult result = co_await CallTarget(
        forwarder, std::move(call), base::Clock::Now() + kCopyCallTimeout);
    const std::optional<TargetAnswer>& answer = result.answer;
    const base::Millis now = base::Clock::Now();
    const std::optional<std::string> id =
        answer && answer->status == kFirstSuccess
            ? DialectType::ParseKvCopyId(answer->body)
            : std::nullopt;
    state->is_copying = false;
    state->next_copy_at = now + (id ? kCopyRefreshPeriod : kCopyRetryDelay);
    if (id) {
      state->copy = RunCopy{holder, {state->engine.address, *id}};
      state->is_on_demand = true;
    } else if (state->is_on_demand) {
      state->copy.reset();
    }
    LogCopy(*state, holder, answer ? answer->status : 0);
  }

  static void LogCopy(const State& state,
                      const Placement& holder,
                      unsigned status) {
    base::Log(base::LogLevel::kInfo, "copy_on_demand",
              {{"request", state.run_id},
               {"target", state.engine.id},
               {"holder", holder.id},
               {"status", status}});
  }

  static net::asio::awaitable<void> DeleteCopy(Forwarder* forwarder,
                                               std::shared_ptr<State> state) {
    TargetCall call;
    call.target = state->engine.id;
    call.address = state->engine.address;
    call.method = "DELETE";
    call.path = DialectType::KvCopyDeletePath(state->copy->source.id);
    // If this call fails, the copy expires some seconds later.
    co_await CallTarget(forwarder, std::move(call),
                        base::Clock::Now() + kCopyCallTimeout);
  }

  Forwarder* forwarder_;
  std::shared_ptr<State> state_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RUN_COPY_H_
