#include <exception>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "net/timed_socket.h"
#include "tests/test_macros.h"

namespace daisypond::net {

namespace {

constexpr base::Millis kShortTime{50};
constexpr base::Millis kLongTime{5000};
// More than the buffers of the system hold.
constexpr size_t kLongBytes = 32u << 20;

SUITE(TimedSocketTest) {
  CPPUNIT_TEST_SUITE(TimedSocketTest);
  CPPUNIT_TEST(TestReadTimeoutDoesNotEndAWrite);
  CPPUNIT_TEST(TestWriteTimeoutDoesNotEndARead);
  CPPUNIT_TEST(TestOperationBegunAfterItsDeadlineIsCancelled);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The other end got a part of a long request when its answer was late.
  void TestReadTimeoutDoesNotEndAWrite() {
    const std::string bytes(kLongBytes, 'x');
    ErrorCode write_ec = asio::error::would_block;
    asio::async_write(near_.Raw(), asio::buffer(bytes),
                      [&](ErrorCode ec, size_t) { write_ec = ec; });
    const auto read = [&]() -> asio::awaitable<void> {
      const ErrorCode ec = co_await ReadByte(&near_, kShortTime);
      EXPECT(ec == asio::error::operation_aborted);
      EXPECT(near_.ReadDeadline().HasPassed());
      std::string received(kLongBytes, '\0');
      const auto [far_ec, n] = co_await asio::async_read(
          far_.Raw(), asio::buffer(received), kAsTuple);
      EXPECT_EQ(kLongBytes, n);
    };
    Spawn(read);
    io_.run();
    EXPECT(!write_ec);
  }

  void TestWriteTimeoutDoesNotEndARead() {
    const std::string bytes(kLongBytes, 'x');
    ErrorCode read_ec = asio::error::would_block;
    const auto read = [&]() -> asio::awaitable<void> {
      read_ec = co_await ReadByte(&near_, kLongTime);
    };
    const auto write = [&]() -> asio::awaitable<void> {
      near_.WriteDeadline().Set(base::Clock::Now() + kShortTime);
      const auto [ec, n] = co_await asio::async_write(
          near_.Raw(), asio::buffer(bytes), near_.WriteDeadline().Token());
      near_.WriteDeadline().Clear();
      EXPECT(ec == asio::error::operation_aborted);
      EXPECT(n > 0 && n < kLongBytes);
      EXPECT(read_ec == asio::error::would_block);
      asio::write(far_.Raw(), asio::buffer("a", 1));
    };
    Spawn(read);
    Spawn(write);
    io_.run();
    EXPECT(!read_ec);
  }

  // The deadline may pass between two reads.
  void TestOperationBegunAfterItsDeadlineIsCancelled() {
    const auto read = [&]() -> asio::awaitable<void> {
      near_.ReadDeadline().Set(base::Clock::Now());
      asio::steady_timer timer(io_, kShortTime.ToChrono());
      co_await timer.async_wait(kAsTuple);
      EXPECT(near_.ReadDeadline().HasPassed());
      char buf = 0;
      const auto [ec, n] = co_await near_.Raw().async_read_some(
          asio::buffer(&buf, 1), near_.ReadDeadline().Token());
      EXPECT(ec == asio::error::operation_aborted);
    };
    Spawn(read);
    io_.run_for(kLongTime.ToChrono());
    EXPECT(io_.stopped());
  }

  void setUp() override {
    Tcp::acceptor acceptor(io_,
                           Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    near_.Raw().connect(acceptor.local_endpoint());
    far_.Raw() = acceptor.accept();
  }

 private:
  template <typename Coroutine>
  void Spawn(Coroutine coroutine) {
    asio::co_spawn(io_, coroutine, [](const std::exception_ptr& exception) {
      if (exception) {
        std::rethrow_exception(exception);
      }
    });
  }

  asio::awaitable<ErrorCode> ReadByte(TimedSocket * socket,
                                      base::Millis timeout) {
    char buf = 0;
    socket->ReadDeadline().Set(base::Clock::Now() + timeout);
    const auto [ec, n] = co_await socket->Raw().async_read_some(
        asio::buffer(&buf, 1), socket->ReadDeadline().Token());
    socket->ReadDeadline().Clear();
    co_return ec;
  }

  asio::io_context io_;
  TimedSocket near_{io_.get_executor()};
  TimedSocket far_{io_.get_executor()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimedSocketTest);

}  // namespace

}  // namespace daisypond::net
