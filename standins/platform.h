#ifndef DAISYPOND_STANDINS_PLATFORM_H_
#define DAISYPOND_STANDINS_PLATFORM_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include "base/clock.h"
#include "base/json.h"
#include "http/server.h"

namespace daisypond::standins {

struct PlatformOptions {
  /// Write limit per second. A transaction counts as one write per 25 rows or
  /// part of them.
  double writes_per_second = 300;
  double reads_per_second = 2000;
  /// Seed of the random choice of lost answers.
  uint64_t seed = 1;
};

/// A fake of the platform for tests: table service, object store and instance
/// list, all in memory. Tests switch on faults through POST /control.
class Platform {
 public:
  explicit Platform(PlatformOptions options);

  void Handle(const http::ServerRequest& request, http::ResponseStream& stream);

 private:
  struct StoredRow {
    std::string value;
    uint64_t version = 0;
  };

  /// Rate limiter state. The bucket holds at most one second of operations.
  struct TokenBucket {
    double tokens = 0;
    base::Millis filled_at;
  };

  /// Refills the bucket for the time since the last call and takes `cost`
  /// tokens. Returns false and takes none if the bucket holds fewer tokens.
  bool TakeFromBucket(double per_second, double cost, TokenBucket* bucket);
  void HandleTransaction(const base::Json& body, http::ResponseStream* stream);
  void HandleRead(const base::Json& body, http::ResponseStream* stream);
  void HandleObject(const http::ServerRequest& request,
                    http::ResponseStream* stream);
  void HandleControl(const http::ServerRequest& request,
                     http::ResponseStream* stream);
  /// Decides at random whether an applied request gets no response, at the rate
  /// `lost_answers_permille_`.
  bool ShouldLoseAnswer();

  PlatformOptions options_;
  std::mutex mutex_;
  std::map<std::string, StoredRow> rows_;
  std::map<std::string, std::string> objects_;
  base::Json instances_ = base::Json::array();
  /// The instance list that is returned while `is_list_stale_` is true.
  base::Json stale_instances_ = base::Json::array();
  TokenBucket write_bucket_;
  TokenBucket read_bucket_;
  std::mt19937_64 random_;
  int64_t transaction_count_ = 0;
  int64_t read_count_ = 0;
  /// While true, connections are closed without a response.
  std::atomic<bool> is_down_ = false;
  std::atomic<bool> is_list_stale_ = false;
  /// Delay before each request is handled, in milliseconds.
  std::atomic<int64_t> slow_ms_ = 0;
  std::atomic<int64_t> lost_answers_permille_ = 0;
};

}  // namespace daisypond::standins

#endif  // DAISYPOND_STANDINS_PLATFORM_H_
