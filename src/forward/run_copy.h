#ifndef DAISYPOND_FORWARD_RUN_COPY_H_
#define DAISYPOND_FORWARD_RUN_COPY_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/log.h"
#include "forward/dialect.h"
#include "forward/exchange_limits.h"
#include "forward/target_call.h"
#include "forward/target_selector.h"

namespace daisypond::forward {

/// A copy of a run's memory (KV cache) held by another engine.
struct RunCopy {
  Placement holder;
  /// Identifies the copy in a request that resumes from it.
  KvCopySource source;
};

/// Maintains a copy of one run's memory (KV cache) at a working engine. At
/// first the run's own engine sends the copy to `first_holder` while the run
/// grows. When that holder is lost, the manager asks the run's engine to copy
/// the memory to another engine and refreshes this copy periodically.
template <Dialect DialectType>
class RunCopyManager {
 public:
  /// A copy on demand lacks the tokens generated after it was made. Prefilling
  /// the tokens of one period takes about 60 ms.
  static constexpr base::Millis kCopyRefreshPeriod{1200};
  static constexpr base::Millis kCopyCallTimeout{800};
  /// Wait after a failed copy call.
  static constexpr base::Millis kCopyRetryDelay{500};

  RunCopyManager(Forwarder* forwarder,
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

  /// The copy from which the run can resume if its engine is lost; empty when
  /// there is none.
  const std::optional<RunCopy>& CurrentCopy() const { return state_->copy; }

  /// Replaces a lost copy and refreshes a copy on demand. Called for each batch
  /// of events.
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
    net::asio::co_spawn(forwarder_->executor,
                        CreateCopy(forwarder_, state_, std::move(*holder)),
                        net::asio::detached);
  }

  /// Frees a copy on demand that is no longer needed, so that it occupies no
  /// memory. A copy that the engine maintains by itself is freed when its run
  /// ends.
  void ReleaseCopy() {
    if (!state_->is_on_demand || !state_->copy) {
      return;
    }
    net::asio::co_spawn(forwarder_->executor, DeleteCopy(forwarder_, state_),
                        net::asio::detached);
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
    const std::optional<TargetAnswer> answer = co_await CallTarget(
        forwarder, std::move(call), base::Clock::Now() + kCopyCallTimeout);
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
