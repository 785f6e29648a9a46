#ifndef DAISYPOND_BASE_CONTROL_LOOP_H_
#define DAISYPOND_BASE_CONTROL_LOOP_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "base/clock.h"

namespace daisypond::base {

/// A thread that runs tasks one at a time. Data that is only accessed by these
/// tasks therefore needs no locks. Tasks must not block.
class ControlLoop {
 public:
  using Task = std::function<void()>;

  ControlLoop() = default;
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /// Queues `task` to run on the loop's thread. May be called from any thread.
  void Post(Task task);

  /// Runs `task` every `period`, first right after the start. Must be called
  /// before Start().
  void SchedulePeriodic(Millis period, Task task);

  void Start();
  void Stop();

  /// CPU time that the loop's thread has used; zero before Start().
  Millis ThreadCpuTime() const;

 private:
  struct PeriodicTask {
    Millis period;
    Millis due_at;
    Task task;
  };

  void Run();
  Millis RunDueTasks();

  std::mutex mutex_;
  std::condition_variable wake_condition_;
  std::deque<Task> tasks_;
  bool is_stopping_ = false;
  std::vector<PeriodicTask> periodic_tasks_;
  std::thread thread_;
};

}  // namespace daisypond::base

#endif  // DAISYPOND_BASE_CONTROL_LOOP_H_
