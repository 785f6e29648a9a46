#ifndef DAISYPOND_ROLLOUT_VERSION_COMPARISON_H_
#define DAISYPOND_ROLLOUT_VERSION_COMPARISON_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "rollout/types.h"

namespace daisypond::rollout {

/// Log likelihood ratio of `bad_new` bad answers among the `of_new` answers of
/// the new version, given `bad` among all `of_all`: odds ratio `odds` against
/// equal odds (Fisher's noncentral hypergeometric distribution). 0 if the
/// numbers cannot tell.
double LogLikelihoodRatio(int64_t bad_new,
                          int64_t of_new,
                          int64_t bad,
                          int64_t of_all,
                          double odds);

/// Sequential test of whether a new version answers worse than the earlier
/// one. A good version is found bad with a probability of at most 2 * alpha
/// (failures and slowness), however often the test is looked at: each closed
/// slice multiplies the evidence by a factor with mean 1, so that it exceeds
/// 1 / alpha with probability alpha at most (Ville). The evidence is a weighted
/// mean, which keeps that property: of odds ratios, of slices from which on the
/// version may be bad, and of all routes and each single one. Open slices do
/// not count.
///
/// Once the earlier version gets no requests on a route, all its answers since
/// the order stand in for failures. The bound then holds only as long as the
/// usual rate of failures stays what it was. Slowness is not tested then.
class VersionComparison {
 public:
  explicit VersionComparison(double alpha) : alpha_(alpha) {}

  /// Counts answers. Drops those of closed slices, and those of further
  /// targets while kMaxCells are open.
  void Add(const TargetOutcome& outcome);

  /// Closes all slices before `slice`.
  void CloseBefore(int64_t slice);

  /// Number of new targets that may get requests. The evidence must hold
  /// without any one of them if there are several.
  void SetNewTargets(int64_t count) { new_targets_ = count; }

  /// kFailures or kSlowness if the new version is found bad, else kNone.
  Cause Finding() const;

  /// Answers of the new version on `route` in closed slices.
  int64_t NewAnswers(const std::string& route) const;

  static constexpr size_t kMaxCells = 65536;

 private:
  static constexpr std::array<double, 4> kOdds{2.5, 6, 20, 100};
  using Evidence = std::array<double, kOdds.size()>;

  struct Cell {
    Side side = Side::kOld;
    OutcomeCounts counts;
  };
  using Cells = std::map<std::string, Cell>;

  /// Likelihood ratios of one slice in logarithms: of all answers, and what
  /// leaving out a target changes.
  struct Ratios {
    Evidence total{};
    std::map<std::string, Evidence> without;
  };

  /// Evidence from all slices, in logarithms: of all answers, and without each
  /// new target.
  struct Process {
    int64_t slices = 0;
    Evidence total{};
    std::map<std::string, Evidence> without;
  };

  struct Test {
    Process all_routes;
    std::map<std::string, Process> routes;
    /// Weights of `routes`, by the order in which they were seen first.
    std::map<std::string, double> log_weights;
  };

  /// Counts of one target: answers and the bad ones of them.
  struct Part {
    int64_t bad = 0;
    int64_t all = 0;
  };

  static void AddStratum(const std::map<std::string, Part>& new_parts,
                         Part old_part,
                         Ratios* ratios);
  static void Extend(const Ratios& ratios, Process* process);
  static void Extend(const std::map<std::string, Ratios>& by_route, Test* test);
  static double LogEvidence(const Test& test, const std::string* left_out);
  void CompareWithPast(const std::map<Stratum, Cells>& strata,
                       std::map<std::string, Ratios>* failures) const;
  void CloseSlice(const std::map<Stratum, Cells>& strata);
  bool IsBad(const Test& test) const;

  double alpha_;
  int64_t new_targets_ = 0;
  int64_t first_open_ = INT64_MIN;
  size_t cell_count_ = 0;
  std::map<int64_t, std::map<Stratum, Cells>> open_;
  /// By route: median bucket of the earlier version in the newest closed slice
  /// that has answers of it.
  std::map<std::string, size_t> medians_;
  std::map<std::string, int64_t> new_answers_;
  /// By route: all answers of the earlier version and their failures.
  std::map<std::string, Part> old_totals_;
  Test failures_;
  Test slowness_;
};

}  // namespace daisypond::rollout

#endif  // DAISYPOND_ROLLOUT_VERSION_COMPARISON_H_
