#ifndef DAISYPOND_ENTRY_TARGET_POLLER_H_
#define DAISYPOND_ENTRY_TARGET_POLLER_H_

#include "entry/instance.h"
#include "membership/peer_table.h"
#include "peer/generated/peers.pb.h"

namespace daisypond::entry {

/// Keeps the load reports of targets up to date: polls targets whose latest
/// report is too old, and exchanges reports with peers. Runs on the control
/// thread.
class TargetPoller {
 public:
  using Reports = google::protobuf::RepeatedPtrField<peer::TargetReport>;

  explicit TargetPoller(Instance* instance) : instance_(instance) {}

  /// Requests new reports from targets that have no recent one. In a large
  /// deployment, polls only the targets assigned to this instance.
  void PollTargets(const membership::PeerTable& table);

  /// Adds recent reports to a message for a peer, those of leaving targets
  /// first.
  void AddReports(Reports* into) const;

  /// Applies each report of a peer that is newer than this instance's latest
  /// report of the same target.
  void ApplyReports(const Reports& reports);

 private:
  /// True if this instance is one of the kPollersPerTarget instances in the
  /// target's failure domain that are chosen to poll the target.
  bool IsPolledHere(const routing::TargetView& target,
                    const membership::PeerTable& table) const;
  void RequestReport(const routing::TargetView& target);

  Instance* instance_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TARGET_POLLER_H_
