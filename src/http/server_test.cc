#include "http/server.h"

#include <functional>
#include <string>
#include <thread>

#include <boost/asio.hpp>

#include "tests/test_macros.h"

namespace daisypond::http {

namespace {

using base::Clock;
using base::Millis;
using boost::asio::ip::tcp;

constexpr Millis kTimeout{5000};
constexpr Millis kPollPeriod{5};

bool WaitUntil(const std::function<bool()>& condition) {
  const Millis deadline = Clock::Now() + kTimeout;
  while (!condition() && Clock::Now() < deadline) {
    std::this_thread::sleep_for(kPollPeriod.ToChrono());
  }
  return condition();
}

ServerOptions OptionsWithThreads(int threads) {
  ServerOptions options;
  options.address = "127.0.0.1:0";
  options.threads = threads;
  return options;
}

void EchoBody(const ServerRequest& request, ResponseStream& stream) {
  ServerResponse response;
  response.body = request.body;
  stream.Send(response);
}

class Caller {
 public:
  explicit Caller(int port) : socket_(context_) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"),
                     static_cast<uint16_t>(port)});
  }

  void Send(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }

  /// Returns all bytes until the end of the connection.
  std::string ReadAll() {
    std::string answer;
    boost::system::error_code ec;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(answer), ec);
    return answer;
  }

 private:
  boost::asio::io_context context_;
  tcp::socket socket_;
};

SUITE(ServerTest) {
  CPPUNIT_TEST_SUITE(ServerTest);
  CPPUNIT_TEST(TestRequestIsOpenWhileItsBodyIsRead);
  CPPUNIT_TEST(TestServerIsNotIdleWhileRequestsMayWaitForAThread);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRequestIsOpenWhileItsBodyIsRead() {
    const Server server(OptionsWithThreads(2), EchoBody);
    const Millis began_at = Clock::Now() - kTimeout;
    Caller caller(server.Port());
    caller.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    EXPECT(WaitUntil([&] { return server.OpenRequests() == 1; }));
    EXPECT(!server.MayClose(began_at));
    caller.Send("cd");
    EXPECT(caller.ReadAll().ends_with("\r\n\r\nabcd"));
    EXPECT(WaitUntil([&] { return server.OpenRequests() == 0; }));
    EXPECT(!server.MayClose(Clock::Now()));
    EXPECT(WaitUntil([&] { return server.MayClose(began_at); }));
  }

  void TestServerIsNotIdleWhileRequestsMayWaitForAThread() {
    const Server server(OptionsWithThreads(1), EchoBody);
    Caller idle(server.Port());
    Caller waiting(server.Port());
    waiting.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na");
    // Until the idle connection is no longer expected to send a header.
    std::this_thread::sleep_for(Millis{1200}.ToChrono());
    EXPECT_EQ(int64_t{0}, server.OpenRequests());
    EXPECT(!server.IsIdle());
    idle.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT(waiting.ReadAll().ends_with("\r\n\r\na"));
    EXPECT(WaitUntil([&] { return server.IsIdle(); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

}  // namespace

}  // namespace daisypond::http
