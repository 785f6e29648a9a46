#ifndef DAISYPOND_HTTP_UNHEARD_CALLERS_H_
#define DAISYPOND_HTTP_UNHEARD_CALLERS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace daisypond::http {

/// Decides which connections without a whole request header are closed while
/// all threads of a server are in use. Not thread-safe.
class UnheardCallers {
 public:
  /// A connection may wait for its header for this long.
  static constexpr base::Millis kPatience{1000};

  /// `addresses` are those of all callers that have sent no whole header and of
  /// whom nothing is left to read. Returns those of them that have been so for
  /// kPatience, as far as earlier calls tell.
  std::vector<std::string> TakeOverdue(const std::set<std::string>& addresses,
                                       base::Millis now);

 private:
  std::map<std::string, base::Millis> unheard_since_;
};

}  // namespace daisypond::http

#endif  // DAISYPOND_HTTP_UNHEARD_CALLERS_H_
