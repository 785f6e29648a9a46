#include "forward/suspected_content.h"

#include <string_view>

#include "base/hash.h"
#include "forward/exchange_limits.h"

namespace daisypond::forward {

namespace {

bool IsConnectionLost(base::Reason reason) {
  return reason == base::Reason::kTargetBroken ||
         reason == base::Reason::kAnswerTorn;
}

}  // namespace

RequestContent SuspectedContent(const RequestContent& content,
                                const FailedSend& send) {
  if (send.outcome != SendOutcome::kUnknown) {
    return {};
  }
  if (send.ran_for && *send.ran_for >= kCrashAttributionPeriod) {
    return IsConnectionLost(send.reason) ? LongRunContent(content)
                                         : RequestContent();
  }
  return send.is_stream || IsConnectionLost(send.reason) ? content
                                                         : RequestContent();
}

uint64_t WeakHash(uint64_t hash) {
  constexpr std::string_view kWeak = "weak";
  return base::Hash(kWeak, hash);
}

RequestContent LongRunContent(const RequestContent& content) {
  RequestContent long_run;
  long_run.hash = WeakHash(content.hash);
  long_run.is_loss_weak = true;
  return long_run;
}

}  // namespace daisypond::forward
