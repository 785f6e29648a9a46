#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "forward/rejection_guard.h"
#include "forward/session.h"
#include "tests/fake_target.h"
#include "tests/plain_dialect.h"
#include "tests/test_macros.h"

namespace daisypond::forward {

namespace {

namespace asio = boost::asio;
using tests::FakeTarget;
using tests::LoopbackConnection;

constexpr int kReadTimeoutMs = 3000;
constexpr base::Millis kRouteTimeout{1000};
constexpr base::Millis kStall{300};
constexpr base::Millis kStopTime{300};
// Time allowed for an answer after the instance has ended its open requests.
constexpr int kStopLagMs = 200;
constexpr int kKeptCallers = 12;
constexpr uint64_t kLongestPauseMs = 12;
constexpr int kSendsPerErrorAnswer = 7;
constexpr size_t kSmallRoomBytes = 256u << 10;
constexpr size_t kAnswerPartBytes = 6u << 20;
constexpr int kCrowd = 12;

/// Formats a complete HTTP response of a target.
std::string MakeAnswer(int status,
                       const std::string& id,
                       const std::string& body,
                       const std::string& extra = "Seal: s\r\n") {
  return fmt::format(
      "HTTP/1.1 {} X\r\nRequest-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}",
      status, id, extra, body.size(), body);
}

std::string MakeStreamHeader(const std::string& id) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id);
}

