#include "forward/suspect.h"

namespace daisypond::forward {

std::vector<Suspect> Aged(std::vector<Suspect> suspects, base::Millis elapsed) {
  for (Suspect& suspect : suspects) {
    for (Suspect::Loss& it : suspect.losses) {
      it.age = it.age + elapsed;
    }
    if (suspect.answer_age) {
      suspect.answer_age = *suspect.answer_age + elapsed;
    }
  }
  return suspects;
}

}  // namespace daisypond::forward
