#ifndef DAISYPOND_ENTRY_TARGET_STATE_RECONCILER_H_
#define DAISYPOND_ENTRY_TARGET_STATE_RECONCILER_H_

#include <atomic>
#include <map>
#include <string>
#include <thread>

#include "entry/instance.h"
#include "orders/lease_keeper.h"

namespace daisypond::entry {

/// Brings targets to the state that the intents want: loads models, changes
/// roles. The instance that ranks first for a target in its failure domain
/// tries for the lease; only the lease's holder sends, and orders name whole
/// states, so that sending one again is harmless. Has a thread of its own,
/// since it waits for the platform and for targets.
class TargetStateReconciler {
 public:
  explicit TargetStateReconciler(Instance* instance);
  ~TargetStateReconciler();
  TargetStateReconciler(const TargetStateReconciler&) = delete;
  TargetStateReconciler& operator=(const TargetStateReconciler&) = delete;

 private:
  using Lease = orders::LeaseKeeper<store::StoreClient>;

  void Run();
  void ReconcileTarget(const routing::TargetView& target);
  bool IsResponsibleFor(const routing::TargetView& target) const;
  bool SendOrder(const routing::TargetView& target, const Lease& lease);

  Instance* instance_;
  orders::LeaseOptions lease_options_;
  std::map<std::string, Lease> leases_;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TARGET_STATE_RECONCILER_H_
