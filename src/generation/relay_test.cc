#include "generation/relay.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::generation {

namespace {

using base::Millis;

constexpr int64_t kTokenCount = 30;

/// The simulated target of one attempt. It produces a new generation with its
/// own nonce, unless it continues the tokens that the relay already has.
struct FakeAttempt {
  /// Common to all tokens of one simulated generation (see RelaySimulation).
  std::string nonce;
  int64_t next_index = 0;
  /// The first token index that the target reports. The simulated target may
  /// drop or repeat tokens, but always reports its first index correctly.
  int64_t first_index = 0;
  bool is_open = true;
  bool is_confirmed = false;
};

/// Drives one relay with random events and records the tokens sent to the
/// caller. The text of a token is "nonce/index", so that tokens of different
/// generations or in the wrong order can be detected.
template <typename Policy>
class RelaySimulation {
 public:
  RelaySimulation(Policy policy, uint64_t seed)
      : random_(seed), relay_(policy, Options(), TokenSequence(1), &metrics_) {
    relay_.Start(0, std::nullopt, now_);
    Perform();
  }

  /// Injects `faulty_events` random events, some of them faults, and then only
  /// fault-free events until the relay is over.
  void RunEvents(int faulty_events) {
    for (int i = 0; i < faulty_events && !relay_.IsOver(); ++i) {
      InjectFault();
      Perform();
    }
    for (int i = 0; i < 4000 && !relay_.IsOver(); ++i) {
      DeliverWithoutFaults();
      Perform();
    }
  }

  bool HasWholeGeneration() const {
    return is_finished_ && received_tokens_.size() == kTokenCount;
  }
  bool IsFailed() const { return is_failed_; }
  bool IsOver() const { return relay_.IsOver(); }

  /// True when the caller received tokens of a single nonce, in order and
  /// without gaps or duplicates.
  bool HasOneGenerationInOrder() const {
    for (size_t i = 0; i < received_tokens_.size(); ++i) {
      const std::string& nonce =
          received_tokens_[0].substr(0, received_tokens_[0].find('/'));
      if (received_tokens_[i] != fmt::format("{}/{}", nonce, i)) {
        return false;
      }
    }
    return true;
  }

  int64_t ViolationCount() const {
    int64_t n = 0;
    for (size_t i = 0; i < base::kInvariantNames.Size(); ++i) {
      n += metrics_.InvariantViolations(static_cast<base::Invariant>(i));
    }
    return n;
  }

