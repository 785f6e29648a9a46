#include "net/http_call_client.h"

#include <optional>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "tests/test_macros.h"

namespace daisypond::net {

namespace {

using base::Millis;

constexpr Millis kTimeout{300};

/// Answers one call with `n` pieces, one each `pause`, and is then silent until
/// the caller closes the connection.
class SlowServer {
 public:
  SlowServer(size_t n, size_t piece_bytes, size_t length, Millis pause)
      : acceptor_(context_,
                  {asio::ip::make_address("127.0.0.1"), /*port_num=*/0}),
        thread_([=, this] { Serve(n, piece_bytes, length, pause); }) {}
  ~SlowServer() { thread_.join(); }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;

  std::string Address() const {
    return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
  }

 private:
  void Serve(size_t n, size_t piece_bytes, size_t length, Millis pause) {
    Tcp::socket socket = acceptor_.accept();
    std::string buf(4096, '\0');
    ErrorCode ec;
    socket.read_some(asio::buffer(buf), ec);
    const std::string header =
        fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", length);
    asio::write(socket, asio::buffer(header), ec);
    const std::string piece(piece_bytes, 'x');
    for (size_t i = 0; i < n && !ec; ++i) {
      asio::write(socket, asio::buffer(piece), ec);
      std::this_thread::sleep_for(pause.ToChrono());
    }
    while (!ec) {
      socket.read_some(asio::buffer(buf), ec);
    }
  }

  asio::io_context context_;
  Tcp::acceptor acceptor_;
  std::thread thread_;
};

struct CallResult {
  std::optional<HttpCallError> error;
  size_t body_bytes = 0;
  Millis took;
};

CallResult Call(const std::string& address) {
  asio::io_context context;
  HttpCallClient client(context.get_executor(), address);
  CallResult result;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        const Millis began_at = base::Clock::Now();
        const auto answer = co_await client.Get("/", kTimeout);
        result.took = base::Clock::Now() - began_at;
        if (answer) {
          result.body_bytes = answer->body().size();
        } else {
          result.error = answer.error();
        }
      },
      asio::detached);
  context.run();
  return result;
}

SUITE(HttpCallClientTest) {
  CPPUNIT_TEST_SUITE(HttpCallClientTest);
  CPPUNIT_TEST(TestLargeResponseOverANarrowLinkIsNotGivenUp);
  CPPUNIT_TEST(TestResponseThatStopsIsGivenUp);
  CPPUNIT_TEST(TestResponseOfAFewBytesNowAndThenIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestLargeResponseOverANarrowLinkIsNotGivenUp() {
    constexpr size_t kPieces = 20;
    constexpr size_t kPieceBytes = 32u << 10;
    const SlowServer server(kPieces, kPieceBytes, kPieces * kPieceBytes,
                            Millis{50});
    const CallResult result = Call(server.Address());
    EXPECT(!result.error);
    EXPECT_EQ(kPieces * kPieceBytes, result.body_bytes);
    EXPECT(result.took > kTimeout * 2);
  }

  void TestResponseThatStopsIsGivenUp() {
    constexpr size_t kPieceBytes = 512u << 10;
    const SlowServer server(1, kPieceBytes, 2 * kPieceBytes, Millis{0});
    const CallResult result = Call(server.Address());
    EXPECT(result.error == HttpCallError::kTimedOut);
    EXPECT(result.took < kMaximumPause * 2);
  }

  void TestResponseOfAFewBytesNowAndThenIsGivenUp() {
    constexpr size_t kPieces = 50;
    const SlowServer server(kPieces, 16, 1u << 20, Millis{20});
    const CallResult result = Call(server.Address());
    EXPECT(result.error == HttpCallError::kTimedOut);
    EXPECT(result.took < kTimeout * 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCallClientTest);

}  // namespace

}  // namespace daisypond::net
