#include "catalog/table_watcher.h"

#include <cstddef>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "tests/test_macros.h"

namespace daisypond::catalog {

namespace {

/// A table service whose history is lost once. Records how long each call
/// waits.
class FakeReader {
 public:
  explicit FakeReader(boost::asio::io_context* context) : context_(context) {}

  boost::asio::awaitable<TableReadResult> ListRows(std::string, std::string) {
    ++list_count;
    co_return RowPage{{}, false, 7};
  }

  boost::asio::awaitable<TableReadResult> WaitForChanges(std::string,
                                                         uint64_t version,
                                                         base::Millis wait) {
    waits.push_back(wait);
    // Returns to the event loop, which may have been stopped.
    co_await boost::asio::post(*context_, boost::asio::use_awaitable);
    if (waits.size() == 2) {
      co_return tl::unexpected(TableReadError::kHistoryGone);
    }
    if (waits.size() == 4) {
      context_->stop();
    }
    co_return RowPage{{}, false, version};
  }

  size_t list_count = 0;
  std::vector<base::Millis> waits;

 private:
  boost::asio::io_context* context_;
};

SUITE(TableWatcherTest) {
  CPPUNIT_TEST_SUITE(TableWatcherTest);
  CPPUNIT_TEST(TestWaitsAreShortAfterTheHistoryWasLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestWaitsAreShortAfterTheHistoryWasLost() {
    constexpr base::Millis kWait{2000};
    boost::asio::io_context context;
    FakeReader reader(&context);
    TableWatcherCallbacks callbacks;
    callbacks.on_listed = [](const std::vector<Row>&, uint64_t) {};
    callbacks.on_changed = callbacks.on_listed;
    callbacks.on_available = [](uint64_t) {};
    callbacks.on_unavailable = [](TableReadError) {};
    callbacks.next_wait = [=] { return kWait; };
    const TableWatcherOptions options{.table = "t"};
    TableWatcher watcher(&reader, options, callbacks);
    boost::asio::co_spawn(context, watcher.Run(), boost::asio::detached);
    context.run();
    EXPECT_EQ(size_t{2}, reader.list_count);
    EXPECT(reader.waits.at(0) == kWait);
    EXPECT(reader.waits.at(2) == options.cautious_wait);
    EXPECT(reader.waits.at(3) == options.cautious_wait);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableWatcherTest);

}  // namespace

}  // namespace daisypond::catalog
