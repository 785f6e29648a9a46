#include "rollout/outcome_counts.h"

#include <utility>

namespace daisypond::rollout {

OutcomeCollector::OutcomeCollector(const Order& order) {
  report_.service = order.service;
  report_.order_id = order.id;
  report_.era = order.era;
}

void OutcomeCollector::CountRequest(const std::string& route) {
  if (report_.requests.size() < kMaxRoutes ||
      report_.requests.contains(route)) {
    ++report_.requests[route];
  }
}

void OutcomeCollector::CountSent(Side side) {
  if (side == Side::kNew) {
    ++report_.exposed;
    ++report_.open_new;
  } else {
    ++report_.open_old;
  }
}

void OutcomeCollector::CountAnswer(const AnswerSource& source,
                                   bool is_failure,
                                   base::Millis latency) {
  if (cells_.size() >= kMaxCells && !cells_.contains(source)) {
    return;
  }
  OutcomeCounts& counts = cells_[source];
  ++counts.answered;
  counts.failed += is_failure ? 1 : 0;
  ++counts.latencies.counts[LatencyBucket(latency)];
}

void OutcomeCollector::CountEnded(Side side, base::Millis duration) {
  --(side == Side::kNew ? report_.open_new : report_.open_old);
  ++report_.ended;
  report_.ended_short += duration < kShortRequest ? 1 : 0;
}

Report OutcomeCollector::TakeReport(uint64_t followed, bool is_rolled_back) {
  Report report = report_;
  report.followed = followed;
  report.is_rolled_back = is_rolled_back;
  report.outcomes.reserve(cells_.size());
  for (const auto& [source, counts] : cells_) {
    report.outcomes.push_back({{source.route, source.failure_domain, 0},
                               source.target,
                               source.side,
                               counts});
  }
  cells_.clear();
  return report;
}

}  // namespace daisypond::rollout
