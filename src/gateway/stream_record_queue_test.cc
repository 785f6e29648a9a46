#include "gateway/stream_record_queue.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "forward/version_history.h"
#include "gateway/release_record.h"
#include "tests/test_macros.h"

namespace daisypond::gateway {

namespace {

using base::Millis;
using forward::StreamRecord;
using forward::VersionCount;
using forward::VersionHistory;

constexpr Millis kUnixNow{1'700'000'000'000};
constexpr Millis kWritePeriod{200};

/// The table service, which outlives all instances.
struct Tables {
  void Write(const std::vector<catalog::Row>& rows) {
    for (const catalog::Row& it : rows) {
      if (it.is_removed) {
        streams.erase(it.key);
      } else {
        streams[it.key] = it;
      }
    }
  }

  std::map<std::string, catalog::Row> streams;
  forward::ServiceVersions versions;
};

/// What an instance knows of versions and streams.
struct InstanceModel {
  VersionHistory history;
  StreamRecordQueue queue;
  std::map<std::string, StreamRecord> remembered;
  bool is_storing = false;
  /// When records were last lost with another instance.
  Millis lost_at{INT64_MIN / 2};

  bool HasSeveral(Millis now) const {
    const auto recent = history.RecentVersions(now);
    const auto it = recent.find("s");
    return it != recent.end() && it->second.size() > 1;
  }

  void OnTargets(const std::set<std::string>& listed, Millis now) {
    catalog::Targets targets;
    for (const std::string& it : listed) {
      catalog::Target target;
      target.id = it;
      target.service = "s";
      target.version = it;
      targets[it] = target;
    }
    history.OnTargets(targets, now);
    const bool has_several = HasSeveral(now);
    if (has_several && !is_storing) {
      for (const auto& it : remembered) {
        queue.Add(it.first, it.second);
      }
    }
    is_storing = has_several;
  }

  void Record(const std::string& id, const StreamRecord& record) {
    remembered[id] = record;
    if (is_storing) {
      queue.Add(id, record);
    }
  }

