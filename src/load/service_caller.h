#ifndef DAISYPOND_LOAD_SERVICE_CALLER_H_
#define DAISYPOND_LOAD_SERVICE_CALLER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include "http/client.h"
#include "load/options.h"
#include "load/report.h"

namespace daisypond::load {

/// Whether a posting ran, according to the responses that its caller received.
enum class PostingVerdict : uint8_t { kRan, kNotRun, kMayHaveRun };

/// Records the final verdict of each posting, to compare it with the executions
/// that the services counted. Keys are idempotency keys as services see them,
/// prefixed with the workspace. Thread-safe.
class PostingLedger {
 public:
  void SetVerdict(const std::string& key, PostingVerdict verdict);

  /// Compares the verdicts with the execution counts of the services, prints
  /// each violation and returns their number: postings that ran more than once,
  /// that ran despite the verdict kNotRun, or that did not run despite the
  /// verdict kRan. The last check needs the counts of all services and is
  /// skipped unless `has_all_counts` is set.
  int64_t CheckCounts(const std::map<std::string, int64_t>& counts,
                      bool has_all_counts) const;

  size_t Size() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, PostingVerdict> verdicts_;
};

/// Simulates one caller of a plain service for a workspace. Records the results
/// of its calls in the report and, for postings, in the ledger.
class ServiceCaller {
 public:
  ServiceCaller(const Options* options,
                CallingWorkspace workspace,
                http::Client* client,
                Report* report,
                PostingLedger* ledger,
                uint64_t seed);

  /// Sends a posting with an idempotency key, repeats it after failures that
  /// allow a retry, and records the final verdict in the ledger.
  void Post(const std::string& key);

  /// Sends the idempotent lookup call, with retries.
  void LookUp();

 private:
  /// Sends a call to a random entry instance.
  http::ClientResponse Send(const std::string& call,
                            const std::string& key,
                            int attempt,
                            const std::string& body);

  const Options* options_;
  CallingWorkspace workspace_;
  http::Client* client_;
  Report* report_;
  PostingLedger* ledger_;
  std::mt19937_64 random_;
};

}  // namespace daisypond::load

#endif  // DAISYPOND_LOAD_SERVICE_CALLER_H_
