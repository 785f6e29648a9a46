#ifndef DAISYPOND_LOAD_RUNNER_H_
#define DAISYPOND_LOAD_RUNNER_H_

#include <random>
#include <string>
#include <thread>
#include <vector>

#include "http/client.h"
#include "load/options.h"
#include "load/report.h"
#include "load/service_caller.h"

namespace daisypond::load {

/// Generates open-loop load: starts callers at fixed rates without waiting for
/// earlier callers to finish.
class Runner {
 public:
  explicit Runner(Options options);

  /// Starts the callers, waits until all have finished and checks the results.
  /// Returns the number of correctness violations.
  int64_t Run();

  const Report& Results() const { return report_; }
  double ElapsedSeconds() const { return elapsed_seconds_; }

 private:
  void RunGenerations();
  /// Starts a caller for each posting. A posting is a call of a service that
  /// must not run twice.
  void RunPostings();
  void RunLookups();
  /// Calls `start_caller(i)` for i = 0, 1, ... in a thread each, at the given
  /// rate. Stops after `limit` calls, or after the duration of the run if
  /// `limit` is 0, and waits for all threads.
  template <typename StartCaller>
  void RunAtRate(double per_second, int64_t limit, StartCaller start_caller);
  /// Picks a workspace at random, weighted by share.
  const CallingWorkspace& PickWorkspace(std::mt19937_64* random) const;
  /// Reads the execution counts of the services and compares them with the
  /// ledger. Returns the number of wrong postings and wrong tokens.
  int64_t CountViolations();

  Options options_;
  Report report_;
  PostingLedger ledger_;
  http::Client client_;
  double elapsed_seconds_ = 0;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_RUNNER_H_