 private:
  static RelayOptions Options() {
    RelayOptions options;
    options.request_id = "r";
    options.maximum_failures = 1000;
    options.target_wait_limit = {1'000'000'000};
    options.start_wait_limit = options.target_wait_limit;
    options.maximum_duration = {1'000'000'000};
    return options;
  }

  int RandomBelow(int n) { return static_cast<int>(random_() % n); }

  void Perform() {
    for (auto actions = relay_.TakeActions(); !actions.empty();
         actions = relay_.TakeActions()) {
      for (const RelayAction& it : actions) {
        Perform(it);
      }
    }
  }

  void Perform(const RelayAction& action) {
    switch (action.kind) {
      case RelayActionKind::kStartAttempt:
        if (is_injecting_faults_ && RandomBelow(6) == 0) {
          relay_.OnNoTarget(action.attempt, now_);
          return;
        }
        StartAttempt(action);
        return;
      case RelayActionKind::kCancelAttempt:
        attempts_[action.attempt].is_open = false;
        return;
      case RelayActionKind::kCopy:
        is_copy_pending_ = true;
        return;
      case RelayActionKind::kSend:
        RecordSentTokens(action);
        return;
      case RelayActionKind::kRestart:
        is_copy_pending_ = false;
        received_tokens_.clear();
        return;
      case RelayActionKind::kFinish:
        is_finished_ = true;
        return;
      case RelayActionKind::kFail:
        is_failed_ = true;
        return;
    }
  }

  void StartAttempt(const RelayAction& action) {
    FakeAttempt attempt;
    attempt.next_index = static_cast<int64_t>(action.from);
    const bool is_restarted = is_injecting_faults_ && RandomBelow(5) == 0;
    if (action.from == 0 || is_restarted) {
      attempt.nonce = std::to_string(++nonce_count_);
      attempt.next_index = 0;
    } else {
      const std::string& last = relay_.Tokens().Tokens().back();
      attempt.nonce = last.substr(0, last.find('/'));
    }
    attempt.first_index = attempt.next_index;
    attempts_[action.attempt] = attempt;
    relay_.OnAttemptSent(action.attempt, GapStatistics(), now_);
  }

  void RecordSentTokens(const RelayAction& action) {
    const auto& tokens = relay_.Tokens().Tokens();
    for (size_t i = action.from; i < action.to; ++i) {
      received_tokens_.push_back(tokens[i]);
    }
  }

  /// Picks a random attempt among all that were started, open or closed.
  AttemptId RandomAttempt() {
    auto it = attempts_.begin();
    std::advance(it, RandomBelow(static_cast<int>(attempts_.size())));
    return it->first;
  }

  void DeliverNext(AttemptId id) {
    FakeAttempt& attempt = attempts_[id];
    if (!attempt.is_confirmed) {
      attempt.is_confirmed = true;
      relay_.OnStreamConfirmed(id, attempt.first_index, now_);
    }
    if (attempt.next_index >= kTokenCount) {
      UpstreamEnding ending;
      ending.kind = UpstreamEndKind::kFinished;
      ending.token_count = kTokenCount;
      attempt.is_open = false;
      relay_.OnUpstreamEnd(id, ending, now_);
      return;
    }
    const UpstreamToken token{
        "r", id.value, attempt.next_index,
        fmt::format("{}/{}", attempt.nonce, attempt.next_index)};
    ++attempt.next_index;
    relay_.OnToken(id, token, now_);
  }

  void EndStream(AttemptId id) {
    constexpr UpstreamEndKind kEnds[] = {
        UpstreamEndKind::kBroken, UpstreamEndKind::kNotConnected,
        UpstreamEndKind::kOverloaded, UpstreamEndKind::kRefused,
        UpstreamEndKind::kFinished};
    UpstreamEnding ending;
    ending.kind = kEnds[RandomBelow(5)];
    // For kFinished, simulates a truncated stream: the reported token count is
    // higher than the number of tokens received. An equal count would be a
    // valid end.
    ending.token_count =
        static_cast<int64_t>(relay_.Tokens().Size()) + 1 + RandomBelow(3);
    attempts_[id].is_open = false;
    relay_.OnUpstreamEnd(id, ending, now_);
  }

  void InjectFault() {
    is_injecting_faults_ = true;
    if (attempts_.empty()) {
      AdvanceClock(60);
      return;
    }
    const AttemptId id = RandomAttempt();
    switch (RandomBelow(14)) {
      case 0:
        EndStream(id);
        return;
      case 1:  // A token with the number of an older attempt.
        relay_.OnToken(
            id, {"r", id.value - 1, attempts_[id].next_index, "late/0"}, now_);
        return;
      case 2:  // A token of another request.
        relay_.OnToken(id, {"other", id.value, attempts_[id].next_index, "x/0"},
                       now_);
        return;
      case 3:  // A gap, or a repeated token.
        attempts_[id].next_index += RandomBelow(2) == 0 ? 1 : -1;
        attempts_[id].next_index =
            std::max<int64_t>(0, attempts_[id].next_index);
        DeliverNext(id);
        return;
      case 4:
        AdvanceClock(400 + RandomBelow(4000));
        return;
      case 5:
        if (is_copy_pending_) {
          is_copy_pending_ = false;
          relay_.OnCopyOutcome(
              RandomBelow(2) == 0 ? CopyOutcome::kGap : CopyOutcome::kFailed,
              now_);
        }
        return;
      default:
        DeliverNext(id);
        AcknowledgeCopy();
        return;
    }
  }

  void DeliverWithoutFaults() {
    is_injecting_faults_ = false;
    AcknowledgeCopy();
    for (auto& [id, attempt] : attempts_) {
      if (attempt.is_open) {
        DeliverNext(id);
        break;
      }
    }
    AcknowledgeCopy();
    AdvanceClock(20);
  }

  void AcknowledgeCopy() {
    if (is_copy_pending_) {
      is_copy_pending_ = false;
      relay_.OnCopyOutcome(CopyOutcome::kStored, now_);
    }
  }

  void AdvanceClock(int64_t milliseconds) {
    now_ = now_ + Millis{milliseconds};
    relay_.OnTick(now_);
  }

  std::mt19937_64 random_;
  base::Metrics metrics_;
  Millis now_{1000};
  Relay<Policy> relay_;
  std::map<AttemptId, FakeAttempt> attempts_;
  std::vector<std::string> received_tokens_;
  bool is_copy_pending_ = false;
  bool is_injecting_faults_ = false;
  bool is_finished_ = false;
  bool is_failed_ = false;
  int nonce_count_ = 0;
};

template <typename Policy>
bool DeliversWholeGenerationDespiteFaults(Policy policy) {
  return rc::check("the caller gets one whole generation", [&](uint64_t seed) {
    RelaySimulation<Policy> simulation(policy, seed);
    simulation.RunEvents(static_cast<int>(seed % 120));
    RC_ASSERT(simulation.HasOneGenerationInOrder());
    RC_ASSERT(simulation.ViolationCount() == 0);
    RC_ASSERT(simulation.IsOver());
    RC_ASSERT(simulation.HasWholeGeneration());
  });
}

intents::ResumeSettings MakeSettings(double latency, double resource) {
  intents::ResumeSettings settings;
  settings.latency_weight = latency;
  settings.resource_weight = resource;
  return settings;
}

SUITE(RelayTest) {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(TestHedgingPolicyDeliversDespiteFaults);
  CPPUNIT_TEST(TestReplacingPolicyDeliversDespiteFaults);
  CPPUNIT_TEST(TestFixedTimeoutPolicyDeliversDespiteFaults);
  CPPUNIT_TEST(TestRestartPolicyDeliversDespiteFaults);
  CPPUNIT_TEST(TestSupersededRelayFails);
  CPPUNIT_TEST(TestTokensAreSentOnlyAfterCopying);
  CPPUNIT_TEST(TestTokensAreSentWhenCopyingFails);
  CPPUNIT_TEST(TestFailsAfterMaximumFailures);
  CPPUNIT_TEST(TestReplacementAttemptCanFinishGeneration);
  CPPUNIT_TEST(TestFirstTokenWinsBetweenHedgedAttempts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestHedgingPolicyDeliversDespiteFaults() {
    EXPECT(
        DeliversWholeGenerationDespiteFaults(CostPolicy(MakeSettings(10, 1))));
  }
  void TestReplacingPolicyDeliversDespiteFaults() {
    EXPECT(
        DeliversWholeGenerationDespiteFaults(CostPolicy(MakeSettings(1, 10))));
  }
  void TestFixedTimeoutPolicyDeliversDespiteFaults() {
    EXPECT(DeliversWholeGenerationDespiteFaults(FixedTimeoutPolicy()));
  }
  void TestRestartPolicyDeliversDespiteFaults() {
    EXPECT(DeliversWholeGenerationDespiteFaults(RestartPolicy()));
  }

  void TestSupersededRelayFails() {
    Fixture fixture;
    fixture.DeliverToken(1, 0);
    fixture.relay.OnCopyOutcome(CopyOutcome::kSuperseded, fixture.now);
    const auto actions = fixture.relay.TakeActions();
    EXPECT(actions.back().kind == RelayActionKind::kFail);
    EXPECT(actions.back().verdict.reason == base::Reason::kSuperseded);
    EXPECT(fixture.HasAction(actions, RelayActionKind::kCancelAttempt));
    EXPECT(!fixture.HasAction(actions, RelayActionKind::kSend));
  }

  void TestTokensAreSentOnlyAfterCopying() {
    Fixture fixture;
    fixture.DeliverToken(1, 0);
    fixture.DeliverToken(1, 1);
    EXPECT(!fixture.HasAction(fixture.relay.TakeActions(),
                              RelayActionKind::kSend));
    fixture.relay.OnCopyOutcome(CopyOutcome::kStored, fixture.now);
    const auto actions = fixture.relay.TakeActions();
    // The acknowledged copy request contained only the first token.
    EXPECT(actions[0].kind == RelayActionKind::kCopy);
    EXPECT(actions[1].kind == RelayActionKind::kSend);
    EXPECT_EQ(size_t{1}, actions[1].to);
  }

  void TestTokensAreSentWhenCopyingFails() {
    Fixture fixture;
    fixture.DeliverToken(1, 0);
    for (int i = 0; i < 3; ++i) {
      fixture.relay.OnCopyOutcome(CopyOutcome::kFailed, fixture.now);
    }
    EXPECT_EQ(size_t{1}, fixture.relay.SentCount());
    EXPECT_EQ(int64_t{1},
              fixture.metrics.Value(base::Counter::kTokensUncopied));
  }

  void TestFailsAfterMaximumFailures() {
    Fixture fixture;
    for (int i = 1; i < 20 && !fixture.relay.IsOver(); ++i) {
      fixture.relay.OnAttemptSent({i}, GapStatistics(), fixture.now);
      fixture.relay.OnUpstreamEnd({i}, UpstreamEnding(), fixture.now);
    }
    const auto actions = fixture.relay.TakeActions();
    EXPECT(actions.back().kind == RelayActionKind::kFail);
    EXPECT(actions.back().verdict.reason == base::Reason::kTargetBroken);
    EXPECT(actions.back().verdict.retry_after.count > 0);
  }

  /// A target goes silent after the last token, before it reports the end of
  /// the generation. The replacement attempt adds no token and only reports the
  /// end, which must be accepted.
  void TestReplacementAttemptCanFinishGeneration() {
    base::Metrics metrics;
    Relay<CostPolicy> relay(CostPolicy(MakeSettings(1, 10)), Fixture::Options(),
                            TokenSequence(1), &metrics);
    Millis now{1000};
    relay.Start(0, std::nullopt, now);
    relay.OnAttemptSent({1}, GapStatistics(), now);
    relay.OnStreamConfirmed({1}, 0, now);
    relay.OnToken({1}, {"r", 1, 0, "a"}, now);
    now = now + Millis{5000};
    relay.OnTick(now);
    relay.OnAttemptSent({2}, GapStatistics(), now);
    relay.OnStreamConfirmed({2}, 1, now);
    relay.OnUpstreamEnd({2}, {UpstreamEndKind::kFinished, 1, "stop"}, now);
    EXPECT(relay.IsFinished());
  }

  void TestFirstTokenWinsBetweenHedgedAttempts() {
    Fixture fixture;
    fixture.DeliverToken(1, 0);
    fixture.relay.TakeActions();
    fixture.now = fixture.now + Millis{5000};
    fixture.relay.OnTick(fixture.now);
    auto actions = fixture.relay.TakeActions();
    EXPECT(fixture.HasAction(actions, RelayActionKind::kStartAttempt));
    EXPECT(!fixture.HasAction(actions, RelayActionKind::kCancelAttempt));
    fixture.relay.OnAttemptSent({2}, GapStatistics(), fixture.now);
    fixture.relay.OnStreamConfirmed({2}, 1, fixture.now);
    // The silent attempt delivers the next token first, so the second attempt
    // is cancelled and its token is dropped.
    fixture.DeliverToken(1, 1);
    actions = fixture.relay.TakeActions();
    EXPECT(fixture.HasAction(actions, RelayActionKind::kCancelAttempt));
    fixture.DeliverToken(2, 1);
    EXPECT_EQ(size_t{2}, fixture.relay.Tokens().Size());
  }

 private:
  struct Fixture {
    Fixture()
        : relay(CostPolicy(MakeSettings(10, 1)),
                Options(),
                TokenSequence(1),
                &metrics) {
      relay.Start(0, std::nullopt, now);
      relay.OnAttemptSent({1}, GapStatistics(), now);
      relay.OnStreamConfirmed({1}, 0, now);
      relay.TakeActions();
    }

    static RelayOptions Options() {
      RelayOptions options;
      options.request_id = "r";
      return options;
    }

    void DeliverToken(int attempt, int64_t index) {
      relay.OnToken({attempt}, {"r", attempt, index, std::to_string(index)},
                    now);
    }

    static bool HasAction(const std::vector<RelayAction>& actions,
                          RelayActionKind kind) {
      return std::any_of(actions.begin(), actions.end(),
                         [&](const auto& it) { return it.kind == kind; });
    }

    base::Metrics metrics;
    Millis now{1000};
    Relay<CostPolicy> relay;
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace

}  // namespace daisypond::generation
