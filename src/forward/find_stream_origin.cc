#include "forward/find_stream_origin.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

namespace daisypond::forward {

namespace {

// Longer than the calls to peers and two reads of the table service take, also
// when that is 50 times slower than usual.
constexpr base::Millis kTimeout{1500};

}  // namespace

net::asio::awaitable<StreamOrigin> FindStreamOrigin(Forwarder* forwarder,
                                                    std::string id,
                                                    std::string service) {
  struct State {
    explicit State(const net::asio::any_io_executor& executor)
        : answered(executor) {}
    net::asio::steady_timer answered;
    StreamOrigin origin;
    bool is_answered = false;
  };
  if (!forwarder->find_stream_origin) {
    co_return StreamOrigin();
  }
  const auto state = std::make_shared<State>(forwarder->executor);
  state->answered.expires_after(kTimeout.ToChrono());
  forwarder->find_stream_origin(id, service, [state](StreamOrigin origin) {
    state->origin = std::move(origin);
    state->is_answered = true;
    state->answered.cancel();
  });
  if (!state->is_answered) {
    co_await state->answered.async_wait(net::kAsTuple);
  }
  co_return state->origin;
}

}  // namespace daisypond::forward
