#ifndef DAISYPOND_ADMISSION_RESUME_RESERVE_H_
#define DAISYPOND_ADMISSION_RESUME_RESERVE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace daisypond::admission {

/// Counts, for each pool, the generations that have lost their target and wait
/// for a free slot to resume. The same number of slots of the pool is withheld
/// from new requests. Thread-safe.
class ResumeReserve {
 public:
  void AddWaiting(const std::string& pool) {
    const std::lock_guard lock(mutex_);
    ++waiting_[pool];
  }

  void RemoveWaiting(const std::string& pool) {
    const std::lock_guard lock(mutex_);
    const auto it = waiting_.find(pool);
    if (it != waiting_.end() && --it->second == 0) {
      waiting_.erase(it);
    }
  }

  int64_t WaitingCount(const std::string& pool) const {
    const std::lock_guard lock(mutex_);
    const auto it = waiting_.find(pool);
    return it == waiting_.end() ? 0 : it->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int64_t> waiting_;
};

}  // namespace daisypond::admission

#endif  // DAISYPOND_ADMISSION_RESUME_RESERVE_H_
