#include "rollout/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace daisypond::rollout {

namespace {

// An answer is slow from this many buckets above the median on: twice as long.
constexpr size_t kSlowBuckets = 2;
// Fewer answers say too little about the usual rate of failures.
constexpr int64_t kPastAnswers = 50;

// Logarithm of the sum of two numbers that are given as logarithms.
double LogAdd(double a, double b) {
  const double high = std::max(a, b);
  return high + std::log1p(std::exp(std::min(a, b) - high));
}

template <size_t N>
double LogMean(const std::array<double, N>& values) {
  double sum = values[0];
  for (size_t i = 1; i < N; ++i) {
    sum = LogAdd(sum, values[i]);
  }
  return sum - std::log(static_cast<double>(N));
}

// Weight of the assumption that the version is bad from the slice with this
// index on: half for the first, the rest decreasing; their sum is 1.
double LogStartWeight(int64_t index) {
  constexpr double kChange = 0.05;
  return index == 0 ? std::log(0.5)
                    : std::log(0.5 * kChange) +
                          static_cast<double>(index - 1) * std::log1p(-kChange);
}

size_t MedianBucket(const LatencyCounts& latencies, int64_t answered) {
  int64_t seen = 0;
  for (size_t i = 0; i < LatencyCounts::kBuckets; ++i) {
    seen += latencies.counts[i];
    if (2 * seen >= answered) {
      return i;
    }
  }
  return LatencyCounts::kBuckets - 1;
}

int64_t CountFrom(const LatencyCounts& latencies, size_t bucket) {
  int64_t n = 0;
  for (size_t i = bucket; i < LatencyCounts::kBuckets; ++i) {
    n += latencies.counts[i];
  }
  return n;
}

}  // namespace

double LogLikelihoodRatio(int64_t bad_new,
                          int64_t of_new,
                          int64_t bad,
                          int64_t of_all,
                          double odds) {
  if (bad <= 0 || bad >= of_all || of_new <= 0 || of_new >= of_all) {
    return 0;
  }
  const int64_t low = std::max<int64_t>(0, bad - (of_all - of_new));
  const int64_t high = std::min(of_new, bad);
  double weight = 0;  // log of C(of_new, k) C(of_old, bad - k), unscaled
  double equal = 0;   // log of the sum of the weights
  double tilted = 0;  // the same, weighted by odds^(k - low)
  const double log_odds = std::log(odds);
  for (int64_t k = low; k < high; ++k) {
    const auto up = static_cast<double>((of_new - k) * (bad - k));
    const auto down =
        static_cast<double>((k + 1) * (of_all - of_new - bad + k + 1));
    weight += std::log(up / down);
    equal = LogAdd(equal, weight);
    tilted =
        LogAdd(tilted, weight + log_odds * static_cast<double>(k + 1 - low));
  }
  return log_odds * static_cast<double>(bad_new - low) + equal - tilted;
}

void VersionComparison::Add(const TargetOutcome& outcome) {
  if (outcome.stratum.slice < first_open_) {
    return;
  }
  auto& cells = open_[outcome.stratum.slice][outcome.stratum];
  auto it = cells.find(outcome.target);
  if (it == cells.end()) {
    if (cell_count_ >= kMaxCells) {
      return;
    }
    ++cell_count_;
    it = cells.emplace(outcome.target, Cell{outcome.side, {}}).first;
  }
  it->second.counts += outcome.counts;
}

void VersionComparison::CloseBefore(int64_t slice) {
  first_open_ = std::max(first_open_, slice);
  while (!open_.empty() && open_.begin()->first < slice) {
    const auto& strata = open_.begin()->second;
    CloseSlice(strata);
    std::map<std::string, OutcomeCounts> old_counts;
    for (const auto& [stratum, cells] : strata) {
      cell_count_ -= cells.size();
      for (const auto& [target, cell] : cells) {
        if (cell.side == Side::kOld) {
          old_counts[stratum.route] += cell.counts;
          Part& total = old_totals_[stratum.route];
          total.bad += cell.counts.failed;
          total.all += cell.counts.answered;
        } else {
          new_answers_[stratum.route] += cell.counts.answered;
        }
      }
    }
    for (const auto& [route, counts] : old_counts) {
      medians_[route] = MedianBucket(counts.latencies, counts.answered);
    }
    open_.erase(open_.begin());
  }
}

void VersionComparison::CloseSlice(const std::map<Stratum, Cells>& strata) {
  std::map<std::string, Ratios> failures;
  std::map<std::string, Ratios> slowness;
  for (const auto& [stratum, cells] : strata) {
    const auto add = [&cells = cells, &route = stratum.route](auto count_bad,
                                                              auto* ratios) {
      std::map<std::string, Part> new_parts;
      Part old_part;
      for (const auto& [target, cell] : cells) {
        Part& part = cell.side == Side::kNew ? new_parts[target] : old_part;
        part.bad += count_bad(cell.counts);
        part.all += cell.counts.answered;
      }
      AddStratum(new_parts, old_part, &(*ratios)[route]);
    };
    add([](const OutcomeCounts& it) { return it.failed; }, &failures);
    // The limit comes from earlier slices: one from the same answers would
    // favor the side that it is taken from.
    const auto it = medians_.find(stratum.route);
    if (it != medians_.end()) {
      const size_t slow = it->second + kSlowBuckets;
      add([slow](
              const OutcomeCounts& n) { return CountFrom(n.latencies, slow); },
          &slowness);
    }
  }
  CompareWithPast(strata, &failures);
  Extend(failures, &failures_);
  Extend(slowness, &slowness_);
}

