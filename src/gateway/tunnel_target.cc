#include "gateway/tunnel_target.h"

namespace daisypond::gateway {

tl::expected<std::string, tunnel::Status> FindTargetAddress(
    const catalog::Catalog& catalog,
    const tunnel::ConnectRequest& request) {
  if (catalog.targets == nullptr) {
    return tl::unexpected(tunnel::Status::kRefused);
  }
  const auto it = catalog.targets->find(request.target);
  if (it == catalog.targets->end() || it->second.is_leaving) {
    return tl::unexpected(tunnel::Status::kRefused);
  }
  const catalog::Target& target = it->second;
  if (request.started_at != 0 && request.started_at != target.started_at) {
    return tl::unexpected(tunnel::Status::kRefused);
  }
  return target.address;
}

}  // namespace daisypond::gateway
