#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "tests/test_macros.h"
#include "tunnel/client.h"
#include "tunnel/handshake.h"
#include "tunnel/server.h"

namespace daisypond::tunnel {

namespace {

namespace asio = boost::asio;

constexpr int kTimeoutMs = 3000;
constexpr base::Millis kOpenTimeout{400};
constexpr base::Millis kStall{200};
// Small buffers, so that a test soon fills them.
constexpr int kSmallBufferBytes = 32 << 10;

/// How a connection ended for its reader.
enum class ReadEnd : uint8_t { kNone, kEndOfData, kReset };

/// One end of a loopback TCP connection, with blocking calls.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) & ~O_NONBLOCK);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& bytes) const {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  /// Sends until nothing more is accepted for `quiet_ms`. Returns the number of
  /// bytes sent, at most `maximum`.
  size_t SendUntilBlocked(size_t maximum, int quiet_ms) const {
    const std::string block(kSmallBufferBytes, 'x');
    size_t n_sent = 0;
    while (n_sent < maximum) {
      pollfd it{fd_, POLLOUT, 0};
      if (poll(&it, 1, quiet_ms) <= 0) {
        break;
      }
      const ssize_t n =
          send(fd_, block.data(), std::min(block.size(), maximum - n_sent),
               MSG_NOSIGNAL | MSG_DONTWAIT);
      n_sent += n > 0 ? static_cast<size_t>(n) : 0;
    }
    return n_sent;
  }

  /// Reads `n` bytes, fewer if the connection ends or is silent for kTimeoutMs.
  std::string Read(size_t n) {
    std::string bytes;
    char buf[4096];
    while (bytes.size() < n && end_ == ReadEnd::kNone) {
      pollfd it{fd_, POLLIN, 0};
      if (poll(&it, 1, kTimeoutMs) <= 0) {
        break;
      }
      const ssize_t got =
          recv(fd_, buf, std::min(sizeof(buf), n - bytes.size()), 0);
      if (got > 0) {
        bytes.append(buf, static_cast<size_t>(got));
      } else {
        end_ = got == 0 ? ReadEnd::kEndOfData : ReadEnd::kReset;
      }
    }
    return bytes;
  }

  ReadEnd ReadToEnd() {
    Read(SIZE_MAX);
    return end_;
  }

  void ShutDownSend() const { shutdown(fd_, SHUT_WR); }

  void Close() {
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }

  void Reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

 private:
  int fd_;
  ReadEnd end_ = ReadEnd::kNone;
};

/// A listening loopback port whose connections the test serves itself.
class Listener {
 public:
  explicit Listener(int backlog = 16) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &kSmallBufferBytes,
               sizeof(kSmallBufferBytes));
    CPPUNIT_ASSERT_EQUAL(0,
                         bind(fd_, reinterpret_cast<sockaddr*>(&address), n));
    listen(fd_, backlog);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &n);
    address_ = fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
  }
  ~Listener() { close(fd_); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  const std::string& Address() const { return address_; }

  /// Returns the next connection, or null if none arrives in time.
  std::unique_ptr<Connection> Accept(int timeout_ms = kTimeoutMs) const {
    pollfd it{fd_, POLLIN, 0};
    if (poll(&it, 1, timeout_ms) <= 0) {
      return nullptr;
    }
    return std::make_unique<Connection>(accept(fd_, nullptr, nullptr));
  }

 private:
  int fd_;
  std::string address_;
};

/// Returns an address that refuses connections.
std::string ClosedAddress() {
  return Listener().Address();
}

