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
#include "forward/target_loss.h"

namespace daisypond::forward {

/// What this instance knows about one target from its own traffic and from the
/// reports of peers.
struct TargetState {
  catalog::Target target;
  /// Number of open requests of this instance at the target.
  int64_t own_running = 0;
  /// Number of KV cache copies of this instance's runs that the target holds.
  int64_t own_copies = 0;
  std::optional<LoadReport> load_report;
  base::Millis load_reported_at;
  /// Value of `own_running` when `load_report` arrived.
  int64_t own_running_at_report = 0;
  /// The engine's answer to the last poll.
  std::optional<EngineReport> engine_report;
  base::Millis engine_reported_at;
  /// Number of sends of this instance that `engine_report` may not include yet.
  int64_t own_sends_since_poll = 0;
  /// Until this time the target is chosen only if there is no alternative.
  base::Millis avoided_until;
  /// Number of failures since the last success.
  int failures_in_row = 0;
  /// Until this time the target is not chosen, because no connection to it
  /// could be opened.
  base::Millis unreachable_until;
  /// An answer from the target's address showed that another process now uses
  /// the address.
  bool is_replaced = false;
  /// The process has stated in an answer that it is leaving.
  bool has_stated_leaving = false;
  /// The catalog lists another target, started later, at the same address.
  bool is_superseded = false;
  /// When the target last failed, was unreachable or was silent too long.
  base::Millis failed_at{INT64_MIN / 2};
  /// When the target last sent any data.
  base::Millis last_heard_at{INT64_MIN / 2};
  /// Requests a second that the target accepts from all instances together;
  /// empty when it has stated no limit.
  std::optional<double> request_limit;
  /// Rejections a second above which the target fails; empty when it is not
  /// brittle.
  std::optional<double> rejection_limit;
  /// When the target last stated `rejection_limit`, or that it is not brittle.
  base::Millis rejection_limit_stated_at{INT64_MIN / 2};
  /// Until this time the target is not chosen, because a permit or a slot to
  /// send it a request was refused.
  base::Millis no_permit_until;
  /// Weighted share of failures among recent sends, from 0 to 1. Newer sends
  /// have more weight.
  double failure_rate = 0;
  /// When a peer last reported the target as failed.
  base::Millis suspected_at{INT64_MIN / 2};
};

/// The criteria for choosing a target.
struct PlacementRequest {
  std::string service;
  /// Failure domain of this instance. Targets in the same domain are preferred.
  std::string failure_domain;
  /// Targets that must not get the request.
  std::set<std::string> excluded;
  /// Failure domain whose targets are chosen only if there is no alternative.
  /// When work moves away from a lost target, this is the domain of the lost
  /// target. When the KV cache of a run is to be copied to another engine, this
  /// is the domain of the engine that executes the run.
  std::string avoided_domain;
  /// True when the targets of the service are engines.
  bool is_engine = false;
  /// KV cache that the request will occupy at an engine, in tokens. Zero means
  /// unknown.
  int64_t kv_cache_tokens = 0;
  /// If not empty, only these targets may be chosen.
  std::set<std::string> allowed;
  /// If set, only targets with this software version may be chosen.
  std::optional<std::string> version;
  /// True for a new request that may have to go on at another target of the
  /// same version: versions that few targets have are chosen less.
  bool prefers_common_version = false;
  /// All instances prefer the same engine for requests with equal keys, because
  /// that engine may still have the prompt of an earlier request in its KV
  /// cache.
  uint64_t affinity_key = 0;
};

/// The chosen target and the values that led to the choice.
struct Placement {
  std::string id;
  std::string address;
  std::string failure_domain;
  /// Version of the target's software.
  std::string version;
  /// Distinguishes this process of the target from an earlier or later one.
  int64_t started_at = 0;
  /// Score of the target for the request; the lowest score is the best.
  double score = 0;
  /// Estimated number of requests at the target.
  double load = 0;
  /// Age of the last load report; negative if there is none.
  base::Millis report_age{-1};
};

/// Tracks the state of all targets in the catalog and chooses the target for
/// each request. Designed for many instances, each of which forwards few
/// requests and learns about the load caused by other instances only from the
/// reports of targets. The class reads no clock: callers pass the current time.
class TargetSelector {
 public:
  explicit TargetSelector(uint64_t seed) : random_(seed) {}

  /// Replaces the list of targets. The state of targets that stay is kept.
  void Configure(const catalog::Targets& targets);

  /// Chooses a target for a new request, or returns nothing if the service has
  /// no eligible target.
  std::optional<Placement> Choose(const PlacementRequest& request,
                                  base::Millis now);

  /// Returns the best `n` eligible targets, best first.
  std::vector<Placement> Rank(const PlacementRequest& request,
                              size_t n,
                              base::Millis now);

  /// Chooses the engine that will hold a copy of a run's KV cache. Returns
  /// nothing if the best engine is in `request.avoided_domain` or is avoided
  /// after a failure or refusal.
  std::optional<Placement> ChooseCopyHolder(const PlacementRequest& request,
                                            base::Millis now);

  /// Returns the target if it may receive new requests at present.
  std::optional<Placement> Find(const std::string& id, base::Millis now) const;

  /// Returns the target if it may receive new requests at present and its
  /// process has not been replaced since `placement` was created.
  std::optional<Placement> FindSameProcess(const Placement& placement,
                                           base::Millis now) const;

  void OnSend(const std::string& id);
  void OnSendEnded(const std::string& id);
  /// The target begins to hold a KV cache copy of one of this instance's runs.
  void OnCopyBegun(const std::string& id);
  /// The target no longer needs to hold the copy.
  void OnCopyEnded(const std::string& id);

