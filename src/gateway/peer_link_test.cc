#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fmt/format.h>

#include "base/control_loop.h"
#include "gateway/peer_link.h"
#include "tests/test_macros.h"

namespace daisypond::gateway {

namespace {

/// Returns an address on the loopback interface that is not in use.
std::string FreeAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t n = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), n);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  close(fd);
  return fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
}

/// The peer link of an instance that serves no callers.
class Member {
 public:
  Member(const std::string& name,
         const std::string& address,
         const std::vector<std::string>& seeds) {
    Settings settings;
    settings.instance = name;
    settings.failure_domain = "d";
    settings.peer_listen = address;
    settings.seed_peers = seeds;
    settings.retries.slack = 150;
    PeerLinkCallbacks callbacks;
    callbacks.post = [this](std::function<void()> task) {
      loop_.Post(std::move(task));
    };
    callbacks.configuration_version = [] { return 1; };
    callbacks.catalog_newer_than = [](uint64_t, uint64_t) {
      return PeerCatalog();
    };
    callbacks.targets_revision = [] { return 1; };
    callbacks.needs_catalog = [] { return false; };
    callbacks.needs_configuration = [] { return false; };
    callbacks.on_catalog = [](const PeerCatalog&) {};
    callbacks.on_catalog_unchanged = [](base::Millis) {};
    callbacks.on_target_lost = [](const forward::TargetLoss&, uint64_t) {};
    callbacks.on_member_count = [this](size_t n) { member_count = n; };
    callbacks.suspected_requests = [this] { return suspected; };
    callbacks.on_suspected_requests =
        [this](const std::vector<forward::SuspectedRequest>& it) {
          learned_hash = it.at(0).content_hash;
        };
    link_.emplace(settings, &metrics_, std::move(callbacks));
    loop_.SchedulePeriodic(peer::MembershipProtocol::kProbePeriod,
                           [this] { link_->Probe(); });
    loop_.SchedulePeriodic(peer::MembershipProtocol::kSeedContactPeriod,
                           [this] { link_->ContactSeeds(); });
  }
  ~Member() {
    link_->StopServing();
    loop_.Stop();
    link_.reset();
  }
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  void Start() { loop_.Start(); }

  std::vector<forward::SuspectedRequest> suspected;
  std::atomic<uint64_t> learned_hash = 0;
  std::atomic<size_t> member_count = 0;

 private:
  base::Metrics metrics_;
  base::ControlLoop loop_;
  std::optional<PeerLink> link_;
};

template <typename Condition>
bool BecomesTrue(Condition condition, base::Millis timeout) {
  const base::Millis deadline = base::Clock::Now() + timeout;
  while (!condition() && base::Clock::Now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

SUITE(PeerLinkTest) {
  CPPUNIT_TEST_SUITE(PeerLinkTest);
  CPPUNIT_TEST(TestRestartedInstanceLearnsOfCrashingRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRestartedInstanceLearnsOfCrashingRequests() {
    constexpr base::Millis kTimeout{3000};
    const std::string address = FreeAddress();
    Member peer("a", address, {});
    forward::SuspectedRequest request;
    request.content_hash = 7;
    request.losses.push_back({{{"t", 1}, "s", "d"}, {100}, false});
    peer.suspected.push_back(request);
    peer.Start();
    auto instance =
        std::make_unique<Member>("b", FreeAddress(), std::vector{address});
    instance->Start();
    EXPECT(BecomesTrue([&] { return instance->learned_hash == 7; }, kTimeout));
    instance =
        std::make_unique<Member>("b", FreeAddress(), std::vector{address});
    instance->Start();
    EXPECT(BecomesTrue([&] { return instance->learned_hash == 7; }, kTimeout));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinkTest);

}  // namespace

}  // namespace daisypond::gateway
