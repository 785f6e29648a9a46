#ifndef DAISYPOND_GATEWAY_TUNNEL_TARGET_H_
#define DAISYPOND_GATEWAY_TUNNEL_TARGET_H_

#include <string>

#include <tl/expected.hpp>

#include "catalog/catalog.h"
#include "tunnel/connect_request.h"
#include "tunnel/status.h"

namespace daisypond::gateway {

/// Returns the address of the target that a peer names in a request for a
/// tunnel. Returns kRefused if the catalog does not contain that process of the
/// target or if it is leaving.
tl::expected<std::string, tunnel::Status> FindTargetAddress(
    const catalog::Catalog& catalog,
    const tunnel::ConnectRequest& request);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_TUNNEL_TARGET_H_
