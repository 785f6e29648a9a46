#include "catalog/configuration.h"

namespace daisypond::catalog {

const Route* Configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& it : routes) {
    if (it.host == host && path.starts_with(it.prefix) &&
        (best == nullptr || it.prefix.size() > best->prefix.size())) {
      best = &it;
    }
  }
  return best;
}

const Service* Configuration::FindService(const std::string& name) const {
  const auto it = services.find(name);
  return it == services.end() ? nullptr : &it->second;
}

}  // namespace daisypond::catalog
