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
  CPPUNIT_TEST(TestTakeOverStopsTheOldHolder);
  CPPUNIT_TEST(TestLateTryTakesNothingFromALaterOne);
  CPPUNIT_TEST(TestGapIsRefused);
  CPPUNIT_TEST(TestNewEpochMustSendEverything);
  CPPUNIT_TEST(TestOtherPrefixIsRefused);
  CPPUNIT_TEST(TestOvertakenMessageShortensNothing);
  CPPUNIT_TEST(TestSameEpochCannotChangeTokens);
  CPPUNIT_TEST(TestOtherBodyIsNotHandedOver);
  CPPUNIT_TEST(TestOneHolderAppendsInRandomHistories);
  CPPUNIT_TEST(TestRoomIsMadeAndCopiesExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestTakeOverStopsTheOldHolder() {
    CopyStore store({}, &metrics_);
    const uint64_t first = NextEpoch(0, 1);
    EXPECT(store.Append(MakeAppend(first, {}, {"a"}), kNow) ==
           AppendOutcome::kStored);
    const auto taken = store.TakeOver("k", 0, 0, 2, kNow);
    EXPECT(taken.outcome == TakeOverOutcome::kTaken);
    EXPECT(taken.copy.epoch > first);
    // The paused holder wakes and goes on: it must stop.
    EXPECT(store.Append(MakeAppend(first, {"a"}, {"b"}), kNow) ==
           AppendOutcome::kSuperseded);
    EXPECT(store.Append(MakeAppend(taken.copy.epoch, {"a"}, {"c"}), kNow) ==
           AppendOutcome::kStored);
    EXPECT(store.TokensFrom("k", 0) == (std::vector<std::string>{"a", "c"}));
  }

  /// The third try's holder serves the caller; a paused instance wakes and
  /// serves the second.
  void TestLateTryTakesNothingFromALaterOne() {
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

  void TestGapIsRefused() {
    CopyStore store({}, &metrics_);
    EXPECT(store.Append(MakeAppend(1, {"a", "b", "c"}, {"d"}), kNow) ==
           AppendOutcome::kGap);
    store.Append(MakeAppend(1, {}, {"a"}), kNow);
    EXPECT(store.Append(MakeAppend(1, {"a", "b"}, {"c"}), kNow) ==
           AppendOutcome::kGap);
  }

  void TestNewEpochMustSendEverything() {
    CopyStore store({}, &metrics_);
    store.Append(MakeAppend(1, {}, {"a", "b", "c"}), kNow);
    // The new holder took over elsewhere: its first token may be another.
    EXPECT(store.Append(MakeAppend(2, {"a"}, {"x"}), kNow) ==
           AppendOutcome::kGap);
    EXPECT(store.Append(MakeAppend(2, {}, {"z", "x"}), kNow) ==
           AppendOutcome::kStored);
    EXPECT(store.TokensFrom("k", 0) == (std::vector<std::string>{"z", "x"}));
  }

  void TestOtherPrefixIsRefused() {
    CopyStore store({}, &metrics_);
    store.Append(MakeAppend(1, {}, {"a", "b"}), kNow);
    EXPECT(store.Append(MakeAppend(1, {"a", "other"}, {"c"}), kNow) ==
           AppendOutcome::kGap);
    EXPECT_EQ(size_t{2}, store.TokensFrom("k", 0).size());
  }

  void TestOvertakenMessageShortensNothing() {
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
    // The violation is the point of this test.
    EXPECT_EQ(int64_t{1}, metrics_.InvariantViolations(
                              base::Invariant::kOneAttemptAppends));
  }

  void TestOtherBodyIsNotHandedOver() {
    CopyStore store({}, &metrics_);
    store.Append(MakeAppend(1, {}, {"a"}), kNow);
    EXPECT(store.TakeOver("k", 99, 0, 2, kNow).outcome ==
           TakeOverOutcome::kOtherBody);
  }

  /// Several holders take over from each other at two stores and go on after
  /// any pause. Whatever is interleaved, tokens of two holders of one epoch
  /// never stand in one copy, and a copy is a prefix of its holder's tokens.
  void TestOneHolderAppendsInRandomHistories() {
    EXPECT(rc::check("a copy has one history", [](uint64_t seed) {
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
          // A holder never uses an epoch twice (see entry::TakeOver).
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

  void TestRoomIsMadeAndCopiesExpire() {
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
    store.Expire({kNow.count + 100'000'000});
    EXPECT_EQ(size_t{0}, store.Count());
    EXPECT_EQ(size_t{0}, store.Bytes());
  }

 private:
  base::Metrics metrics_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopyStoreTest);

SUITE(DigestChainTest) {
  CPPUNIT_TEST_SUITE(DigestChainTest);
  CPPUNIT_TEST(TestEventIdsReadBack);
  CPPUNIT_TEST(TestBadEventIdsAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestEventIdsReadBack() {
    EXPECT(rc::check("event ids read back",
                     [](uint64_t generation, uint64_t digest, uint32_t index) {
                       const Position position{generation, index, digest};
                       const auto read =
                           PositionFromEventId(ToEventId(position));
                       RC_ASSERT(read.has_value());
                       RC_ASSERT(read->generation == generation);
                       RC_ASSERT(read->digest == digest);
                       RC_ASSERT(read->index == index);
                     }));
  }

  void TestBadEventIdsAreRefused() {
    for (const char* it :
         {"", ":", "::", "x:1:y", "0000000000000007:-1:0", "0000000000000007:1",
          "7:1:7", "0000000000000007:1x:0000000000000007"}) {
      EXPECT(!PositionFromEventId(it));
    }
    EXPECT(rc::check("any text is read or refused",
                     [](std::string text) { PositionFromEventId(text); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DigestChainTest);

}  // namespace

}  // namespace daisypond::generation
