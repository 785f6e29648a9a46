#include "wall/wall.h"

#include <algorithm>

#include "base/hash.h"
#include "base/json.h"

namespace daisypond::wall {

namespace {

using base::Json;

std::string_view TargetStatus(const routing::TargetView& target,
                              base::Millis now) {
  if (target.report.is_leaving) {
    return "leaving";
  }
  if (target.settings.state != intents::TargetState::kServing) {
    return intents::kTargetStateNames.NameOf(target.settings.state);
  }
  return now < target.avoided_until ? "avoided" : "serving";
}

Json PeersJson(const Snapshot& snapshot) {
  Json list = Json::array();
  for (const PeerView& it : snapshot.peers) {
    list.push_back(
        {{"instance", it.state.instance},
         {"failure_domain", it.state.failure_domain},
         {"region", it.state.region},
         {"status", membership::kPeerStatusNames.NameOf(it.state.status)},
         {"configuration_version", it.state.configuration_version},
         {"age_ms", it.age.count}});
  }
  return list;
}

/// Counts the instances of each failure domain: all, those that are alive, and
/// those that are alive with a configuration older than the newest version.
/// `age_ms` is the time since this instance last received news of any instance
/// of the domain.
Json DomainsJson(const Snapshot& snapshot) {
  struct Domain {
    int64_t alive = 0;
    int64_t instances = 0;
    int64_t behind = 0;
    int64_t age_ms = -1;
  };
  std::map<std::string, Domain> domains;
  for (const PeerView& it : snapshot.peers) {
    Domain& domain = domains[it.state.failure_domain];
    const bool is_alive = it.state.status <= membership::PeerStatus::kLeaving;
    ++domain.instances;
    domain.alive += is_alive ? 1 : 0;
    const bool is_behind =
        is_alive && it.state.configuration_version < snapshot.newest_version;
    domain.behind += is_behind ? 1 : 0;
    const bool is_fresher = domain.age_ms < 0 || it.age.count < domain.age_ms;
    domain.age_ms = is_fresher ? it.age.count : domain.age_ms;
  }
  Json list = Json::array();
  for (const auto& [name, it] : domains) {
    list.push_back({{"failure_domain", name},
                    {"alive", it.alive},
                    {"instances", it.instances},
                    {"behind", it.behind},
                    {"age_ms", it.age_ms}});
  }
  return list;
}

Json TargetsJson(const Snapshot& snapshot) {
  Json list = Json::array();
  for (const routing::TargetView& it : snapshot.targets) {
    const int64_t age =
        it.has_report ? (snapshot.taken_at_monotonic - it.reported_at).count
                      : -1;
    list.push_back(
        {{"target", it.id.name},
         {"failure_domain", it.settings.failure_domain},
         {"kind", intents::kTargetKindNames.NameOf(it.settings.kind)},
         {"status", TargetStatus(it, snapshot.taken_at_monotonic)},
         {"running", it.report.running},
         {"own_running", it.own_running},
         {"capacity", it.settings.capacity},
         {"age_ms", age}});
  }
  return list;
}

template <typename CountOf>
Json CountsByReason(CountOf count_of) {
  Json counts = Json::object();
  for (size_t i = 0; i < base::kReasonNames.Size(); ++i) {
    const auto reason = static_cast<base::Reason>(i);
    const int64_t n = count_of(reason);
    if (n > 0) {
      counts[std::string(base::kReasonNames.NameOf(reason))] = n;
    }
  }
  return counts;
}

Json InvariantsJson(const base::Metrics& metrics) {
  Json list = Json::array();
  for (size_t i = 0; i < base::kInvariantNames.Size(); ++i) {
    const auto invariant = static_cast<base::Invariant>(i);
    list.push_back({{"name", base::kInvariantNames.NameOf(invariant)},
                    {"checked", metrics.InvariantChecks(invariant)},
                    {"violated", metrics.InvariantViolations(invariant)}});
  }
  return list;
}

Json CountersJson(const base::Metrics& metrics) {
  Json counts = Json::object();
  for (size_t i = 0; i < base::kCounterNames.Size(); ++i) {
    const auto counter = static_cast<base::Counter>(i);
    counts[std::string(base::kCounterNames.NameOf(counter))] =
        metrics.Value(counter);
  }
  return counts;
}

}  // namespace

std::string ToJson(const Snapshot& snapshot, const base::Metrics& metrics) {
  Json condemned = Json::array();
  for (const auto& it : snapshot.condemned) {
    condemned.push_back(
        {{"content", base::ToHex(it.content_digest.value)},
         {"remaining_ms",
          (it.refused_until - snapshot.taken_at_monotonic).count}});
  }
  return base::WriteJson(
      {{"instance", snapshot.instance},
       {"failure_domain", snapshot.failure_domain},
       {"taken_at_ms", snapshot.taken_at_unix.count},
       {"configuration_version", snapshot.configuration_version},
       {"newest_version", snapshot.newest_version},
       {"stale", snapshot.configuration_version < snapshot.newest_version ||
                     !snapshot.is_platform_reached},
       {"platform_reached", snapshot.is_platform_reached},
       {"platform_age_ms", snapshot.platform_age.count},
       {"stopping", snapshot.is_stopping},
       {"running", snapshot.running},
       {"queued", snapshot.queued},
       {"copies", snapshot.copies},
       {"copy_bytes", snapshot.copy_bytes},
       {"control_cpu_ms", snapshot.control_cpu_time.count},
       {"up_time_ms", snapshot.up_time.count},
       {"domains", DomainsJson(snapshot)},
       {"instances", PeersJson(snapshot)},
       {"targets", TargetsJson(snapshot)},
       {"condemned", condemned},
       {"refusals",
        CountsByReason([&](base::Reason it) { return metrics.Refusals(it); })},
       {"retries",
        CountsByReason([&](base::Reason it) { return metrics.Retries(it); })},
       {"counters", CountersJson(metrics)},
       {"invariants", InvariantsJson(metrics)}});
}

}  // namespace daisypond::wall