  /// Returns the version that began a stream, as far as it is known.
  std::optional<std::string> Find(const std::string& id,
                                  const Tables& tables,
                                  Millis now) const {
    const auto own = remembered.find(id);
    if (own != remembered.end()) {
      return own->second.version;
    }
    const auto row = tables.streams.find(id);
    if (row != tables.streams.end()) {
      return DecodeStreamRecord(row->second)->record.version;
    }
    return history.Count("s", now) == VersionCount::kOne
               ? history.LatestVersion("s")
               : history.EarlierVersion("s", now, lost_at);
  }
};

SUITE(StreamRecordQueueTest) {
  CPPUNIT_TEST_SUITE(StreamRecordQueueTest);
  CPPUNIT_TEST(TestRecordIsInTheNextBatch);
  CPPUNIT_TEST(TestLostBatchIsWrittenAgain);
  CPPUNIT_TEST(TestRowsAreRemovedAndTheTableIsBounded);
  CPPUNIT_TEST(TestUnreadableRowsAreRejected);
  CPPUNIT_TEST(TestReleaseRecordIsReadByOtherBuilds);
  CPPUNIT_TEST(TestNoStreamIsJoinedAfterAllInstancesAreLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRecordIsInTheNextBatch() {
    StreamRecordQueue queue;
    EXPECT(queue.TakeBatch({0}, kUnixNow).empty());
    queue.Add("a", {"s", "v1"});
    const auto batch = queue.TakeBatch({0}, kUnixNow);
    EXPECT_EQ(size_t{1}, batch.size());
    EXPECT(DecodeStreamRecord(batch[0])->record == (StreamRecord{"s", "v1"}));
    EXPECT(queue.TakeBatch({1}, kUnixNow).empty());
  }

  void TestLostBatchIsWrittenAgain() {
    StreamRecordQueue queue;
    queue.Add("a", {"s", "v1"});
    queue.PutBack(queue.TakeBatch({0}, kUnixNow), {1500});
    const auto batch = queue.TakeBatch({1500}, kUnixNow);
    EXPECT_EQ(size_t{1}, batch.size());
    EXPECT_EQ(std::string("a"), batch[0].key);
  }

  void TestRowsAreRemovedAndTheTableIsBounded() {
    constexpr int kStreamsPerSecond = 97;
    // Rows of the retention period, and of the delay until a transaction of
    // removals is full.
    constexpr size_t kMaximumRows = 97 * 60 + 200;
    StreamRecordQueue queue;
    Tables tables;
    size_t n_calls = 0;
    const Millis end{300'000};
    for (Millis now{0}; now < end; now = now + kWritePeriod) {
      for (int i = 0; i < kStreamsPerSecond / 5 + 1; ++i) {
        queue.Add(std::to_string(now.count) + "-" + std::to_string(i),
                  {"s", "v1"});
      }
      const auto batch = queue.TakeBatch(now, kUnixNow + now);
      n_calls += batch.empty() ? 0 : 1;
      tables.Write(batch);
      EXPECT(batch.size() <= catalog::kMaximumRowsPerWrite);
      EXPECT(tables.streams.size() <= kMaximumRows);
    }
    EXPECT(n_calls <= static_cast<size_t>(end.count / kWritePeriod.count));
    for (Millis now = end; now < end + Millis{120'000};
         now = now + kWritePeriod) {
      tables.Write(queue.TakeBatch(now, kUnixNow + now));
    }
    EXPECT(tables.streams.empty());
  }

  void TestUnreadableRowsAreRejected() {
    EXPECT(!DecodeStreamRecord({"a", "", false}));
    EXPECT(!DecodeStreamRecord({"a", "[1]", false}));
    EXPECT(!DecodeStreamRecord({"a", R"({"service":"s","version":1})", false}));
    EXPECT(!DecodeStreamRecord(
        {"a", R"({"version":"v1","stored_at_ms":1})", false}));
    EXPECT(!DecodeReleaseRecord(""));
    EXPECT(!DecodeReleaseRecord("x"));
    EXPECT(!DecodeReleaseRecord("1 {}"));
    EXPECT(!DecodeReleaseRecord("1 [2]"));
  }

  void TestReleaseRecordIsReadByOtherBuilds() {
    // An earlier build writes the time only, and reads only the time.
    EXPECT(DecodeReleaseRecord("1733333333000")->empty());
    const std::set<std::string> versions{"v1", "v\"2"};
    const std::string text = EncodeReleaseRecord(versions, kUnixNow);
    EXPECT(text.starts_with("1700000000000 "));
    EXPECT(*DecodeReleaseRecord(text) == versions);
    EXPECT(EncodeReleaseRecord({"v1"}, kUnixNow).starts_with("0 "));
  }

  void TestNoStreamIsJoinedAfterAllInstancesAreLost() {
    int n_returns = 0;
    int n_known = 0;
    const bool is_correct = rc::check(
        "a returning stream goes on at its version or not at all", [&] {
          const auto steps = *rc::gen::container<std::vector<int>>(
              300, rc::gen::inRange(0, 100));
          PlayHistory(steps, &n_returns, &n_known);
        });
    EXPECT(is_correct);
    EXPECT(n_returns > 1000);
    EXPECT(n_known * 10 >= n_returns * 9);
  }

 private:
  /// Plays releases, losses of all instances and returns of streams, a step
  /// each kWritePeriod. Counts the returns that could go on, because their
  /// version is listed and their record is older than the writing period.
  static void PlayHistory(const std::vector<int>& steps, int* n_returns,
                          int* n_known) {
    struct Stream {
      std::string version;
      Millis begun_at;
    };
    Tables tables;
    std::optional<InstanceModel> instance(std::in_place);
    std::set<std::string> listed{"v0"};
    std::map<std::string, Stream> streams;
    int last_version = 0;
    Millis now{0};
    instance->OnTargets(listed, now);
    for (const int it : steps) {
      now = now + kWritePeriod;
      if (it < 4) {
        listed.insert("v" + std::to_string(++last_version));
        instance->OnTargets(listed, now);
      } else if (it < 8 && listed.size() > 1) {
        listed.erase(listed.begin());
        instance->OnTargets(listed, now);
      } else if (it < 10) {
        // All targets are replaced while no instance sees both versions.
        listed = {"v" + std::to_string(++last_version)};
        instance->OnTargets(listed, now);
      } else if (it < 14) {
        instance.emplace();
        instance->OnTargets(listed, now);
        instance->history.OnRecordsRead(tables.versions, now);
        CheckReturns(*instance, tables, streams, listed, now, n_returns,
                     n_known);
        continue;
      } else if (it >= 97) {
        // Callers return while releases go on.
        CheckReturns(*instance, tables, streams, listed, now, n_returns,
                     n_known);
      } else if (it < 60) {
        const std::string id = std::to_string(now.count);
        const std::string version =
            *std::next(listed.begin(), it % static_cast<int>(listed.size()));
        streams[id] = {version, now};
        instance->Record(id, {"s", version});
      }
      tables.Write(instance->queue.TakeBatch(now, kUnixNow + now));
      tables.versions = instance->history.RecentVersions(now);
      std::erase_if(streams, [&](const auto& stream) {
        return now - stream.second.begun_at >= Millis{25'000};
      });
    }
  }

  template <typename Streams>
  static void CheckReturns(const InstanceModel& instance, const Tables& tables,
                           const Streams& streams,
                           const std::set<std::string>& listed, Millis now,
                           int* n_returns, int* n_known) {
    for (const auto& it : streams) {
      const auto version = instance.Find(it.first, tables, now);
      RC_ASSERT(!version || *version == it.second.version);
      if (listed.contains(it.second.version)) {
        ++*n_returns;
        *n_known += version ? 1 : 0;
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamRecordQueueTest);

}  // namespace

}  // namespace daisypond::gateway
