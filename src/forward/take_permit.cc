#include "forward/take_permit.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace daisypond::forward {

namespace {

// Longer than the call to the instance that holds the permits may take.
constexpr base::Millis kTimeout{150};
constexpr base::Millis kWaitAfterTimeout{300};
constexpr base::Millis kMinimumWait{10};

}  // namespace

net::asio::awaitable<RequestPermit> TakePermit(Forwarder* forwarder,
                                               TargetProcess target,
                                               double limit) {
  if (!forwarder->take_permit) {
    co_return RequestPermit{true, {}};
  }
  struct State {
    explicit State(const net::asio::any_io_executor& executor)
        : answered(executor) {}
    net::asio::steady_timer answered;
    RequestPermit permit{false, kWaitAfterTimeout};
    bool is_answered = false;
  };
  const auto state = std::make_shared<State>(forwarder->executor);
  state->answered.expires_after(kTimeout.ToChrono());
  forwarder->take_permit(target, limit, [state](RequestPermit permit) {
    state->permit = permit;
    state->is_answered = true;
    state->answered.cancel();
  });
  if (!state->is_answered) {
    co_await state->answered.async_wait(net::kAsTuple);
  }
  state->permit.wait = std::max(state->permit.wait, kMinimumWait);
  co_return state->permit;
}

}  // namespace daisypond::forward
