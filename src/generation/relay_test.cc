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

constexpr int64_t kLength = 30;

/// A target's side of one attempt: a generation of its own unless it goes on
/// from a prefix.
struct FakeAttempt {
  std::string nonce;
  int64_t next = 0;
  /// Where it says that it begins. Targets may lose, repeat or cross tokens
  /// here, but they know where they began.
  int64_t first = 0;
  bool is_open = true;
  bool is_confirmed = false;
};

/// Plays a random history against one relay and checks what the caller gets.
/// A token's text is "nonce/index", so every wrong splice shows.
template <typename Policy>
class History {
 public:
  History(Policy policy, uint64_t seed)
      : random_(seed), relay_(policy, Options(), Progress(1), &metrics_) {
    relay_.Start(0, std::nullopt, now_);
    Perform();
  }

  /// Faulty events at random, then only good ones until the relay is over.
  void Run(int faulty_events) {
    for (int i = 0; i < faulty_events && !relay_.IsOver(); ++i) {
      Disturb();
      Perform();
    }
    for (int i = 0; i < 4000 && !relay_.IsOver(); ++i) {
      Help();
      Perform();
    }
  }

  bool IsWhole() const { return is_finished_ && caller_.size() == kLength; }
  bool IsFailed() const { return is_failed_; }
  bool IsOver() const { return relay_.IsOver(); }

  /// Tokens of one nonce, in order, each once.
  bool IsClean() const {
    for (size_t i = 0; i < caller_.size(); ++i) {
      const std::string& nonce = caller_[0].substr(0, caller_[0].find('/'));
      if (caller_[i] != fmt::format("{}/{}", nonce, i)) {
        return false;
      }
    }
    return true;
  }

