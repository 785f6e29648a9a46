#include "admission/admission_controller.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "admission/retry_budget.h"
#include "tests/test_macros.h"

namespace daisypond::admission {

namespace {

using base::Millis;

intents::Configuration MakeConfiguration() {
  intents::Configuration configuration;
  configuration.limits.concurrent_streams = 10;
  configuration.limits.queued_requests = 40;
  for (const char* name : {"large", "small"}) {
    intents::Workspace workspace;
    workspace.concurrent_requests = 1000;
    workspace.requests_per_second = 1000;
    configuration.workspaces.emplace(name, workspace);
  }
  return configuration;
}

AdmissionRequest MakeRequest(const std::string& workspace, Millis start_by) {
  AdmissionRequest request;
  request.workspace = workspace;
  request.start_by = start_by;
  request.pool = "m:1";
  return request;
}

bool HasFreeSlot(const std::string&) {
  return true;
}

SUITE(AdmissionTest) {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(TestWorkspaceLimitsAreEnforced);
  CPPUNIT_TEST(TestSmallWorkspaceIsNotStarved);
  CPPUNIT_TEST(TestStartsFollowWorkspaceWeights);
  CPPUNIT_TEST(TestHighPriorityStartsFirst);
  CPPUNIT_TEST(TestExpiredRequestsLeaveTheQueue);
  CPPUNIT_TEST(TestQueueAndRunningCountsStayBounded);
  CPPUNIT_TEST(TestRetriesStayWithinBudget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestWorkspaceLimitsAreEnforced() {
    auto configuration = MakeConfiguration();
    configuration.workspaces.at("small").requests_per_second = 2;
    configuration.workspaces.at("large").concurrent_requests = 3;
    controller_.Configure(configuration);
    int accepted = 0;
    for (int i = 0; i < 10; ++i) {
      accepted += Arrive("small").outcome == ArrivalOutcome::kQueued;
    }
    EXPECT_EQ(2, accepted);
    const auto refused = Arrive("small");
    EXPECT(refused.reason == base::Reason::kWorkspaceLimit);
    EXPECT(refused.retry_after.count >= 250);
    accepted = 0;
    for (int i = 0; i < 10; ++i) {
      accepted += Arrive("large").outcome == ArrivalOutcome::kQueued;
    }
    EXPECT_EQ(3, accepted);
  }

  void TestSmallWorkspaceIsNotStarved() {
    controller_.Configure(MakeConfiguration());
    for (int i = 0; i < 200; ++i) {
      Arrive("large");
    }
    const auto small = Arrive("small");
    EXPECT(small.outcome == ArrivalOutcome::kQueued);
    const auto started = controller_.StartQueuedRequests(HasFreeSlot, now_);
    EXPECT(std::find(started.begin(), started.end(), small.ticket) !=
           started.end());
  }

  void TestStartsFollowWorkspaceWeights() {
    auto configuration = MakeConfiguration();
    configuration.workspaces.at("large").weight = 3;
    configuration.limits.queued_requests = 1000;
    controller_.Configure(configuration);
    std::map<TicketId, std::string> owners;
    for (int i = 0; i < 300; ++i) {
      for (const char* name : {"large", "small"}) {
        owners[Arrive(name).ticket] = name;
      }
    }
    std::map<std::string, int> started;
    for (int i = 0; i < 20; ++i) {
      for (const TicketId it :
           controller_.StartQueuedRequests(HasFreeSlot, now_)) {
        ++started[owners.at(it)];
        controller_.RemoveTicket(it);
      }
    }
    EXPECT(started["large"] > 2 * started["small"]);
    EXPECT(started["small"] > 0);
  }

  void TestHighPriorityStartsFirst() {
    controller_.Configure(MakeConfiguration());
    for (int i = 0; i < 12; ++i) {
      Arrive("large");
    }
    AdmissionRequest request = MakeRequest("large", {100'000});
    request.priority = intents::Priority::kHigh;
    const auto high = controller_.OnArrival(request, now_);
    EXPECT(controller_.StartQueuedRequests(HasFreeSlot, now_).front() ==
           high.ticket);
  }

  void TestExpiredRequestsLeaveTheQueue() {
    controller_.Configure(MakeConfiguration());
    controller_.OnArrival(MakeRequest("small", {2000}), now_);
    EXPECT_EQ(size_t{0}, controller_.RemoveExpired({1999}).size());
    const auto expired = controller_.RemoveExpired({2000});
    EXPECT_EQ(size_t{1}, expired.size());
    EXPECT(expired[0].retry_after.count > 0);
    EXPECT_EQ(int64_t{0}, controller_.QueuedCount());
  }

  void TestQueueAndRunningCountsStayBounded() {
    EXPECT(rc::check("bounds hold in any history", [](uint64_t seed) {
      std::mt19937_64 random(seed);
      AdmissionController controller;
      controller.Configure(MakeConfiguration());
      std::vector<TicketId> open;
      Millis now{1000};
      for (int i = 0; i < 300; ++i) {
        now = now + Millis{static_cast<int64_t>(random() % 20)};
        const std::string name = random() % 4 == 0 ? "small" : "large";
        const auto arrived = controller.OnArrival(
            MakeRequest(name,
                        now + Millis{static_cast<int64_t>(random() % 500)}),
            now);
        if (arrived.outcome == ArrivalOutcome::kQueued) {
          open.push_back(arrived.ticket);
        } else {
          RC_ASSERT(arrived.retry_after.count > 0);
        }
        const bool has_free_slot = random() % 2 == 0;
        controller.StartQueuedRequests(
            [&](const std::string&) { return has_free_slot; }, now);
        controller.RemoveExpired(now);
        if (!open.empty() && random() % 2 == 0) {
          const size_t n = random() % open.size();
          controller.RemoveTicket(open[n]);
          open.erase(open.begin() + static_cast<long>(n));
        }
        RC_ASSERT(controller.RunningCount() <= 10);
        RC_ASSERT(controller.QueuedCount() <= 81);
        RC_ASSERT(controller.QueuedCount() >= 0);
      }
      for (const TicketId it : open) {
        controller.RemoveTicket(it);
      }
      RC_ASSERT(controller.RunningCount() == 0);
      RC_ASSERT(controller.QueuedCount() == 0);
    }));
  }

  void TestRetriesStayWithinBudget() {
    RetryBudget budget;
    budget.Configure(10);
    int taken = 0;
    for (int i = 0; i < 10'000; ++i) {
      budget.OnFirstAttempt();
      taken += budget.TakeRetry() ? 1 : 0;
    }
    // 10 % of the first attempts, and the initial credit of 32 retries.
    EXPECT(taken <= 1000 + 32);
    EXPECT(taken >= 1000);
  }

 private:
  ArrivalResult Arrive(const std::string& workspace) {
    return controller_.OnArrival(MakeRequest(workspace, {100'000}), now_);
  }

  AdmissionController controller_;
  Millis now_{1000};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace

}  // namespace daisypond::admission
