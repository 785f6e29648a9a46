#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "base/json.h"
#include "gateway/catalog_source.h"
#include "gateway/forwarder_options.h"
#include "gateway/settings.h"
#include "gateway/shared_retry_budget.h"
#include "gateway/stop_schedule.h"
#include "gateway/tunnel_target.h"
#include "tests/test_macros.h"
#include "yaml/environment.h"

namespace daisypond::gateway {

namespace {

constexpr const char* kSettings = R"(interface: forward
instance: a-1
failure_domain: a
listen: 127.0.0.1:7001
ready_listen: 127.0.0.1:7002
metrics_listen: 127.0.0.1:7003
peer_listen: 127.0.0.1:7004
seed_peers: ["127.0.0.1:7104"]
store: 127.0.0.1:7005
stop_grace_s: 8
retries:
  window_s: 10
  ratio: 0.8
  slack: 150
)";

/// Test format: a configuration row holds only its version, a target row only
/// the target's address, and "leaving" after it if the target leaves.
struct PlainFormat {
  static constexpr const char* kConfigurationKey = "config";

  struct Error {
    std::string ToString() const { return "unreadable"; }
  };

  static tl::expected<catalog::Configuration, Error> DecodeConfiguration(
      const std::string& text) {
    catalog::Configuration configuration;
    configuration.version = static_cast<uint64_t>(std::atoi(text.c_str()));
    if (configuration.version == 0) {
      return tl::unexpected(Error{});
    }
    return configuration;
  }

