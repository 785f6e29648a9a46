#include "forward/take_permit.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace daisypond::forward {

namespace {

// Longer than the call to the instance that holds the permits may take.
constexpr base::Millis kTimeout{150};
constexpr base::Millis kWaitAfterTimeout{300};
constexpr base::Millis kMinimumWait{10};

/// A question to the instance that holds the permits or slots of a target.
struct Question {
  explicit Question(const net::asio::any_io_executor& executor)
      : answered(executor) {
    answered.expires_after(kTimeout.ToChrono());
  }

  void Answer(RequestPermit answer) {
    permit = answer;
    answered.cancel();
  }

  net::asio::steady_timer answered;
  std::optional<RequestPermit> permit;
  /// Nobody waits for the answer any longer.
  bool is_abandoned = false;
};

net::asio::awaitable<RequestPermit> AwaitAnswer(
    std::shared_ptr<Question> question) {
  if (!question->permit) {
    co_await question->answered.async_wait(net::kAsTuple);
  }
  question->is_abandoned = !question->permit;
  RequestPermit permit =
      question->permit.value_or(RequestPermit{false, kWaitAfterTimeout});
  permit.wait = std::max(permit.wait, kMinimumWait);
  co_return permit;
}

}  // namespace

net::asio::awaitable<RequestPermit> TakePermit(Forwarder* forwarder,
                                               TargetProcess target,
                                               double limit) {
  if (!forwarder->take_permit) {
    co_return RequestPermit{true, {}};
  }
  const auto question = std::make_shared<Question>(forwarder->executor);
  forwarder->take_permit(target, limit, [question](RequestPermit permit) {
    question->Answer(permit);
  });
  co_return co_await AwaitAnswer(question);
}

net::asio::awaitable<RequestPermit> TakeSlot(Forwarder* forwarder,
                                             SlotRequest request) {
  if (!forwarder->take_slot) {
    co_return RequestPermit{true, {}};
  }
  const auto question = std::make_shared<Question>(forwarder->executor);
  forwarder->take_slot(request, [forwarder, request,
                                 question](RequestPermit permit) {
    if (permit.is_granted && question->is_abandoned) {
      forwarder->return_slot({request.target, request.lease_id,
                              request.rejection_limit, SlotOutcome::kUnused});
    }
    question->Answer(permit);
  });
  co_return co_await AwaitAnswer(question);
}

}  // namespace daisypond::forward
