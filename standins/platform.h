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
  /// Transactions a second; one counts once for each started 25 rows.
  double writes_per_second = 300;
  double reads_per_second = 2000;
  uint64_t seed = 1;
};

/// The platform's table service, object store and instance list in memory.
class Platform {
 public:
  explicit Platform(PlatformOptions options);

  void Handle(const http::ServerRequest& request, http::ResponseStream& stream);

 private:
  struct StoredRow {
    std::string value;
    uint64_t version = 0;
  };

  /// Allows a number of operations a second, with a burst of one second's.
  struct TokenBucket {
    double tokens = 0;
    base::Millis filled_at;
  };

  bool TakeFromBucket(double per_second, double cost, TokenBucket* bucket);
  void HandleTransaction(const base::Json& body, http::ResponseStream* stream);
  void HandleRead(const base::Json& body, http::ResponseStream* stream);
  void HandleObject(const http::ServerRequest& request,
                    http::ResponseStream* stream);
  void HandleControl(const http::ServerRequest& request,
                     http::ResponseStream* stream);
  bool ShouldLoseAnswer();

  PlatformOptions options_;
  std::mutex mutex_;
  std::map<std::string, StoredRow> rows_;
  std::map<std::string, std::string> objects_;
  base::Json instances_ = base::Json::array();
  base::Json stale_instances_ = base::Json::array();
  TokenBucket write_bucket_;
  TokenBucket read_bucket_;
  std::mt19937_64 random_;
  int64_t transaction_count_ = 0;
  int64_t read_count_ = 0;
  std::atomic<bool> is_down_ = false;
  std::atomic<bool> is_list_stale_ = false;
  std::atomic<int64_t> slow_ms_ = 0;
  std::atomic<int64_t> lost_answers_permille_ = 0;
};

}  // namespace daisypond::standins

#endif  // DAISYPOND_STANDINS_PLATFORM_H_
