#ifndef DAISYPOND_ENTRY_TARGET_POLLER_H_
#define DAISYPOND_ENTRY_TARGET_POLLER_H_

#include "entry/instance.h"
#include "membership/peer_table.h"
#include "peer/generated/peers.pb.h"

namespace daisypond::entry {

/// Keeps the reports of targets fresh: asks those that no traffic tells of,
/// and passes reports on to peers. Runs on the control thread.
class TargetPoller {
 public:
  using Reports = google::protobuf::RepeatedPtrField<peer::TargetReport>;

  explicit TargetPoller(Instance* instance) : instance_(instance) {}

  /// Asks the targets that are this instance's to ask.
  void Poll(const membership::PeerTable& table);

  /// Adds reports for a peer, those of leaving targets first.
  void AddReports(Reports* into) const;

  /// Takes in a peer's reports that are newer than what is known.
  void ApplyReports(const Reports& reports);

 private:
  bool IsPolledHere(const routing::TargetView& target,
                    const membership::PeerTable& table) const;
  void RequestReport(const routing::TargetView& target);

  Instance* instance_;
};

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TARGET_POLLER_H_