void VersionComparison::CompareWithPast(
    const std::map<Stratum, Cells>& strata,
    std::map<std::string, Ratios>* failures) const {
  std::map<std::string, std::map<std::string, Part>> by_route;
  std::set<std::string> compared;
  for (const auto& [stratum, cells] : strata) {
    for (const auto& [target, cell] : cells) {
      if (cell.side == Side::kOld) {
        compared.insert(stratum.route);
        continue;
      }
      Part& part = by_route[stratum.route][target];
      part.bad += cell.counts.failed;
      part.all += cell.counts.answered;
    }
  }
  for (const auto& [route, parts] : by_route) {
    const auto it = old_totals_.find(route);
    if (!compared.contains(route) && it != old_totals_.end() &&
        it->second.all >= kPastAnswers) {
      AddStratum(parts, it->second, &(*failures)[route]);
    }
  }
}

void VersionComparison::AddStratum(const std::map<std::string, Part>& new_parts,
                                   Part old_part,
                                   Ratios* ratios) {
  Part sum;
  for (const auto& [target, part] : new_parts) {
    sum.bad += part.bad;
    sum.all += part.all;
  }
  for (size_t i = 0; i < kOdds.size(); ++i) {
    const auto ratio = [&](Part left_out) {
      return LogLikelihoodRatio(sum.bad - left_out.bad, sum.all - left_out.all,
                                sum.bad - left_out.bad + old_part.bad,
                                sum.all - left_out.all + old_part.all,
                                kOdds[i]);
    };
    const double with_all = ratio(Part{});
    ratios->total[i] += with_all;
    for (const auto& [target, part] : new_parts) {
      ratios->without[target][i] += ratio(part) - with_all;
    }
  }
}

void VersionComparison::Extend(const Ratios& ratios, Process* process) {
  const double start = LogStartWeight(process->slices);
  const bool is_first = process->slices++ == 0;
  for (const auto& [target, change] : ratios.without) {
    process->without.emplace(target, process->total);
  }
  const auto extend = [&](size_t i, double change, Evidence* evidence) {
    double& it = (*evidence)[i];
    it = (is_first ? start : LogAdd(it, start)) + ratios.total[i] + change;
  };
  for (size_t i = 0; i < kOdds.size(); ++i) {
    extend(i, 0, &process->total);
    for (auto& [target, evidence] : process->without) {
      const auto it = ratios.without.find(target);
      extend(i, it == ratios.without.end() ? 0 : it->second[i], &evidence);
    }
  }
}

void VersionComparison::Extend(const std::map<std::string, Ratios>& by_route,
                               Test* test) {
  Ratios all;
  for (const auto& [route, ratios] : by_route) {
    for (size_t i = 0; i < kOdds.size(); ++i) {
      all.total[i] += ratios.total[i];
      for (const auto& [target, change] : ratios.without) {
        all.without[target][i] += change[i];
      }
    }
    const auto n = static_cast<double>(test->log_weights.size() + 1);
    test->log_weights.emplace(route, -std::log(n * (n + 1)));
    Extend(ratios, &test->routes[route]);
  }
  Extend(all, &test->all_routes);
}

// Half the weight is that of all routes together, half that of single ones.
double VersionComparison::LogEvidence(const Test& test,
                                      const std::string* left_out) {
  const auto of = [&](const Process& process) {
    const auto it =
        left_out ? process.without.find(*left_out) : process.without.end();
    return LogMean(it == process.without.end() ? process.total : it->second);
  };
  double sum = of(test.all_routes);
  for (const auto& [route, process] : test.routes) {
    sum = LogAdd(sum, test.log_weights.at(route) + of(process));
  }
  return sum + std::log(0.5);
}

bool VersionComparison::IsBad(const Test& test) const {
  const auto& targets = test.all_routes.without;
  if (targets.empty()) {
    return false;
  }
  double least = LogEvidence(test, nullptr);
  if (new_targets_ > 1 || targets.size() > 1) {
    for (const auto& [target, evidence] : targets) {
      least = std::min(least, LogEvidence(test, &target));
    }
  }
  return least >= -std::log(alpha_);
}

Cause VersionComparison::Finding() const {
  if (IsBad(failures_)) {
    return Cause::kFailures;
  }
  return IsBad(slowness_) ? Cause::kSlowness : Cause::kNone;
}

int64_t VersionComparison::NewAnswers(const std::string& route) const {
  const auto it = new_answers_.find(route);
  return it == new_answers_.end() ? 0 : it->second;
}

}  // namespace daisypond::rollout