std::string MakeEvent(int64_t id) {
  const std::string text = fmt::format("id: {0}\ndata: token {0}\n\n", id);
  return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

/// Returns the value of the field `name`, or an empty string if the header has
/// no such field.
std::string HeaderField(const std::string& header, const std::string& name) {
  const size_t at = header.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const size_t from = at + name.size() + 4;
  return header.substr(from, header.find("\r\n", from) - from);
}

/// A forwarding instance on a loopback port, without a table service.
class Instance {
 public:
  explicit Instance(const intake::RoomPlan& room =
                        intake::MakeRoomPlan(intake::kDefaultMemoryBytes))
      : acceptor_(io_) {
    ForwarderOptions options;
    options.room = room;
    options.instance = "test";
    options.failure_domain = "a";
    options.retries.allowance = 10;
    forwarder_.emplace(io_.get_executor(), options, &metrics);
    acceptor_.open(net::Tcp::v4());
    acceptor_.bind(net::Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    asio::co_spawn(io_, Accept(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Instance() {
    io_.stop();
    thread_.join();
  }

  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  void Apply(const catalog::Catalog& next) {
    std::atomic<bool> is_done = false;
    asio::post(io_, [&] {
      forwarder_->Apply(next);
      is_done = true;
    });
    while (!is_done) {
      std::this_thread::yield();
    }
  }

  /// Begins to stop; after `left` all open requests are ended.
  void BeginStop(base::Millis left) {
    std::atomic<bool> is_done = false;
    asio::post(io_, [&] {
      forwarder_->is_stopping = true;
      forwarder_->stop_at = base::Clock::Now() + left;
      stop_timer_.expires_after(left.ToChrono());
      stop_timer_.async_wait([this](net::ErrorCode ec) {
        if (!ec) {
          EndRequests();
        }
      });
      is_done = true;
    });
    while (!is_done) {
      std::this_thread::yield();
    }
  }

  /// Keeps the instance's thread busy for `span`. Returns at once.
  void Stall(base::Millis span) {
    asio::post(io_, [span] { std::this_thread::sleep_for(span.ToChrono()); });
  }

  /// Memory in bytes that is held for callers.
  size_t HeldBytes() {
    std::atomic<bool> is_done = false;
    size_t n = 0;
    asio::post(io_, [&] {
      n = forwarder_->caller_room.Ledger().Held();
      is_done = true;
    });
    while (!is_done) {
      std::this_thread::yield();
    }
    return n;
  }

  void RefuseTargetConnections() {
    asio::post(
        io_, [this] { forwarder_->may_connect_target = [] { return false; }; });
  }

  void CloseIdleConnections() {
    asio::post(io_, [this] {
      for (const auto& it : sessions_) {
        if (const auto session = it.lock()) {
          session->CloseIfIdle();
        }
      }
    });
  }

  /// Sets the instance's own retry allowance to zero, so that every retry must
  /// be borrowed through `borrow`.
  template <typename Borrow>
  void UseOnlyBorrowedRetries(Borrow borrow) {
    std::atomic<bool> is_done = false;
    asio::post(io_, [&] {
      forwarder_->retry_limit.SetAllowance(0);
      forwarder_->borrow_retries = borrow;
      is_done = true;
    });
    while (!is_done) {
      std::this_thread::yield();
    }
  }

  /// Calls `callback` for each target that the instance finds lost.
  void OnTargetLost(
      std::function<void(const TargetLoss&, uint64_t, LossAudience)> callback) {
    std::atomic<bool> is_done = false;
    asio::post(io_, [&] {
      forwarder_->on_target_lost = std::move(callback);
      is_done = true;
    });
    while (!is_done) {
      std::this_thread::yield();
    }
  }

  /// To be called on the instance's thread.
  void ReportLossFromPeer(const TargetLoss& target, uint64_t content_hash) {
    forwarder_->OnTargetLost(target, {content_hash, {}}, LossSource::kPeer);
  }

  template <typename Take>
  void SetPermitSource(Take take) {
    std::atomic<bool> is_done = false;
    asio::post(io_, [&] {
      forwarder_->take_permit = take;
      is_done = true;
    });
    while (!is_done) {
      std::this_thread::yield();
    }
  }

  template <typename Take, typename Return>
  void SetSlotSource(Take take, Return give_back) {
    std::atomic<bool> is_done = false;
    asio::post(io_, [&] {
      forwarder_->take_slot = take;
      forwarder_->return_slot = give_back;
      is_done = true;
    });
    while (!is_done) {
      std::this_thread::yield();
    }
  }

  template <typename Record, typename Find>
  void SetStreamRecords(Record record, Find find) {
    std::atomic<bool> is_done = false;
    asio::post(io_, [&] {
      forwarder_->record_stream = record;
      forwarder_->find_stream_origin = find;
      is_done = true;
    });
    while (!is_done) {
      std::this_thread::yield();
    }
  }

  /// Makes streams wait for `record_first`, except those of `bases`.
  template <typename RecordFirst>
  void SetStreamBases(const StreamBases& bases, RecordFirst record_first) {
    std::atomic<bool> is_done = false;
    asio::post(io_, [&] {
      forwarder_->stream_bases = bases;
      forwarder_->record_stream_first = record_first;
      is_done = true;
    });
    while (!is_done) {
      std::this_thread::yield();
    }
  }

  uint16_t Port() const { return port_; }

  base::Metrics metrics;

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto [ec, socket] = co_await acceptor_.async_accept(net::kAsTuple);
      if (ec) {
        co_return;
      }
      auto session = std::make_shared<Session<tests::PlainDialect>>(
          &*forwarder_, std::move(socket));
      sessions_.push_back(session);
      asio::co_spawn(
          io_, [session]() { return session->Run(); }, asio::detached);
    }
  }

  void EndRequests() {
    for (const auto& it : sessions_) {
      if (const auto session = it.lock()) {
        session->EndRequest();
      }
    }
  }

  asio::io_context io_{1};
  asio::steady_timer stop_timer_{io_};
  std::optional<Forwarder> forwarder_;
  net::Tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Session<tests::PlainDialect>>> sessions_;
  uint16_t port_ = 0;
  std::thread thread_;
};

/// A caller with one connection to the instance.
class Caller {
 public:
  explicit Caller(uint16_t port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    connection.emplace(fd_);
  }
  ~Caller() { Disconnect(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  void Disconnect() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

  /// Closes the caller's own direction of the connection.
  void EndData() const { shutdown(fd_, SHUT_WR); }

  void SendRequest(const std::string& method,
                   const std::string& path,
                   const std::string& id,
                   const std::string& extra = "") {
    connection->Send(fmt::format(
        "{} {} HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\nKey: k\r\n{}\r\n",
        method, path, id, extra));
  }

  std::optional<LoopbackConnection> connection;

 private:
  int fd_;
};

SUITE(ForwardTest) {
  CPPUNIT_TEST_SUITE(ForwardTest);
  CPPUNIT_TEST(TestAnswerIsRelayedUnchanged);
  CPPUNIT_TEST(TestHeaderSentToTarget);
  CPPUNIT_TEST(TestMissingCatalogUnknownRouteAndUnknownKeyAreRefused);
  CPPUNIT_TEST(TestAmbiguousRequestIsNotForwarded);
  CPPUNIT_TEST(TestSuccessWithoutSealIsAnError);
  CPPUNIT_TEST(TestRunOnceIsNotSentAgainAfterTruncatedAnswer);
  CPPUNIT_TEST(TestFailedIdempotentIsSentToAnotherTarget);
  CPPUNIT_TEST(TestRefusedRunOnceIsSentToAnotherTarget);
  CPPUNIT_TEST(TestAnswerToAnEarlierRequestIsSkipped);
  CPPUNIT_TEST(TestExtraBytesPreventConnectionReuse);
  CPPUNIT_TEST(TestErrorAnswerToRunOnceIsRelayed);
  CPPUNIT_TEST(TestCallerDisconnectClosesTargetConnection);
  CPPUNIT_TEST(TestRequestOfACallerThatHasLeftIsNotPassedOn);
  CPPUNIT_TEST(TestCallerThatEndsItsDataEarlyGetsAVerdict);
  CPPUNIT_TEST(TestStreamResumesAfterEngineLoss);
  CPPUNIT_TEST(TestStreamResumesFromCopy);
  CPPUNIT_TEST(TestStreamGoesOnOnlyAtTheVersionThatBeganIt);
  CPPUNIT_TEST(TestStreamIsCutAtOnceWhenItsVersionIsGone);
  CPPUNIT_TEST(TestResumedStreamGoesOnOnlyAtTheVersionThatBeganIt);
  CPPUNIT_TEST(TestResumedStreamOfUnknownVersionIsRefusedAtOnce);
  CPPUNIT_TEST(TestStreamTakenUpAfterItsLastEventIsEnded);
  CPPUNIT_TEST(TestStreamTakenUpAfterItsLastEventIsNotEndedByATornAnswer);
  CPPUNIT_TEST(TestNewStreamWithoutEventsIsNoLossOfItsTarget);
  CPPUNIT_TEST(TestFirstEventWaitsForItsRecordOrTheStreamBeginsAtTheBase);
  CPPUNIT_TEST(TestStreamEndsWhoseRecordMayBeStoredLater);
  CPPUNIT_TEST(TestEngineBusyWithPrefillIsAvoided);
  CPPUNIT_TEST(TestUnresponsiveEnginesAreTriedLast);
  CPPUNIT_TEST(TestInterruptedStreamWaitsForRetryBudget);
  CPPUNIT_TEST(TestStreamIsCutWhenNoRetryIsGranted);
  CPPUNIT_TEST(TestInterruptedStreamDoesNotReturnToALeavingEngine);
  CPPUNIT_TEST(TestSilentEngineIsReplaced);
  CPPUNIT_TEST(TestStreamStaysAtAnEngineThatStandsStill);
  CPPUNIT_TEST(TestEventAfterASkippedIdIsNotRelayed);
  CPPUNIT_TEST(TestStreamThatCannotResumeHasNoLastChunk);
  CPPUNIT_TEST(TestSlowFirstEventIsAwaitedWhileEngineAnswersProbes);
  CPPUNIT_TEST(TestStreamOfBytesThatAreNoEventIsBrokenOff);
  CPPUNIT_TEST(TestSlowBytesThatAreNoEventAreBrokenOff);
  CPPUNIT_TEST(TestHeaderWithoutEndIsBrokenOff);
  CPPUNIT_TEST(TestInterimResponsesWithoutEndAreBrokenOff);
  CPPUNIT_TEST(TestChunkExtensionWithoutEndIsBrokenOff);
  CPPUNIT_TEST(TestBodyWithoutEndIsBrokenOff);
  CPPUNIT_TEST(TestSlowBodyWithoutEndIsBrokenOff);
  CPPUNIT_TEST(TestUnframedStreamEndsWithItsConnection);
  CPPUNIT_TEST(TestRouteTimeoutIsEnforced);
  CPPUNIT_TEST(TestStoppingInstanceRefusesRequestItCannotFinish);
  CPPUNIT_TEST(TestStoppingInstanceRefusesRunOnceCallItMayHaveToGiveUp);
  CPPUNIT_TEST(TestConnectionIsClosedAfterAnErrorAnswerThatSaysSo);
  CPPUNIT_TEST(TestCallAtASlowTargetIsAnsweredBeforeTheInstanceStops);
  CPPUNIT_TEST(TestAnswerWithoutEndIsAnsweredBeforeTheInstanceStops);
  CPPUNIT_TEST(TestStreamWithoutEventIsAnsweredBeforeTheInstanceStops);
  CPPUNIT_TEST(TestRequestOnAnIdleConnectionIsAnsweredWhenItIsClosed);
  CPPUNIT_TEST(TestRequestThatArrivesBeforeTheIdleTimeoutIsAnswered);
  CPPUNIT_TEST(TestPassedOnRequestIsAnsweredWhileIdleConnectionsAreClosed);
  CPPUNIT_TEST(TestRequestThatFailsInternallyIsAnswered);
  CPPUNIT_TEST(TestReplacedTargetGetsNoFurtherRequests);
  CPPUNIT_TEST(TestRequestThatCrashesTargetsIsNoLongerSent);
  CPPUNIT_TEST(TestRequestThatCrashesTargetsAfterFirstEventIsNoLongerSent);
  CPPUNIT_TEST(TestRequestThatSilencesTargetsIsNoLongerSent);
  CPPUNIT_TEST(TestRequestsWithAPromptPartThatCrashesTargetsAreNotSent);
  CPPUNIT_TEST(TestCallThatCrashesTargetsIsNoLongerSent);
  CPPUNIT_TEST(TestCallsWithoutBodyAreNotBlocked);
  CPPUNIT_TEST(TestCrashingRequestIsRecognizedByPathWorkspaceAndBody);
  CPPUNIT_TEST(TestRequestBlockedDuringWaitIsNotSent);
  CPPUNIT_TEST(TestSecondLossUnderARequestIsReportedToAllPeers);
  CPPUNIT_TEST(TestRequestLimitHoldsForAllInstancesTogether);
  CPPUNIT_TEST(TestRequestBeyondAllLimitsIsRefusedAtOnce);
  CPPUNIT_TEST(TestTargetThatStatesThatItLeavesGetsNoRequests);
  CPPUNIT_TEST(TestLiftedLimitHoldsNoLonger);
  CPPUNIT_TEST(TestInstancesShareTheSlotsOfABrittleTarget);
  CPPUNIT_TEST(TestRequestWithoutSlotIsRefusedAtOnce);
  CPPUNIT_TEST(TestSlotIsReturnedWithItsOutcome);
  CPPUNIT_TEST(TestAnswerWithoutRoomIsRelayedInParts);
  CPPUNIT_TEST(TestAnswerWithoutRoomThatIsCutOffDoesNotLookComplete);
  CPPUNIT_TEST(TestCallersThatReadNothingTakeNoMoreThanTheirRoom);
  CPPUNIT_TEST(TestRequestWithoutConnectionForItsTargetIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    targets_.clear();
    instance_ = std::make_unique<Instance>();
  }

  void tearDown() override {
    for (size_t i = 0; i < base::kInvariantNames.Size(); ++i) {
      const auto invariant = static_cast<base::Invariant>(i);
      EXPECT_EQ(int64_t{0}, instance_->metrics.InvariantViolations(invariant));
    }
    targets_.clear();
    instance_.reset();
  }

  void TestAnswerWithoutRoomIsRelayedInParts() {
    const std::string body = UseSmallRoom(kAnswerPartBytes);
    Caller caller(instance_->Port());
    caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    const std::string header =
        caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
    EXPECT_EQ(std::string("chunked"), HeaderField(header, "Transfer-Encoding"));
    EXPECT_EQ(std::string("s"), HeaderField(header, "Seal"));
    EXPECT(body == ReadChunks(caller));
    EXPECT(ReturnsAllRoom());
    // A small answer on the same connection is not in parts.
    caller.SendRequest("POST", "/once/small", "r2", "Content-Length: 0\r\n");
    EXPECT_EQ(std::string("5"), HeaderField(caller.connection->ReadUntil(
                                                "\r\n\r\n", kReadTimeoutMs),
                                            "Content-Length"));
  }

  void TestAnswerWithoutRoomThatIsCutOffDoesNotLookComplete() {
    const std::string body = UseSmallRoom(kAnswerPartBytes / 2);
    Caller caller(instance_->Port());
    caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
    EXPECT(ReadChunks(caller).empty());
    EXPECT(caller.connection->IsClosed());
  }

  void TestCallersThatReadNothingTakeNoMoreThanTheirRoom() {
    const std::string body = UseSmallRoom(kAnswerPartBytes);
    std::vector<std::unique_ptr<Caller>> crowd;
    for (int i = 0; i < kCrowd; ++i) {
      crowd.push_back(std::make_unique<Caller>(instance_->Port()));
      crowd.back()->SendRequest("POST", "/once/a", fmt::format("r{}", i),
                                "Content-Length: 0\r\n");
    }
    for (int i = 0; i < kCrowd; ++i) {
      EXPECT(instance_->HeldBytes() <= kSmallRoomBytes);
      std::this_thread::sleep_for(kStall.ToChrono() / kCrowd);
    }
    // An answer is delivered, also late.
    for (const auto& it : crowd) {
      it->connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
      EXPECT(body == ReadChunks(*it));
    }
  }

  void TestRequestWithoutConnectionForItsTargetIsRefused() {
    UseSmallRoom(kAnswerPartBytes);
    instance_->RefuseTargetConnections();
    Caller caller(instance_->Port());
    caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    const std::string header =
        caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
    EXPECT(header.starts_with("HTTP/1.1 503 "));
    EXPECT(!HeaderField(header, "Retry-After").empty());
  }

  void TestAnswerIsRelayedUnchanged() {
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(MakeAnswer(201, HeaderField(header, "Request-Id"),
                                        "body", "Seal: s7\r\nX: y\r\n"));
    });
    Caller caller(instance_->Port());
    for (int i = 0; i < 3; ++i) {
      caller.SendRequest("POST", "/once/a", fmt::format("r{}", i),
                         "Content-Length: 0\r\n");
      const std::string header =
          caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
      EXPECT(header.starts_with("HTTP/1.1 201 X\r\n"));
      EXPECT_EQ(std::string("s7"), HeaderField(header, "Seal"));
      EXPECT_EQ(std::string("y"), HeaderField(header, "X"));
      EXPECT_EQ(std::string("body"),
                caller.connection->ReadUntil("body", kReadTimeoutMs));
    }
  }

  void TestHeaderSentToTarget() {
    FakeTarget& target = AddTarget(
        [](LoopbackConnection& connection, const std::string& header) {
          return connection.Send(
              MakeAnswer(200, HeaderField(header, "Request-Id"), "b"));
        });
    Caller caller(instance_->Port());
    caller.SendRequest(
        "GET", "/safe/a?q=%2F&r", "r1",
        "Patience-Ms: 2000\r\nTarget-Id: mine\r\nWorkspace: other\r\n"
        "Goes-On-From: x\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
        "X-End: 2\r\n");
    caller.connection->ReadUntil("\r\n\r\nb", kReadTimeoutMs);
    const std::string header = target.Requests().at(0);
    EXPECT(header.starts_with("GET /safe/a?q=%2F&r HTTP/1.1\r\n"));
    EXPECT_EQ(std::string("t0"), HeaderField(header, "Target-Id"));
    EXPECT_EQ(std::string("w"), HeaderField(header, "Workspace"));
    EXPECT_EQ(std::string(""), HeaderField(header, "Goes-On-From"));
    EXPECT_EQ(std::string(""), HeaderField(header, "Key"));
    EXPECT_EQ(std::string(""), HeaderField(header, "X-Hop"));
    EXPECT_EQ(std::string("2"), HeaderField(header, "X-End"));
    const int left = std::stoi(HeaderField(header, "Patience-Ms"));
    EXPECT(left > 0 && left <= 2000);
  }

  void TestMissingCatalogUnknownRouteAndUnknownKeyAreRefused() {
    {
      Caller caller(instance_->Port());
      caller.SendRequest("GET", "/safe/a", "r1");
      const std::string header =
          caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
      EXPECT(header.starts_with("HTTP/1.1 503 "));
      EXPECT(!HeaderField(header, "Retry-After").empty());
    }
    AddTarget([](LoopbackConnection&, const std::string&) { return false; });
    Caller caller(instance_->Port());
    caller.SendRequest("GET", "/none/a", "r2");
    EXPECT(caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs)
               .starts_with("HTTP/1.1 404 "));
    Caller other(instance_->Port());
    other.connection->Send(
        "GET /safe/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r3\r\n"
        "Key: wrong\r\n\r\n");
    EXPECT(other.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs)
               .starts_with("HTTP/1.1 401 "));
    EXPECT(targets_[0]->Requests().empty());
  }

  void TestAmbiguousRequestIsNotForwarded() {
    AddTarget([](LoopbackConnection&, const std::string&) { return false; });
    for (const char* it :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n", "Host: other\r\n",
          "Content-Length: x\r\n"}) {
      Caller caller(instance_->Port());
      caller.SendRequest("POST", "/once/a", "r1", it);
      const std::string text = caller.connection->ReadUntil("", 1000);
      EXPECT(text.starts_with("HTTP/1.1 400 "));
      EXPECT(caller.connection->IsClosed());
    }
    EXPECT(targets_[0]->Requests().empty());
  }

  void TestSuccessWithoutSealIsAnError() {
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(
          MakeAnswer(200, HeaderField(header, "Request-Id"), "b", ""));
    });
    EXPECT_EQ(std::string("502"), RequestStatus("POST", "/once/a"));
  }

  void TestRunOnceIsNotSentAgainAfterTruncatedAnswer() {
    const auto truncated = [](LoopbackConnection& connection,
                              const std::string& header) {
      const std::string text =
          MakeAnswer(200, HeaderField(header, "Request-Id"), "body");
      connection.Send(text.substr(0, text.size() - 2));
      return false;
    };
    AddTarget(truncated);
    AddTarget(truncated);
    EXPECT_EQ(std::string("502"), RequestStatus("POST", "/once/a"));
    EXPECT_EQ(size_t{1}, TotalRequests());
  }

  void TestFailedIdempotentIsSentToAnotherTarget() {
    std::atomic<int> n = 0;
    const auto first_fails = [&n](LoopbackConnection& connection,
                                  const std::string& header) {
      return ++n == 1 ? false
                      : connection.Send(MakeAnswer(
                            200, HeaderField(header, "Request-Id"), ""));
    };
    AddTarget(first_fails);
    AddTarget(first_fails);
    EXPECT_EQ(std::string("200"), RequestStatus("GET", "/safe/a"));
    EXPECT_EQ(size_t{2}, TotalRequests());
  }

  void TestRefusedRunOnceIsSentToAnotherTarget() {
    std::atomic<int> n = 0;
    const auto first_refuses = [&n](LoopbackConnection& connection,
                                    const std::string& header) {
      const std::string id = HeaderField(header, "Request-Id");
      return connection.Send(++n == 1
                                 ? MakeAnswer(503, id, "", "Not-Run: 1\r\n")
                                 : MakeAnswer(200, id, ""));
    };
    AddTarget(first_refuses);
    AddTarget(first_refuses);
    EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
  }

  void TestAnswerToAnEarlierRequestIsSkipped() {
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(
          MakeAnswer(200, "earlier", "wrong") +
          MakeAnswer(200, HeaderField(header, "Request-Id"), "right"));
    });
    Caller caller(instance_->Port());
    caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    const std::string text =
        caller.connection->ReadUntil("right", kReadTimeoutMs);
    EXPECT(text.ends_with("right"));
    EXPECT(text.find("wrong") == std::string::npos);
  }

  void TestExtraBytesPreventConnectionReuse() {
    FakeTarget& target = AddTarget(
        [](LoopbackConnection& connection, const std::string& header) {
          return connection.Send(
              MakeAnswer(200, HeaderField(header, "Request-Id"), "b") +
              MakeAnswer(200, "x", "extra"));
        });
    Caller caller(instance_->Port());
    for (int i = 0; i < 3; ++i) {
      caller.SendRequest("GET", "/safe/a", fmt::format("r{}", i));
      EXPECT(caller.connection->ReadUntil("\r\n\r\nb", kReadTimeoutMs)
                 .ends_with("b"));
    }
    EXPECT_EQ(size_t{3}, target.Requests().size());
    EXPECT_EQ(int64_t{3},
              instance_->metrics.Value(base::Counter::kConnectionsOpened));
  }

  void TestErrorAnswerToRunOnceIsRelayed() {
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(
          MakeAnswer(500, HeaderField(header, "Request-Id"), "own"));
    });
    Caller caller(instance_->Port());
    caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    const std::string text =
        caller.connection->ReadUntil("own", kReadTimeoutMs);
    EXPECT(text.starts_with("HTTP/1.1 500 "));
    EXPECT_EQ(std::string("s"), HeaderField(text, "Seal"));
  }

  void TestCallerDisconnectClosesTargetConnection() {
    std::atomic<bool> is_closed = false;
    AddTarget([&](LoopbackConnection& connection, const std::string&) {
      is_closed = connection.ClosesWithin(kReadTimeoutMs);
      return false;
    });
    Caller caller(instance_->Port());
    caller.SendRequest("GET", "/safe/a", "r1", "Patience-Ms: 20000\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    caller.Disconnect();
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    EXPECT(is_closed);
  }

  void TestCallerThatEndsItsDataEarlyGetsAVerdict() {
    AddTarget([](LoopbackConnection& connection, const std::string&) {
      return connection.ReadUntil("", kReadTimeoutMs).empty();
    });
    Caller caller(instance_->Port());
    caller.SendRequest("GET", "/safe/a", "r1");
    while (TotalRequests() == 0) {
      std::this_thread::yield();
    }
    caller.EndData();
    EXPECT_EQ(std::string("502"), ReadStatus(caller));
    EXPECT(caller.connection->ClosesWithin(kStopLagMs));
  }

  void TestRequestOfACallerThatHasLeftIsNotPassedOn() {
    AddEchoTarget();
    {
      Caller caller(instance_->Port());
      EXPECT_EQ(std::string("200"), StatusOfNext(caller));
      instance_->Stall(kStall);
      caller.SendRequest("GET", "/safe/a", "r1");
    }
    EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    EXPECT_EQ(size_t{2}, TotalRequests());
  }

  void TestStreamResumesAfterEngineLoss() {
    AddEngines(
        3, [this](LoopbackConnection& connection, const std::string& header) {
          return Serve(connection, header, 6, 3);
        });
    const std::string text = ReadStream("r1", "");
    EXPECT_EQ(std::string("1,2,3,4,5,6,end"), EventIdsOf(text));
    EXPECT(n_sends_ >= 2);
  }

  void TestStreamResumesFromCopy() {
    AddEngines(
        2, [this](LoopbackConnection& connection, const std::string& header) {
          if (HeaderField(header, "After-Event").empty()) {
            copy_address_ = HeaderField(header, "Copy-To");
          } else {
            resumed_from_ = HeaderField(header, "Goes-On-From");
          }
          return Serve(connection, header, 6, 3);
        });
    EXPECT_EQ(std::string("1,2,3,4,5,6,end"), EventIdsOf(ReadStream("r1", "")));
    EXPECT(!copy_address_.empty());
    EXPECT_EQ(copy_address_ + "/r1", resumed_from_);
  }

  void TestStreamGoesOnOnlyAtTheVersionThatBeganIt() {
    AddEnginesOfTwoVersions(
        [this](LoopbackConnection& connection, const std::string& header) {
          RecordServingVersion(header);
          return Serve(connection, header, 6, 3);
        });
    for (int i = 0; i < 8; ++i) {
      EXPECT_EQ(std::string("1,2,3,4,5,6,end"),
                EventIdsOf(ReadPromptStream(fmt::format("r{}", i), "p")));
    }
    for (const auto& it : serving_versions_) {
      EXPECT_EQ(size_t{1}, it.second.size());
    }
  }

  void TestStreamIsCutAtOnceWhenItsVersionIsGone() {
    constexpr base::Millis kAtOnce{500};
    std::atomic<int64_t> broken_at = 0;
    AddEngines(
        3, [&](LoopbackConnection& connection, const std::string& header) {
          connection.Send(MakeStreamHeader(HeaderField(header, "Request-Id")) +
                          MakeEvent(1));
          versions_ = {"v2", "v2", "v2"};
          Publish();
          broken_at = base::Clock::Now().count;
          return false;
        });
    EXPECT_EQ(std::string("1"), EventIdsOf(ReadStream("r1", "")));
    EXPECT(base::Clock::Now() - base::Millis{broken_at} < kAtOnce);
  }

  // The caller leaves after three events and comes back to another instance.
  void TestResumedStreamGoesOnOnlyAtTheVersionThatBeganIt() {
    AddEnginesOfTwoVersions(
        [this](LoopbackConnection& connection, const std::string& header) {
          RecordServingVersion(header);
          if (!HeaderField(header, "After-Event").empty()) {
            return Serve(connection, header, 6, 3);
          }
          connection.Send(MakeStreamHeader(HeaderField(header, "Request-Id")) +
                          MakeEvent(1) + MakeEvent(2) + MakeEvent(3));
          return connection.ClosesWithin(kReadTimeoutMs);
        });
    Instance other;
    other.Apply(catalog_);
    ShareStreamRecords({instance_.get(), &other});
    for (int i = 0; i < 8; ++i) {
      {
        Caller caller(instance_->Port());
        caller.SendRequest("GET", fmt::format("/stream/r{}", i),
                           fmt::format("first{}", i));
        caller.connection->ReadUntil("id: 3", kReadTimeoutMs);
      }
      Caller caller(i % 2 == 0 ? instance_->Port() : other.Port());
      caller.SendRequest(
          "GET", fmt::format("/stream/r{}", i), fmt::format("second{}", i),
          fmt::format("After-Event: 3\r\nResumed-Id: first{}\r\n", i));
      EXPECT_EQ(std::string("4,5,6,end"),
                EventIdsOf(caller.connection->ReadUntil("\r\n0\r\n\r\n",
                                                        kReadTimeoutMs)));
    }
    for (const auto& it : serving_versions_) {
      EXPECT_EQ(size_t{1}, it.second.size());
    }
  }

  // The rest of a stream that lacked only its end was taken for a torn answer:
  // the stream was refused, and its prompt blocked as one that crashes targets.
  void TestStreamTakenUpAfterItsLastEventIsEnded() {
    const std::vector<std::string> rests = {
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: 0\r\n\r\n", "Connection: close\r\n\r\n"};
    std::atomic<int> n_lost = 0;
    UseEnginesWithRests(rests, &n_lost);
    for (size_t i = 0; i < rests.size(); ++i) {
      for (int n = 0; n < 4; ++n) {
        const std::string text = TakeUpStream(i, n);
        EXPECT(text.starts_with("HTTP/1.1 200 "));
        EXPECT(HeaderField(text, "Content-Length").empty());
        EXPECT_EQ(std::string(",end"), EventIdsOf(text));
      }
    }
    EXPECT_EQ(0, n_lost.load());
    EXPECT_EQ(std::string("1,2,3,end"), EventIdsOf(ReadStream("new", "")));
  }

  void TestStreamTakenUpAfterItsLastEventIsNotEndedByATornAnswer() {
    const std::vector<std::string> rests = {
        "Transfer-Encoding: chunked\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n9\r\nid: 4",
        "Content-Length: 9\r\n\r\nid: 4", "Connection: close\r\n\r\nid: 4\n"};
    for (size_t i = 0; i < rests.size(); ++i) {
      tearDown();
      setUp();
      std::atomic<int> n_lost = 0;
      UseEnginesWithRests(rests, &n_lost);
      EXPECT(!TakeUpStream(i, 0).starts_with("HTTP/1.1 200 "));
      EXPECT(n_lost > 0);
    }
  }

  void TestNewStreamWithoutEventsIsNoLossOfItsTarget() {
    std::atomic<int> n_lost = 0;
    AddEngines(2, [this](LoopbackConnection& connection,
                         const std::string& header) {
      if (++n_sends_ > 1) {
        return Serve(connection, header, 3, 3);
      }
      return connection.Send(
          MakeStreamHeader(HeaderField(header, "Request-Id")) + "0\r\n\r\n");
    });
    instance_->OnTargetLost(
        [&](const TargetLoss&, uint64_t, LossAudience) { ++n_lost; });
    EXPECT_EQ(std::string("1,2,3,end"), EventIdsOf(ReadStream("r1", "")));
    EXPECT_EQ(0, n_lost.load());
  }

  // The table service is away: each stream begins at the base version. Once it
  // stores records again, streams of the other version begin after theirs.
  void TestFirstEventWaitsForItsRecordOrTheStreamBeginsAtTheBase() {
    AddEnginesOfTwoVersions(
        [this](LoopbackConnection& connection, const std::string& header) {
          RecordServingVersion(header);
          return Serve(connection, header, 2, 2);
        });
    std::mutex mutex;
    std::set<std::string> stored;
    std::atomic<RecordOutcome> outcome = RecordOutcome::kNotStored;
    instance_->SetStreamBases(
        {{"s", {true, "v1", "v1"}}},
        [&](const std::string& id, const StreamRecord& record,
            const std::function<void(RecordOutcome)>& done) {
          EXPECT_EQ(std::string("v2"), record.version);
          if (outcome == RecordOutcome::kStored) {
            const std::lock_guard lock(mutex);
            stored.insert(id);
          }
          done(outcome);
        });
    std::set<std::string> begun_at;
    for (int i = 0; i < 8; ++i) {
      const std::string id = fmt::format("away{}", i);
      EXPECT_EQ(std::string("1,2,end"), EventIdsOf(ReadStream(id, "")));
      const std::lock_guard lock(mutex);
      EXPECT(stored.empty());
    }
    outcome = RecordOutcome::kStored;
    std::this_thread::sleep_for(kRecordRetryPeriod.ToChrono());
    for (int i = 0; i < 16; ++i) {
      const std::string id = fmt::format("back{}", i);
      EXPECT_EQ(std::string("1,2,end"), EventIdsOf(ReadStream(id, "")));
    }
    const std::lock_guard lock(mutex);
    EXPECT(!stored.empty());
    EXPECT(stored.size() < 16);
  }

  void TestStreamEndsWhoseRecordMayBeStoredLater() {
    AddEnginesOfTwoVersions(
        [this](LoopbackConnection& connection, const std::string& header) {
          RecordServingVersion(header);
          return Serve(connection, header, 2, 2);
        });
    std::atomic<int> n_asked = 0;
    instance_->SetStreamBases(
        {{"s", {true, "v1", "v1"}}},
        [&](const std::string&, const StreamRecord&,
            const std::function<void(RecordOutcome)>& done) {
          ++n_asked;
          done(RecordOutcome::kUnknown);
        });
    int n_refused = 0;
    for (int i = 0; i < 8; ++i) {
      const std::string text = ReadStream(fmt::format("r{}", i), "");
      const bool is_refused =
          text.find("store_unavailable") != std::string::npos;
      EXPECT(is_refused || EventIdsOf(text) == "1,2,end");
      n_refused += is_refused ? 1 : 0;
    }
    // Those that follow begin at the base version at once.
    EXPECT_EQ(n_asked.load(), n_refused);
    EXPECT(n_refused <= 1);
  }

  void TestResumedStreamOfUnknownVersionIsRefusedAtOnce() {
    AddEngines(
        1, [this](LoopbackConnection& connection, const std::string& header) {
          return Serve(connection, header, 6, 6);
        });
    ShareStreamRecords({instance_.get()});
    const std::string text =
        ReadStream("r2", "After-Event: 3\r\nResumed-Id: r1\r\n");
    EXPECT(text.starts_with("HTTP/1.1 503 "));
    EXPECT(text.find("stream_unknown") != std::string::npos);
    EXPECT_EQ(0, n_sends_.load());
    EXPECT_EQ(std::string("1,2,3,4,5,6,end"),
              EventIdsOf(ReadStream("r3", "After-Event: 0\r\n")));
  }

  void TestEngineBusyWithPrefillIsAvoided() {
    busy_engine_ = 0;
    AddEngines(
        2, [this](LoopbackConnection& connection, const std::string& header) {
          serving_target_ = HeaderField(header, "Target-Id");
          return Serve(connection, header, 1, 1);
        });
    // Engine 0 is in the instance's failure domain and would be chosen if it
    // were idle.
    EXPECT_EQ(std::string("1,end"), EventIdsOf(ReadStream("r1", "")));
    EXPECT_EQ(std::string("t1"), serving_target_);
  }

  void TestUnresponsiveEnginesAreTriedLast() {
    n_unresponsive_engines_ = 3;
    AddEngines(
        4, [this](LoopbackConnection& connection, const std::string& header) {
          serving_target_ = HeaderField(header, "Target-Id");
          return Serve(connection, header, 1, 1);
        });
    for (int i = 0; i < 6; ++i) {
      EXPECT_EQ(std::string("1,end"),
                EventIdsOf(ReadStream(fmt::format("r{}", i),
                                      fmt::format("Prompt: p{}\r\n", i))));
      EXPECT_EQ(std::string("t3"), serving_target_);
    }
  }

  void TestInterruptedStreamWaitsForRetryBudget() {
    AddEngines(
        3, [this](LoopbackConnection& connection, const std::string& header) {
          return Serve(connection, header, 6, 3);
        });
    std::atomic<int> n_borrow_calls = 0;
    instance_->UseOnlyBorrowedRetries(
        [&n_borrow_calls](const std::string&, int wanted,
                          const std::function<void(int)>& done) {
          // The first borrow request is granted no retry.
          done(++n_borrow_calls > 1 ? wanted : 0);
        });
    EXPECT_EQ(std::string("1,2,3,4,5,6,end"), EventIdsOf(ReadStream("r1", "")));
    EXPECT_EQ(2, n_borrow_calls.load());
  }

  void TestStreamIsCutWhenNoRetryIsGranted() {
    AddEngines(
        3, [this](LoopbackConnection& connection, const std::string& header) {
          return Serve(connection, header, 6, 3);
        });
    instance_->UseOnlyBorrowedRetries(
        [](const std::string&, int, const std::function<void(int)>& done) {
          done(0);
        });
    const base::Millis began_at = base::Clock::Now();
    EXPECT_EQ(std::string("1,2,3"), EventIdsOf(ReadStream("r1", "")));
    // A caller is expected to abandon the stream after a pause of 5.6 s, which
    // is eight times the event gap objective of 700 ms.
    EXPECT(base::Clock::Now() - began_at < base::Millis{5600});
    EXPECT(n_sends_ == 1);
  }

  // An engine whose connection broke got the request once more, although it
  // was leaving by then.
  void TestInterruptedStreamDoesNotReturnToALeavingEngine() {
    std::atomic<int> left = -1;
    std::atomic<int> chosen = -1;
    for (int i = 0; i < 2; ++i) {
      AddTarget([&, i](LoopbackConnection& connection,
                       const std::string& header) {
        if (header.starts_with("GET /alive")) {
          return connection.Send(MakeAnswer(200, "", "0 0", ""));
        }
        if (++n_sends_ > 1) {
          chosen = i;
          return Serve(connection, header, 3, 3);
        }
        left = i;
        auto targets = std::make_shared<catalog::Targets>(*catalog_.targets);
        targets->at(fmt::format("t{}", i)).is_leaving = true;
        instance_->Apply({catalog_.configuration, targets});
        return false;
      });
    }
    EXPECT_EQ(std::string("1,2,3,end"), EventIdsOf(ReadStream("r1", "")));
    EXPECT_EQ(1 - left, chosen.load());
  }

  void TestSilentEngineIsReplaced() {
    AddEngines(
        2, [this](LoopbackConnection& connection, const std::string& header) {
          if (++n_sends_ > 1) {
            return Serve(connection, header, 4, 4);
          }
          connection.Send(MakeStreamHeader(HeaderField(header, "Request-Id")) +
                          MakeEvent(1) + MakeEvent(2));
          EXPECT(connection.ClosesWithin(kReadTimeoutMs));
          return false;
        });
    const base::Millis began_at = base::Clock::Now();
    EXPECT_EQ(std::string("1,2,3,4,end"), EventIdsOf(ReadStream("r1", "")));
    // The event gap objective of the route is 700 ms.
    EXPECT(base::Clock::Now() - began_at < base::Millis{700});
  }

  // Streams went on at a second engine while the first, which had stood still
  // for a second, went on with them too.
  void TestStreamStaysAtAnEngineThatStandsStill() {
    static constexpr std::chrono::milliseconds kStall{1200};
    for (int i = 0; i < 2; ++i) {
      AddTarget([this, i](LoopbackConnection& connection,
                          const std::string& header) {
        if (header.starts_with("GET /alive")) {
          if (i == still_engine_) {
            const std::lock_guard wait(stall_mutex_);
          }
          return connection.Send(MakeAnswer(200, "", "0 0", ""));
        }
        if (++n_sends_ > 1) {
          return Serve(connection, header, 4, 4);
        }
        connection.Send(MakeStreamHeader(HeaderField(header, "Request-Id")) +
                        MakeEvent(1) + MakeEvent(2));
        {
          const std::lock_guard lock(stall_mutex_);
          still_engine_ = i;
          std::this_thread::sleep_for(kStall);
        }
        return connection.Send(MakeEvent(3) + MakeEvent(4) + "0\r\n\r\n");
      });
    }
    EXPECT_EQ(std::string("1,2,3,4,end"), EventIdsOf(ReadStream("r1", "")));
    EXPECT_EQ(1, n_sends_.load());
  }

  void TestEventAfterASkippedIdIsNotRelayed() {
    AddEngines(
        2, [this](LoopbackConnection& connection, const std::string& header) {
          if (++n_sends_ > 1) {
            return Serve(connection, header, 4, 4);
          }
          connection.Send(MakeStreamHeader(HeaderField(header, "Request-Id")) +
                          MakeEvent(1) + MakeEvent(3));
          connection.ClosesWithin(kReadTimeoutMs);
          return false;
        });
    EXPECT_EQ(std::string("1,2,3,4,end"), EventIdsOf(ReadStream("r1", "")));
  }

  void TestStreamThatCannotResumeHasNoLastChunk() {
    AddEngines(
        1, [](LoopbackConnection& connection, const std::string& header) {
          if (!HeaderField(header, "After-Event").empty()) {
            return false;
          }
          connection.Send(MakeStreamHeader(HeaderField(header, "Request-Id")) +
                          MakeEvent(1));
          return false;
        });
    EXPECT_EQ(std::string("1"), EventIdsOf(ReadStream("r1", "")));
  }

  void TestSlowFirstEventIsAwaitedWhileEngineAnswersProbes() {
    AddEngines(
        2, [this](LoopbackConnection& connection, const std::string& header) {
          std::this_thread::sleep_for(std::chrono::milliseconds(2500));
          return Serve(connection, header, 2, 2);
        });
    EXPECT_EQ(std::string("1,2,end"), EventIdsOf(ReadStream("r1", "")));
    EXPECT_EQ(1, n_sends_.load());
  }

  void TestStreamOfBytesThatAreNoEventIsBrokenOff() {
    ExpectStreamGoesOnElsewhere(
        [](const std::string& id) {
          return MakeStreamHeader(id) + MakeEvent(1);
        },
        MakeChunk(std::string(60'000, 'x')), base::Millis{1});
  }

  void TestSlowBytesThatAreNoEventAreBrokenOff() {
    ExpectStreamGoesOnElsewhere(
        [](const std::string& id) {
          return MakeStreamHeader(id) + MakeEvent(1);
        },
        MakeChunk("x"), base::Millis{50});
  }

  void TestHeaderWithoutEndIsBrokenOff() {
    ExpectStreamGoesOnElsewhere(
        [](const std::string&) { return "HTTP/1.1 200 OK\r\nX-A: "; }, "a",
        base::Millis{50});
  }

  void TestInterimResponsesWithoutEndAreBrokenOff() {
    ExpectStreamGoesOnElsewhere([](const std::string&) { return ""; },
                                "HTTP/1.1 103 Early Hints\r\n\r\n",
                                base::Millis{50});
  }

  void TestChunkExtensionWithoutEndIsBrokenOff() {
    ExpectStreamGoesOnElsewhere(
        [](const std::string& id) {
          return MakeStreamHeader(id) + MakeEvent(1) + "5;";
        },
        std::string(60'000, 'x'), base::Millis{1});
  }

  void TestBodyWithoutEndIsBrokenOff() {
    ExpectCallIsAnsweredElsewhere(MakeChunk(std::string(60'000, 'x')),
                                  base::Millis{1});
  }

  void TestSlowBodyWithoutEndIsBrokenOff() {
    ExpectCallIsAnsweredElsewhere(MakeChunk("x"), base::Millis{20});
  }

  // The end of the connection is the end of an answer without a length; a
  // stream that ends within an event is broken off.
  void TestUnframedStreamEndsWithItsConnection() {
    AddEngines(2, [](LoopbackConnection& connection,
                     const std::string& header) {
      const std::string after = HeaderField(header, "After-Event");
      const std::string id = HeaderField(header, "Request-Id");
      const std::string unframed = fmt::format(
          "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s\r\n"
          "Content-Type: text/event-stream\r\n\r\n",
          id);
      connection.Send(unframed + (after.empty() ? "id: 1\ndata: a\n\nid: 2\nda"
                                                : "id: 2\ndata: b\n\n"));
      return false;
    });
    EXPECT_EQ(std::string("1,2,end"), EventIdsOf(ReadStream("r1", "")));
  }

  void TestRouteTimeoutIsEnforced() {
    AddTarget([](LoopbackConnection& connection, const std::string&) {
      connection.ClosesWithin(kReadTimeoutMs);
      return false;
    });
    const base::Millis began_at = base::Clock::Now();
    EXPECT_EQ(std::string("504"), RequestStatus("POST", "/once/a"));
    const base::Millis took = base::Clock::Now() - began_at;
    EXPECT(took >= base::Millis{950} && took < base::Millis{1400});
  }

  void TestStoppingInstanceRefusesRequestItCannotFinish() {
    AddEngines(
        1, [this](LoopbackConnection& connection, const std::string& header) {
          return Serve(connection, header, 2, 2);
        });
    instance_->BeginStop(base::Millis{3000});
    const std::string text = ReadStream("r1", "");
    EXPECT(text.starts_with("HTTP/1.1 503 "));
    EXPECT(!HeaderField(text, "Retry-After").empty());
    EXPECT_EQ(std::string("close"), HeaderField(text, "Connection"));
    EXPECT_EQ(0, n_sends_.load());
  }

  void TestStoppingInstanceRefusesRunOnceCallItMayHaveToGiveUp() {
    AddEchoTarget();
    instance_->BeginStop(kRouteTimeout - base::Millis{200});
    EXPECT_EQ(std::string("503"), RequestStatus("POST", "/once/a"));
    EXPECT_EQ(size_t{0}, TotalRequests());
    EXPECT_EQ(std::string("200"), RequestStatus("GET", "/safe/a"));
  }

  void TestConnectionIsClosedAfterAnErrorAnswerThatSaysSo() {
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(
          MakeAnswer(500, HeaderField(header, "Request-Id"), ""));
    });
    instance_->BeginStop(kRouteTimeout * 5);
    Caller caller(instance_->Port());
    caller.SendRequest("GET", "/safe/a", "r1");
    const std::string header =
        caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
    EXPECT(header.starts_with("HTTP/1.1 500 "));
    EXPECT_EQ(std::string("close"), HeaderField(header, "Connection"));
    EXPECT(caller.connection->ClosesWithin(kStopLagMs));
  }

  void TestCallAtASlowTargetIsAnsweredBeforeTheInstanceStops() {
    AddTarget([](LoopbackConnection& connection, const std::string&) {
      return connection.ReadUntil("", kReadTimeoutMs).empty();
    });
    EXPECT_EQ(std::string("504"), StatusWhenStoppedMeanwhile("/once/a"));
  }

  void TestAnswerWithoutEndIsAnsweredBeforeTheInstanceStops() {
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      const std::string answer =
          MakeAnswer(200, HeaderField(header, "Request-Id"), "body");
      connection.Send(answer.substr(0, answer.size() - 1));
      return connection.ReadUntil("", kReadTimeoutMs).empty();
    });
    EXPECT_EQ(std::string("504"), StatusWhenStoppedMeanwhile("/once/a"));
  }

  void TestStreamWithoutEventIsAnsweredBeforeTheInstanceStops() {
    AddEngines(1, [](LoopbackConnection& connection, const std::string&) {
      return connection.ReadUntil("", kReadTimeoutMs).empty();
    });
    EXPECT_EQ(std::string("504"), StatusWhenStoppedMeanwhile("/stream/a"));
  }

  void TestRequestOnAnIdleConnectionIsAnsweredWhenItIsClosed() {
    AddEchoTarget();
    Caller caller(instance_->Port());
    EXPECT_EQ(std::string("200"), StatusOfNext(caller));
    instance_->Stall(kStall);
    caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    instance_->CloseIdleConnections();
    EXPECT_EQ(std::string("200"), ReadStatus(caller));
  }

  void TestRequestThatArrivesBeforeTheIdleTimeoutIsAnswered() {
    AddEchoTarget();
    SetIdleTimeout(kStall);
    Caller caller(instance_->Port());
    EXPECT_EQ(std::string("200"), StatusOfNext(caller));
    instance_->Stall(kStall * 2);
    caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    EXPECT_EQ(std::string("200"), ReadStatus(caller));
  }

  void TestPassedOnRequestIsAnsweredWhileIdleConnectionsAreClosed() {
    for (int i = 0; i < 3; ++i) {
      AddTarget(
          [this](LoopbackConnection& connection, const std::string& header) {
            return connection.Send(
                MakeAnswer(++n_sends_ % kSendsPerErrorAnswer == 0 ? 500 : 200,
                           HeaderField(header, "Request-Id"), ""));
          });
    }
    std::atomic<bool> is_over = false;
    std::mutex mutex;
    std::set<std::string> unanswered;
    std::vector<std::thread> callers;
    for (int i = 0; i < kKeptCallers; ++i) {
      callers.emplace_back([&, i] {
        const std::set<std::string> own =
            CallUntil(is_over, fmt::format("c{}", i));
        const std::lock_guard lock(mutex);
        unanswered.insert(own.begin(), own.end());
      });
    }
    const base::Millis end = base::Clock::Now() + kRouteTimeout * 2;
    for (int i = 0; base::Clock::Now() < end; ++i) {
      instance_->CloseIdleConnections();
      if (i % 50 == 0) {
        SetIdleTimeout(base::Millis{i % 3 == 0 ? 10 : 2000});
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    is_over = true;
    for (std::thread& it : callers) {
      it.join();
    }
    EXPECT(TotalRequests() >= kKeptCallers);
    for (const auto& target : targets_) {
      for (const std::string& it : target->Requests()) {
        EXPECT(!unanswered.contains(HeaderField(it, "Request-Id")));
      }
    }
  }

  void TestRequestThatFailsInternallyIsAnswered() {
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(MakeAnswer(200, HeaderField(header, "Request-Id"),
                                        "", "Throw: 1\r\n"));
    });
    Caller caller(instance_->Port());
    caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
    const std::string header =
        caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
    EXPECT(header.starts_with("HTTP/1.1 502 "));
    EXPECT_EQ(std::string("close"), HeaderField(header, "Connection"));
    EXPECT(caller.connection->ClosesWithin(kStopLagMs));
  }

  void TestReplacedTargetGetsNoFurtherRequests() {
    FakeTarget& target = AddTarget(
        [](LoopbackConnection& connection, const std::string& header) {
          return connection.Send(MakeAnswer(
              421, HeaderField(header, "Request-Id"), "", "Not-Run: 1\r\n"));
        });
    EXPECT_EQ(std::string("503"), RequestStatus("POST", "/once/a"));
    EXPECT_EQ(std::string("503"), RequestStatus("POST", "/once/a"));
    EXPECT_EQ(size_t{1}, target.Requests().size());
  }

  // Each engine closes the connection when it receives the request, and then
  // accepts connections again, like an engine that crashes and restarts. The
  // engines are in two failure domains, and the losses are too far apart to be
  // attributed to a common cause.
  void TestRequestThatCrashesTargetsIsNoLongerSent() {
    AddEngines(6, [this](LoopbackConnection&, const std::string&) {
      ++n_sends_;
      std::this_thread::sleep_for(
          std::chrono::milliseconds(kCorrelatedLossWindow.count + 50));
      return false;
    });
    for (int i = 0; i < 3; ++i) {
      ReadStream(fmt::format("r{}", i), "");
    }
    EXPECT(n_sends_ >=
           static_cast<int>(CrashingRequestTracker::kTargetLossesUntilBlocked));
    const int n = n_sends_;
    ReadStream("last", "");
    EXPECT_EQ(n, n_sends_.load());
  }

  void TestRequestThatCrashesTargetsAfterFirstEventIsNoLongerSent() {
    AddEngines(12, [this](LoopbackConnection& connection,
                          const std::string& header) {
      ++n_sends_;
      PauseBetweenLosses();
      const std::string after = HeaderField(header, "After-Event");
      connection.Send(MakeStreamHeader(HeaderField(header, "Request-Id")) +
                      MakeEvent((after.empty() ? 0 : std::stoi(after)) + 1));
      return false;
    });
    ExpectNoLongerSent([this](const std::string& id) { ReadStream(id, ""); });
  }

  void TestRequestThatSilencesTargetsIsNoLongerSent() {
    n_unresponsive_engines_ = 6;
    AddEngines(6, [this](LoopbackConnection& connection, const std::string&) {
      ++n_sends_;
      connection.ClosesWithin(kStreamMs);
      return false;
    });
    ExpectNoLongerSent([this](const std::string& id) { ReadStream(id, ""); });
  }

  // No two requests are alike; each target ends soon after it began to answer.
  void TestRequestsWithAPromptPartThatCrashesTargetsAreNotSent() {
    AddEngines(12, [this](LoopbackConnection& connection,
                          const std::string& header) {
      if (HeaderField(header, "Prompt").find("deadly") == std::string::npos) {
        return Serve(connection, header, 3, 3);
      }
      ++n_sends_;
      PauseBetweenLosses();
      connection.Send(MakeStreamHeader(HeaderField(header, "Request-Id")));
      return false;
    });
    EXPECT(ReadPromptStream("r0", "common,own0").ends_with("0\r\n\r\n"));
    n_sends_ = 0;
    for (int i = 1; i <= 3; ++i) {
      ReadPromptStream(fmt::format("r{}", i),
                       fmt::format("common,deadly,own{}", i));
    }
    EXPECT(n_sends_ >= 5);
    n_sends_ = 0;
    for (int i = 4; i <= 8; ++i) {
      ReadPromptStream(fmt::format("r{}", i),
                       fmt::format("common,deadly,own{}", i));
    }
    EXPECT_EQ(0, n_sends_.load());
    EXPECT(ReadPromptStream("r9", "common,own9").ends_with("0\r\n\r\n"));
  }

  void TestCallThatCrashesTargetsIsNoLongerSent() {
    for (int i = 0; i < 6; ++i) {
      AddTarget([this](LoopbackConnection&, const std::string&) {
        ++n_sends_;
        PauseBetweenLosses();
        return false;
      });
    }
    ExpectNoLongerSent([this](const std::string& id) {
      Caller caller(instance_->Port());
      caller.SendRequest("POST", "/once/a", id, "Content-Length: 4\r\n");
      caller.connection->Send("body");
      caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
    });
  }

  void TestCallsWithoutBodyAreNotBlocked() {
    for (int i = 0; i < 6; ++i) {
      AddTarget([this](LoopbackConnection&, const std::string&) {
        ++n_sends_;
        PauseBetweenLosses();
        return false;
      });
    }
    for (int i = 0; i < 5; ++i) {
      RequestStatus("POST", "/once/a");
    }
    EXPECT_EQ(5, n_sends_.load());
  }

  // Callers send the request again with another prompt field, query and key of
  // their workspace.
  void TestCrashingRequestIsRecognizedByPathWorkspaceAndBody() {
    AddEngines(12, [this](LoopbackConnection&, const std::string&) {
      ++n_sends_;
      PauseBetweenLosses();
      return false;
    });
    ExpectNoLongerSent([this](const std::string& id) {
      Caller caller(instance_->Port());
      caller.connection->Send(fmt::format(
          "GET /stream/a?n={0} HTTP/1.1\r\nHost: h\r\nRequest-Id: {0}\r\n"
          "Key: {1}\r\nPrompt: {0}\r\nConnection: close\r\n\r\n",
          id, id.back() % 2 == 0 ? "k" : "k2"));
      caller.connection->ReadUntil("\r\n0\r\n\r\n", kStreamMs);
    });
  }

  void TestRequestBlockedDuringWaitIsNotSent() {
    AddEngines(6, [this](LoopbackConnection&, const std::string&) {
      ++n_sends_;
      return false;
    });
    std::atomic<uint64_t> content_hash = 0;
    instance_->OnTargetLost([&](const TargetLoss&, uint64_t hash,
                                LossAudience) { content_hash = hash; });
    // The retry is granted only after peers have reported further losses.
    instance_->UseOnlyBorrowedRetries(
        [&](const std::string&, int n, const std::function<void(int)>& done) {
          if (content_hash != 0) {
            for (const char* it : {"x", "y", "z"}) {
              instance_->ReportLossFromPeer(
                  {{it, 1}, "s", std::string("domain-of-") + it}, content_hash);
            }
          }
          done(n);
        });
    ReadStream("r1", "");
    EXPECT(content_hash != 0);
    EXPECT_EQ(1, n_sends_.load());
  }

  void TestRequestBeyondAllLimitsIsRefusedAtOnce() {
    FakeTarget& target = AddTarget([](LoopbackConnection& connection,
                                      const std::string& header) {
      return connection.Send(MakeAnswer(200, HeaderField(header, "Request-Id"),
                                        "", "Seal: s\r\nLimit: 0.5\r\n"));
    });
    ShareRequestLimits({instance_.get()});
    EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    for (int i = 0; i < 3; ++i) {
      const base::Millis began_at = base::Clock::Now();
      Caller caller(instance_->Port());
      caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
      const std::string header =
          caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
      EXPECT(header.starts_with("HTTP/1.1 503 "));
      EXPECT(std::stod(HeaderField(header, "Retry-After")) >= 1);
      EXPECT(base::Clock::Now() - began_at < base::Millis{200});
    }
    EXPECT_EQ(size_t{1}, target.Requests().size());
  }

  // A target that left while the table service was down got requests until it
  // exited.
  void TestTargetThatStatesThatItLeavesGetsNoRequests() {
    std::atomic<int> n_leaving = 0;
    AddTarget([&](LoopbackConnection& connection, const std::string& header) {
      ++n_leaving;
      return connection.Send(MakeAnswer(200, HeaderField(header, "Request-Id"),
                                        "", "Seal: s\r\nLeaving: 1\r\n"));
    });
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(
          MakeAnswer(200, HeaderField(header, "Request-Id"), ""));
    });
    for (int i = 0; i < 40; ++i) {
      EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    }
    EXPECT_EQ(1, n_leaving.load());
  }

  void TestLiftedLimitHoldsNoLonger() {
    std::atomic<bool> is_limited = true;
    AddTarget([&](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(
          MakeAnswer(200, HeaderField(header, "Request-Id"), "",
                     is_limited ? "Seal: s\r\nLimit: 4\r\n" : "Seal: s\r\n"));
    });
    ShareRequestLimits({instance_.get()});
    EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    EXPECT_EQ(std::string("503"), RequestStatus("POST", "/once/a"));
    is_limited = false;
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    for (int i = 0; i < 10; ++i) {
      EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    }
  }

  void TestSecondLossUnderARequestIsReportedToAllPeers() {
    AddEngines(6, [](LoopbackConnection&, const std::string&) {
      PauseBetweenLosses();
      return false;
    });
    std::mutex mutex;
    std::map<std::string, LossAudience> reported;
    std::vector<LossAudience> audiences;
    instance_->OnTargetLost([&](const TargetLoss& target, uint64_t hash,
                                LossAudience audience) {
      const std::lock_guard lock(mutex);
      if (hash != 0 && reported.emplace(target.process.id, audience).second) {
        audiences.push_back(audience);
      }
    });
    ReadStream("r1", "");
    const std::lock_guard lock(mutex);
    EXPECT(audiences.size() >= 3);
    EXPECT(audiences[0] == LossAudience::kSomePeers);
    EXPECT(audiences[1] == LossAudience::kAllPeers);
    EXPECT(audiences[2] == LossAudience::kAllPeers);
  }

  // A target that names a limit gets what the limit allows, and not more from
  // two instances than from one. Requests beyond it go to the other target.
  void TestRequestLimitHoldsForAllInstancesTogether() {
    static constexpr double kLimit = 2;
    constexpr base::Millis kWindow{4000};
    constexpr base::Millis kRequestInterval{25};
    // What the target tolerates within kWindow.
    constexpr double kAllowed = kLimit * 4 * 1.5 + 5;
    FakeTarget& limited = AddTarget(
        [](LoopbackConnection& connection, const std::string& header) {
          return connection.Send(
              MakeAnswer(200, HeaderField(header, "Request-Id"), "",
                         fmt::format("Seal: s\r\nLimit: {}\r\n", kLimit)));
        });
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(
          MakeAnswer(200, HeaderField(header, "Request-Id"), ""));
    });
    Instance other;
    other.Apply(catalog_);
    ShareRequestLimits({instance_.get(), &other});
    for (const Instance* it : {instance_.get(), &other}) {
      EXPECT_EQ(std::string("200"),
                RequestStatus("GET", "/safe/a", it->Port()));
    }
    const size_t n_before = limited.Requests().size();
    const base::Millis end = base::Clock::Now() + kWindow;
    while (base::Clock::Now() < end) {
      for (const Instance* it : {instance_.get(), &other}) {
        EXPECT_EQ(std::string("200"),
                  RequestStatus("GET", "/safe/a", it->Port()));
      }
      std::this_thread::sleep_for(kRequestInterval.ToChrono());
    }
    const size_t n = limited.Requests().size() - n_before;
    EXPECT(static_cast<double>(n) <= kAllowed);
    EXPECT(n >= 3);
  }

  void TestInstancesShareTheSlotsOfABrittleTarget() {
    constexpr int kCallersPerInstance = 4;
    constexpr int kCalls = 10;
    slots_ = 1;
    std::atomic<int> n_concurrent = 0;
    std::atomic<int> n_most = 0;
    AddTarget([&](LoopbackConnection& connection, const std::string& header) {
      const int n = ++n_concurrent;
      n_most = std::max(n_most.load(), n);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      --n_concurrent;
      return connection.Send(MakeAnswer(200, HeaderField(header, "Request-Id"),
                                        "", "Seal: s\r\nBrittle: 1\r\n"));
    });
    Instance other;
    other.Apply(catalog_);
    ShareSlots({instance_.get(), &other});
    for (const Instance* it : {instance_.get(), &other}) {
      EXPECT_EQ(std::string("200"),
                RequestStatus("POST", "/once/a", it->Port()));
    }
    n_most = 0;
    std::atomic<int> n_served = 0;
    std::vector<std::thread> callers;
    for (const Instance* it : {instance_.get(), &other}) {
      for (int i = 0; i < kCallersPerInstance; ++i) {
        callers.emplace_back([this, it, &n_served] {
          for (int j = 0; j < kCalls; ++j) {
            n_served +=
                RequestStatus("POST", "/once/a", it->Port()) == "200" ? 1 : 0;
          }
        });
      }
    }
    for (std::thread& it : callers) {
      it.join();
    }
    EXPECT_EQ(1, n_most.load());
    EXPECT(n_served >= kCalls);
  }

  void TestRequestWithoutSlotIsRefusedAtOnce() {
    FakeTarget& target = AddBrittleTarget();
    instance_->SetSlotSource(
        [](const SlotRequest&, const std::function<void(RequestPermit)>& done) {
          done({false, {5000}});
        },
        [](const SlotReturn&) {});
    EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    for (int i = 0; i < 2; ++i) {
      const base::Millis began_at = base::Clock::Now();
      Caller caller(instance_->Port());
      caller.SendRequest("POST", "/once/a", "r1", "Content-Length: 0\r\n");
      const std::string header =
          caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
      EXPECT(header.starts_with("HTTP/1.1 503 "));
      EXPECT(std::stod(HeaderField(header, "Retry-After")) >= 4);
      EXPECT(base::Clock::Now() - began_at < base::Millis{200});
    }
    EXPECT_EQ(size_t{1}, target.Requests().size());
  }

  void TestSlotIsReturnedWithItsOutcome() {
    std::atomic<bool> is_full = false;
    std::atomic<bool> is_brittle = true;
    AddTarget([&](LoopbackConnection& connection, const std::string& header) {
      const std::string fields =
          std::string(is_full ? "Not-Run: 1\r\n" : "Seal: s\r\n") +
          (is_brittle ? "Brittle: 4\r\n" : "");
      return connection.Send(MakeAnswer(
          is_full ? 503 : 200, HeaderField(header, "Request-Id"), "", fields));
    });
    std::mutex mutex;
    std::vector<uint64_t> taken;
    std::vector<SlotReturn> returned;
    instance_->SetSlotSource(
        [&](const SlotRequest& slot,
            const std::function<void(RequestPermit)>& done) {
          const std::lock_guard lock(mutex);
          taken.push_back(slot.lease_id);
          done({true, {}});
        },
        [&](const SlotReturn& slot) {
          const std::lock_guard lock(mutex);
          returned.push_back(slot);
        });
    EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    is_full = true;
    EXPECT_EQ(std::string("503"), RequestStatus("POST", "/once/a"));
    is_full = false;
    is_brittle = false;
    EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    EXPECT_EQ(std::string("200"), RequestStatus("POST", "/once/a"));
    const std::lock_guard lock(mutex);
    EXPECT_EQ(size_t{3}, taken.size());
    EXPECT_EQ(size_t{3}, returned.size());
    for (size_t i = 0; i < returned.size(); ++i) {
      EXPECT_EQ(taken[i], returned[i].lease_id);
      EXPECT(returned[i].outcome ==
             (i == 1 ? SlotOutcome::kRejected : SlotOutcome::kUsed));
    }
  }

 private:
  static constexpr int kStreamMs = 8000;

  FakeTarget& AddBrittleTarget() {
    return AddTarget([](LoopbackConnection& connection,
                        const std::string& header) {
      return connection.Send(MakeAnswer(200, HeaderField(header, "Request-Id"),
                                        "", "Seal: s\r\nBrittle: 4\r\n"));
    });
  }

  /// Connects the instances so that they share the slots of brittle targets.
  static void ShareSlots(const std::vector<Instance*>& instances) {
    struct SharedGuard {
      std::mutex mutex;
      RejectionGuard guard;
    };
    const auto shared = std::make_shared<SharedGuard>();
    for (Instance* it : instances) {
      it->SetSlotSource(
          [shared](const SlotRequest& slot,
                   const std::function<void(RequestPermit)>& done) {
            const std::lock_guard lock(shared->mutex);
            done(shared->guard.Take(slot, base::Clock::Now()));
          },
          [shared](const SlotReturn& slot) {
            const std::lock_guard lock(shared->mutex);
            shared->guard.Return(slot, base::Clock::Now());
          });
    }
  }

  /// Connects the instances so that limits of targets hold for all of them
  /// together.
  static void ShareRequestLimits(const std::vector<Instance*>& instances) {
    struct SharedPool {
      std::mutex mutex;
      RequestPermitPool pool;
    };
    const auto shared = std::make_shared<SharedPool>();
    for (Instance* it : instances) {
      it->SetPermitSource(
          [shared](const TargetProcess& target, double limit,
                   const std::function<void(RequestPermit)>& done) {
            const std::lock_guard lock(shared->mutex);
            done(shared->pool.Take(target, limit, base::Clock::Now()));
          });
    }
  }

  /// Keeps losses far enough apart that they have no common cause.
  static void PauseBetweenLosses() {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(kCorrelatedLossWindow.count + 50));
  }

  /// Sends a request that targets do not survive until it is blocked. Checks
  /// that it reaches no target afterwards.
  template <typename Send>
  void ExpectNoLongerSent(Send send) {
    constexpr int kRepetitions = 4;
    for (int i = 0; i < kRepetitions; ++i) {
      send(fmt::format("r{}", i));
    }
    EXPECT(n_sends_ >=
           static_cast<int>(CrashingRequestTracker::kTargetLossesUntilBlocked));
    const int n = n_sends_;
    send("last0");
    send("last1");
    EXPECT_EQ(n, n_sends_.load());
  }

  FakeTarget& AddTarget(FakeTarget::RequestHandler script) {
    targets_.push_back(std::make_unique<FakeTarget>(std::move(script)));
    Publish();
    return *targets_.back();
  }

  void AddEngines(int n, const FakeTarget::RequestHandler& script) {
    for (int i = 0; i < n; ++i) {
      AddTarget([this, i, script](LoopbackConnection& connection,
                                  const std::string& header) {
        // Requests for the engine report do not count as sends.
        if (header.starts_with("GET /alive") && i < n_unresponsive_engines_) {
          connection.ClosesWithin(kReadTimeoutMs);
          return false;
        }
        if (header.starts_with("GET /alive")) {
          return connection.Send(
              MakeAnswer(200, "", i == busy_engine_ ? "1 1" : "0 0", ""));
        }
        return script(connection, header);
      });
    }
  }

  /// Starts an instance with little room for answers, and a target whose
  /// answers don't fit. The target breaks off after `n` bytes of the body.
  /// Returns the body.
  std::string UseSmallRoom(size_t n) {
    instance_.reset();
    intake::RoomPlan room;
    room.total_bytes = kSmallRoomBytes;
    room.small_reserve_bytes = kSmallRoomBytes / 2;
    room.largest_bytes = kSmallRoomBytes - room.small_reserve_bytes;
    instance_ = std::make_unique<Instance>(room);
    std::string body;
    while (body.size() < kAnswerPartBytes) {
      body += fmt::format("{} ", body.size());
    }
    AddTarget(
        [body, n](LoopbackConnection& connection, const std::string& header) {
          const std::string id = HeaderField(header, "Request-Id");
          if (header.starts_with("POST /once/small")) {
            return connection.Send(MakeAnswer(200, id, "small"));
          }
          std::string answer = MakeAnswer(200, id, body);
          const bool is_whole = n >= kAnswerPartBytes;
          answer.resize(is_whole ? answer.size() : n);
          return connection.Send(answer) && is_whole;
        });
    return body;
  }

  /// True if nothing is held for callers any more soon.
  bool ReturnsAllRoom() {
    const base::Millis began_at = base::Clock::Now();
    while (instance_->HeldBytes() > 0 &&
           base::Clock::Now() - began_at < base::Millis{kReadTimeoutMs}) {
      std::this_thread::yield();
    }
    return instance_->HeldBytes() == 0;
  }

  /// Reads a body in chunks. Returns an empty text if its end is missing.
  static std::string ReadChunks(Caller & caller) {
    std::string body;
    while (true) {
      const std::string line =
          caller.connection->ReadUntil("\r\n", kReadTimeoutMs);
      const size_t n = std::strtoul(line.c_str(), nullptr, 16);
      if (!line.ends_with("\r\n")) {
        return "";
      }
      std::string chunk;
      while (chunk.size() < n + 2 && !caller.connection->IsClosed()) {
        chunk += caller.connection->ReadUntil("\r\n", kReadTimeoutMs);
      }
      if (n == 0) {
        return body;
      }
      body += chunk.substr(0, n);
    }
  }

  static std::string MakeChunk(const std::string& bytes) {
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
  }

  /// Sends `bytes` again and again until the other end closes the connection.
  void SendWithoutEnd(const LoopbackConnection& connection,
                      const std::string& bytes, base::Millis pause) {
    while (connection.Send(bytes)) {
      std::this_thread::sleep_for(pause.ToChrono());
    }
    ++n_broken_off_;
  }

  /// The first engine sends `begin(request id)`, then `bytes` without end. The
  /// stream must go on at another engine soon.
  void ExpectStreamGoesOnElsewhere(
      const std::function<std::string(const std::string&)>& begin,
      const std::string& bytes, base::Millis pause) {
    constexpr base::Millis kSoon{4000};
    AddEngines(3,
               [&](LoopbackConnection& connection, const std::string& header) {
                 if (++n_sends_ > 1) {
                   return Serve(connection, header, 3, 3);
                 }
                 connection.Send(begin(HeaderField(header, "Request-Id")));
                 SendWithoutEnd(connection, bytes, pause);
                 return false;
               });
    const base::Millis began_at = base::Clock::Now();
    EXPECT_EQ(std::string("1,2,3,end"), EventIdsOf(ReadStream("r1", "")));
    EXPECT(base::Clock::Now() - began_at < kSoon);
    // The engine notices the closed connection with one of its next sends.
    while (n_broken_off_ == 0 && base::Clock::Now() - began_at < kSoon) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(1, n_broken_off_.load());
  }

  /// The first target sends the header of an answer, then `chunk` without end.
  void ExpectCallIsAnsweredElsewhere(const std::string& chunk,
                                     base::Millis pause) {
    constexpr base::Millis kSoon{900};
    for (int i = 0; i < 2; ++i) {
      AddTarget([this, chunk, pause](LoopbackConnection& connection,
                                     const std::string& header) {
        const std::string id = HeaderField(header, "Request-Id");
        if (++n_sends_ > 1) {
          return connection.Send(MakeAnswer(200, id, "b"));
        }
        connection.Send(
            fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n",
                        id));
        SendWithoutEnd(connection, chunk, pause);
        return false;
      });
    }
    const base::Millis began_at = base::Clock::Now();
    EXPECT_EQ(std::string("200"), RequestStatus("GET", "/safe/a"));
    EXPECT(base::Clock::Now() - began_at < kSoon);
    EXPECT_EQ(2, n_sends_.load());
  }

  void AddEnginesOfTwoVersions(const FakeTarget::RequestHandler& script) {
    versions_ = {"v1", "v2", "v2", "v1", "v1", "v2"};
    AddEngines(static_cast<int>(versions_.size()), script);
  }

  /// Starts engines at which a stream has three events. To a request for
  /// /stream/I after its last event, they answer `rests[I]`, and close the
  /// connection unless the answer has an end.
  void UseEnginesWithRests(const std::vector<std::string>& rests,
                           std::atomic<int>* n_lost) {
    AddEngines(4, [this, rests](LoopbackConnection& connection,
                                const std::string& header) {
      if (HeaderField(header, "After-Event").empty()) {
        return Serve(connection, header, 3, 3);
      }
      constexpr std::string_view kPath = "GET /stream/";
      const std::string& rest =
          rests.at(static_cast<size_t>(header.at(kPath.size()) - '0'));
      connection.Send(
          fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s\r\n"
                      "Content-Type: text/event-stream\r\n{}",
                      HeaderField(header, "Request-Id"), rest));
      return rest.find("\r\n\r\n0\r\n") != std::string::npos ||
             rest.starts_with("Content-Length: 0");
    });
    ShareStreamRecords({instance_.get()});
    stream_records_["first"] = {"s", "v1"};
    instance_->OnTargetLost(
        [n_lost](const TargetLoss&, uint64_t, LossAudience) { ++*n_lost; });
  }

  /// Takes a stream up after its last event; see UseEnginesWithRests().
  std::string TakeUpStream(size_t rest, int n) {
    Caller caller(instance_->Port());
    caller.SendRequest("GET", fmt::format("/stream/{}", rest),
                       fmt::format("again-{}-{}", rest, n),
                       "Connection: close\r\nAfter-Event: 3\r\n"
                       "Resumed-Id: first\r\n");
    return caller.connection->ReadUntil("\r\n0\r\n\r\n", kStreamMs);
  }

  /// Makes the instances share their records of streams.
  void ShareStreamRecords(const std::vector<Instance*>& instances) {
    for (Instance* it : instances) {
      it->SetStreamRecords(
          [this](const std::string& id, const StreamRecord& record,
                 RecordState) {
            const std::lock_guard lock(serving_mutex_);
            stream_records_[id] = record;
          },
          [this](const std::string& id, const std::string&,
                 const std::function<void(StreamOrigin)>& done) {
            const std::lock_guard lock(serving_mutex_);
            const auto found = stream_records_.find(id);
            done(found == stream_records_.end()
                     ? StreamOrigin()
                     : StreamOrigin{VersionSource::kRecord, found->second});
          });
    }
  }

  /// Records the version that got a request for a path. `header` is that of the
  /// request.
  void RecordServingVersion(const std::string& header) {
    const std::string path =
        header.substr(0, header.find(" HTTP")).substr(header.find('/'));
    const std::string target = HeaderField(header, "Target-Id");
    const std::lock_guard lock(serving_mutex_);
    serving_versions_[path].insert(
        versions_.at(static_cast<size_t>(std::stoi(target.substr(1)))));
  }

  void Publish() {
    auto configuration = std::make_shared<catalog::Configuration>();
    configuration->version = 1;
    configuration->has_workspaces = true;
    configuration->workspaces["k"] = {"w", std::nullopt};
    configuration->workspaces["k2"] = {"w", std::nullopt};
    catalog::Service service;
    service.name = "s";
    service.engine.emplace();
    service.engine->replicates_kv_cache = true;
    configuration->services["s"] = service;
    AddRoute("/once/", catalog::Repeatability::kRunOnce, false,
             configuration.get());
    AddRoute("/safe/", catalog::Repeatability::kIdempotent, false,
             configuration.get());
    AddRoute("/stream/", catalog::Repeatability::kResumable, true,
             configuration.get());
    auto targets = std::make_shared<catalog::Targets>();
    for (size_t i = 0; i < targets_.size(); ++i) {
      catalog::Target target;
      target.id = fmt::format("t{}", i);
      target.service = "s";
      target.address = targets_[i]->Address();
      target.failure_domain = i % 2 == 0 ? "a" : "b";
      target.version = i < versions_.size() ? versions_[i] : "v1";
      target.slots = slots_;
      targets->emplace(target.id, target);
    }
    catalog_ = {configuration, targets};
    instance_->Apply(catalog_);
  }

  static void AddRoute(const std::string& prefix,
                       catalog::Repeatability repeatability, bool is_stream,
                       catalog::Configuration* into) {
    catalog::Route route;
    route.name = prefix;
    route.host = "h";
    route.prefix = prefix;
    route.repeatability = repeatability;
    route.is_stream = is_stream;
    route.timeout = is_stream ? base::Millis{10'000} : kRouteTimeout;
    route.latency_objective = {300};
    route.event_gap_objective = {700};
    route.maximum_targets = 5;
    route.services.push_back({"s", 1});
    into->routes.push_back(route);
  }

  std::string RequestStatus(const std::string& method,
                            const std::string& path) {
    return RequestStatus(method, path, instance_->Port());
  }

  static std::string RequestStatus(const std::string& method,
                                   const std::string& path, uint16_t port) {
    Caller caller(port);
    caller.SendRequest(method, path, "r1", "Content-Length: 0\r\n");
    const std::string header =
        caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
    return header.size() < 12 ? header : header.substr(9, 3);
  }

  static std::string ReadStatus(Caller & caller) {
    const std::string header =
        caller.connection->ReadUntil("\r\n\r\n", kReadTimeoutMs);
    return header.size() < 12 ? header : header.substr(9, 3);
  }

  /// Sends requests on connections that are kept open as long as they can be
  /// used. Returns the ids of those that got no answer.
  std::set<std::string> CallUntil(const std::atomic<bool>& is_over,
                                  const std::string& name) {
    std::set<std::string> unanswered;
    std::optional<Caller> caller;
    for (int i = 0; !is_over; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(
          static_cast<int64_t>(base::RandomNumber() % kLongestPauseMs)));
      if (!caller || caller->connection->ClosesWithin(1)) {
        caller.emplace(instance_->Port());
      }
      const std::string id = fmt::format("{}-{}", name, i);
      caller->SendRequest("GET", "/safe/a", id);
      if (ReadStatus(*caller).empty()) {
        unanswered.insert(id);
        caller.reset();
      }
    }
    return unanswered;
  }

  static std::string StatusOfNext(Caller & caller) {
    caller.SendRequest("POST", "/once/a", "r0", "Content-Length: 0\r\n");
    return ReadStatus(caller);
  }

  void AddEchoTarget() {
    AddTarget([](LoopbackConnection& connection, const std::string& header) {
      return connection.Send(
          MakeAnswer(200, HeaderField(header, "Request-Id"), ""));
    });
  }

  void SetIdleTimeout(base::Millis timeout) {
    auto next =
        std::make_shared<catalog::Configuration>(*catalog_.configuration);
    next->limits.idle_timeout = timeout;
    ++next->version;
    catalog_.configuration = next;
    instance_->Apply(catalog_);
  }

  /// Sends a request, then begins to stop the instance. Returns the status that
  /// the caller has got when the instance ends its open requests.
  std::string StatusWhenStoppedMeanwhile(const std::string& path) {
    Caller caller(instance_->Port());
    caller.SendRequest("POST", path, "r1", "Content-Length: 0\r\n");
    while (TotalRequests() == 0) {
      std::this_thread::yield();
    }
    instance_->BeginStop(kStopTime);
    const std::string header = caller.connection->ReadUntil(
        "\r\n\r\n", static_cast<int>(kStopTime.count) + kStopLagMs);
    return header.size() < 12 ? header : header.substr(9, 3);
  }

  std::string ReadStream(const std::string& id, const std::string& extra) {
    Caller caller(instance_->Port());
    caller.SendRequest("GET", "/stream/a", id, "Connection: close\r\n" + extra);
    return caller.connection->ReadUntil("\r\n0\r\n\r\n", kStreamMs);
  }

  /// Requests a stream under a path of its own.
  std::string ReadPromptStream(const std::string& id,
                               const std::string& prompt) {
    Caller caller(instance_->Port());
    caller.SendRequest("GET", "/stream/" + id, id,
                       "Connection: close\r\nPrompt: " + prompt + "\r\n");
    return caller.connection->ReadUntil("\r\n0\r\n\r\n", kStreamMs);
  }

  /// Sends the events that follow the event id in the After-Event field, up to
  /// id `n`. Closes the connection after `n_before_break` events if event `n`
  /// has not been sent by then.
  bool Serve(LoopbackConnection & connection, const std::string& header, int n,
             int n_before_break) {
    ++n_sends_;
    const std::string after = HeaderField(header, "After-Event");
    int id = after.empty() ? 0 : std::stoi(after);
    connection.Send(MakeStreamHeader(HeaderField(header, "Request-Id")));
    for (int i = 0; i < n_before_break && id < n; ++i) {
      connection.Send(MakeEvent(++id));
    }
    if (id < n) {
      // An incomplete event.
      connection.Send("20\r\nid: 99\nda");
      return false;
    }
    return connection.Send("0\r\n\r\n");
  }

  /// Returns the ids of the events that a caller received, followed by "end" if
  /// the stream ended properly; for example "1,2,3,end".
  static std::string EventIdsOf(const std::string& text) {
    std::string ids;
    for (size_t at = text.find("id: "); at != std::string::npos;
         at = text.find("id: ", at + 1)) {
      ids += (ids.empty() ? "" : ",") +
             text.substr(at + 4, text.find('\n', at) - at - 4);
    }
    return ids + (text.ends_with("\r\n0\r\n\r\n") ? ",end" : "");
  }

  size_t TotalRequests() const {
    size_t n = 0;
    for (const auto& it : targets_) {
      n += it->Requests().size();
    }
    return n;
  }

  std::unique_ptr<Instance> instance_;
  catalog::Catalog catalog_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  /// By index of the target; "v1" for the targets beyond.
  std::vector<std::string> versions_;
  std::mutex serving_mutex_;
  std::map<std::string, StreamRecord> stream_records_;
  /// By path: the versions that got requests for it.
  std::map<std::string, std::set<std::string>> serving_versions_;
  std::atomic<int> n_sends_ = 0;
  std::atomic<int> n_broken_off_ = 0;
  /// Index of the engine that stands still; negative for none.
  std::atomic<int> still_engine_ = -1;
  /// Locked while an engine stands still.
  std::mutex stall_mutex_;
  std::string copy_address_;
  std::string serving_target_;
  /// Index of the engine that reports a prompt in prefill; negative for none.
  std::atomic<int> busy_engine_ = -1;
  /// Number of slots of each target.
  int64_t slots_ = 8;
  /// The engines with an index below this number do not answer requests for the
  /// engine report.
  std::atomic<int> n_unresponsive_engines_ = 0;
  std::string resumed_from_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardTest);

}  // namespace

}  // namespace daisypond::forward
