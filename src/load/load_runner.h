#ifndef DAISYPOND_LOAD_LOAD_RUNNER_H_
#define DAISYPOND_LOAD_LOAD_RUNNER_H_

#include <random>
#include <string>
#include <thread>
#include <vector>

#include "http/client.h"
#include "load/options.h"
#include "load/report.h"
#include "load/service_caller.h"

namespace daisypond::load {

/// Starts callers at set rates, whatever becomes of earlier ones.
class LoadRunner {
 public:
  explicit LoadRunner(Options options);

  /// Runs everything to its end. Returns the number of correctness violations.
  int64_t Run();

  const Report& Results() const { return report_; }
  double ElapsedSeconds() const { return elapsed_seconds_; }

 private:
  void RunGenerations();
  void RunPostings();
  void RunLookups();
  template <typename StartCaller>
  void RunAtRate(double per_second, int64_t limit, StartCaller start_caller);
  const CallingWorkspace& PickWorkspace(std::mt19937_64* random) const;
  int64_t CountViolations();

  Options options_;
  Report report_;
  PostingLedger ledger_;
  http::Client client_;
  double elapsed_seconds_ = 0;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_LOAD_RUNNER_H_