  int64_t Violations() const {
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
    options.target_patience = {1'000'000'000};
    options.start_patience = options.target_patience;
    options.deadline = {1'000'000'000};
    return options;
  }

  int Pick(int n) { return static_cast<int>(random_() % n); }

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
        if (is_disturbed_ && Pick(6) == 0) {
          relay_.OnNoTarget(action.attempt, now_);
          return;
        }
        StartAttempt(action);
        return;
      case RelayActionKind::kCancelAttempt:
        attempts_[action.attempt].is_open = false;
        return;
      case RelayActionKind::kCopy:
        is_copy_open_ = true;
        return;
      case RelayActionKind::kSend:
        Send(action);
        return;
      case RelayActionKind::kRestart:
        is_copy_open_ = false;
        caller_.clear();
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
    attempt.next = static_cast<int64_t>(action.from);
    const bool restarts = is_disturbed_ && Pick(5) == 0;
    if (action.from == 0 || restarts) {
      attempt.nonce = std::to_string(++nonces_);
      attempt.next = 0;
    } else {
      const std::string& last = relay_.Tokens().Tokens().back();
      attempt.nonce = last.substr(0, last.find('/'));
    }
    attempt.first = attempt.next;
    attempts_[action.attempt] = attempt;
    relay_.OnAttemptSent(action.attempt, GapStatistics(), now_);
  }

  void Send(const RelayAction& action) {
    const auto& tokens = relay_.Tokens().Tokens();
    for (size_t i = action.from; i < action.to; ++i) {
      caller_.push_back(tokens[i]);
    }
  }

  /// Any attempt that was ever started, open or closed.
  AttemptId AnyAttempt() {
    auto it = attempts_.begin();
    std::advance(it, Pick(static_cast<int>(attempts_.size())));
    return it->first;
  }

  void Deliver(AttemptId id) {
    FakeAttempt& attempt = attempts_[id];
    if (!attempt.is_confirmed) {
      attempt.is_confirmed = true;
      relay_.OnConfirmed(id, attempt.first, now_);
    }
    if (attempt.next >= kLength) {
      UpstreamEnding ending;
      ending.end = UpstreamEnd::kFinished;
      ending.token_count = kLength;
      attempt.is_open = false;
      relay_.OnUpstreamEnd(id, ending, now_);
      return;
    }
    const UpstreamToken token{
        "r", id.value, attempt.next,
        fmt::format("{}/{}", attempt.nonce, attempt.next)};
    ++attempt.next;
    relay_.OnToken(id, token, now_);
  }

  void Break(AttemptId id) {
    constexpr UpstreamEnd kEnds[] = {
        UpstreamEnd::kBroken, UpstreamEnd::kNotConnected,
        UpstreamEnd::kOverloaded, UpstreamEnd::kRefused,
        UpstreamEnd::kFinished};
    UpstreamEnding ending;
    ending.end = kEnds[Pick(5)];
    // A truncated stream that calls itself finished: tokens are missing. (A
    // target whose count is that of the tokens sent has finished.)
    ending.token_count =
        static_cast<int64_t>(relay_.Tokens().Size()) + 1 + Pick(3);
    attempts_[id].is_open = false;
    relay_.OnUpstreamEnd(id, ending, now_);
  }

  void Disturb() {
    is_disturbed_ = true;
    if (attempts_.empty()) {
      Advance(60);
      return;
    }
    const AttemptId id = AnyAttempt();
    switch (Pick(14)) {
      case 0:
        Break(id);
        return;
      case 1:  // A token under the number of an older attempt.
        relay_.OnToken(id, {"r", id.value - 1, attempts_[id].next, "late/0"},
                       now_);
        return;
      case 2:  // A token of another request.
        relay_.OnToken(id, {"other", id.value, attempts_[id].next, "x/0"},
                       now_);
        return;
      case 3:  // A gap, or a repeated token.
        attempts_[id].next += Pick(2) == 0 ? 1 : -1;
        attempts_[id].next = std::max<int64_t>(0, attempts_[id].next);
        Deliver(id);
        return;
      case 4:
        Advance(400 + Pick(4000));
        return;
      case 5:
        if (is_copy_open_) {
          is_copy_open_ = false;
          relay_.OnCopyOutcome(
              Pick(2) == 0 ? CopyOutcome::kGap : CopyOutcome::kFailed, now_);
        }
        return;
      default:
        Deliver(id);
        AnswerCopy();
        return;
    }
  }

  void Help() {
    is_disturbed_ = false;
    AnswerCopy();
    for (auto& [id, attempt] : attempts_) {
      if (attempt.is_open) {
        Deliver(id);
        break;
      }
    }
    AnswerCopy();
    Advance(20);
  }

  void AnswerCopy() {
    if (is_copy_open_) {
      is_copy_open_ = false;
      relay_.OnCopyOutcome(CopyOutcome::kStored, now_);
    }
  }

  void Advance(int64_t milliseconds) {
    now_ = now_ + Millis{milliseconds};
    relay_.OnTick(now_);
  }

  std::mt19937_64 random_;
  base::Metrics metrics_;
  Millis now_{1000};
  Relay<Policy> relay_;
  std::map<AttemptId, FakeAttempt> attempts_;
  std::vector<std::string> caller_;
  bool is_copy_open_ = false;
  bool is_disturbed_ = false;
  bool is_finished_ = false;
  bool is_failed_ = false;
  int nonces_ = 0;
};

template <typename Policy>
bool HoldsUnderDisturbance(Policy policy) {
  return rc::check("a caller gets one whole generation", [&](uint64_t seed) {
    History<Policy> history(policy, seed);
    history.Run(static_cast<int>(seed % 120));
    RC_ASSERT(history.IsClean());
    RC_ASSERT(history.Violations() == 0);
    RC_ASSERT(history.IsOver());
    RC_ASSERT(history.IsWhole());
  });
}

intents::ResumeSettings Weights(double latency, double resource) {
  intents::ResumeSettings settings;
  settings.latency_weight = latency;
  settings.resource_weight = resource;
  return settings;
}

SUITE(RelayTest) {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(TestHedgingPolicy);
  CPPUNIT_TEST(TestReplacingPolicy);
  CPPUNIT_TEST(TestFixedTimeout);
  CPPUNIT_TEST(TestRestart);
  CPPUNIT_TEST(TestSupersededStops);
  CPPUNIT_TEST(TestNothingIsSentBeforeItsCopy);
  CPPUNIT_TEST(TestTokensGoOnWithoutPeers);
  CPPUNIT_TEST(TestGivesUpAfterManyLosses);
  CPPUNIT_TEST(TestEndIsTakenFromAReplacement);
  CPPUNIT_TEST(TestSilenceStartsSecondAttemptAndFirstTokenWins);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestHedgingPolicy() {
    EXPECT(HoldsUnderDisturbance(CostPolicy(Weights(10, 1))));
  }
  void TestReplacingPolicy() {
    EXPECT(HoldsUnderDisturbance(CostPolicy(Weights(1, 10))));
  }
  void TestFixedTimeout() {
    EXPECT(HoldsUnderDisturbance(FixedTimeoutPolicy()));
  }
  void TestRestart() {
    EXPECT(HoldsUnderDisturbance(RestartPolicy()));
  }

  void TestSupersededStops() {
    Fixture fixture;
    fixture.Token(1, 0);
    fixture.relay.OnCopyOutcome(CopyOutcome::kSuperseded, fixture.now);
    const auto actions = fixture.relay.TakeActions();
    EXPECT(actions.back().kind == RelayActionKind::kFail);
    EXPECT(actions.back().verdict.reason == base::Reason::kSuperseded);
    EXPECT(fixture.Has(actions, RelayActionKind::kCancelAttempt));
    EXPECT(!fixture.Has(actions, RelayActionKind::kSend));
  }

  void TestNothingIsSentBeforeItsCopy() {
    Fixture fixture;
    fixture.Token(1, 0);
    fixture.Token(1, 1);
    EXPECT(!fixture.Has(fixture.relay.TakeActions(), RelayActionKind::kSend));
    fixture.relay.OnCopyOutcome(CopyOutcome::kStored, fixture.now);
    const auto actions = fixture.relay.TakeActions();
    // The first copy held only the first token.
    EXPECT(actions[0].kind == RelayActionKind::kCopy);
    EXPECT(actions[1].kind == RelayActionKind::kSend);
    EXPECT_EQ(size_t{1}, actions[1].to);
  }

  void TestTokensGoOnWithoutPeers() {
    Fixture fixture;
    fixture.Token(1, 0);
    for (int i = 0; i < 3; ++i) {
      fixture.relay.OnCopyOutcome(CopyOutcome::kFailed, fixture.now);
    }
    EXPECT_EQ(size_t{1}, fixture.relay.SentCount());
    EXPECT_EQ(int64_t{1},
              fixture.metrics.Value(base::Counter::kTokensUncopied));
  }

  void TestGivesUpAfterManyLosses() {
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

  /// A target goes silent after its last token, before it says that it has
  /// finished: the next one has nothing to add but the end.
  void TestEndIsTakenFromAReplacement() {
    base::Metrics metrics;
    Relay<CostPolicy> relay(CostPolicy(Weights(1, 10)), Fixture::Options(),
                            Progress(1), &metrics);
    Millis now{1000};
    relay.Start(0, std::nullopt, now);
    relay.OnAttemptSent({1}, GapStatistics(), now);
    relay.OnConfirmed({1}, 0, now);
    relay.OnToken({1}, {"r", 1, 0, "a"}, now);
    now = now + Millis{5000};
    relay.OnTick(now);
    relay.OnAttemptSent({2}, GapStatistics(), now);
    relay.OnConfirmed({2}, 1, now);
    relay.OnUpstreamEnd({2}, {UpstreamEnd::kFinished, 1, "stop"}, now);
    EXPECT(relay.IsFinished());
  }

  void TestSilenceStartsSecondAttemptAndFirstTokenWins() {
    Fixture fixture;
    fixture.Token(1, 0);
    fixture.relay.TakeActions();
    fixture.now = fixture.now + Millis{5000};
    fixture.relay.OnTick(fixture.now);
    auto actions = fixture.relay.TakeActions();
    EXPECT(fixture.Has(actions, RelayActionKind::kStartAttempt));
    EXPECT(!fixture.Has(actions, RelayActionKind::kCancelAttempt));
    fixture.relay.OnAttemptSent({2}, GapStatistics(), fixture.now);
    fixture.relay.OnConfirmed({2}, 1, fixture.now);
    // The silent one wakes first: the second is closed and its token dropped.
    fixture.Token(1, 1);
    actions = fixture.relay.TakeActions();
    EXPECT(fixture.Has(actions, RelayActionKind::kCancelAttempt));
    fixture.Token(2, 1);
    EXPECT_EQ(size_t{2}, fixture.relay.Tokens().Size());
  }

 private:
  struct Fixture {
    Fixture()
        : relay(CostPolicy(Weights(10, 1)), Options(), Progress(1), &metrics) {
      relay.Start(0, std::nullopt, now);
      relay.OnAttemptSent({1}, GapStatistics(), now);
      relay.OnConfirmed({1}, 0, now);
      relay.TakeActions();
    }

    static RelayOptions Options() {
      RelayOptions options;
      options.request_id = "r";
      return options;
    }

    void Token(int attempt, int64_t index) {
      relay.OnToken({attempt}, {"r", attempt, index, std::to_string(index)},
                    now);
    }

    static bool Has(const std::vector<RelayAction>& actions,
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
