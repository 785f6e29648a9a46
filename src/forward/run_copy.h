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
#include "forward/target_board.h"
#include "forward/target_call.h"

namespace daisypond::forward {

/// A copy of a run's memory at another engine.
struct RunCopy {
  Placement holder;
  /// Where the copy is found there.
  KvCopySource source;
};

/// Keeps a copy of one run's memory at an engine that lives. The run's own
/// engine sends the first copy by itself while the run grows. When the holder
/// of that copy is lost, copies are made on demand at another engine and
/// renewed from time to time.
template <Dialect Names>
class CopyKeeper {
 public:
  /// Copies on demand lack what came after them; this much is read anew in
  /// about 60 ms.
  static constexpr base::Millis kRenewPeriod{1200};
  static constexpr base::Millis kCallTimeout{800};
  /// After a failed call.
  static constexpr base::Millis kRetryPeriod{500};

  CopyKeeper(Forwarder* forwarder,
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

  /// The copy that a lost run can go on from; empty when there is none.
  const std::optional<RunCopy>& Current() const { return state_->copy; }

  /// Looks after the copy; to be called while events come in.
  void Advance(const PlacementRequest& wanted, base::Millis now) {
    if (state_->is_calling || now < state_->next_call) {
      return;
    }
    const bool is_lost =
        !state_->copy || !IsHolderSound(state_->copy->holder, now);
    if (!is_lost && !state_->is_on_demand) {
      return;
    }
    std::optional<Placement> holder =
        is_lost ? forwarder_->board.ChooseCopy(wanted, now)
                : std::optional(state_->copy->holder);
    if (!holder) {
      state_->next_call = now + kRetryPeriod;
      return;
    }
    state_->is_calling = true;
    net::asio::co_spawn(forwarder_->executor,
                        Copy(forwarder_, state_, std::move(*holder)),
                        net::asio::detached);
  }

  /// Frees a copy on demand that nobody needs any more, so that it holds no
  /// memory. Copies that the engine keeps by itself end with their run.
  void Release() {
    if (!state_->is_on_demand || !state_->copy) {
      return;
    }
    net::asio::co_spawn(forwarder_->executor, Drop(forwarder_, state_),
                        net::asio::detached);
  }

 private:
  struct State {
    std::string run_id;
    Placement engine;
    std::optional<RunCopy> copy;
    bool is_calling = false;
    bool is_on_demand = false;
    base::Millis next_call;
  };

  bool IsHolderSound(const Placement& holder, base::Millis now) const {
    return forwarder_->board.FindAgain(holder, now).has_value() &&
           !forwarder_->board.IsSuspected(holder.id, now);
  }

  static net::asio::awaitable<void> Copy(Forwarder* forwarder,
                                         std::shared_ptr<State> state,
                                         Placement holder) {
    TargetCall call;
    call.target = state->engine.id;
    call.address = state->engine.address;
    call.method = "POST";
    call.path = Names::kKvCopyPath;
    call.body = Names::KvCopyRequestBody(state->run_id, holder.address);
    forwarder->metrics->Add(base::Counter::kCopiesOnDemand);
    const std::optional<TargetAnswer> answer = co_await CallTarget(
        forwarder, std::move(call), base::Clock::Now() + kCallTimeout);
    const base::Millis now = base::Clock::Now();
    const std::optional<std::string> id =
        answer && answer->status == kFirstSuccess
            ? Names::ParseKvCopyId(answer->body)
            : std::nullopt;
    state->is_calling = false;
    state->next_call = now + (id ? kRenewPeriod : kRetryPeriod);
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

  static net::asio::awaitable<void> Drop(Forwarder* forwarder,
                                         std::shared_ptr<State> state) {
    TargetCall call;
    call.target = state->engine.id;
    call.address = state->engine.address;
    call.method = "DELETE";
    call.path = Names::KvCopyDeletePath(state->copy->source.id);
    // A copy that is not freed ends by itself some seconds later.
    co_await CallTarget(forwarder, std::move(call),
                        base::Clock::Now() + kCallTimeout);
  }

  Forwarder* forwarder_;
  std::shared_ptr<State> state_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RUN_COPY_H_
