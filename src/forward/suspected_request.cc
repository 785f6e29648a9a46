#include "forward/suspected_request.h"

namespace daisypond::forward {

std::vector<SuspectedRequest> Aged(std::vector<SuspectedRequest> requests,
                                   base::Millis elapsed) {
  for (SuspectedRequest& request : requests) {
    for (SuspectedRequest::Loss& it : request.losses) {
      it.age = it.age + elapsed;
    }
    if (request.answer_age) {
      request.answer_age = *request.answer_age + elapsed;
    }
  }
  return requests;
}

}  // namespace daisypond::forward