  void OnLoadReport(const std::string& id,
                    const LoadReport& report,
                    base::Millis now);
  /// The engine answered a poll.
  void OnEngineReport(const std::string& id,
                      const EngineReport& report,
                      base::Millis now);
  /// The target sent bytes.
  void OnBytesReceived(const std::string& id, base::Millis now);
  void OnSuccess(const std::string& id, base::Millis now);
  /// The connection to the target broke, or the target was unreachable or
  /// silent.
  void OnFailure(const std::string& id, base::Millis now);
  /// Drops the failures since `since` of the targets of a service, or of all
  /// targets if `service` is empty, because the targets were not their cause.
  void ForgetFailuresSince(const std::string& service, base::Millis since);
  /// A peer reported the target as failed. The report counts only until this
  /// instance receives data from the target, because the fault may lie in the
  /// peer's own network.
  void OnPeerReportedFailure(const std::string& id, base::Millis now);
  /// True when a peer has recently reported the target as failed and this
  /// instance has received no data from the target since then.
  bool IsSuspected(const std::string& id, base::Millis now) const;
  /// No connection to the target could be opened. For a short time requests go
  /// to other targets or are refused at once, so that they do not wait for
  /// another connect timeout.
  void OnUnreachable(const std::string& id, base::Millis now);
  /// The target answered with an error status.
  void OnErrorAnswer(const std::string& id, base::Millis now);
  /// Another process uses the target's address. The target receives no requests
  /// until its catalog entry changes.
  void OnReplaced(const std::string& id);
  /// The process stated in an answer that it is leaving. It receives no further
  /// requests, also if the catalog doesn't say so or no longer does. Returns
  /// true if that is news.
  bool OnLeaving(const TargetProcess& process);

  /// True if the target is known to be leaving, from the catalog or its own
  /// answers.
  bool IsLeaving(const std::string& id) const;

  /// The target refused a request because it had no free slot.
  void OnFull(const std::string& id, base::Millis now);

  /// The target stated a limit on its requests a second, or that there is none.
  /// Returns true if that is a change.
  bool OnRequestLimit(const std::string& id, std::optional<double> limit);

  /// Returns the requests a second that the target accepts from all instances
  /// together; empty when there is no limit.
  std::optional<double> RequestLimit(const std::string& id) const;

  /// The target stated that it is brittle, or that it is not. Returns true if
  /// that is a change.
  bool OnRejectionLimit(const std::string& id,
                        std::optional<double> limit,
                        base::Millis now);

  /// Returns the rejections a second above which the target fails; empty when
  /// it is not brittle. The targets of a service are brittle at the same time:
  /// one that has stated nothing since the first of them became brittle is
  /// taken to be so, too.
  std::optional<double> RejectionLimit(const std::string& id) const;

  /// Returns the number of requests that the target processes concurrently;
  /// zero if the target is not known.
  int64_t SlotsOf(const std::string& id) const;

  /// A permit or a slot to send the target a request was refused; the target is
  /// not chosen until `until`.
  void OnPermitRefused(const std::string& id, base::Millis until);

  /// If the service has targets that could be chosen with a permit, returns
  /// when the first of them may be tried again.
  std::optional<base::Millis> NextPermitAt(const PlacementRequest& request,
                                           base::Millis now) const;

  /// True when the target is not in the catalog or a later target is registered
  /// at its address.
  bool IsSuperseded(const std::string& id) const;

  /// True when the target was not replaced by another process since `placement`
  /// was created.
  bool IsSameProcess(const Placement& placement) const;

  /// True when a target that accepts requests has the software version, also if
  /// it may not be chosen at present.
  bool HasVersion(const std::string& service, const std::string& version) const;

  /// Returns when the target last sent any data, or a time far in the past if
  /// it never did.
  base::Millis LastHeardAt(const std::string& id) const;

  /// True when targets of the failure domain fail together: at least two of
  /// them failed within the last kDomainFailureWindow and have sent no data
  /// since, and these are at least half of the targets in use within this time.
  bool IsDomainFailing(const std::string& service,
                       const std::string& failure_domain,
                       base::Millis now) const;

  size_t Size() const { return states_.size(); }

 private:
  /// What the targets of one service last stated.
  struct ServiceState {
    std::optional<double> rejection_limit;
    /// When the first target stated a rejection limit.
    base::Millis brittle_since;
  };

  // Processes that are remembered as leaving beyond their catalog entries.
  static constexpr size_t kMaximumLeaving = 1000;

  static bool IsLeaving(const TargetState& state) {
    return state.target.is_leaving || state.has_stated_leaving;
  }

  TargetState* StateOf(const std::string& id);
  /// Marks targets whose address belongs to a target that started later. The
  /// catalog entry of a crashed target remains for seconds, while its successor
  /// is already registered at the same address.
  void MarkSuperseded();
  double EstimateLoad(const TargetState& state, base::Millis now) const;
  std::optional<double> RejectionLimitOf(const TargetState& state) const;
  double ComputeScore(const TargetState& state,
                      const PlacementRequest& request,
                      base::Millis now) const;
  bool IsEligible(const TargetState& state,
                  const PlacementRequest& request) const;
  /// Returns the software versions of the service that so few targets have that
  /// a run may find no other target to go on at.
  std::set<std::string> ScarceVersions(const std::string& service) const;
  Placement MakePlacement(const TargetState& state,
                          double score,
                          base::Millis now) const;
  double Random();

  uint64_t random_;
  std::map<std::string, TargetState> states_;
  /// Processes that have stated that they are leaving. Outlives the states: a
  /// target may be missing in the catalog for a while.
  std::set<TargetProcess> leaving_;
  /// By name. Outlives the targets, which may all be replaced.
  std::map<std::string, ServiceState> services_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_TARGET_SELECTOR_H_
