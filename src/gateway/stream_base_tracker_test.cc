#include "gateway/stream_base_tracker.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "tests/test_macros.h"

namespace daisypond::gateway {

namespace {

using base::Millis;

constexpr Millis kStep{500};
constexpr Millis kLongestStream = forward::StreamLifetimes::kMinimum;

catalog::Targets MakeTargets(const std::map<std::string, int>& versions) {
  catalog::Targets targets;
  for (const auto& it : versions) {
    for (int i = 0; i < it.second; ++i) {
      const std::string id = it.first + "-" + std::to_string(i);
      targets[id].id = id;
      targets[id].service = "s";
      targets[id].version = it.first;
    }
  }
  return targets;
}

/// The table service. It outlives all instances, may be away, and may return
/// from a copy.
struct Tables {
  struct Content {
    std::optional<ReleaseRecord> release;
    /// Version by stream.
    std::map<std::string, std::string> streams;
  };

  Content content;
  uint64_t era = 0;
  bool is_away = false;
  /// What it held at each step of the last while.
  std::vector<Content> copies;
};

/// An instance; what it knows of peers is left out.
struct InstanceModel {
  StreamBaseTracker tracker;
  bool is_read = false;
  bool is_older_build = false;

  /// Does what ReleaseRecords does. `is_holder` is true for one instance, for
  /// several in a split group.
  void Check(Tables* tables, bool is_holder, bool is_settled, Millis now) {
    if (tables->is_away) {
      return;
    }
    if (!is_read || tracker.IsReadDue(now)) {
      is_read = true;
      ReleaseRecordMap records;
      if (tables->content.release) {
        records["s"] = *tables->content.release;
      }
      tracker.OnRecordsRead(records, tables->era, now);
    }
    const ReleaseRecord wanted =
        tracker.RecordToKeep("s", tables->content.release, now);
    if (is_holder && !wanted.versions.empty() &&
        wanted != tables->content.release &&
        (is_settled || wanted.versions.size() > 1)) {
      tables->content.release = wanted;
      tracker.OnRecordKnown("s", wanted, tables->era, now);
    }
  }

