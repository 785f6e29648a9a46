#include "forward/rejection_guard.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "forward/target_selector.h"
#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

using base::Millis;

const TargetProcess kTarget{"t", 1};

SlotRequest RequestFor(uint64_t lease_id, double limit, int64_t slots) {
  return {kTarget, lease_id, limit, slots, {2000}};
}

/// Runs tasks in the order of their virtual times.
class VirtualTime {
 public:
  Millis Now() const { return now_; }

  void After(int64_t delay, std::function<void()> task) {
    tasks_.push({now_.count + delay, n_tasks_++, std::move(task)});
  }

  void RunUntil(Millis end) {
    while (!tasks_.empty() && tasks_.top().at <= end.count) {
      const Task task = tasks_.top();
      tasks_.pop();
      now_ = {task.at};
      task.run();
    }
    now_ = end;
  }

 private:
  struct Task {
    int64_t at = 0;
    uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Task& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  Millis now_{100'000};
  uint64_t n_tasks_ = 0;
  std::priority_queue<Task> tasks_;
};

enum class Guarding : uint8_t { kOff, kOn };
enum class Targets : uint8_t { kBrittle, kSound };
/// Whether all slots get another holder, which knows of no leases, now and
/// then.
enum class Holders : uint8_t { kStay, kChange };

struct Load {
  size_t instances = 8;
  /// Requests per request that the targets can process.
  double offered = 0.8;
  /// Factor on `offered` in one second of each five.
  double burst = 1;
  Guarding guarding = Guarding::kOn;
  Targets targets = Targets::kBrittle;
  Holders holders = Holders::kStay;
  /// Rejections a second that a brittle target tolerates.
  size_t rejection_limit = 4;
  /// Requests that a brittle target lets wait after kGracePeriod.
  size_t queue = 2;
  /// Share of requests that their callers abandon while the target goes on.
  double abandoned = 0;
  uint32_t seed = 1;
};

struct Outcome {
  int falls = 0;
  int rejections = 0;
  size_t most_rejections_a_second = 0;
  int offered = 0;
  int served = 0;

  double ServedShare() const {
    return static_cast<double>(served) / std::max(offered, 1);
  }
};

/// Plays instances that forward requests to one service, as an exchange does.
class Service {
 public:
  static constexpr int kTargets = 4;
  static constexpr int64_t kSlots = 6;

  explicit Service(const Load& load) : load_(load), random_(load.seed) {
    targets_.resize(kTargets);
    for (size_t i = 0; i < load.instances; ++i) {
      selectors_.push_back(std::make_unique<TargetSelector>(i + 1));
    }
    Configure();
    guards_.resize(kTargets);
  }

  Outcome Run(Millis duration) {
    const Millis end = time_.Now() + duration;
    ScheduleArrival(end);
    if (load_.holders == Holders::kChange) {
      ScheduleHolderChange();
    }
    time_.RunUntil(end);
    return outcome_;
  }

 private:
  /// Time from the first answers that say that a target is brittle until it
  /// lets fewer requests wait and may fall.
  static constexpr int64_t kGracePeriod = 3000;
  static constexpr size_t kInitialQueue = 24;
  static constexpr double kMeanWorkMs = 30;
  static constexpr double kWorkSpread = 0.5;
  static constexpr int64_t kDownMs = 4000;
  static constexpr int64_t kMaximumWork = 220;
  static constexpr int64_t kAbandonedAfterMs = 15;
  static constexpr int64_t kWaitForSlotMs = 18;
  static constexpr int64_t kPollMs = 10;
  static constexpr int kMaximumRefusals = 4;

  struct Work {
    int64_t duration = 0;
    std::function<void(SlotOutcome)> done;
  };

  struct Target {
    bool is_up = true;
    int64_t started_at = 1;
    int64_t running = 0;
    std::deque<Work> waiting;
    std::deque<Millis> rejections;
  };

