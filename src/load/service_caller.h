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

/// What the last answer to a posting said.
enum class PostingVerdict : uint8_t { kRan, kNotRun, kMayHaveRun };

/// The verdicts that callers were given, by key as services see it.
class PostingLedger {
 public:
  void SetVerdict(const std::string& key, PostingVerdict verdict);

  /// Compares with the executions that the services counted. Returns the
  /// number of broken promises and prints each.
  int64_t CheckCounts(const std::map<std::string, int64_t>& counts,
                      bool has_all_counts) const;

  size_t Size() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, PostingVerdict> verdicts_;
};

/// Calls plain services.
class ServiceCaller {
 public:
  ServiceCaller(const Options* options,
                CallingWorkspace workspace,
                http::Client* client,
                Report* report,
                PostingLedger* ledger,
                uint64_t seed);

  /// Posts under one key until the verdict is certain or tries run out.
  void Post(const std::string& key);

  void LookUp();

 private:
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