  /// Begins a stream at one of the versions; returns the version, or nothing if
  /// the stream does not begin. One that has read nothing yet is left out while
  /// the table service is away: it guesses, see docs/design/stream-origins.md.
  std::optional<std::string> Begin(const std::string& id,
                                   const std::string& version,
                                   Tables* tables,
                                   Millis now) const {
    const forward::StreamBase base = tracker.BaseOf("s", now);
    if (is_older_build || !base.MustRecordFirst(version)) {
      return version;
    }
    if (!tables->is_away) {
      tables->content.streams[id] = version;
      return version;
    }
    if (!is_read || !base.may_begin_unrecorded) {
      return std::nullopt;
    }
    return base.fallback.value_or(version);
  }
};

/// Returns the version that began a stream, as the table service tells it.
std::optional<std::string> Find(const std::string& id, const Tables& tables) {
  const auto row = tables.content.streams.find(id);
  return row == tables.content.streams.end()
             ? BaseInEra(tables.content.release, tables.era)
             : std::optional(row->second);
}

SUITE(StreamBaseTrackerTest) {
  CPPUNIT_TEST_SUITE(StreamBaseTrackerTest);
  CPPUNIT_TEST(TestBaseIsClaimedOnceAndKeptWhileOthersJoin);
  CPPUNIT_TEST(TestBaseChangesAfterAFullRelease);
  CPPUNIT_TEST(TestBaseOfAnotherEraIsVoid);
  CPPUNIT_TEST(TestOldListOfTargetsProvesNothing);
  CPPUNIT_TEST(TestNoBaseBesideOlderMembers);
  CPPUNIT_TEST(TestNoStreamIsJoinedInRandomHistories);
  CPPUNIT_TEST(TestStreamsGoOnAfterReleasesAndLossesOfAllInstances);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestBaseIsClaimedOnceAndKeptWhileOthersJoin() {
    StreamBaseTracker holder = MakeTracker({{"v1", 4}});
    EXPECT(holder.BaseOf("s", {0}).MustRecordFirst("v1"));
    holder.OnRecordsRead({}, 1, {0});
    // The service has no record yet.
    EXPECT(holder.BaseOf("s", {0}).MustRecordFirst("v1"));
    const ReleaseRecord claimed =
        holder.RecordToKeep("s", std::nullopt, {4000});
    EXPECT(claimed.base == (BaseVersion{"v1", 1}));
    holder.OnRecordKnown("s", claimed, 1, {4000});
    holder.OnTargets(MakeTargets({{"v1", 4}, {"v2", 1}}), {5000});
    EXPECT(holder.RecordToKeep("s", claimed, {5000}).base == claimed.base);
    EXPECT(!holder.BaseOf("s", {5000}).MustRecordFirst("v1"));
    EXPECT(holder.BaseOf("s", {5000}).MustRecordFirst("v2"));
    EXPECT_EQ(std::string("v1"), *holder.BaseOf("s", {5000}).fallback);
    // One that starts now reads the base, and claims none by itself.
    StreamBaseTracker late = MakeTracker({{"v1", 4}, {"v2", 1}});
    EXPECT(!late.RecordToKeep("s", ReleaseRecord{{"v1"}, {}}, {0}).base);
    late.OnRecordsRead({{"s", claimed}}, 1, {0});
    EXPECT(!late.BaseOf("s", {0}).MustRecordFirst("v1"));
    EXPECT(late.BaseOf("s", {0}).MustRecordFirst("v2"));
  }

  void TestBaseChangesAfterAFullRelease() {
    const ReleaseRecord first{{"v1"}, BaseVersion{"v1", 1}};
    StreamBaseTracker tracker = MakeTracker({{"v1", 2}});
    tracker.OnRecordsRead({{"s", first}}, 1, {0});
    tracker.OnTargets(MakeTargets({{"v1", 1}, {"v2", 2}}), {1000});
    // All streams are recorded from now on, and the base is given up.
    EXPECT(tracker.BaseOf("s", {1000}).MustRecordFirst("v1"));
    EXPECT(tracker.RecordToKeep("s", first, {5999}).base == first.base);
    EXPECT(!tracker.RecordToKeep("s", first, {6000}).base);
    tracker.OnTargets(MakeTargets({{"v2", 2}}), {7000});
    const Millis single_since = Millis{7000} + kLongestStream;
    tracker.Update(Millis{0}, 1, false, {700}, single_since);
    const Millis end = single_since + StreamBaseTracker::kClaimDelay;
    EXPECT(!tracker.RecordToKeep("s", first, end - Millis{1}).base);
    const ReleaseRecord second = tracker.RecordToKeep("s", first, end);
    EXPECT(second.base == (BaseVersion{"v2", 1}));
    // The others read the record again, and only then trust it.
    EXPECT(tracker.BaseOf("s", single_since).MustRecordFirst("v2"));
    const Millis read_at = single_since + StreamBaseTracker::kFirstRecordDelay +
                           StreamBaseTracker::kReadDelay + Millis{700};
    EXPECT(!tracker.IsReadDue(read_at - Millis{1}));
    EXPECT(tracker.IsReadDue(read_at));
    tracker.OnRecordsRead({{"s", second}}, 1, read_at);
    EXPECT(!tracker.IsReadDue(read_at));
    EXPECT(!tracker.BaseOf("s", read_at).MustRecordFirst("v2"));
  }

  void TestBaseOfAnotherEraIsVoid() {
    const ReleaseRecord first{{"v1"}, BaseVersion{"v1", 1}};
    EXPECT(!BaseInEra(first, 2));
    EXPECT(!BaseInEra(first, 0));
    EXPECT(BaseInEra(ReleaseRecord{{"v1"}, BaseVersion{"v1", 0}}, 0));
    StreamBaseTracker tracker = MakeTracker({{"v1", 2}});
    tracker.OnRecordsRead({{"s", first}}, 1, {0});
    tracker.Update(Millis{0}, 2, false, {0}, {50'000});
    EXPECT(tracker.BaseOf("s", {50'000}).MustRecordFirst("v1"));
    EXPECT(!tracker.RecordToKeep("s", first, {79'999}).base);
    EXPECT(tracker.RecordToKeep("s", first, {80'000}).base ==
           (BaseVersion{"v1", 2}));
  }

  void TestOldListOfTargetsProvesNothing() {
    const ReleaseRecord first{{"v1"}, BaseVersion{"v1", 1}};
    StreamBaseTracker tracker = MakeTracker({{"v1", 2}});
    tracker.OnRecordsRead({{"s", first}}, 1, {0});
    tracker.Update(StreamBaseTracker::kMaximumListAge + Millis{1}, 1, false,
                   {0}, {50'000});
    EXPECT(tracker.BaseOf("s", {50'000}).MustRecordFirst("v1"));
    // Also when the list is new again.
    tracker.Update(Millis{0}, 1, false, {0}, {50'001});
    EXPECT(tracker.BaseOf("s", {50'001}).MustRecordFirst("v1"));
    EXPECT(tracker.IsReadDue({60'000}));
    EXPECT(
        !tracker.RecordToKeep("s", ReleaseRecord{{"v1"}, {}}, {60'000}).base);
  }

  void TestNoBaseBesideOlderMembers() {
    const ReleaseRecord first{{"v1"}, BaseVersion{"v1", 1}};
    StreamBaseTracker tracker = MakeTracker({{"v1", 2}});
    tracker.OnRecordsRead({{"s", first}}, 1, {0});
    tracker.Update(Millis{0}, 1, true, {0}, {50'000});
    EXPECT(!tracker.RecordToKeep("s", first, {50'000}).base);
    EXPECT(!tracker.BaseOf("s", {50'000}).version);
    EXPECT(tracker.BaseOf("s", {50'000}).is_record_required);
    // The base has been withdrawn.
    EXPECT(tracker.IsReadDue({60'000}));
    tracker.OnRecordsRead({{"s", {{"v1"}, {}}}}, 1, {60'000});
    EXPECT(!tracker.BaseOf("s", {60'000}).is_record_required);
  }

  void TestNoStreamIsJoinedInRandomHistories() {
    int n_returns = 0;
    int n_known = 0;
    const bool is_correct = rc::check(
        "a stream is taken up at the version that began it or not at all", [&] {
          const auto steps = *rc::gen::container<std::vector<int>>(
              400, rc::gen::inRange(0, 1000));
          PlayHistory(steps, Trouble::kAny, &n_returns, &n_known);
        });
    EXPECT(is_correct);
    EXPECT(n_returns > 1000);
    EXPECT(n_known * 2 > n_returns);
  }

  void TestStreamsGoOnAfterReleasesAndLossesOfAllInstances() {
    int n_returns = 0;
    int n_known = 0;
    const bool is_correct =
        rc::check("a stream is taken up at the version that began it", [&] {
          const auto steps = *rc::gen::container<std::vector<int>>(
              400, rc::gen::inRange(0, 1000));
          PlayHistory(steps, Trouble::kReleasesAndLosses, &n_returns, &n_known);
        });
    EXPECT(is_correct);
    EXPECT(n_returns > 1000);
    EXPECT(n_known * 10 >= n_returns * 9);
  }

 private:
  static StreamBaseTracker MakeTracker(
      const std::map<std::string, int>& versions) {
    StreamBaseTracker tracker;
    tracker.OnTargets(MakeTargets(versions), {0});
    tracker.Update(Millis{0}, 0, false, {0}, {0});
    return tracker;
  }

  struct Stream {
    std::string version;
    Millis begun_at;
    /// The instance that remembers it, and when that one started.
    size_t instance = 0;
    Millis instance_started_at;
  };

  enum class Trouble : uint8_t {
    kAny,
    /// The table service works, and all instances are of this build.
    kReleasesAndLosses,
  };

  /// Releases, roll-backs, losses of some and of all instances, outages and
  /// returns from a copy of the table service, members of an older build,
  /// instances that miss changes of the targets, split groups, and streams in
  /// between, a step each 500 ms. After each step all streams could be taken
  /// up.
  static void PlayHistory(const std::vector<int>& steps, Trouble trouble,
                          int* n_returns, int* n_known) {
    constexpr size_t kInstances = 3;
    Tables tables;
    std::vector<InstanceModel> instances(kInstances);
    std::vector<Millis> started_at(kInstances, Millis{0});
    std::vector<Millis> listed_at(kInstances, Millis{0});
    std::map<std::string, int> listed{{"v0", 4}};
    // What each instance lists.
    std::vector<std::map<std::string, int>> lists(kInstances);
    std::map<std::string, Stream> streams;
    int last_version = 0;
    int old_member = -1;
    bool is_split = false;
    Millis now{0};
    for (const int step : steps) {
      now = now + kStep;
      constexpr int kNoEvent = 50;
      constexpr int kFirstOtherTrouble = 13;
      const bool is_left_out = trouble == Trouble::kReleasesAndLosses &&
                               step % 100 >= kFirstOtherTrouble;
      const int event = is_left_out ? kNoEvent : step % 100;
      const auto n = static_cast<size_t>(step / 100);
      const std::string version = "v" + std::to_string(n % 3);
      if (event < 4) {
        listed[version] += 1 + static_cast<int>(n % 4);
      } else if (event < 8) {
        listed.erase(version);
      } else if (event < 9) {
        // All targets are replaced in one go.
        listed = {{"v" + std::to_string(++last_version % 3), 4}};
      } else if (event < 11) {
        instances[n % kInstances] = {};
        instances[n % kInstances].is_older_build =
            old_member == static_cast<int>(n % kInstances);
        started_at[n % kInstances] = now;
      } else if (event < 13) {
        for (size_t i = 0; i < kInstances; ++i) {
          instances[i] = {};
          instances[i].is_older_build = old_member == static_cast<int>(i);
          started_at[i] = now;
        }
      } else if (event < 15) {
        tables.is_away = true;
      } else if (event < 22) {
        tables.is_away = false;
      } else if (event < 23 && tables.copies.size() > 8) {
        tables.content = tables.copies[tables.copies.size() - 8];
        ++tables.era;
      } else if (event < 24) {
        old_member = old_member < 0 && n < 2 ? static_cast<int>(n) : -1;
        for (size_t i = 0; i < kInstances; ++i) {
          if (instances[i].is_older_build !=
              (old_member == static_cast<int>(i))) {
            instances[i] = {};
            instances[i].is_older_build = old_member == static_cast<int>(i);
            started_at[i] = now;
          }
        }
      } else if (event < 26) {
        is_split = !is_split;
      }
      for (size_t i = 0; i < kInstances; ++i) {
        // Some lists come late.
        const bool is_late = tables.is_away || (trouble == Trouble::kAny &&
                                                n == i && event % 2 == 0);
        if (!is_late || started_at[i] == now) {
          instances[i].tracker.OnTargets(MakeTargets(listed), now);
          listed_at[i] = now;
          lists[i] = listed;
        }
        instances[i].tracker.Update(now - listed_at[i], tables.era,
                                    old_member >= 0, {0}, now);
      }
      const size_t holder = n % kInstances;
      for (size_t i = 0; i < kInstances; ++i) {
        if (!instances[i].is_older_build) {
          instances[i].Check(&tables, is_split || i == holder,
                             now - started_at[i] >= Millis{4000}, now);
        }
      }
      for (size_t i = 0; i < kInstances; ++i) {
        if (lists[i].empty()) {
          continue;
        }
        const std::string id =
            std::to_string(now.count) + "-" + std::to_string(i);
        // The base is withdrawn before an instance of an older build is ready.
        if (instances[i].is_older_build && tables.content.release &&
            tables.content.release->base) {
          continue;
        }
        const auto chosen = std::next(
            lists[i].begin(), static_cast<long>((n + i) % lists[i].size()));
        const auto begun_at =
            instances[i].Begin(id, chosen->first, &tables, now);
        if (begun_at) {
          streams[id] = {*begun_at, now, i, started_at[i]};
        }
      }
      tables.copies.push_back(tables.content);
      std::erase_if(streams, [&](const auto& it) {
        return now - it.second.begun_at >= kLongestStream;
      });
      if (old_member >= 0) {
        continue;
      }
      for (const auto& it : streams) {
        const bool is_remembered =
            trouble == Trouble::kReleasesAndLosses &&
            started_at[it.second.instance] == it.second.instance_started_at;
        const auto found = is_remembered ? std::optional(it.second.version)
                                         : Find(it.first, tables);
        *n_returns += listed.contains(it.second.version) ? 1 : 0;
        if (!found || !listed.contains(*found)) {
          continue;
        }
        RC_ASSERT(*found == it.second.version);
        ++*n_known;
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamBaseTrackerTest);

}  // namespace

}  // namespace daisypond::gateway