  struct Request {
    size_t instance = 0;
    Millis arrived_at;
    std::set<std::string> excluded;
    int refusals = 0;
    bool is_slot_refused = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  std::optional<double> RejectionLimit() const {
    return load_.targets == Targets::kBrittle
               ? std::optional(static_cast<double>(load_.rejection_limit))
               : std::nullopt;
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  int64_t NetworkDelay() { return 1 + static_cast<int64_t>(Uniform() * 4); }

  static size_t IndexOf(const std::string& id) {
    return static_cast<size_t>(std::stoi(id.substr(1)));
  }

  void Configure() {
    catalog::Targets targets;
    for (int i = 0; i < kTargets; ++i) {
      const Target& state = targets_[static_cast<size_t>(i)];
      catalog::Target target;
      target.id = fmt::format("t{}", i);
      target.service = "s";
      target.address = fmt::format("10.0.0.{}:80", i);
      target.failure_domain = fmt::format("d{}", i);
      target.slots = kSlots;
      target.started_at = state.started_at;
      if (state.is_up) {
        targets.emplace(target.id, target);
      }
    }
    for (const auto& it : selectors_) {
      it->Configure(targets);
    }
  }

  void ScheduleArrival(Millis end) {
    const bool is_burst = time_.Now().count / 1000 % 5 == 0;
    const double per_ms = load_.offered * (is_burst ? load_.burst : 1) *
                          kTargets * kSlots / kMeanWorkMs;
    next_arrival_ += std::exponential_distribution<double>(per_ms)(random_);
    const int64_t at = time_.Now().count - start_ms_;
    const auto delay = static_cast<int64_t>(next_arrival_) - at;
    time_.After(std::max<int64_t>(delay, 0), [this, end] {
      ++outcome_.offered;
      auto request = std::make_shared<Request>();
      request->instance = random_() % selectors_.size();
      request->arrived_at = time_.Now();
      Place(request);
      ScheduleArrival(end);
    });
  }

  void ScheduleHolderChange() {
    time_.After(3000, [this] {
      guards_.assign(kTargets, RejectionGuard());
      ScheduleHolderChange();
    });
  }

  void Place(const RequestPtr& request) {
    TargetSelector& selector = *selectors_[request->instance];
    PlacementRequest wanted;
    wanted.service = "s";
    wanted.failure_domain = fmt::format("d{}", request->instance % kTargets);
    wanted.excluded = request->excluded;
    const auto placement = selector.Choose(wanted, time_.Now());
    if (!placement) {
      const bool may_wait =
          request->is_slot_refused &&
          time_.Now() < request->arrived_at + Millis{kWaitForSlotMs};
      if (may_wait) {
        time_.After(kPollMs, [this, request] { Place(request); });
      }
      return;
    }
    if (load_.guarding == Guarding::kOff ||
        !selector.RejectionLimit(placement->id)) {
      Send(request, *placement, 0);
      return;
    }
    TakeSlot(request, *placement);
  }

  void TakeSlot(const RequestPtr& request, const Placement& placement) {
    const SlotRequest slot{{placement.id, placement.started_at},
                           ++n_leases_,
                           static_cast<double>(load_.rejection_limit),
                           kSlots,
                           {2000}};
    time_.After(NetworkDelay(), [this, request, placement, slot] {
      const RequestPermit permit =
          guards_[IndexOf(placement.id)].Take(slot, time_.Now());
      time_.After(NetworkDelay(), [this, request, placement, slot, permit] {
        request->is_slot_refused = !permit.is_granted;
        if (permit.is_granted) {
          Send(request, placement, slot.lease_id);
          return;
        }
        selectors_[request->instance]->OnPermitRefused(
            placement.id, time_.Now() + std::max(permit.wait, Millis{10}));
        Place(request);
      });
    });
  }

  void Send(const RequestPtr& request,
            const Placement& placement,
            uint64_t lease_id) {
    selectors_[request->instance]->OnSend(placement.id);
    std::lognormal_distribution<double> duration(
        std::log(kMeanWorkMs) - kWorkSpread * kWorkSpread / 2, kWorkSpread);
    const int64_t work =
        std::min<int64_t>(kMaximumWork, std::lround(duration(random_)));
    const auto is_answered = std::make_shared<bool>(false);
    const auto answer = [this, request, placement, lease_id,
                         is_answered](SlotOutcome outcome) {
      if (!std::exchange(*is_answered, true)) {
        time_.After(NetworkDelay(),
                    [this, request, placement, lease_id, outcome] {
                      OnAnswer(request, placement, lease_id, outcome);
                    });
      }
    };
    if (load_.abandoned > 0 && Uniform() < load_.abandoned) {
      time_.After(kAbandonedAfterMs,
                  [answer] { answer(SlotOutcome::kAbandoned); });
    }
    time_.After(NetworkDelay(), [this, placement, work, answer] {
      Arrive(IndexOf(placement.id), placement.started_at, {work, answer});
    });
  }

  void Arrive(size_t index, int64_t started_at, Work work) {
    Target& target = targets_[index];
    if (!target.is_up || target.started_at != started_at) {
      work.done(SlotOutcome::kUnused);
      return;
    }
    const bool is_shrunk = load_.targets == Targets::kBrittle &&
                           time_.Now().count >= start_ms_ + kGracePeriod;
    const size_t queue = is_shrunk ? load_.queue : kInitialQueue;
    if (target.running >= kSlots && target.waiting.size() >= queue) {
      work.done(SlotOutcome::kRejected);
      OnRejection(index);
      return;
    }
    target.waiting.push_back(std::move(work));
    StartWaiting(index);
  }

  void StartWaiting(size_t index) {
    Target& target = targets_[index];
    while (target.running < kSlots && !target.waiting.empty()) {
      ++target.running;
      const Work work = std::move(target.waiting.front());
      target.waiting.pop_front();
      time_.After(work.duration,
                  [this, index, work, started_at = target.started_at] {
                    Target& now = targets_[index];
                    if (!now.is_up || now.started_at != started_at) {
                      work.done(SlotOutcome::kUnused);
                      return;
                    }
                    --now.running;
                    work.done(SlotOutcome::kUsed);
                    StartWaiting(index);
                  });
    }
  }

  void OnRejection(size_t index) {
    ++outcome_.rejections;
    Target& target = targets_[index];
    target.rejections.push_back(time_.Now());
    while (target.rejections.front() + Millis{1000} <= time_.Now()) {
      target.rejections.pop_front();
    }
    const bool is_brittle = load_.targets == Targets::kBrittle;
    outcome_.most_rejections_a_second =
        std::max(outcome_.most_rejections_a_second, target.rejections.size());
    if (is_brittle && time_.Now().count >= start_ms_ + kGracePeriod &&
        target.rejections.size() > load_.rejection_limit) {
      Fall(index);
    }
  }

  void Fall(size_t index) {
    ++outcome_.falls;
    Target& target = targets_[index];
    for (const Work& it : target.waiting) {
      it.done(SlotOutcome::kUnused);
    }
    target = Target();
    target.is_up = false;
    target.started_at = time_.Now().count;
    Configure();
    time_.After(kDownMs, [this, index] {
      targets_[index].is_up = true;
      Configure();
    });
  }

  void OnAnswer(const RequestPtr& request,
                const Placement& placement,
                uint64_t lease_id,
                SlotOutcome outcome) {
    TargetSelector& selector = *selectors_[request->instance];
    selector.OnSendEnded(placement.id);
    const bool is_rejected = outcome == SlotOutcome::kRejected;
    if (lease_id != 0 || is_rejected) {
      time_.After(NetworkDelay(), [this, placement, lease_id, outcome] {
        guards_[IndexOf(placement.id)].Return(
            {{placement.id, placement.started_at},
             lease_id,
             static_cast<double>(load_.rejection_limit),
             outcome},
            time_.Now());
      });
    }
    const Target& target = targets_[IndexOf(placement.id)];
    if (outcome == SlotOutcome::kUnused) {
      selector.OnFailure(placement.id, time_.Now());
      return;
    }
    selector.OnRejectionLimit(placement.id, RejectionLimit(), time_.Now());
    selector.OnLoadReport(
        placement.id,
        {target.running, static_cast<int64_t>(target.waiting.size()), kSlots},
        time_.Now());
    if (outcome == SlotOutcome::kAbandoned) {
      return;
    }
    if (outcome == SlotOutcome::kUsed) {
      selector.OnSuccess(placement.id, time_.Now());
      ++outcome_.served;
      return;
    }
    selector.OnFull(placement.id, time_.Now());
    request->excluded.insert(placement.id);
    if (++request->refusals < kMaximumRefusals) {
      Place(request);
    }
  }

  Load load_;
  std::mt19937 random_;
  VirtualTime time_;
  int64_t start_ms_ = time_.Now().count;
  double next_arrival_ = 0;
  uint64_t n_leases_ = 0;
  std::vector<Target> targets_;
  std::vector<std::unique_ptr<TargetSelector>> selectors_;
  std::vector<RejectionGuard> guards_;
  Outcome outcome_;
};

Outcome Play(const Load& load) {
  constexpr Millis kDuration{12'000};
  Service service(load);
  return service.Run(kDuration);
}

/// The number of times that the targets may fall while they are brittle.
constexpr int kToleratedFalls = 2 + Service::kTargets / 10;

std::vector<Load> Loads() {
  std::vector<Load> loads;
  for (const size_t instances : {8U, 83U}) {
    for (const double offered : {0.8, 2.0}) {
      for (const double burst : {1.0, 1.7}) {
        for (const size_t queue : {0U, 2U}) {
          Load load;
          load.instances = instances;
          load.offered = offered;
          load.burst = burst;
          load.queue = queue;
          loads.push_back(load);
        }
      }
    }
  }
  return loads;
}

SUITE(RejectionGuardTest) {
  CPPUNIT_TEST_SUITE(RejectionGuardTest);
  CPPUNIT_TEST(TestLeasesTheSlotsOnceTheyAreProven);
  CPPUNIT_TEST(TestReturnedSlotIsLeasedAgain);
  CPPUNIT_TEST(TestLeaseEndsByItself);
  CPPUNIT_TEST(TestSlotOfAnAbandonedRequestStaysLeasedForATime);
  CPPUNIT_TEST(TestRepeatedRequestTakesNoSecondSlot);
  CPPUNIT_TEST(TestRejectionsWithoutLeaseUseUpTheLimit);
  CPPUNIT_TEST(TestRestartedTargetHasItsOwnSlots);
  CPPUNIT_TEST(TestNewHolderKeepsTheLimitForAnyRoom);
  CPPUNIT_TEST(TestBrittleTargetsFallWithoutGuard);
  CPPUNIT_TEST(TestBrittleTargetsStandAnyLoad);
  CPPUNIT_TEST(TestBrittleTargetsStandAnyLimit);
  CPPUNIT_TEST(TestBrittleTargetsStandChangesOfHolders);
  CPPUNIT_TEST(TestBrittleTargetsStandAbandonedRequests);
  CPPUNIT_TEST(TestBrittleTargetsAreWellUsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestLeasesTheSlotsOnceTheyAreProven() {
    RejectionGuard guard;
    EXPECT_EQ(2, Leases(&guard, 10, 4, {0}));
    const Millis second = RejectionGuard::kConfirmationTime;
    EXPECT_EQ(2, Leases(&guard, 10, 4, second));
    EXPECT_EQ(2, Leases(&guard, 10, 4, second * 2));
    // One more than the slots, to learn whether the target lets requests wait.
    EXPECT_EQ(1, Leases(&guard, 10, 4, second * 3));
    EXPECT_EQ(0, Leases(&guard, 10, 4, second * 4));
  }

  void TestReturnedSlotIsLeasedAgain() {
    RejectionGuard guard;
    EXPECT(guard.Take(RequestFor(1, 2, 1), {0}).is_granted);
    const RequestPermit refused = guard.Take(RequestFor(2, 2, 1), {1});
    EXPECT(!refused.is_granted);
    EXPECT_EQ(RejectionGuard::kSlotWait.count, refused.wait.count);
    guard.Return({kTarget, 1, 2, SlotOutcome::kUsed}, {2});
    EXPECT(guard.Take(RequestFor(2, 2, 1), {2}).is_granted);
  }

  void TestLeaseEndsByItself() {
    RejectionGuard guard;
    EXPECT(guard.Take(RequestFor(1, 1, 1), {0}).is_granted);
    EXPECT(!guard.Take(RequestFor(2, 1, 1), {1999}).is_granted);
    EXPECT(guard.Take(RequestFor(2, 1, 1), {2000}).is_granted);
    guard.Return({kTarget, 1, 1, SlotOutcome::kUsed}, {2001});
    EXPECT(!guard.Take(RequestFor(3, 1, 1), {2001}).is_granted);
  }

  void TestSlotOfAnAbandonedRequestStaysLeasedForATime() {
    RejectionGuard guard;
    EXPECT(guard.Take(RequestFor(1, 1, 1), {0}).is_granted);
    guard.Return({kTarget, 1, 1, SlotOutcome::kAbandoned}, {10});
    const Millis end = Millis{10} + RejectionGuard::kAbandonedLease;
    EXPECT(!guard.Take(RequestFor(2, 1, 1), end - Millis{1}).is_granted);
    EXPECT(guard.Take(RequestFor(2, 1, 1), end).is_granted);
  }

  void TestRepeatedRequestTakesNoSecondSlot() {
    RejectionGuard guard;
    EXPECT(guard.Take(RequestFor(1, 1, 1), {0}).is_granted);
    EXPECT(guard.Take(RequestFor(1, 1, 1), {1}).is_granted);
    guard.Return({kTarget, 1, 1, SlotOutcome::kUsed}, {2});
    EXPECT(guard.Take(RequestFor(2, 1, 1), {2}).is_granted);
  }

  void TestRejectionsWithoutLeaseUseUpTheLimit() {
    RejectionGuard guard;
    guard.Return({kTarget, 0, 4, SlotOutcome::kRejected}, {0});
    EXPECT_EQ(1, Leases(&guard, 10, 4, {100}));
    guard.Return({kTarget, 0, 4, SlotOutcome::kRejected}, {200});
    const RequestPermit refused = guard.Take(RequestFor(100, 4, 6), {300});
    EXPECT(!refused.is_granted);
    EXPECT_EQ(int64_t{700}, refused.wait.count);
    EXPECT_EQ(1, Leases(&guard, 10, 4, {1000}));
  }

  void TestRestartedTargetHasItsOwnSlots() {
    RejectionGuard guard;
    EXPECT(guard.Take(RequestFor(1, 1, 1), {0}).is_granted);
    SlotRequest request = RequestFor(2, 1, 1);
    request.target.started_at += 1;
    EXPECT(guard.Take(request, {0}).is_granted);
  }

  // The room of the target is unknown, as requests without a lease are there.
  void TestNewHolderKeepsTheLimitForAnyRoom() {
    EXPECT(rc::check("rejections stay within the limit", [] {
      const auto limit = *rc::gen::inRange<size_t>(1, 12);
      const auto room = *rc::gen::inRange<size_t>(0, 10);
      std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
      RejectionGuard guard;
      std::map<uint64_t, int64_t> ends;
      std::deque<int64_t> rejections;
      for (int64_t at = 0; at < 5000; at += 1 + random() % 4) {
        for (auto it = ends.begin(); it != ends.end();) {
          if (it->second > at) {
            ++it;
            continue;
          }
          guard.Return({kTarget, it->first, static_cast<double>(limit),
                        SlotOutcome::kUsed},
                       {at});
          it = ends.erase(it);
        }
        const auto lease_id = static_cast<uint64_t>(at + 1);
        if (!guard
                 .Take(RequestFor(lease_id, static_cast<double>(limit), 6),
                       {at})
                 .is_granted) {
          continue;
        }
        if (ends.size() < room) {
          ends[lease_id] = at + 10 + random() % 40;
          continue;
        }
        guard.Return({kTarget, lease_id, static_cast<double>(limit),
                      SlotOutcome::kRejected},
                     {at});
        rejections.push_back(at);
        while (rejections.front() + 1000 <= at) {
          rejections.pop_front();
        }
        RC_ASSERT(rejections.size() <= limit);
      }
    }));
  }

  void TestBrittleTargetsFallWithoutGuard() {
    for (Load load : Loads()) {
      load.guarding = Guarding::kOff;
      EXPECT(Play(load).falls > kToleratedFalls);
    }
  }

  void TestBrittleTargetsStandAnyLoad() {
    for (const Load& load : Loads()) {
      EXPECT(Play(load).falls <= kToleratedFalls);
    }
  }

  void TestBrittleTargetsStandAnyLimit() {
    for (const size_t limit : {1U, 2U, 3U, 8U, 20U}) {
      for (Load load : Loads()) {
        load.rejection_limit = limit;
        EXPECT(Play(load).falls <= kToleratedFalls);
      }
    }
  }

  void TestBrittleTargetsStandChangesOfHolders() {
    for (Load load : Loads()) {
      load.holders = Holders::kChange;
      EXPECT(Play(load).falls <= kToleratedFalls);
    }
  }

  void TestBrittleTargetsStandAbandonedRequests() {
    for (Load load : Loads()) {
      load.abandoned = 0.1;
      EXPECT(Play(load).falls <= kToleratedFalls);
    }
  }

  void TestBrittleTargetsAreWellUsed() {
    for (const size_t instances : {8U, 83U}) {
      Load load;
      load.instances = instances;
      const double guarded = Play(load).ServedShare();
      load.guarding = Guarding::kOff;
      load.targets = Targets::kSound;
      EXPECT(guarded >= 0.9 * Play(load).ServedShare());
    }
  }

 private:
  /// Asks for `n` slots of a target with six and returns how many are leased.
  static int Leases(RejectionGuard * guard, int n, double limit, Millis now) {
    int n_leased = 0;
    for (int i = 0; i < n; ++i) {
      const auto lease_id = static_cast<uint64_t>(now.count * 100 + i + 1);
      n_leased +=
          guard->Take(RequestFor(lease_id, limit, 6), now).is_granted ? 1 : 0;
    }
    return n_leased;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RejectionGuardTest);

}  // namespace

}  // namespace daisypond::forward
