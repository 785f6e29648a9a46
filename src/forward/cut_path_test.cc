#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "forward/session.h"
#include "tests/fake_target.h"
#include "tests/plain_dialect.h"
#include "tests/test_macros.h"
#include "tunnel/server.h"

namespace daisypond::forward {

namespace {

namespace asio = boost::asio;
using base::Millis;
using tests::FakeTarget;
using tests::LoopbackConnection;

constexpr int kReadTimeoutMs = 5000;

std::string HeaderField(const std::string& header, const std::string& name) {
  const size_t at = header.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const size_t from = at + name.size() + 4;
  return header.substr(from, header.find("\r\n", from) - from);
}

int BindLoopback() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return fd;
}

std::string AddressOf(int fd) {
  sockaddr_in address{};
  socklen_t n = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  return fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
}

/// An address that refuses connections.
class RefusingAddress {
 public:
  RefusingAddress() : fd_(BindLoopback()) {}
  ~RefusingAddress() { close(fd_); }
  RefusingAddress(const RefusingAddress&) = delete;
  RefusingAddress& operator=(const RefusingAddress&) = delete;

  std::string Address() const { return AddressOf(fd_); }

 private:
  int fd_;
};

/// An address at which connects hang, because its queue of new connections is
/// full.
class HangingAddress {
 public:
  HangingAddress() : listener_(BindLoopback()) {
    listen(listener_, 0);
    sockaddr_in address{};
    socklen_t n = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &n);
    for (int& it : fillers_) {
      it = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      connect(it, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    }
  }
  ~HangingAddress() {
    for (const int it : fillers_) {
      close(it);
    }
    close(listener_);
  }
  HangingAddress(const HangingAddress&) = delete;
  HangingAddress& operator=(const HangingAddress&) = delete;

  std::string Address() const { return AddressOf(listener_); }

 private:
  int listener_;
  int fillers_[4] = {-1, -1, -1, -1};
};

/// An address that accepts connections and resets them.
class ResettingAddress {
 public:
  ResettingAddress() : listener_(BindLoopback()) {
    listen(listener_, 16);
    thread_ = std::thread([this] {
      for (int fd = accept(listener_, nullptr, nullptr); fd >= 0;
           fd = accept(listener_, nullptr, nullptr)) {
        LoopbackConnection(fd).ResetOnClose();
        close(fd);
      }
    });
  }
  ~ResettingAddress() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  ResettingAddress(const ResettingAddress&) = delete;
  ResettingAddress& operator=(const ResettingAddress&) = delete;

  std::string Address() const { return AddressOf(listener_); }