/// A peer that opens tunnels to the targets in `targets`.
class Peer {
 public:
  explicit Peer(std::map<std::string, std::string> targets,
                size_t maximum_tunnels = Server::kMaximumTunnels)
      : targets_(std::move(targets)),
        address_(ClosedAddress()),
        server_(
            io_.get_executor(),
            [this](const ConnectRequest& it) { return Find(it); },
            maximum_tunnels) {
    CPPUNIT_ASSERT(server_.Listen(address_));
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Peer() {
    io_.stop();
    thread_.join();
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  const std::string& Address() const { return address_; }

  size_t OpenTunnels() {
    std::atomic<size_t> n = SIZE_MAX;
    asio::post(io_, [&] { n = server_.OpenTunnels(); });
    while (n == SIZE_MAX) {
      std::this_thread::yield();
    }
    return n;
  }

  bool HasOpenTunnelsWithin(size_t n, int timeout_ms) {
    for (int i = 0; i < timeout_ms && OpenTunnels() != n; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return OpenTunnels() == n;
  }

  /// Keeps the peer's thread busy for `span`. Returns at once.
  void Stall(base::Millis span) {
    asio::post(io_, [span] { std::this_thread::sleep_for(span.ToChrono()); });
  }

  void StopAccepting() {
    asio::post(io_, [this] { server_.StopAccepting(); });
    OpenTunnels();
  }

 private:
  tl::expected<std::string, Status> Find(const ConnectRequest& request) const {
    const auto it = targets_.find(request.target);
    if (it == targets_.end()) {
      return tl::unexpected(Status::kRefused);
    }
    return it->second;
  }

  std::map<std::string, std::string> targets_;
  std::string address_;
  asio::io_context io_{1};
  Server server_;
  std::thread thread_;
};

/// The result of Open(). `connection` is null unless the status is kOpen.
struct Opened {
  Status status = Status::kPeerUnreachable;
  Framing framing = Framing::kNone;
  std::unique_ptr<Connection> connection;
};

Opened OpenTunnel(const std::string& peer,
                  const std::string& target,
                  Framing framing = Framing::kNone) {
  asio::io_context io(1);
  net::TimedSocket socket(io.get_executor());
  socket.Raw().open(net::Tcp::v4());
  socket.Raw().set_option(
      asio::socket_base::receive_buffer_size(kSmallBufferBytes));
  Opened opened;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        const ConnectRequest request{target, 1, "front-1", framing};
        const OpenResult result = co_await Open(
            &socket, peer, request, base::Clock::Now() + kOpenTimeout);
        opened.status = result.status;
        opened.framing = result.framing;
      },
      asio::detached);
  io.run();
  CPPUNIT_ASSERT_EQUAL(opened.status == Status::kOpen, socket.Raw().is_open());
  if (opened.status == Status::kOpen) {
    opened.connection = std::make_unique<Connection>(socket.Raw().release());
  }
  return opened;
}

/// Opens a plain connection to "127.0.0.1:PORT".
std::unique_ptr<Connection> ConnectTo(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(
      static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
  CPPUNIT_ASSERT_EQUAL(
      0, connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)));
  return std::make_unique<Connection>(fd);
}

