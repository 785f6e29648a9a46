#include "generation/copy_store.h"

#include <random>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "generation/digest_chain.h"
#include "tests/test_macros.h"

namespace daisypond::generation {

namespace {

constexpr base::Millis kNow{1000};

AppendTokens MakeAppend(uint64_t epoch,
                        const std::vector<std::string>& before,
                        std::vector<std::string> tokens) {
  AppendTokens append;
  append.key = "k";
  append.generation = 7;
  append.epoch = epoch;
  append.first_index = before.size();
  append.prefix_digest = DigestOf(7, before, before.size());
  append.tokens = std::move(tokens);
  return append;
}

SUITE(CopyStoreTest) {
  CPPUNIT_TEST_SUITE(CopyStoreTest);
  CPPUNIT_TEST(TestTakeOverRejectsOldHolderAppends);
  CPPUNIT_TEST(TestOlderCallerAttemptCannotTakeOver);
  CPPUNIT_TEST(TestAppendWithMissingTokensIsRejected);
  CPPUNIT_TEST(TestNewEpochMustSendAllTokens);
  CPPUNIT_TEST(TestAppendWithOtherPrefixIsRejected);
  CPPUNIT_TEST(TestReorderedAppendDoesNotTruncateCopy);
  CPPUNIT_TEST(TestSameEpochCannotChangeTokens);
  CPPUNIT_TEST(TestTakeOverWithOtherBodyIsRejected);
  CPPUNIT_TEST(TestCopiesNeverMixHoldersInRandomInterleavings);
  CPPUNIT_TEST(TestCopiesAreEvictedAndExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestTakeOverRejectsOldHolderAppends() {
    CopyStore store({}, &metrics_);
    const uint64_t first = NextEpoch(0, 1);
    EXPECT(store.Append(MakeAppend(first, {}, {"a"}), kNow) ==
           AppendOutcome::kStored);
    const auto taken = store.TakeOver("k", 0, 0, 2, kNow);
    EXPECT(taken.outcome == TakeOverOutcome::kTaken);
    EXPECT(taken.copy.epoch > first);
    // The old holder was paused and appends again after the takeover.
    EXPECT(store.Append(MakeAppend(first, {"a"}, {"b"}), kNow) ==
           AppendOutcome::kSuperseded);
    EXPECT(store.Append(MakeAppend(taken.copy.epoch, {"a"}, {"c"}), kNow) ==
           AppendOutcome::kStored);
    EXPECT(store.TokensFrom("k", 0) == (std::vector<std::string>{"a", "c"}));
  }

  /// An instance that was paused continues to serve the caller's second attempt
  /// while another instance already serves the third. It must not take over the
  /// generation.
  void TestOlderCallerAttemptCannotTakeOver() {
    CopyStore store({}, &metrics_);
    store.Append(MakeAppend(1, {}, {"a"}), kNow);
    const auto third = store.TakeOver("k", 0, 3, 2, kNow);
    EXPECT(third.outcome == TakeOverOutcome::kTaken);
    EXPECT(store.TakeOver("k", 0, 2, 9, kNow).outcome ==
           TakeOverOutcome::kOutdated);
    auto append = MakeAppend(third.copy.epoch, {"a"}, {"b"});
    append.attempt = 3;
    EXPECT(store.Append(append, kNow) == AppendOutcome::kStored);
    EXPECT(store.TakeOver("k", 0, 4, 9, kNow).outcome ==
           TakeOverOutcome::kTaken);
  }

  void TestAppendWithMissingTokensIsRejected() {
    CopyStore store({}, &metrics_);
    EXPECT(store.Append(MakeAppend(1, {"a", "b", "c"}, {"d"}), kNow) ==
           AppendOutcome::kGap);
    store.Append(MakeAppend(1, {}, {"a"}), kNow);
    EXPECT(store.Append(MakeAppend(1, {"a", "b"}, {"c"}), kNow) ==
           AppendOutcome::kGap);
  }

  void TestNewEpochMustSendAllTokens() {
    CopyStore store({}, &metrics_);
    store.Append(MakeAppend(1, {}, {"a", "b", "c"}), kNow);
    // The new holder took over another copy, whose first token may differ.
    EXPECT(store.Append(MakeAppend(2, {"a"}, {"x"}), kNow) ==
           AppendOutcome::kGap);
    EXPECT(store.Append(MakeAppend(2, {}, {"z", "x"}), kNow) ==
           AppendOutcome::kStored);
    EXPECT(store.TokensFrom("k", 0) == (std::vector<std::string>{"z", "x"}));
  }

  void TestAppendWithOtherPrefixIsRejected() {
    CopyStore store({}, &metrics_);
    store.Append(MakeAppend(1, {}, {"a", "b"}), kNow);
    EXPECT(store.Append(MakeAppend(1, {"a", "other"}, {"c"}), kNow) ==
           AppendOutcome::kGap);
    EXPECT_EQ(size_t{2}, store.TokensFrom("k", 0).size());
  }

  void TestReorderedAppendDoesNotTruncateCopy() {
    CopyStore store({}, &metrics_);
    store.Append(MakeAppend(1, {}, {"a", "b", "c"}), kNow);
    EXPECT(store.Append(MakeAppend(1, {}, {"a", "b"}), kNow) ==
           AppendOutcome::kStored);
    EXPECT_EQ(size_t{3}, store.TokensFrom("k", 0).size());
  }

  void TestSameEpochCannotChangeTokens() {
    CopyStore store({}, &metrics_);
    store.Append(MakeAppend(1, {}, {"a", "b"}), kNow);
    EXPECT(store.Append(MakeAppend(1, {"a"}, {"other"}), kNow) ==
           AppendOutcome::kSuperseded);
    // The test breaks the invariant on purpose; the store counts the violation.
    EXPECT_EQ(int64_t{1}, metrics_.InvariantViolations(
                              base::Invariant::kOneAttemptAppends));
  }

  void TestTakeOverWithOtherBodyIsRejected() {
    CopyStore store({}, &metrics_);
    store.Append(MakeAppend(1, {}, {"a"}), kNow);
    EXPECT(store.TakeOver("k", 99, 0, 2, kNow).outcome ==
           TakeOverOutcome::kOtherBody);
  }

  /// Three holders take over from each other at two stores and append in random
  /// order. A holder may still append after another holder has taken over.
  /// After each accepted append the copy equals the holder's tokens, and the
  /// tokens stored under one epoch never come from two holders.
  void TestCopiesNeverMixHoldersInRandomInterleavings() {
    EXPECT(rc::check("a copy never mixes holders", [](uint64_t seed) {
      std::mt19937_64 random(seed);
      base::Metrics metrics;
      CopyStore stores[2] = {{{}, &metrics}, {{}, &metrics}};
      struct Holder {
        uint64_t epoch = 0;
        std::vector<std::string> tokens;
        bool is_stopped = true;
      };
      std::vector<Holder> holders(3);
      for (int i = 0; i < 200; ++i) {
        const size_t h = random() % holders.size();
        CopyStore& store = stores[random() % 2];
        Holder& holder = holders[h];
        const auto tag = static_cast<uint16_t>(h + 1);
        if (holder.is_stopped || random() % 20 == 0) {
          const auto taken = store.TakeOver("k", 0, 0, tag, kNow);
          holder.tokens = taken.copy.tokens;
          // A holder never uses an epoch twice, as in entry::TakeOver.
          holder.epoch =
              std::max(taken.copy.epoch, NextEpoch(holder.epoch, tag));
          holder.is_stopped = false;
          continue;
        }
        const std::string next = std::to_string(h) + "." + std::to_string(i);
        auto outcome =
            store.Append(MakeAppend(holder.epoch, holder.tokens, {next}), kNow);
        holder.tokens.push_back(next);
        if (outcome == AppendOutcome::kGap) {
          outcome =
              store.Append(MakeAppend(holder.epoch, {}, holder.tokens), kNow);
        }
        holder.is_stopped = outcome == AppendOutcome::kSuperseded;
        if (outcome == AppendOutcome::kStored) {
          RC_ASSERT(store.TokensFrom("k", 0) == holder.tokens);
        }
      }
      RC_ASSERT(metrics.InvariantViolations(
                    base::Invariant::kOneAttemptAppends) == 0);
    }));
  }

  void TestCopiesAreEvictedAndExpire() {
    CopyStoreOptions options;
    options.maximum_bytes = 20'000;
    CopyStore store(options, &metrics_);
    for (int i = 0; i < 100; ++i) {
      AppendTokens append = MakeAppend(1, {}, {std::string(1000, 'x')});
      append.key = std::to_string(i);
      append.is_finished = i % 2 == 0;
      store.Append(append, {kNow.count + i});
    }
    EXPECT(store.Bytes() < 25'000);
    EXPECT_EQ(uint64_t{1}, store.EpochOf("99"));
    store.RemoveExpiredCopies({kNow.count + 100'000'000});
    EXPECT_EQ(size_t{0}, store.Count());
    EXPECT_EQ(size_t{0}, store.Bytes());
  }

 private:
  base::Metrics metrics_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopyStoreTest);

SUITE(DigestChainTest) {
  CPPUNIT_TEST_SUITE(DigestChainTest);
  CPPUNIT_TEST(TestEventIdsRoundTrip);
  CPPUNIT_TEST(TestMalformedEventIdsAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestEventIdsRoundTrip() {
    EXPECT(rc::check("event ids round-trip",
                     [](uint64_t generation, uint64_t digest, uint32_t index) {
                       const TokenPosition position{generation, index, digest};
                       const auto read =
                           PositionFromEventId(ToEventId(position));
                       RC_ASSERT(read.has_value());
                       RC_ASSERT(read->generation == generation);
                       RC_ASSERT(read->digest == digest);
                       RC_ASSERT(read->index == index);
                     }));
  }

  void TestMalformedEventIdsAreRejected() {
    for (const char* it :
         {"", ":", "::", "x:1:y", "0000000000000007:-1:0", "0000000000000007:1",
          "7:1:7", "0000000000000007:1x:0000000000000007"}) {
      EXPECT(!PositionFromEventId(it));
    }
    EXPECT(rc::check("any text is parsed or rejected",
                     [](std::string text) { PositionFromEventId(text); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DigestChainTest);

}  // namespace

}  // namespace daisypond::generation
