#ifndef DAISYPOND_FORWARD_TARGET_SELECTOR_H_
#define DAISYPOND_FORWARD_TARGET_SELECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "catalog/catalog.h"
#include "forward/message.h"

namespace daisypond::forward {

/// What this instance knows of one target from its own traffic.
struct TargetState {
  catalog::Target target;
  /// Requests of this instance that are open there.
  int64_t own_running = 0;
  /// Copies of runs of this instance that are kept there.
  int64_t own_copies = 0;
  std::optional<LoadReport> load_report;
  base::Millis load_reported_at;
  /// own_running when the report came.
  int64_t own_running_at_report = 0;
  /// What the engine said of itself when it was engine_report last.
  std::optional<EngineReport> engine_report;
  base::Millis engine_reported_at;
  /// Own sends that `engine_report` may not show yet.
  int64_t own_sends_since_poll = 0;
  /// New work goes elsewhere before this time if it can.
  base::Millis avoided_until;
  int failures_in_row = 0;
  /// No connection is tried before this time.
  base::Millis unreachable_until;
  /// It answered that its address belongs to another process now.
  bool is_replaced = false;
  /// Another target that started later has its address.
  bool is_superseded = false;
  /// The last time that the target failed or was silent, and that it sent
  /// anything at all.
  base::Millis failed_at{INT64_MIN / 2};
  base::Millis last_heard_at{INT64_MIN / 2};
  /// Part of recent sends that failed, 0 to 1.
  double failure_rate = 0;
  /// The last time that a peer lost it.
  base::Millis suspected_at{INT64_MIN / 2};
};

/// What a placement depends on.
struct PlacementRequest {
  std::string service;
  /// The caller's side.
  std::string failure_domain;
  /// Targets that must not get the request.
  std::set<std::string> excluded;
  /// A failure domain that should not be chosen: that of the run whose memory
  /// is copied, or that of a lost target.
  std::string avoided_domain;
  bool is_engine = false;
  /// Memory that the request will hold at an engine, in tokens; zero: unknown.
  int64_t memory_tokens = 0;
  /// Only these targets; empty: any.
  std::set<std::string> allowed;
  /// Requests with equal keys prefer the same engine, at every instance: it
  /// may still hold the prompt of a request that comes again.
  uint64_t affinity_key = 0;
};

/// The chosen target and what decided it.
struct Placement {
  std::string id;
  std::string address;
  std::string failure_domain;
  /// Tells one process of the target from the next.
  int64_t started_at = 0;
  /// Lower is better.
  double score = 0;
  /// Requests believed to be there, and the age of the report behind that;
  /// negative without a report.
  double load = 0;
  base::Millis report_age{-1};
};

/// The targets in force with what this instance's own traffic tells of them.
/// Decides where requests go. Answers the load in which many instances see
/// few requests each and learn of the others only by reports that ride on
/// answers. Pure: time comes in as an argument.
class TargetSelector {
 public:
  explicit TargetSelector(uint64_t seed) : random_(seed) {}

  /// Takes over the targets in force; knowledge of those that stay is kept.
  void Configure(const catalog::Targets& targets);

  /// Chooses a target for new work, or none when the service has none that
  /// may take it.
  std::optional<Placement> Choose(const PlacementRequest& request,
                                  base::Millis now);

  /// The `n` targets that are best as far as is known, the best first.
  std::vector<Placement> Rank(const PlacementRequest& request,
                              size_t n,
                              base::Millis now);

  /// Chooses an engine that keeps a copy of a run at `engine`.
  std::optional<Placement> ChooseCopyHolder(const PlacementRequest& request,
                                            base::Millis now);

  /// The target, if it may take new work now.
  std::optional<Placement> Find(const std::string& id, base::Millis now) const;

  /// As Find(), but only if the target is still the same process.
  std::optional<Placement> FindSameProcess(const Placement& placement,
                                           base::Millis now) const;

  void OnSend(const std::string& id);
  void OnSendEnded(const std::string& id);
  void OnCopyBegun(const std::string& id);
  void OnCopyEnded(const std::string& id);

  void OnLoadReport(const std::string& id,
                    const LoadReport& report,
                    base::Millis now);
  /// The engine was engine_report and answered.
  void OnEngineReport(const std::string& id,
                      const EngineReport& report,
                      base::Millis now);
  /// The target sent bytes.
  void OnBytesReceived(const std::string& id, base::Millis now);
  void OnSuccess(const std::string& id, base::Millis now);
  /// The target broke off, could not be reached or fell silent.
  void OnFailure(const std::string& id, base::Millis now);
  /// A peer has lost the target. Counts only until this instance hears of it,
  /// as the peer may be cut off itself.
  void OnPeerReportedFailure(const std::string& id, base::Millis now);
  /// True when a peer has lost the target and it was not heard of since.
  bool IsSuspected(const std::string& id, base::Millis now) const;
  /// No connection to the target could be opened. For a while requests are
  /// refused at once rather than tried there.
  void OnUnreachable(const std::string& id, base::Millis now);
  /// The target answered that the request failed.
  void OnErrorAnswer(const std::string& id, base::Millis now);
  /// Another process has the target's address: it gets nothing more until its
  /// own entry changes.
  void OnReplaced(const std::string& id);
  /// The target refused for want of a place.
  void OnFull(const std::string& id, base::Millis now);

  /// True when the target is not in force or another has its address.
  bool IsSuperseded(const std::string& id) const;

  /// The target's failure domain; empty when it is not in force.
  std::string FailureDomainOf(const std::string& id) const;

  /// When the target last sent anything; far in the past if never.
  base::Millis LastHeardAt(const std::string& id) const;

  /// True while targets of one failure domain fail together: at least two
  /// within kDomainFailureWindow and at least half of those in use.
  bool IsDomainFailing(const std::string& service,
                       const std::string& failure_domain,
                       base::Millis now) const;

  size_t Size() const { return states_.size(); }

 private:
  TargetState* StateOf(const std::string& id);
  /// A crashed target's entry outlives it by seconds, while its successor has
  /// registered at the same address already.
  void MarkSuperseded();
  double EstimateLoad(const TargetState& state, base::Millis now) const;
  double ComputeScore(const TargetState& state,
                      const PlacementRequest& request,
                      base::Millis now) const;
  bool IsEligible(const TargetState& state,
                  const PlacementRequest& request) const;
  Placement MakePlacement(const TargetState& state,
                          double score,
                          base::Millis now) const;
  double Random();

  uint64_t random_;
  std::map<std::string, TargetState> states_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_SELECTOR_H_
