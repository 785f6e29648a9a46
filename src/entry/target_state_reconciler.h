#ifndef DAISYPOND_ENTRY_TARGET_STATE_RECONCILER_H_
#define DAISYPOND_ENTRY_TARGET_STATE_RECONCILER_H_

#include <atomic>
#include <map>
#include <string>
#include <thread>

#include "entry/instance.h"
#include "orders/lease_keeper.h"

namespace daisypond::entry {

/// Brings targets to the state that the configuration asks for, for example a
/// loaded model or another role, by sending them orders. For each target, one
/// instance in its failure domain tries to acquire the lease, and only the
/// holder of the lease sends orders. An order contains the complete wanted
/// state, so that sending the order twice is harmless. Runs on its own thread,
/// because calls to the platform and to targets block.
class TargetStateReconciler {
 public:
  explicit TargetStateReconciler(Instance* instance);
  ~TargetStateReconciler();
  TargetStateReconciler(const TargetStateReconciler&) = delete;
  TargetStateReconciler& operator=(const TargetStateReconciler&) = delete;

 private:
  using Lease = orders::LeaseKeeper<store::StoreClient>;

  void Run();
  /// Acquires or renews the lease for the target. Sends an order if this
  /// instance then holds the lease.
  void ReconcileTarget(const routing::TargetView& target);
  /// True if this instance ranks first for the target among the live instances
  /// of the target's failure domain.
  bool IsResponsibleFor(const routing::TargetView& target) const;
  /// Orders the target to change to the wanted state. Returns true if the
  /// target has accepted the order.
  bool SendOrder(const routing::TargetView& target, const Lease& lease);

  Instance* instance_;
  orders::LeaseOptions lease_options_;
  std::map<std::string, Lease> leases_;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TARGET_STATE_RECONCILER_H_
