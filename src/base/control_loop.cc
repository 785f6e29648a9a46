#include "base/control_loop.h"

#include <algorithm>
#include <ctime>
#include <utility>

#include <pthread.h>

namespace daisypond::base {

namespace {

constexpr Millis kMaximumWaitForTask{1000};
constexpr int64_t kNanosecondsPerMillisecond = 1'000'000;

}  // namespace

ControlLoop::~ControlLoop() {
  Stop();
}

void ControlLoop::Post(Task task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  wake_condition_.notify_one();
}

void ControlLoop::SchedulePeriodic(Millis period, Task task) {
  periodic_tasks_.push_back({period, Clock::Now(), std::move(task)});
}

void ControlLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ControlLoop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  wake_condition_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

Millis ControlLoop::ThreadCpuTime() const {
  clockid_t id{};
  timespec spent{};
  // pthread_getcpuclockid is only defined for a thread that has not ended.
  auto handle = const_cast<std::thread&>(thread_).native_handle();
  if (handle == 0 || pthread_getcpuclockid(handle, &id) != 0) {
    return {};
  }
  clock_gettime(id, &spent);
  return {spent.tv_sec * 1000 + spent.tv_nsec / kNanosecondsPerMillisecond};
}

Millis ControlLoop::RunDueTasks() {
  Millis wait = kMaximumWaitForTask;
  for (PeriodicTask& it : periodic_tasks_) {
    const Millis now = Clock::Now();
    if (it.due_at <= now) {
      it.due_at = now + it.period;
      it.task();
    }
    wait = std::min(wait, it.due_at - Clock::Now());
  }
  return std::max(wait, Millis{0});
}

void ControlLoop::Run() {
  while (true) {
    const Millis wait = RunDueTasks();
    std::deque<Task> tasks;
    {
      std::unique_lock lock(mutex_);
      wake_condition_.wait_for(lock, wait.ToChrono(), [this] {
        return is_stopping_ || !tasks_.empty();
      });
      if (is_stopping_) {
        return;
      }
      tasks.swap(tasks_);
    }
    for (const Task& it : tasks) {
      it();
    }
  }
}

}  // namespace daisypond::base
