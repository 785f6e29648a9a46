#ifndef DAISYPOND_FORWARD_ENGINE_POLL_H_
#define DAISYPOND_FORWARD_ENGINE_POLL_H_

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "base/log.h"
#include "forward/dialect.h"
#include "forward/target_call.h"
#include "forward/target_selector.h"
#include "net/spawn.h"

namespace daisypond::forward {

/// Number of engines polled before a target is chosen for a request. Polling
/// two engines and choosing the less loaded one is enough to keep most requests
/// from queueing behind the prefill of another prompt. A third engine is polled
/// in case one of the two is lost.
inline constexpr size_t kPolledEngines = 3;
/// Time allowed for the answers to the polls; enough for several round trips.
/// Polls do not queue at an engine: they are answered at once, even when all
/// slots are taken.
inline constexpr base::Millis kEnginePollTimeout{60};

/// Polls the load of several engines in parallel and passes the reports to the
/// target selector. Returns the ids of the engines that answered in time. Polls
/// are needed because each of the many instances forwards few requests and so
/// knows little about the load of most engines. Without a poll, a request may
/// queue behind the prefill of other prompts.
template <Dialect DialectType>
net::asio::awaitable<std::set<std::string>> PollEngines(
    Forwarder* forwarder,
    std::vector<Placement> engines) {
  if (engines.empty()) {
    co_return std::set<std::string>();
  }
  struct State {
    explicit State(const net::asio::any_io_executor& executor)
        : all_answered(executor) {}
    net::asio::steady_timer all_answered;
    size_t n_pending = 0;
    std::set<std::string> answered;
  };
  const auto state = std::make_shared<State>(forwarder->executor);
  const base::Millis deadline = base::Clock::Now() + kEnginePollTimeout;
  state->n_pending = engines.size();
  state->all_answered.expires_after(kEnginePollTimeout.ToChrono());
  const auto poll_engine =
      [](Forwarder* poll_forwarder, std::shared_ptr<State> poll_state,
         Placement engine,
         base::Millis poll_deadline) -> net::asio::awaitable<void> {
    TargetCall call{engine.id, engine.address, "GET",
                    DialectType::kEngineReportPath, ""};
    poll_forwarder->metrics->Add(base::Counter::kProbes);
    const CallResult result =
        co_await CallTarget(poll_forwarder, std::move(call), poll_deadline);
    const std::optional<TargetAnswer>& answer = result.answer;
    if (answer) {
      poll_forwarder->OnResponse(
          {engine.id, engine.started_at},
          DialectType::ParseResponseHeader(answer->status, answer->fields));
    }
    const std::optional<EngineReport> report =
        answer ? DialectType::ParseEngineReport(answer->body) : std::nullopt;
    if (report) {
      poll_forwarder->selector.OnEngineReport(engine.id, *report,
                                              base::Clock::Now());
      poll_state->answered.insert(engine.id);
    }
    if (--poll_state->n_pending == 0) {
      poll_state->all_answered.cancel();
    }
  };
  for (Placement& it : engines) {
    net::Spawn(forwarder->executor, "poll_engine",
               poll_engine(forwarder, state, std::move(it), deadline));
  }
  co_await state->all_answered.async_wait(net::kAsTuple);
  co_return state->answered;
}

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_ENGINE_POLL_H_
