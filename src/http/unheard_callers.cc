#include "http/unheard_callers.h"

namespace daisypond::http {

std::vector<std::string> UnheardCallers::TakeOverdue(
    const std::set<std::string>& addresses,
    base::Millis now) {
  std::erase_if(unheard_since_, [&](const auto& entry) {
    return !addresses.contains(entry.first);
  });
  std::vector<std::string> overdue;
  for (const std::string& it : addresses) {
    const base::Millis since =
        unheard_since_.try_emplace(it, now).first->second;
    if (now - since >= kPatience) {
      overdue.push_back(it);
    }
  }
  return overdue;
}

}  // namespace daisypond::http
