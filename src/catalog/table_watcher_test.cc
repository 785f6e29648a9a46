#include "catalog/table_watcher.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "tests/test_macros.h"

namespace daisypond::catalog {

namespace {

/// A table service that fails the calls for changes in `errors`, by number, and
/// stops the event loop at call `last_call`. Records how long each call waits.
class FakeReader {
 public:
  FakeReader(boost::asio::io_context* context,
             std::map<size_t, TableReadError> errors,
             size_t last_call)
      : context_(context), errors_(std::move(errors)), last_call_(last_call) {}

  /// Lets call `call` return `n` changes of one row.
  void AddChange(size_t call, size_t n = 1) { changes_[call] = n; }

  boost::asio::awaitable<TableReadResult> ListRows(std::string, std::string) {
    ++list_count;
    co_return RowPage{{}, false, {7}};
  }

  boost::asio::awaitable<TableReadResult> WaitForChanges(std::string,
                                                         uint64_t version,
                                                         base::Millis wait) {
    waits.push_back(wait);
    // Returns to the event loop, which may have been stopped.
    co_await boost::asio::post(*context_, boost::asio::use_awaitable);
    const size_t call = waits.size() - 1;
    if (call == last_call_) {
      context_->stop();
    }
    const auto error = errors_.find(call);
    if (error != errors_.end()) {
      co_return tl::unexpected(error->second);
    }
    co_return RowPage{std::vector<Row>(changes_[call]), false, {version}};
  }

  size_t list_count = 0;
  std::vector<base::Millis> waits;

 private:
  boost::asio::io_context* context_;
  std::map<size_t, TableReadError> errors_;
  std::map<size_t, size_t> changes_;
  size_t last_call_;
};

constexpr base::Millis kWait{2000};

SUITE(TableWatcherTest) {
  CPPUNIT_TEST_SUITE(TableWatcherTest);
  CPPUNIT_TEST(TestWaitsAreShortAfterTheHistoryWasLost);
  CPPUNIT_TEST(TestCallsDoNotWaitUntilTheTableServiceAnswersAgain);
  CPPUNIT_TEST(TestChangesOfAnOutageAreReadBeforeCallsWaitAgain);
  CPPUNIT_TEST(TestRowsThatChangeFasterThanTheyAreReadAreListed);
  CPPUNIT_TEST(TestRowsAreListedAfterAnOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestWaitsAreShortAfterTheHistoryWasLost() {
    boost::asio::io_context context;
    FakeReader reader(&context, {{1, TableReadError::kHistoryGone}}, 3);
    const TableWatcherOptions options{.table = "t"};
    Watch(&context, &reader, options);
    EXPECT_EQ(size_t{2}, reader.list_count);
    EXPECT(reader.waits.at(0) == kWait);
    EXPECT(reader.waits.at(2) == options.cautious_wait);
    EXPECT(reader.waits.at(3) == options.cautious_wait);
  }

  // A call that a silent table service has taken is not answered after its
  // return either, and lasts for its wait and more.
  void TestCallsDoNotWaitUntilTheTableServiceAnswersAgain() {
    constexpr base::Millis kNone{0};
    boost::asio::io_context context;
    FakeReader reader(
        &context,
        {{1, TableReadError::kTimedOut}, {2, TableReadError::kTimedOut}}, 4);
    Watch(&context, &reader, kShortDelays);
    const std::vector<base::Millis> expected = {kWait, kWait, kNone, kNone,
                                                kWait};
    // The watcher may begin one more call before the event loop stops.
    reader.waits.resize(expected.size());
    EXPECT(reader.waits == expected);
    EXPECT_EQ(1, caught_up_count_);
  }

  void TestChangesOfAnOutageAreReadBeforeCallsWaitAgain() {
    constexpr base::Millis kNone{0};
    boost::asio::io_context context;
    FakeReader reader(&context, {{1, TableReadError::kTimedOut}}, 4);
    reader.AddChange(2);
    Watch(&context, &reader, kShortDelays);
    const std::vector<base::Millis> expected = {kWait, kWait, kNone, kNone,
                                                kWait};
    reader.waits.resize(expected.size());
    EXPECT(reader.waits == expected);
    EXPECT_EQ(1, caught_up_count_);
  }

  void TestRowsThatChangeFasterThanTheyAreReadAreListed() {
    boost::asio::io_context context;
    FakeReader reader(&context, {}, 3);
    reader.AddChange(0, 1);
    reader.AddChange(1, 2);
    TableWatcherOptions options = kShortDelays;
    Watch(&context, &reader, options);
    EXPECT_EQ(size_t{1}, reader.list_count);

    boost::asio::io_context second_context;
    FakeReader second_reader(&second_context, {}, 3);
    second_reader.AddChange(0, 1);
    second_reader.AddChange(1, 2);
    options.catch_up = CatchUp::kRows;
    Watch(&second_context, &second_reader, options);
    EXPECT_EQ(size_t{2}, second_reader.list_count);
  }

  void TestRowsAreListedAfterAnOutage() {
    boost::asio::io_context context;
    FakeReader reader(&context,
                      {{1, TableReadError::kTimedOut},
                       {2, TableReadError::kTimedOut},
                       {3, TableReadError::kTimedOut}},
                      4);
    TableWatcherOptions options = kShortDelays;
    options.catch_up = CatchUp::kRows;
    options.initial_backoff = options.maximum_backoff = {40};
    options.maximum_missed_time = {30};
    Watch(&context, &reader, options);
    EXPECT(reader.list_count > 1);
  }

 private:
  inline static const TableWatcherOptions kShortDelays = {
      .table = "t",
      .change_batch_delay = {1},
      .initial_backoff = {2},
      .maximum_backoff = {2}};

  void Watch(boost::asio::io_context * context, FakeReader * reader,
             const TableWatcherOptions& options) {
    TableWatcherCallbacks callbacks;
    callbacks.on_listed = [](const std::vector<Row>&, TableVersion) {};
    callbacks.on_changed = callbacks.on_listed;
    callbacks.on_available = [](TableVersion, base::Millis) {};
    callbacks.on_unavailable = [](TableReadError) {};
    callbacks.on_caught_up = [this] { ++caught_up_count_; };
    callbacks.next_wait = [] { return kWait; };
    TableWatcher watcher(reader, options, callbacks);
    boost::asio::co_spawn(*context, watcher.Run(), boost::asio::detached);
    context->run();
  }

  int caught_up_count_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableWatcherTest);

}  // namespace

}  // namespace daisypond::catalog