SUITE(TunnelTest) {
  CPPUNIT_TEST_SUITE(TunnelTest);
  CPPUNIT_TEST(TestBytesPassBothWays);
  CPPUNIT_TEST(TestHalfCloseIsPassedOn);
  CPPUNIT_TEST(TestEndOfTargetIsPassedOn);
  CPPUNIT_TEST(TestResetOfTargetArrivesAsReset);
  CPPUNIT_TEST(TestResetAfterEndOfRequestArrivesAsReset);
  CPPUNIT_TEST(TestResetOfRequesterArrivesAsReset);
  CPPUNIT_TEST(TestUnknownTargetIsRefused);
  CPPUNIT_TEST(TestUnreachableTargetIsReported);
  CPPUNIT_TEST(TestSilentTargetIsReported);
  CPPUNIT_TEST(TestTunnelsBeyondTheBoundAreRefused);
  CPPUNIT_TEST(TestStoppedServerKeepsOpenTunnels);
  CPPUNIT_TEST(TestSlowReaderHoldsBackTheTarget);
  CPPUNIT_TEST(TestMalformedRequestIsReset);
  CPPUNIT_TEST(TestSilentRequesterIsReset);
  CPPUNIT_TEST(TestBytesAfterTheRequestReachTheTarget);
  CPPUNIT_TEST(TestPeerWithoutServerIsUnreachable);
  CPPUNIT_TEST(TestSilentPeerIsUnreachable);
  CPPUNIT_TEST(TestBrokenAnswerIsUnreachable);
  CPPUNIT_TEST(TestBytesAfterASplitAnswerAreKept);
  CPPUNIT_TEST(TestIdThatDoesNotFitIsRefused);
  CPPUNIT_TEST(TestEndOfTargetIsMarked);
  CPPUNIT_TEST(TestResetOfTargetUnderAWriteIsNotMarkedAsEnd);
  CPPUNIT_TEST(TestEndOfPeerIsNotMarked);
  CPPUNIT_TEST(TestEndOfPeerResetsTunnelWithoutFrames);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestBytesPassBothWays() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t");
    EXPECT(opened.status == Status::kOpen);
    const auto at_target = target.Accept();
    EXPECT(at_target != nullptr);
    EXPECT(opened.connection->Send("request"));
    EXPECT_EQ(std::string("request"), at_target->Read(7));
    std::string answer;
    for (int i = 0; i < 200'000; ++i) {
      answer += std::to_string(i);
    }
    std::thread sender([&] { at_target->Send(answer); });
    EXPECT(answer == opened.connection->Read(answer.size()));
    sender.join();
    EXPECT(opened.connection->Send("again"));
    EXPECT_EQ(std::string("again"), at_target->Read(5));
    EXPECT_EQ(size_t{1}, peer.OpenTunnels());
  }

  void TestHalfCloseIsPassedOn() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t");
    const auto at_target = target.Accept();
    opened.connection->Send("request");
    opened.connection->ShutDownSend();
    EXPECT_EQ(std::string("request"), at_target->Read(100));
    EXPECT(at_target->ReadToEnd() == ReadEnd::kEndOfData);
    at_target->Send("answer");
    EXPECT_EQ(std::string("answer"), opened.connection->Read(6));
    at_target->Close();
    EXPECT(opened.connection->ReadToEnd() == ReadEnd::kEndOfData);
    EXPECT(peer.HasOpenTunnelsWithin(0, kTimeoutMs));
  }

  void TestEndOfTargetIsPassedOn() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t");
    const auto at_target = target.Accept();
    at_target->Send("answer");
    at_target->Close();
    EXPECT_EQ(std::string("answer"), opened.connection->Read(100));
    EXPECT(opened.connection->ReadToEnd() == ReadEnd::kEndOfData);
    opened.connection->Close();
    EXPECT(peer.HasOpenTunnelsWithin(0, kTimeoutMs));
  }

  void TestResetOfTargetArrivesAsReset() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t");
    const auto at_target = target.Accept();
    at_target->Send("part");
    EXPECT_EQ(std::string("part"), opened.connection->Read(4));
    at_target->Reset();
    EXPECT(opened.connection->ReadToEnd() == ReadEnd::kReset);
    EXPECT(peer.HasOpenTunnelsWithin(0, kTimeoutMs));
  }

  void TestResetAfterEndOfRequestArrivesAsReset() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t");
    const auto at_target = target.Accept();
    opened.connection->ShutDownSend();
    EXPECT(at_target->ReadToEnd() == ReadEnd::kEndOfData);
    at_target->Reset();
    EXPECT(opened.connection->ReadToEnd() == ReadEnd::kReset);
  }

  void TestResetOfRequesterArrivesAsReset() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t");
    const auto at_target = target.Accept();
    opened.connection->Reset();
    EXPECT(at_target->ReadToEnd() == ReadEnd::kReset);
    EXPECT(peer.HasOpenTunnelsWithin(0, kTimeoutMs));
  }

  void TestUnknownTargetIsRefused() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    EXPECT(OpenTunnel(peer.Address(), "u").status == Status::kRefused);
    EXPECT(target.Accept(50) == nullptr);
    EXPECT_EQ(size_t{0}, peer.OpenTunnels());
  }

  void TestUnreachableTargetIsReported() {
    Peer peer({{"t", ClosedAddress()}, {"u", "nowhere"}});
    EXPECT(OpenTunnel(peer.Address(), "t").status ==
           Status::kTargetUnreachable);
    EXPECT(OpenTunnel(peer.Address(), "u").status ==
           Status::kTargetUnreachable);
    EXPECT_EQ(size_t{0}, peer.OpenTunnels());
  }

  // The queue of the listener is full, so that further connects are not
  // answered.
  void TestSilentTargetIsReported() {
    const Listener target(0);
    const auto queued = ConnectTo(target.Address());
    Peer peer({{"t", target.Address()}});
    const base::Millis began_at = base::Clock::Now();
    EXPECT(OpenTunnel(peer.Address(), "t").status ==
           Status::kTargetUnreachable);
    EXPECT(base::Clock::Now() - began_at >= Server::kConnectTimeout);
    EXPECT_EQ(size_t{0}, peer.OpenTunnels());
  }

  void TestTunnelsBeyondTheBoundAreRefused() {
    const Listener target;
    Peer peer({{"t", target.Address()}}, 2);
    const Opened first = OpenTunnel(peer.Address(), "t");
    const Opened second = OpenTunnel(peer.Address(), "t");
    EXPECT(second.status == Status::kOpen);
    EXPECT(OpenTunnel(peer.Address(), "t").status == Status::kRefused);
    first.connection->Reset();
    EXPECT(peer.HasOpenTunnelsWithin(1, kTimeoutMs));
    EXPECT(OpenTunnel(peer.Address(), "t").status == Status::kOpen);
  }

  void TestStoppedServerKeepsOpenTunnels() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t");
    const auto at_target = target.Accept();
    peer.StopAccepting();
    EXPECT(OpenTunnel(peer.Address(), "t").status == Status::kRefused);
    EXPECT(opened.connection->Send("request"));
    EXPECT_EQ(std::string("request"), at_target->Read(7));
    at_target->Send("answer");
    EXPECT_EQ(std::string("answer"), opened.connection->Read(6));
  }

  void TestSlowReaderHoldsBackTheTarget() {
    constexpr size_t kOffered = 16u << 20;
    constexpr size_t kMaximumAhead = 1u << 20;
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t");
    const auto at_target = target.Accept();
    const size_t n = at_target->SendUntilBlocked(kOffered, 300);
    EXPECT(n < kMaximumAhead);
    EXPECT_EQ(n, opened.connection->Read(n).size());
    EXPECT(at_target->Send("end"));
    EXPECT_EQ(std::string("end"), opened.connection->Read(3));
  }

  void TestMalformedRequestIsReset() {
    Peer peer({});
    const auto connection = ConnectTo(peer.Address());
    connection->Send("GET / HTTP/1.1\r\n\r\n");
    EXPECT(connection->ReadToEnd() == ReadEnd::kReset);
    EXPECT_EQ(size_t{0}, peer.OpenTunnels());
  }

  void TestSilentRequesterIsReset() {
    Peer peer({});
    const auto connection = ConnectTo(peer.Address());
    connection->Send("CONNECT");
    const base::Millis began_at = base::Clock::Now();
    EXPECT(connection->ReadToEnd() == ReadEnd::kReset);
    EXPECT(base::Clock::Now() - began_at < base::Millis{kTimeoutMs});
  }

  void TestBytesAfterTheRequestReachTheTarget() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const auto connection = ConnectTo(peer.Address());
    connection->Send(*FormatRequest({"t", 0, "front-1"}) + "first");
    connection->Send("second");
    const auto at_target = target.Accept();
    EXPECT(at_target != nullptr);
    EXPECT_EQ(std::string("firstsecond"), at_target->Read(11));
  }

  void TestPeerWithoutServerIsUnreachable() {
    EXPECT(OpenTunnel(ClosedAddress(), "t").status == Status::kPeerUnreachable);
    EXPECT(OpenTunnel("nowhere", "t").status == Status::kPeerUnreachable);
  }

  void TestSilentPeerIsUnreachable() {
    const Listener peer;
    const base::Millis began_at = base::Clock::Now();
    EXPECT(OpenTunnel(peer.Address(), "t").status == Status::kPeerUnreachable);
    EXPECT(base::Clock::Now() - began_at >= kOpenTimeout);
    const auto at_peer = peer.Accept();
    EXPECT(at_peer->ReadToEnd() == ReadEnd::kReset);
  }

  void TestBrokenAnswerIsUnreachable() {
    for (const char* it : {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 404 X\r\n\r\n",
                           "HTTP/1.1 20", "nonsense"}) {
      const Listener peer;
      std::thread answering([&] {
        const auto at_peer = peer.Accept();
        at_peer->Send(it);
        at_peer->ShutDownSend();
        at_peer->ReadToEnd();
      });
      const Status status = OpenTunnel(peer.Address(), "t").status;
      answering.join();
      EXPECT(status == Status::kPeerUnreachable);
    }
  }

  void TestBytesAfterASplitAnswerAreKept() {
    const Listener peer;
    std::unique_ptr<Connection> at_peer;
    std::thread answering([&] {
      at_peer = peer.Accept();
      at_peer->Read(FormatRequest({"t", 1, "front-1"})->size());
      for (const char* it : {"HTTP/1.1 2", "00 OK\r\n\r", "\nhello"}) {
        at_peer->Send(it);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    });
    const Opened opened = OpenTunnel(peer.Address(), "t");
    answering.join();
    EXPECT(opened.status == Status::kOpen);
    EXPECT_EQ(std::string("hello"), opened.connection->Read(5));
  }

  void TestEndOfTargetIsMarked() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t", Framing::kFrames);
    EXPECT(opened.framing == Framing::kFrames);
    const auto at_target = target.Accept();
    opened.connection->Send("request");
    EXPECT_EQ(std::string("request"), at_target->Read(7));
    at_target->Send("answer");
    EXPECT_EQ(std::string("\0\6answer", 8), opened.connection->Read(8));
    at_target->Close();
    EXPECT_EQ(std::string("\0\0", 2), opened.connection->Read(100));
    EXPECT(opened.connection->ReadToEnd() == ReadEnd::kEndOfData);
  }

  // A write to the target learned of the reset; the read saw the end of data.
  void TestResetOfTargetUnderAWriteIsNotMarkedAsEnd() {
    const Listener target;
    Peer peer({{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer.Address(), "t", Framing::kFrames);
    const auto at_target = target.Accept();
    opened.connection->Send("request");
    EXPECT_EQ(std::string("request"), at_target->Read(7));
    at_target->Send("part");
    EXPECT_EQ(std::string("\0\4part", 6), opened.connection->Read(6));
    // The peer finds more of the request before it finds the reset.
    peer.Stall(kStall);
    opened.connection->Send("rest of the request");
    std::this_thread::sleep_for((kStall / 4).ToChrono());
    at_target->Reset();
    EXPECT_EQ(std::string(), opened.connection->Read(100));
    EXPECT(opened.connection->ReadToEnd() == ReadEnd::kReset);
  }

  // An instance took the end of its peer for the end of the target's answer.
  void TestEndOfPeerIsNotMarked() {
    const Listener target;
    auto peer = std::make_unique<Peer>(
        std::map<std::string, std::string>{{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer->Address(), "t", Framing::kFrames);
    const auto at_target = target.Accept();
    at_target->Send("part");
    EXPECT_EQ(std::string("\0\4part", 6), opened.connection->Read(6));
    peer.reset();
    EXPECT_EQ(std::string(), opened.connection->Read(100));
  }

  // The same with an instance of a build that knows no frames.
  void TestEndOfPeerResetsTunnelWithoutFrames() {
    const Listener target;
    auto peer = std::make_unique<Peer>(
        std::map<std::string, std::string>{{"t", target.Address()}});
    const Opened opened = OpenTunnel(peer->Address(), "t");
    const auto at_target = target.Accept();
    at_target->Send("part");
    EXPECT_EQ(std::string("part"), opened.connection->Read(4));
    peer.reset();
    EXPECT(opened.connection->ReadToEnd() == ReadEnd::kReset);
  }

  void TestIdThatDoesNotFitIsRefused() {
    const Listener peer;
    EXPECT(OpenTunnel(peer.Address(), "a b").status == Status::kRefused);
    EXPECT(peer.Accept(50) == nullptr);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TunnelTest);

}  // namespace

}  // namespace daisypond::tunnel
