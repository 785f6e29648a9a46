#ifndef DAISYPOND_GATEWAY_CONNECTION_PLAN_H_
#define DAISYPOND_GATEWAY_CONNECTION_PLAN_H_

#include <cstddef>

namespace daisypond::gateway {

/// How many connections an instance has open at most, so that neither its
/// descriptors nor its memory run out. What is left of the descriptors is kept
/// for the table service, peers, the status server and files.
struct ConnectionPlan {
  /// Connections of callers.
  size_t callers = 0;
  /// Connections of callers and to targets together. A caller's connection must
  /// leave `targets_reserve` of them free.
  size_t shared = 0;
  size_t targets_reserve = 0;
  /// Tunnels for other instances; each has two connections.
  size_t tunnels = 0;
};

/// Derives the plan from the number of descriptors and the bytes of memory that
/// the process may use.
ConnectionPlan MakeConnectionPlan(size_t descriptors, size_t memory_bytes);

/// Connections that are open.
struct OpenConnections {
  size_t callers = 0;
  size_t targets = 0;
};

/// Returns how many connections of callers have to end before another one of a
/// caller fits.
size_t ExcessCallers(const ConnectionPlan& plan, const OpenConnections& open);

/// True when another connection to a target fits.
bool FitsTarget(const ConnectionPlan& plan, const OpenConnections& open);

/// Number of idle connections to close when the plan is exhausted. Closing
/// several at once spares a search for each new connection of a crowd.
size_t CloseBatch(const ConnectionPlan& plan);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_CONNECTION_PLAN_H_
