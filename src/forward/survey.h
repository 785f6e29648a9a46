#ifndef DAISYPOND_FORWARD_SURVEY_H_
#define DAISYPOND_FORWARD_SURVEY_H_

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/log.h"
#include "forward/dialect.h"
#include "forward/target_board.h"
#include "forward/target_call.h"

namespace daisypond::forward {

/// Engines that are asked before a request is placed. Two leave few requests
/// behind a prompt that is being read; the third covers one that is lost.
inline constexpr size_t kSurveyed = 3;
/// Several round trips; engines answer without a place.
inline constexpr base::Millis kSurveyTimeout{60};

/// Asks engines for their load at the same time and hands the answers to the
/// board. Answers the load in which many instances each see few requests and
/// know little of most engines: a request that is placed blindly waits for
/// the prompts of others. Returns the engines that answered in time.
template <Dialect Names>
net::asio::awaitable<std::set<std::string>> AskEngines(
    Forwarder* forwarder,
    std::vector<Placement> engines) {
  if (engines.empty()) {
    co_return std::set<std::string>();
  }
  struct State {
    explicit State(const net::asio::any_io_executor& executor)
        : all_answered(executor) {}
    net::asio::steady_timer all_answered;
    size_t open = 0;
    std::set<std::string> answered;
  };
  const auto state = std::make_shared<State>(forwarder->executor);
  const base::Millis limit = base::Clock::Now() + kSurveyTimeout;
  state->open = engines.size();
  state->all_answered.expires_after(kSurveyTimeout.ToChrono());
  const auto ask = [](Forwarder* asker, std::shared_ptr<State> asked,
                      Placement engine,
                      base::Millis until) -> net::asio::awaitable<void> {
    TargetCall call{engine.id, engine.address, "GET", Names::kEngineReportPath,
                    ""};
    asker->metrics->Add(base::Counter::kProbes);
    const std::optional<TargetAnswer> answer =
        co_await CallTarget(asker, std::move(call), until);
    const std::optional<EngineReport> report =
        answer ? Names::ParseEngineReport(answer->body) : std::nullopt;
    if (report) {
      asker->board.OnAsked(engine.id, *report, base::Clock::Now());
      asked->answered.insert(engine.id);
    }
    if (--asked->open == 0) {
      asked->all_answered.cancel();
    }
  };
  for (Placement& it : engines) {
    net::asio::co_spawn(forwarder->executor,
                        ask(forwarder, state, std::move(it), limit),
                        net::asio::detached);
  }
  co_await state->all_answered.async_wait(net::kAsTuple);
  co_return state->answered;
}

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SURVEY_H_