  static tl::expected<catalog::Target, Error> DecodeTarget(
      const std::string& id,
      const std::string& text) {
    if (text.empty()) {
      return tl::unexpected(Error{});
    }
    catalog::Target target;
    target.id = id;
    target.address = text;
    target.is_leaving = text.ends_with("leaving");
    return target;
  }
};

SUITE(GatewayTest) {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(TestParseSettings);
  CPPUNIT_TEST(TestMemoryComesFromTheSettingsElseFromTheEnvironment);
  CPPUNIT_TEST(TestSettingsErrorNamesFileLineAndKey);
  CPPUNIT_TEST(TestStopEndsRequestsBeforeItClosesConnections);
  CPPUNIT_TEST(TestTunnelAddressIsOptional);
  CPPUNIT_TEST(TestTunnelNeedsAListedProcessThatStays);
  CPPUNIT_TEST(TestSlackOfAllInstancesStaysWithinTotal);
  CPPUNIT_TEST(TestSlackOfASplitGroupStaysWithinTotal);
  CPPUNIT_TEST(TestOlderConfigurationIsIgnored);
  CPPUNIT_TEST(TestConfigurationOfAPeerIsTakenAsADifference);
  CPPUNIT_TEST(TestLastReadableVersionOfSeveralTakesEffect);
  CPPUNIT_TEST(TestUnreadableConfigurationIsRejected);
  CPPUNIT_TEST(TestUnreadableTargetIsSkipped);
  CPPUNIT_TEST(TestPeerTargetsOfALaterTableVersionAreAdopted);
  CPPUNIT_TEST(TestTargetsAreNotReplacedByThoseOfAnEarlierTableVersion);
  CPPUNIT_TEST(TestTargetsOfALaterEraReplaceThoseOfAHigherVersion);
  CPPUNIT_TEST(TestTargetsOfAnEarlierEraAreNotAdopted);
  CPPUNIT_TEST(TestPeersWithoutAnEraAreNotTrustedAfterAReturn);
  CPPUNIT_TEST(TestOldListOfACopyDoesNotBringBackWhatHasLeft);
  CPPUNIT_TEST(TestTargetThatLeftWhileOthersWereServedDoesNotComeBack);
  CPPUNIT_TEST(TestConfigurationIsFetchedFromPeersOnlyDuringOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    publish_count_ = 0;
    return_count_ = 0;
    source_.emplace(
        &metrics_, [this](const catalog::Catalog&) { ++publish_count_; },
        [this] { ++return_count_; });
  }

  void TestParseSettings() {
    const auto it = ParseSettings("f.yaml", kSettings);
    EXPECT(it.has_value());
    EXPECT_EQ(std::string("127.0.0.1:7003"), it->metrics_listen);
    EXPECT_EQ(int64_t{8000}, it->stop_grace.count);
    EXPECT_EQ(0.8, it->retries.ratio);
    EXPECT_EQ(size_t{1}, it->seed_peers.size());
  }

  void TestSettingsErrorNamesFileLineAndKey() {
    const auto error = [](const std::string& from, const std::string& to) {
      std::string text = kSettings;
      text.replace(text.find(from), from.size(), to);
      const auto it = ParseSettings("f.yaml", text);
      return it ? std::string("none") : it.error().ToString();
    };
    EXPECT(error("store: 127.0.0.1:7005", "store: here")
               .starts_with("f.yaml:9: store"));
    EXPECT(error("stop_grace_s: 8", "stop_grace: 8")
               .starts_with("f.yaml:10: stop_grace"));
    EXPECT(error("  ratio: 0.8", "  ratio: x")
               .starts_with("f.yaml:13: retries.ratio"));
    EXPECT(error("instance: a-1\n", "").find("instance") != std::string::npos);
  }

  void TestMemoryComesFromTheSettingsElseFromTheEnvironment() {
    char file[] = "/tmp/daisypond_settings_XXXXXX";
    close(mkstemp(file));
    const auto memory = [&](const std::string& text, const char* value) {
      std::ofstream(file) << text;
      setenv(yaml::kMemoryVariable, value, 1);
      const auto it = ReadSettings(file);
      unsetenv(yaml::kMemoryVariable);
      return it ? std::to_string(it->memory_mb) : it.error().ToString();
    };
    const std::string text = kSettings;
    EXPECT_EQ(std::string("0"), memory(text, ""));
    EXPECT_EQ(std::string("260"), memory(text, "260"));
    EXPECT_EQ(std::string("64"), memory(text + "memory_mb: 64\n", "260"));
    for (const char* it : {"much", "26O", "-1", "0", "99999999999999999999"}) {
      EXPECT(memory(text, it).find(yaml::kMemoryVariable) != std::string::npos);
    }
    EXPECT(memory(text + "memory_mb: 1\n", "").find("memory_mb") !=
           std::string::npos);
    unlink(file);
  }

  void TestStopEndsRequestsBeforeItClosesConnections() {
    const base::Millis began_at{1000};
    for (const int64_t grace_ms : {4000, 8000, 30'000}) {
      const base::Millis grace{grace_ms};
      const StopSchedule schedule(began_at, grace);
      EXPECT(schedule.PhaseAt(began_at) == StopPhase::kLeavingRotation);
      EXPECT(schedule.PhaseAt(schedule.OutOfRotationAt()) ==
             StopPhase::kDraining);
      EXPECT(schedule.PhaseAt(schedule.EndRequestsAt()) == StopPhase::kEnding);
      EXPECT(schedule.PhaseAt(schedule.CloseAt()) == StopPhase::kClosing);
      EXPECT(schedule.CloseAt() < began_at + grace);
      EXPECT(!schedule.MayEndEarly(schedule.OutOfRotationAt()));
    }
  }

  void TestTunnelAddressIsOptional() {
    EXPECT_EQ(std::string(), ParseSettings("f", kSettings)->tunnel_listen);
    const auto with = [](const std::string& line) {
      return ParseSettings("f.yaml", kSettings + line);
    };
    EXPECT_EQ(std::string("127.0.0.1:7006"),
              with("tunnel_listen: 127.0.0.1:7006\n")->tunnel_listen);
    EXPECT(with("tunnel_listen: here\n")
               .error()
               .ToString()
               .starts_with("f.yaml:15: tunnel_listen"));
  }

  void TestTunnelNeedsAListedProcessThatStays() {
    catalog::Catalog catalog;
    const auto is_refused = [&](const tunnel::ConnectRequest& request) {
      const auto it = FindTargetAddress(catalog, request);
      return !it && it.error() == tunnel::Status::kRefused;
    };
    EXPECT(is_refused({"t", 0, "i"}));
    catalog::Targets targets;
    targets["t"].address = "10.0.0.1:1";
    targets["t"].started_at = 7;
    targets["leaving"].is_leaving = true;
    catalog.targets = std::make_shared<const catalog::Targets>(targets);
    for (const int64_t it : {0, 7}) {
      EXPECT_EQ(std::string("10.0.0.1:1"),
                FindTargetAddress(catalog, {"t", it, "i"}).value());
    }
    EXPECT(is_refused({"t", 6, "i"}));
    EXPECT(is_refused({"u", 0, "i"}));
    EXPECT(is_refused({"leaving", 0, "i"}));
  }

  void TestSlackOfAllInstancesStaysWithinTotal() {
    Settings settings = *ParseSettings("f", kSettings);
    for (const size_t n : {1, 8, 83, 300}) {
      const double own =
          RetryAllowancePerMember(settings, n) * static_cast<double>(n);
      double pooled = 0;
      for (size_t i = 0; i < kPoolHolderCount; ++i) {
        forward::RetryPool pool = MakeRetryPool(settings);
        pool.SetAllowance(RetryAllowancePerPool(settings), {0});
        pooled += pool.GrantRetries("none", 1000, {0});
      }
      EXPECT(pooled > 0);
      EXPECT(own + pooled <= settings.retries.slack);
    }
    EXPECT(MakeForwarderOptions(settings).retries.ratio <=
           settings.retries.ratio);
  }

  // Every member is alone, holds a pool and has its own allowance.
  void TestSlackOfASplitGroupStaysWithinTotal() {
    const Settings settings = *ParseSettings("f", kSettings);
    for (const size_t n : {2, 8, 83, 300}) {
      const double each = RetryAllowancePerMember(settings, n) +
                          PoolAllowance(RetryAllowancePerPool(settings), 1, n);
      EXPECT(each * static_cast<double>(n) <= settings.retries.slack);
    }
    // Seed peers are set, so there are other members that were not found yet.
    EXPECT(RetryAllowancePerMember(settings, 1) * 83 <= settings.retries.slack);
  }

  void TestOlderConfigurationIsIgnored() {
    source_->OnConfigurationText("7", ConfigurationOrigin::kStore);
    source_->OnConfigurationText("5", ConfigurationOrigin::kStore);
    source_->OnConfigurationText("7", ConfigurationOrigin::kStore);
    EXPECT_EQ(uint64_t{7}, source_->ConfigurationVersion());
    EXPECT_EQ(1, publish_count_);
  }

  void TestLastReadableVersionOfSeveralTakesEffect() {
    const std::string key = PlainFormat::kConfigurationKey;
    source_->OnConfigurationRows(
        {{key, "7", false}, {key, "8", false}, {key, "?", false}});
    EXPECT_EQ(uint64_t{8}, source_->ConfigurationVersion());
    EXPECT_EQ(1, publish_count_);
  }

  void TestConfigurationOfAPeerIsTakenAsADifference() {
    source_->OnConfigurationText("7", ConfigurationOrigin::kStore);
    CatalogSource<PlainFormat> peer(&metrics_, [](const catalog::Catalog&) {});
    peer.OnConfigurationText("7", ConfigurationOrigin::kStore);
    peer.OnConfigurationText("8", ConfigurationOrigin::kStore);
    PeerCatalog sent;
    sent.compressed_configuration = peer.ConfigurationHistory().CompressFor(
        source_->ConfigurationHistory().CurrentDigest());
    EXPECT(sent.compressed_configuration.base_digest != 0);
    source_->OnPeerCatalog(sent);
    EXPECT_EQ(uint64_t{8}, source_->ConfigurationVersion());
    // The base is no longer the current text.
    source_->OnPeerCatalog(sent);
    EXPECT_EQ(uint64_t{8}, source_->ConfigurationVersion());
  }

  void TestUnreadableConfigurationIsRejected() {
    source_->OnConfigurationText("7", ConfigurationOrigin::kStore);
    source_->OnConfigurationText("?", ConfigurationOrigin::kStore);
    EXPECT_EQ(uint64_t{7}, source_->ConfigurationVersion());
    EXPECT_EQ(int64_t{1},
              metrics_.Value(base::Counter::kConfigurationsUnreadable));
  }

  void TestUnreadableTargetIsSkipped() {
    source_->OnTargetsListed({{"x", "10.0.0.1:1", false}, {"y", "", false}},
                             {1});
    EXPECT_EQ(size_t{1}, source_->Current().targets->size());
    EXPECT_EQ(int64_t{1}, metrics_.Value(base::Counter::kTargetsUnreadable));
  }

  /// Guards against needless transfers: a peer's link may have little
  /// bandwidth, and an instance that serves its peers would send the whole
  /// configuration to each of them.
  void TestConfigurationIsFetchedFromPeersOnlyDuringOutage() {
    EXPECT(source_->NeedsConfigurationFromPeers());
    source_->OnConfigurationText("7", ConfigurationOrigin::kStore);
    source_->OnConfigurationTableAnswered();
    EXPECT(!source_->NeedsConfigurationFromPeers());
    source_->OnTargetsListed({{"x", "10.0.0.1:1", false}}, {1});
    source_->OnTargetTableAnswered({1}, base::Clock::Now());
    EXPECT(!source_->NeedsCatalogFromPeers());
    source_->OnConfigurationTableUnavailable();
    EXPECT(source_->NeedsConfigurationFromPeers());
    EXPECT(source_->NeedsCatalogFromPeers());
    source_->OnConfigurationTableAnswered();
    EXPECT(!source_->NeedsConfigurationFromPeers());
  }

  void TestPeerTargetsOfALaterTableVersionAreAdopted() {
    source_->OnConfigurationText("7", ConfigurationOrigin::kStore);
    source_->OnTargetTableAnswered({5}, base::Clock::Now());
    source_->OnTargetsListed({{"x", "10.0.0.1:1", false}}, {5});
    source_->OnConfigurationTableAnswered();
    PeerCatalog peer;
    peer.configuration = "8";
    peer.targets.emplace();
    peer.age = {60'000};
    EXPECT(!source_->OnPeerCatalog(peer));
    // The peer's configuration is newer than the current one, its targets are
    // older. It is of a build that names no version.
    EXPECT_EQ(uint64_t{8}, source_->ConfigurationVersion());
    EXPECT_EQ(size_t{1}, source_->Current().targets->size());
    // A peer that reads the table service for this instance may have read it a
    // second ago. Its targets are accepted although they are older.
    peer.age = {1000};
    peer.table_version = {6};
    EXPECT(source_->OnPeerCatalog(peer));
    EXPECT_EQ(size_t{0}, source_->Current().targets->size());
  }

  void TestTargetThatLeftWhileOthersWereServedDoesNotComeBack() {
    source_->OnConfigurationText("7", ConfigurationOrigin::kStore);
    source_->OnTargetTableAnswered({5}, base::Clock::Now());
    source_->OnTargetsListed({}, {5});
    source_->OnTargetTableUnavailable();
    PeerCatalog peer;
    peer.targets.emplace();
    catalog::Target target;
    target.id = "y";
    peer.targets->emplace("y", target);
    peer.table_version = {8};
    EXPECT(source_->OnPeerCatalog(peer));
    // The table service answers again: "x" came and went since version 5, and
    // "y" has gone just now.
    source_->OnTargetTableAnswered({9}, base::Clock::Now());
    source_->OnTargetsChanged(
        {{"x", "10.0.0.1:1", false}, {"x", "", true}, {"y", "", true}}, {9});
    EXPECT_EQ(size_t{0}, source_->Current().targets->size());
  }

  void TestTargetsAreNotReplacedByThoseOfAnEarlierTableVersion() {
    source_->OnConfigurationText("7", ConfigurationOrigin::kStore);
    source_->OnTargetTableAnswered({5}, base::Clock::Now());
    source_->OnTargetsListed({{"x", "10.0.0.1:1", false}}, {5});
    source_->OnTargetTableAnswered({9}, base::Clock::Now());
    source_->OnTargetsChanged({{"x", "", true}}, {9});
    EXPECT_EQ(size_t{0}, source_->Current().targets->size());
    // Another source confirmed an earlier state a moment ago.
    PeerCatalog peer;
    peer.targets.emplace();
    peer.targets->emplace("x", catalog::Target());
    peer.table_version = {7};
    EXPECT(!source_->OnPeerCatalog(peer));
    // A call that waited meanwhile returns what has been read before.
    source_->OnTargetTableAnswered({8}, base::Clock::Now());
    source_->OnTargetsChanged({{"x", "10.0.0.1:1", false}}, {8});
    EXPECT_EQ(size_t{0}, source_->Current().targets->size());
    EXPECT(catalog::TableVersion{9} == source_->TableVersion());
  }

  // Peers passed on old targets under the higher version of the era before.
  void TestTargetsOfALaterEraReplaceThoseOfAHigherVersion() {
    Read({{"x", "10.0.0.1:1", false}}, {90, 1});
    PeerCatalog peer;
    peer.targets.emplace();
    peer.targets->emplace("y", catalog::Target());
    peer.table_version = {20, 2};
    EXPECT(source_->OnPeerCatalog(peer));
    EXPECT(source_->Current().targets->contains("y"));
    EXPECT((catalog::TableVersion{20, 2}) == source_->TableVersion());
    EXPECT_EQ(1, return_count_);
  }

  void TestTargetsOfAnEarlierEraAreNotAdopted() {
    Read({{"x", "10.0.0.1:1", false}}, {90, 1});
    Read({{"x", "10.0.0.1:1", false}}, {20, 2});
    EXPECT_EQ(1, return_count_);
    PeerCatalog peer;
    peer.targets.emplace();
    peer.table_version = {91, 1};
    EXPECT(!source_->OnPeerCatalog(peer));
    source_->OnPeerUnchanged(peer);
    source_->OnTargetsChanged({{"x", "", true}}, {92, 1});
    EXPECT((catalog::TableVersion{20, 2}) == source_->TableVersion());
    EXPECT_EQ(size_t{1}, source_->Current().targets->size());
  }

  // Builds that do not know eras keep the targets of the era before.
  void TestPeersWithoutAnEraAreNotTrustedAfterAReturn() {
    PeerCatalog peer;
    peer.targets.emplace();
    Read({{"x", "10.0.0.1:1", false}}, {90, 1});
    peer.table_version = {91, 0};
    EXPECT(source_->OnPeerCatalog(peer));
    Read({{"x", "10.0.0.1:1", false}}, {20, 2});
    peer.table_version = {92, 0};
    EXPECT(!source_->OnPeerCatalog(peer));
    EXPECT_EQ(size_t{1}, source_->Current().targets->size());
  }

  // "left" and "leaving" are in the copy as they were before they left.
  void TestOldListOfACopyDoesNotBringBackWhatHasLeft() {
    const std::vector<catalog::Row> before = {{"left", "10.0.0.1:1", false},
                                              {"leaving", "10.0.0.2:1", false}};
    Read(before, {80, 1});
    source_->OnTargetsChanged(
        {{"left", "", true}, {"leaving", "10.0.0.2:1 leaving", false}},
        {90, 1});
    Read(before, {20, 2});
    const catalog::Targets& targets = *source_->Current().targets;
    EXPECT_EQ(size_t{1}, targets.size());
    EXPECT(targets.at("leaving").is_leaving);
  }

 private:
  /// The table service lists `rows`.
  void Read(const std::vector<catalog::Row>& rows,
            catalog::TableVersion version) {
    source_->OnConfigurationText("7", ConfigurationOrigin::kStore);
    source_->OnTargetTableAnswered(version, base::Clock::Now());
    source_->OnTargetsListed(rows, version);
  }

  base::Metrics metrics_;
  int return_count_ = 0;
  std::optional<CatalogSource<PlainFormat>> source_;
  int publish_count_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

}  // namespace

}  // namespace daisypond::gateway