 private:
  int listener_;
  std::thread thread_;
};

/// An io_context with a thread of its own.
class Loop {
 public:
  Loop() : work_(asio::make_work_guard(io)), thread_([this] { io.run(); }) {}
  ~Loop() { Stop(); }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void Stop() {
    io.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /// Runs `task` on the thread and waits for its end.
  void Call(const std::function<void()>& task) {
    std::promise<void> done;
    asio::post(io, [&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  asio::io_context io{1};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

/// An instance that forwards requests, whose only peer is a tunnel server that
/// reaches all targets.
class CutInstance {
 public:
  CutInstance() : acceptor_(loop_.io) {
    loop_.Call([this] {
      ForwarderOptions options;
      options.instance = "cut";
      options.failure_domain = "a";
      options.retries.allowance = 10;
      forwarder_.emplace(loop_.io.get_executor(), options, &metrics);
      forwarder_->on_path_changed = [this](bool is_lost) {
        ++(is_lost ? n_lost : n_restored);
      };
      forwarder_->on_target_lost = [this](const TargetLoss&, uint64_t,
                                          LossAudience) { ++n_reported; };
      acceptor_.open(net::Tcp::v4());
      acceptor_.bind(net::Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
      acceptor_.listen();
      port_ = acceptor_.local_endpoint().port();
      asio::co_spawn(loop_.io, Accept(), asio::detached);
    });
  }
  ~CutInstance() { loop_.Stop(); }
  CutInstance(const CutInstance&) = delete;
  CutInstance& operator=(const CutInstance&) = delete;

  void Apply(const catalog::Catalog& next) {
    loop_.Call([&] { forwarder_->Apply(next); });
  }

  void SetPeers(std::vector<TunnelPeer> peers) {
    loop_.Call([&] { forwarder_->tunnel_peers = std::move(peers); });
  }

  /// Sends a request on a connection of its own and returns the answer.
  std::string Request(const std::string& method,
                      const std::string& path,
                      const std::string& end) const {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    LoopbackConnection connection(fd);
    connection.Send(fmt::format(
        "{} {} HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n",
        method, path));
    std::string answer = connection.ReadUntil(end, kReadTimeoutMs);
    close(fd);
    return answer;
  }

  base::Metrics metrics;
  std::atomic<int> n_lost = 0;
  std::atomic<int> n_restored = 0;
  std::atomic<int> n_reported = 0;

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto [ec, socket] = co_await acceptor_.async_accept(net::kAsTuple);
      if (ec) {
        co_return;
      }
      auto session = std::make_shared<Session<tests::PlainDialect>>(
          &*forwarder_, std::move(socket));
      asio::co_spawn(
          loop_.io, [session]() { return session->Run(); }, asio::detached);
    }
  }

  Loop loop_;
  std::optional<Forwarder> forwarder_;
  net::Tcp::acceptor acceptor_;
  uint16_t port_ = 0;
};

/// The peer: a tunnel server.
class Peer {
 public:
  /// `find_address` returns the address of the target with the index.
  explicit Peer(std::function<std::string(size_t)> find_address)
      : server_(loop_.io.get_executor(),
                [find_address = std::move(find_address)](
                    const tunnel::ConnectRequest& request)
                    -> tl::expected<std::string, tunnel::Status> {
                  return find_address(std::stoul(request.target.substr(1)));
                }) {
    const RefusingAddress free;
    address_ = free.Address();
  }
  ~Peer() { loop_.Stop(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  bool Start() {
    bool is_listening = false;
    loop_.Call([&] { is_listening = server_.Listen(address_); });
    return is_listening;
  }

  TunnelPeer Entry() const { return {"peer", "a", address_, true}; }

  const std::string& Address() const { return address_; }

 private:
  Loop loop_;
  tunnel::Server server_;
  std::string address_;
};

/// A way to an address that can be cut without a sign to either end.
class Wire {
 public:
  explicit Wire(std::string to)
      : to_(std::move(to)),
        near_([this](LoopbackConnection& from, const std::string& head) {
          return Carry(from, head);
        }) {}

  std::string Address() const { return near_.Address(); }

  void Cut() { is_cut_ = true; }

  /// Closes the connections at the far end.
  void EndFarSide() { is_ended_ = true; }

 private:
  bool Carry(LoopbackConnection& from, const std::string& head) {
    constexpr int kPollMs = 5;
    const size_t colon = to_.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port =
        htons(static_cast<uint16_t>(std::stoi(to_.substr(colon + 1))));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    LoopbackConnection far(fd);
    far.Send(head);
    while (!is_ended_ && !from.IsClosed() && !far.IsClosed()) {
      if (is_cut_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
        continue;
      }
      far.Send(from.ReadUntil("", kPollMs));
      from.Send(far.ReadUntil("", kPollMs));
    }
    close(fd);
    if (is_cut_) {
      from.ClosesWithin(kReadTimeoutMs);
    }
    return false;
  }

  std::string to_;
  std::atomic<bool> is_cut_ = false;
  std::atomic<bool> is_ended_ = false;
  FakeTarget near_;
};

SUITE(CutPathTest) {
  CPPUNIT_TEST_SUITE(CutPathTest);
  CPPUNIT_TEST(TestRequestsAreServedThroughAPeerWhileConnectsAreRefused);
  CPPUNIT_TEST(TestRequestsAreServedThroughAPeerWhileConnectsHang);
  CPPUNIT_TEST(TestRequestsAreServedThroughAPeerWhileConnectionsAreReset);
  CPPUNIT_TEST(TestPathIsDirectAgainAfterTheCut);
  CPPUNIT_TEST(TestOpenRequestMovesToAPeerWhenItsConnectionHangs);
  CPPUNIT_TEST(TestWithoutPeersRequestsAreRefused);
  CPPUNIT_TEST(TestTargetThatBreaksATunnelIsReported);
  CPPUNIT_TEST(TestTargetThatThePeerCannotReachIsReported);
  CPPUNIT_TEST(TestStreamGoesOnWhenThePeerThatRelaysItEnds);
  CPPUNIT_TEST(TestCallIsNotCompleteWhenThePeerThatRelaysItEnds);
  CPPUNIT_TEST(TestStreamGoesOnWhenTheProcessOfItsTargetEnds);
  CPPUNIT_TEST(TestCallIsNotCompleteWhenTheProcessOfItsTargetEnds);
  CPPUNIT_TEST(TestStreamWaitsUntilACutOffPeerHasEndedItsRun);
  CPPUNIT_TEST(TestUnframedAnswersEndWithTheTarget);
  CPPUNIT_TEST(TestUnframedAnswerThroughAnOlderPeerIsNotComplete);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    targets_.clear();
    n_swallowed_ = 0;
    are_open_connections_hanging_ = false;
    open_connections_.clear();
    n_to_break_ = 0;
    is_framed_ = true;
    is_answer_held_ = false;
    n_held_ = 0;
    held_answer_ended_at_ = Millis{};
    for (int i = 0; i < 6; ++i) {
      targets_.push_back(std::make_unique<FakeTarget>(
          [this](LoopbackConnection& connection, const std::string& header) {
            return Serve(connection, header);
          }));
    }
    instance_ = std::make_unique<CutInstance>();
    StartPeer([this](size_t i) { return targets_[i]->Address(); });
  }

  void tearDown() override {
    for (size_t i = 0; i < base::kInvariantNames.Size(); ++i) {
      const auto invariant = static_cast<base::Invariant>(i);
      EXPECT_EQ(int64_t{0}, instance_->metrics.InvariantViolations(invariant));
    }
    instance_.reset();
    peer_.reset();
    targets_.clear();
  }

  void TestRequestsAreServedThroughAPeerWhileConnectsAreRefused() {
    const RefusingAddress refusing;
    ApplyAddress(refusing.Address());
    ExpectAllServed();
    EXPECT_EQ(1, instance_->n_lost.load());
    EXPECT_EQ(0, instance_->n_reported.load());
  }

  void TestRequestsAreServedThroughAPeerWhileConnectsHang() {
    const HangingAddress hanging;
    ApplyAddress(hanging.Address());
    ExpectAllServed();
    EXPECT_EQ(1, instance_->n_lost.load());
    EXPECT_EQ(0, instance_->n_reported.load());
  }

  void TestRequestsAreServedThroughAPeerWhileConnectionsAreReset() {
    const ResettingAddress resetting;
    ApplyAddress(resetting.Address());
    EXPECT(instance_->Request("GET", "/safe/a", "body")
               .starts_with("HTTP/1.1 200 "));
    ExpectAllServed();
    EXPECT_EQ(1, instance_->n_lost.load());
    EXPECT_EQ(0, instance_->n_reported.load());
  }

  void TestPathIsDirectAgainAfterTheCut() {
    const HangingAddress hanging;
    ApplyAddress(hanging.Address());
    ExpectAllServed();
    ApplyTargetAddresses();
    for (int i = 0; i < 100 && instance_->n_restored == 0; ++i) {
      std::this_thread::sleep_for(Millis{10}.ToChrono());
    }
    EXPECT_EQ(1, instance_->n_restored.load());
    const int64_t n_tunnels =
        instance_->metrics.Value(base::Counter::kTunnelsOpened);
    ExpectAllServed();
    EXPECT_EQ(n_tunnels,
              instance_->metrics.Value(base::Counter::kTunnelsOpened));
    EXPECT_EQ(1, instance_->n_lost.load());
  }

  void TestOpenRequestMovesToAPeerWhenItsConnectionHangs() {
    ApplyTargetAddresses();
    // Enough for a pooled connection to each target that is preferred.
    for (int i = 0; i < 20; ++i) {
      EXPECT(instance_->Request("GET", "/safe/a", "body")
                 .starts_with("HTTP/1.1 200 "));
    }
    const HangingAddress hanging;
    ApplyAddress(hanging.Address());
    are_open_connections_hanging_ = true;
    const Millis began_at = base::Clock::Now();
    EXPECT(instance_->Request("GET", "/safe/a", "\r\n\r\n")
               .starts_with("HTTP/1.1 200 "));
    EXPECT(base::Clock::Now() - began_at < Millis{2000});
    EXPECT_EQ(1, n_swallowed_.load());
    EXPECT_EQ(1, instance_->n_lost.load());
    EXPECT_EQ(0, instance_->n_reported.load());
  }

  void TestWithoutPeersRequestsAreRefused() {
    instance_->SetPeers({});
    const RefusingAddress refusing;
    ApplyAddress(refusing.Address());
    for (int i = 0; i < 3; ++i) {
      EXPECT(instance_->Request("POST", "/once/a", "\r\n\r\n")
                 .starts_with("HTTP/1.1 503 "));
    }
  }

  void TestTargetThatBreaksATunnelIsReported() {
    const RefusingAddress refusing;
    ApplyAddress(refusing.Address());
    ExpectAllServed();
    n_to_break_ = 1;
    EXPECT(instance_->Request("POST", "/once/a", "\r\n\r\n")
               .starts_with("HTTP/1.1 502 "));
    EXPECT_EQ(0, instance_->n_reported.load());
    WaitForReports();
    EXPECT_EQ(1, instance_->n_reported.load());
  }

  void TestTargetThatThePeerCannotReachIsReported() {
    const RefusingAddress refusing;
    StartPeer([&](size_t) { return refusing.Address(); });
    ApplyAddress(refusing.Address());
    EXPECT(instance_->Request("POST", "/once/a", "\r\n\r\n")
               .starts_with("HTTP/1.1 503 "));
    WaitForReports();
    EXPECT(instance_->n_reported >= 1);
  }

  // The end of the peer was taken for the end of the target's answer.
  void TestStreamGoesOnWhenThePeerThatRelaysItEnds() {
    const RefusingAddress refusing;
    ApplyAddress(refusing.Address());
    HoldUnframedAnswers();
    std::string answer;
    std::thread caller([&] {
      answer = instance_->Request("GET", "/stream/a", "\r\n0\r\n\r\n");
    });
    EndPeerOfHeldAnswer();
    caller.join();
    EXPECT(answer.ends_with("\r\n0\r\n\r\n"));
    for (const char* it : {"id: 1\n", "id: 2\n", "id: 3\n"}) {
      EXPECT(answer.find(it) != std::string::npos);
      EXPECT_EQ(answer.find(it), answer.rfind(it));
    }
  }

  // The same for calls, of which the caller got a part as the whole.
  void TestCallIsNotCompleteWhenThePeerThatRelaysItEnds() {
    const RefusingAddress refusing;
    ApplyAddress(refusing.Address());
    HoldUnframedAnswers();
    std::string answer;
    std::thread caller(
        [&] { answer = instance_->Request("POST", "/once/a", "\r\n\r\n"); });
    EndPeerOfHeldAnswer();
    caller.join();
    EXPECT(answer.starts_with("HTTP/1.1 502 "));
  }

  // The system closes the connections of a process that was killed in order.
  void TestStreamGoesOnWhenTheProcessOfItsTargetEnds() {
    ApplyTargetAddresses();
    HoldUnframedAnswers();
    std::string answer;
    std::thread caller([&] {
      answer = instance_->Request("GET", "/stream/a", "\r\n0\r\n\r\n");
    });
    EndTargetOfHeldAnswer();
    caller.join();
    EXPECT(answer.ends_with("\r\n0\r\n\r\n"));
    for (const char* it : {"id: 1\n", "id: 2\n", "id: 3\n"}) {
      EXPECT(answer.find(it) != std::string::npos);
      EXPECT_EQ(answer.find(it), answer.rfind(it));
    }
  }

  // A peer that was cut off kept an engine working while the stream went on at
  // another one.
  void TestStreamWaitsUntilACutOffPeerHasEndedItsRun() {
    constexpr Millis kPeerNoticesAfter{2800};
    constexpr Millis kAllowedOverlap{400};
    const RefusingAddress refusing;
    ApplyAddress(refusing.Address());
    Wire wire(peer_->Address());
    instance_->SetPeers({{"cut", "a", wire.Address(), true},
                         {"sound", "b", peer_->Address(), true}});
    HoldUnframedAnswers();
    std::string answer;
    std::thread caller([&] {
      answer = instance_->Request("GET", "/stream/a", "\r\n0\r\n\r\n");
    });
    WaitForHeldAnswer();
    wire.Cut();
    std::this_thread::sleep_for(kPeerNoticesAfter.ToChrono());
    wire.EndFarSide();
    caller.join();
    EXPECT(answer.ends_with("\r\n0\r\n\r\n"));
    WaitForEndOfHeldAnswer();
    EXPECT(held_answer_ended_at_.load() - resumed_at_.load() <=
           kAllowedOverlap);
  }

  void TestCallIsNotCompleteWhenTheProcessOfItsTargetEnds() {
    ApplyTargetAddresses();
    HoldUnframedAnswers();
    std::string answer;
    std::thread caller(
        [&] { answer = instance_->Request("POST", "/once/a", "\r\n\r\n"); });
    EndTargetOfHeldAnswer();
    caller.join();
    EXPECT(answer.starts_with("HTTP/1.1 502 "));
  }

  void TestUnframedAnswersEndWithTheTarget() {
    is_framed_ = false;
    ApplyTargetAddresses();
    ExpectAllServed();
    const RefusingAddress refusing;
    ApplyAddress(refusing.Address());
    ExpectAllServed();
  }

  // An older peer does not mark the end of the target, so it can't be told from
  // its own.
  void TestUnframedAnswerThroughAnOlderPeerIsNotComplete() {
    const RefusingAddress refusing;
    ApplyAddress(refusing.Address());
    FakeTarget older_peer(
        [this](LoopbackConnection& connection, const std::string& header) {
          if (header.starts_with("CONNECT ")) {
            return connection.Send("HTTP/1.1 200 OK\r\n\r\n");
          }
          return Serve(connection, header);
        });
    instance_->SetPeers({{"older", "a", older_peer.Address(), true}});
    EXPECT(instance_->Request("POST", "/once/a", "body")
               .starts_with("HTTP/1.1 200 "));
    is_framed_ = false;
    EXPECT(instance_->Request("POST", "/once/a", "\r\n\r\n")
               .starts_with("HTTP/1.1 502 "));
  }

 private:
  /// From now on, targets send unframed answers. They stop after the first part
  /// of the first one.
  void HoldUnframedAnswers() {
    is_framed_ = false;
    is_answer_held_ = true;
  }

  /// Ends the peer when it has relayed the first part of an answer, then starts
  /// another one.
  void EndPeerOfHeldAnswer() {
    WaitForHeldAnswer();
    peer_.reset();
    StartPeer([this](size_t i) { return targets_[i]->Address(); });
  }

  /// Ends the process of the target that has sent the first part of an answer.
  void EndTargetOfHeldAnswer() {
    WaitForHeldAnswer();
    for (auto& it : targets_) {
      for (const std::string& header : it->Requests()) {
        if (!header.starts_with("GET /alive")) {
          it.reset();
          return;
        }
      }
    }
  }

  void WaitForHeldAnswer() const {
    for (int i = 0; i < 300 && n_held_ == 0; ++i) {
      std::this_thread::sleep_for(Millis{10}.ToChrono());
    }
    std::this_thread::sleep_for(Millis{100}.ToChrono());
  }

  void WaitForEndOfHeldAnswer() const {
    for (int i = 0; i < 300 && held_answer_ended_at_.load() == Millis{}; ++i) {
      std::this_thread::sleep_for(Millis{10}.ToChrono());
    }
  }

  void WaitForReports() const {
    for (int i = 0; i < 150 && instance_->n_reported == 0; ++i) {
      std::this_thread::sleep_for(Millis{10}.ToChrono());
    }
  }

  bool Serve(LoopbackConnection & connection, const std::string& header) {
    if (header.starts_with("GET /alive")) {
      return connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n0 0");
    }
    if (n_to_break_ > 0) {
      --n_to_break_;
      return false;
    }
    if (IsHanging(connection)) {
      ++n_swallowed_;
      return true;
    }
    if (!is_framed_) {
      return ServeUnframed(connection, header);
    }
    const std::string id = HeaderField(header, "Request-Id");
    if (!header.starts_with("GET /stream/")) {
      return connection.Send(
          fmt::format("HTTP/1.1 200 X\r\nRequest-Id: {}\r\nSeal: s\r\n"
                      "Content-Length: 4\r\n\r\nbody",
                      id));
    }
    connection.Send(
        fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s\r\n"
                    "Content-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    id));
    for (int i = 1; i <= 3; ++i) {
      const std::string text = fmt::format("id: {0}\ndata: {0}\n\n", i);
      connection.Send(fmt::format("{:x}\r\n{}\r\n", text.size(), text));
    }
    return connection.Send("0\r\n\r\n");
  }

  /// Sends an answer that ends with the connection.
  bool ServeUnframed(LoopbackConnection & connection,
                     const std::string& header) {
    const bool is_stream = header.starts_with("GET /stream/");
    connection.Send(
        fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s\r\n{}"
                    "Connection: close\r\n\r\n",
                    HeaderField(header, "Request-Id"),
                    is_stream ? "Content-Type: text/event-stream\r\n" : ""));
    const std::string after = HeaderField(header, "After-Event");
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    if (!after.empty()) {
      resumed_at_ = base::Clock::Now();
    }
    for (int i = first; i <= 3; ++i) {
      connection.Send(is_stream ? fmt::format("id: {0}\ndata: {0}\n\n", i)
                                : "body");
      if (is_answer_held_.exchange(false)) {
        ++n_held_;
        connection.ClosesWithin(kReadTimeoutMs);
        held_answer_ended_at_ = base::Clock::Now();
        return false;
      }
    }
    return false;
  }

  bool IsHanging(const LoopbackConnection& connection) {
    const std::lock_guard lock(mutex_);
    if (!are_open_connections_hanging_) {
      open_connections_.insert(&connection);
      return false;
    }
    return open_connections_.contains(&connection);
  }

  void StartPeer(std::function<std::string(size_t)> find_address) {
    peer_ = std::make_unique<Peer>(std::move(find_address));
    EXPECT(peer_->Start());
    instance_->SetPeers({peer_->Entry()});
  }

  void ExpectAllServed() const {
    EXPECT(instance_->Request("POST", "/once/a", "body")
               .starts_with("HTTP/1.1 200 "));
    EXPECT(instance_->Request("GET", "/safe/a", "body")
               .starts_with("HTTP/1.1 200 "));
    const std::string stream =
        instance_->Request("GET", "/stream/a", "\r\n0\r\n\r\n");
    EXPECT(stream.find("id: 3\n") != std::string::npos);
    EXPECT(stream.ends_with("\r\n0\r\n\r\n"));
  }

  /// Gives all targets the address, at which the instance reaches none of them.
  void ApplyAddress(const std::string& address) {
    Publish(std::vector<std::string>(targets_.size(), address));
  }

  void ApplyTargetAddresses() {
    std::vector<std::string> addresses;
    for (const auto& it : targets_) {
      addresses.push_back(it->Address());
    }
    Publish(addresses);
  }

  /// Calls go to the service "s" with the first half of the targets, streams to
  /// the engines "e".
  void Publish(const std::vector<std::string>& addresses) {
    auto configuration = std::make_shared<catalog::Configuration>();
    configuration->version = 1;
    catalog::Service engines;
    engines.name = "e";
    engines.engine.emplace();
    configuration->services["e"] = engines;
    configuration->services["s"].name = "s";
    AddRoute("/once/", "s", catalog::Repeatability::kRunOnce,
             configuration.get());
    AddRoute("/safe/", "s", catalog::Repeatability::kIdempotent,
             configuration.get());
    AddRoute("/stream/", "e", catalog::Repeatability::kResumable,
             configuration.get());
    auto targets = std::make_shared<catalog::Targets>();
    for (size_t i = 0; i < addresses.size(); ++i) {
      catalog::Target target;
      target.id = fmt::format("t{}", i);
      target.service = i < addresses.size() / 2 ? "s" : "e";
      target.address = addresses[i];
      target.failure_domain = i % 2 == 0 ? "a" : "b";
      target.slots = 8;
      targets->emplace(target.id, target);
    }
    instance_->Apply({configuration, targets});
  }

  static void AddRoute(const std::string& prefix, const std::string& service,
                       catalog::Repeatability repeatability,
                       catalog::Configuration* into) {
    catalog::Route route;
    route.name = prefix;
    route.host = "h";
    route.prefix = prefix;
    route.repeatability = repeatability;
    route.is_stream = repeatability == catalog::Repeatability::kResumable;
    route.timeout = {5000};
    route.latency_objective = {3000};
    route.event_gap_objective = {700};
    route.maximum_targets = 5;
    route.services.push_back({service, 1});
    into->routes.push_back(route);
  }

  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::unique_ptr<CutInstance> instance_;
  std::unique_ptr<Peer> peer_;
  std::mutex mutex_;
  /// Connections that were open before they began to hang.
  std::set<const LoopbackConnection*> open_connections_;
  std::atomic<bool> are_open_connections_hanging_ = false;
  std::atomic<int> n_swallowed_ = 0;
  std::atomic<int> n_to_break_ = 0;
  /// False when answers end with their connection.
  std::atomic<bool> is_framed_ = true;
  std::atomic<bool> is_answer_held_ = false;
  /// Zero until then.
  std::atomic<Millis> held_answer_ended_at_;
  /// When a stream last went on at a target.
  std::atomic<Millis> resumed_at_;
  std::atomic<int> n_held_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutPathTest);

}  // namespace

}  // namespace daisypond::forward
