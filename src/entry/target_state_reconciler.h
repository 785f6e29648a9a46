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
class OrderWorker {
 public:
  explicit OrderWorker(Instance* instance);
  ~OrderWorker();
  OrderWorker(const OrderWorker&) = delete;
  OrderWorker& operator=(const OrderWorker&) = delete;

 private:
  using Keeper = orders::LeaseKeeper<store::StoreClient>;

  void Run();
  void Advance(const routing::TargetView& target);
  bool IsFirstFor(const routing::TargetView& target) const;
  bool Send(const routing::TargetView& target, const Keeper& keeper);

  Instance* instance_;
  orders::LeaseOptions options_;
  std::map<std::string, Keeper> keepers_;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TARGET_STATE_RECONCILER_H_
