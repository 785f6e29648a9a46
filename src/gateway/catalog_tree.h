#ifndef DAISYPOND_GATEWAY_CATALOG_TREE_H_
#define DAISYPOND_GATEWAY_CATALOG_TREE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/name_table.h"
#include "membership/peer_state.h"

namespace daisypond::gateway {

/// How an instance gets the catalog. Small groups have members of the first
/// kind only.
enum class CatalogRole : uint8_t {
  /// Reads the table service for itself.
  kDirect,
  /// Reads the table service for the members of its failure domain.
  kReader,
  /// Fetches the catalog from another member of its failure domain.
  kFollower,
};

inline constexpr base::NameTable<CatalogRole, 3> kCatalogRoleNames("direct",
                                                                   "reader",
                                                                   "follower");

/// Time limits for the way of a change from the table service to all instances.
/// They are shares of the time within which a leaving target must stop
/// receiving requests. A change takes at most `reader_wait` plus `peer_wait`
/// and a fetch period for each level of the tree, if one of the connections on
/// its way is silent; that is less than `maximum_age`. The rest of the time
/// remains for an instance that then reads the table service itself.
struct CatalogTimes {
  explicit CatalogTimes(base::Millis bound);

  /// How long a call of a reader to the table service waits for a change.
  base::Millis reader_wait;
  /// The same for an instance that reads for itself only.
  base::Millis direct_wait;
  /// The same for the configuration. The rest of the bound remains to notice
  /// that a call has been lost, and to make another one.
  base::Millis configuration_wait;
  /// How long a peer without a newer catalog delays its answer.
  base::Millis peer_wait;
  /// An instance that has known of a newer configuration for longer asks peers
  /// that have it, whatever its place among them.
  base::Millis configuration_patience;
  /// A follower that has known of one for longer reads the table service
  /// itself.
  base::Millis configuration_read_patience;
  /// A follower whose targets are older than this reads the table service
  /// itself.
  base::Millis maximum_age;
  /// Pause of a follower after a failed call to the table service.
  base::Millis retry_pause;
};

/// A peer whose targets were confirmed later than those of the requesting
/// instance, by this time at least, answers without a delay.
inline constexpr base::Millis kMinimumAgeGain{100};

/// Returns how long the next call to the table service may wait for a change of
/// the targets. Returns nothing if no call is to be made, because peers keep
/// the targets young enough. `age` is the time since the targets were last
/// known to match the table service, empty if there are none; `is_paused` is
/// true for a while after a failed call.
std::optional<base::Millis> TargetReadWait(const CatalogTimes& times,
                                           CatalogRole role,
                                           std::optional<base::Millis> age,
                                           bool is_paused);

/// The position of an instance among the members of its failure domain that
/// pass the catalog on.
struct CatalogPlace {
  CatalogRole role = CatalogRole::kDirect;
  /// Addresses from which a follower fetches the catalog, best first. Of a
  /// reader: empty.
  std::vector<std::string> sources;
};

/// Members of a failure domain to which a member passes the catalog on.
inline constexpr size_t kCatalogFanOut = 8;

/// Finds the place of `self`. All members that know of the same peers get
/// places that fit together: the members of a failure domain form a tree,
/// ordered by a hash, and its root is the domain's reader. In a group of up to
/// `direct_group` members all are kDirect.
CatalogPlace FindCatalogPlace(const membership::PeerState& self,
                              const std::vector<membership::PeerState>& peers,
                              size_t direct_group);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_CATALOG_TREE_H_
