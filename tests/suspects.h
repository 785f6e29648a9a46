#ifndef DAISYPOND_TESTS_SUSPECTS_H_
#define DAISYPOND_TESTS_SUSPECTS_H_

#include <cstdint>

#include "forward/crashing_request_tracker.h"

namespace daisypond::tests {

/// Content of a request without a prompt.
inline forward::RequestContent MakeRequest(uint64_t hash) {
  return {hash, {}};
}

/// Exchanges what two instances tell each other of suspects periodically.
inline void ExchangeSuspects(forward::CrashingRequestTracker* first,
                             forward::CrashingRequestTracker* second,
                             base::Millis now) {
  const auto from_first = first->SharedSuspects(now);
  const auto from_second = second->SharedSuspects(now);
  second->OnSuspectedByPeer(from_first, now);
  first->OnSuspectedByPeer(from_second, now);
}

}  // namespace daisypond::tests

#endif  // DAISYPOND_TESTS_SUSPECTS_H_
