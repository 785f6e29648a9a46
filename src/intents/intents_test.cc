#include <map>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "base/hash.h"
#include "intents/active_configuration.h"
#include "intents/configuration_publisher.h"
#include "intents/parse.h"
#include "tests/fake_store.h"
#include "tests/test_macros.h"

namespace daisypond::intents {

namespace {

using tests::FakeStore;
using FakePublisher = ConfigurationPublisher<FakeStore, FakeStore>;

IntentFile MakeWorkspaceFile(const std::string& name, int64_t weight) {
  return {name + ".yaml",
          fmt::format("workspaces:\n  {}:\n    api_key_sha256: {}\n"
                      "    weight: {}\n",
                      name, base::Sha256Hex(name), weight)};
}

std::string ParseErrorText(const std::vector<IntentFile>& files) {
  const auto parsed = ParseIntents(files);
  return parsed ? "none" : parsed.error().ToString();
}

SUITE(ParseTest) {
  CPPUNIT_TEST_SUITE(ParseTest);
  CPPUNIT_TEST(TestFilesAreMerged);
  CPPUNIT_TEST(TestErrorsNameFileLineAndKey);
  CPPUNIT_TEST(TestRandomTextDoesNotThrow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestFilesAreMerged() {
    const std::string limits =
        "workspaces:\n  a:\n    concurrent_requests: 7\n";
    const auto parsed =
        ParseIntents({{"90-limits.yaml", limits}, MakeWorkspaceFile("a", 3)});
    EXPECT(parsed.has_value());
    EXPECT_EQ(int64_t{7}, parsed->workspaces.at("a").concurrent_requests);
    EXPECT_EQ(int64_t{3}, parsed->workspaces.at("a").weight);
  }

  void TestErrorsNameFileLineAndKey() {
    EXPECT_EQ(
        std::string("b.yaml:3: workspaces.a.weight: also set in "
                    "a.yaml:4"),
        ParseErrorText({MakeWorkspaceFile("a", 1),
                        {"b.yaml", "workspaces:\n  a:\n    weight: 2\n"}}));
    EXPECT_EQ(std::string("a.yaml:2: limits.retry_percent: must be a whole "
                          "number from 0 to 1000"),
              ParseErrorText({{"a.yaml", "limits:\n  retry_percent: many\n"}}));
    EXPECT_EQ(std::string("a.yaml:1: limit: unknown key"),
              ParseErrorText({{"a.yaml", "limit: {}\n"}}));
    EXPECT_EQ(
        std::string("a.yaml:3: limits.retry_percent: set twice, first "
                    "in line 2"),
        ParseErrorText(
            {{"a.yaml", "limits:\n  retry_percent: 1\n  retry_percent: 2\n"}}));
    EXPECT_EQ(std::string("a.yaml:3: targets.t.address: must be an IPv4 "
                          "address and port such as 127.0.0.1:8080"),
              ParseErrorText({{"a.yaml",
                               "targets:\n  t:\n    address: x:99999\n"
                               "    failure_domain: d\n"}}));
    EXPECT(ParseErrorText({{"a.yaml", "a: [1, 2\n"}}).starts_with("a.yaml:"));
    EXPECT_EQ(std::string("a.yaml:2: drains.ghost: unknown target"),
              ParseErrorText({{"a.yaml", "drains:\n  ghost: {}\n"}}));
  }

  void TestRandomTextDoesNotThrow() {
    EXPECT(rc::check("random YAML never throws", [](uint64_t seed) {
      std::mt19937_64 random(seed);
      const std::string yaml_fragments[] = {
          "workspaces", ":",      "\n", "  ",   "a",   "- ", "{",
          "}",          "[",      "]",  "&x ",  "*x",  "\"", "'",
          "targets",    "limits", "!!", "|",    ">",   "\t", "1e9",
          "%",          "? ",     "<<", "\x01", "\xff"};
      std::string text;
      for (int i = 0; i < 40; ++i) {
        text += yaml_fragments[random() % std::size(yaml_fragments)];
      }
      ParseErrorText({{"fuzz.yaml", text}});
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParseTest);

SUITE(ConfigurationPublisherTest) {
  CPPUNIT_TEST_SUITE(ConfigurationPublisherTest);
  CPPUNIT_TEST(TestChangesToDifferentFilesAreBothPublished);
  CPPUNIT_TEST(TestLaterChangeToSameFileConflicts);
  CPPUNIT_TEST(TestMergedFilesAreValidatedTogether);
  CPPUNIT_TEST(TestRemovedFileIsNotPublished);
  CPPUNIT_TEST(TestConcurrentPublishingKeepsAcceptedChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestChangesToDifferentFilesAreBothPublished() {
    FakeStore table;
    FakePublisher publisher(&table, &table);
    const auto first =
        publisher.Publish({{MakeWorkspaceFile("a", 1)}, {}, "ann"});
    EXPECT(first.outcome == PublishOutcome::kPublished);
    // Like Ann, Ben starts from an empty base; he adds another file.
    const auto second =
        publisher.Publish({{MakeWorkspaceFile("b", 1)}, {}, "ben"});
    EXPECT(second.outcome == PublishOutcome::kPublished);
    EXPECT_EQ(uint64_t{2}, second.version);
    EXPECT_EQ(size_t{2}, second.files.size());
  }

  void TestLaterChangeToSameFileConflicts() {
    FakeStore table;
    FakePublisher publisher(&table, &table);
    const auto base =
        publisher.Publish({{MakeWorkspaceFile("a", 1)}, {}, "ann"});
    publisher.Publish({{MakeWorkspaceFile("a", 2)}, base.files, "ann"});
    const auto later =
        publisher.Publish({{MakeWorkspaceFile("a", 3)}, base.files, "ben"});
    EXPECT(later.outcome == PublishOutcome::kConflict);
    EXPECT_EQ(std::string("a.yaml"), later.conflicts.at(0));
  }

  void TestMergedFilesAreValidatedTogether() {
    FakeStore table;
    FakePublisher publisher(&table, &table);
    publisher.Publish({{MakeWorkspaceFile("a", 1)}, {}, "ann"});
    const IntentFile conflicting_file{"z.yaml",
                                      "workspaces:\n  a:\n    weight: 9\n"};
    const auto result = publisher.Publish({{conflicting_file}, {}, "ben"});
    EXPECT(result.outcome == PublishOutcome::kInvalid);
    EXPECT_EQ(std::string("z.yaml"), result.error.file);
  }

  void TestRemovedFileIsNotPublished() {
    FakeStore table;
    FakePublisher publisher(&table, &table);
    const auto base = publisher.Publish(
        {{MakeWorkspaceFile("a", 1), MakeWorkspaceFile("b", 1)}, {}, "ann"});
    const auto result =
        publisher.Publish({{MakeWorkspaceFile("b", 1)}, base.files, "ann"});
    EXPECT_EQ(size_t{1}, result.files.size());
  }

  /// Two operators publish random changes, each to a file of their own, through
  /// a store that loses requests and answers. Guards against lost updates: a
  /// change reported as published must stay active until the same operator
  /// changes that file again. Versions must never decrease.
  void TestConcurrentPublishingKeepsAcceptedChanges() {
    EXPECT(rc::check("no accepted change is lost", [](uint64_t seed) {
      std::mt19937_64 random(seed);
      FakeStore table(seed, {30, 100, 0});
      FakePublisher publisher(&table, &table);
      struct Operator {
        std::map<std::string, IntentFile> files;
        FileDigests base;
      };
      Operator operators[2];
      FileDigests accepted;
      uint64_t version = 0;
      for (int i = 0; i < 20; ++i) {
        const size_t n = random() % 2;
        Operator& it = operators[n];
        const std::string name = n == 0 ? "a" : "b";
        it.files[name] = MakeWorkspaceFile(name, 1 + static_cast<int64_t>(i));
        FolderChange change{{}, it.base, name};
        for (const auto& [key, file] : it.files) {
          change.files.push_back(file);
        }
        const auto result = publisher.Publish(change);
        const bool is_active = result.outcome == PublishOutcome::kPublished ||
                               result.outcome == PublishOutcome::kUnchanged;
        if (!is_active) {
          RC_ASSERT(result.outcome != PublishOutcome::kInvalid);
          // The outcome is unknown, so the operator's change may be active or
          // not. Seed 927918690003225530 produces this case.
          if (result.outcome == PublishOutcome::kUnknown) {
            accepted.erase(name + ".yaml");
          }
          continue;
        }
        RC_ASSERT(result.version >= version);
        version = result.version;
        it.base = ComputeDigests(change.files);
        accepted[name + ".yaml"] = it.base.at(name + ".yaml");
        for (const auto& [file, digest] : accepted) {
          RC_ASSERT(result.files.at(file) == digest);
        }
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationPublisherTest);

SUITE(ActiveConfigurationTest) {
  CPPUNIT_TEST_SUITE(ActiveConfigurationTest);
  CPPUNIT_TEST(TestOlderVersionsAreIgnored);
  CPPUNIT_TEST(TestInvalidBundleIsRejectedAsAWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  static Bundle MakeBundle(uint64_t version, const IntentFile& file) {
    Bundle bundle;
    bundle.manifest.version = version;
    bundle.files = {file};
    bundle.manifest.files = ComputeDigests(bundle.files);
    return bundle;
  }

  void TestOlderVersionsAreIgnored() {
    EXPECT(rc::check("the version never goes down", [](uint64_t seed) {
      std::mt19937_64 random(seed);
      base::Metrics metrics;
      ActiveConfiguration active(&metrics);
      uint64_t highest = 0;
      for (int i = 0; i < 20; ++i) {
        const uint64_t version = 1 + random() % 10;
        const auto file = MakeWorkspaceFile("a", static_cast<int64_t>(version));
        const auto bundle = BundleFromJson(ToJson(MakeBundle(version, file)));
        RC_ASSERT(bundle.has_value());
        RC_ASSERT(active.ApplyIfNewer(*bundle) == (version > highest));
        highest = std::max(highest, version);
        RC_ASSERT(active.Version() == highest);
        RC_ASSERT(active.Current()->workspaces.at("a").weight ==
                  static_cast<int64_t>(highest));
      }
    }));
  }

  void TestInvalidBundleIsRejectedAsAWhole() {
    base::Metrics metrics;
    ActiveConfiguration active(&metrics);
    active.ApplyIfNewer(MakeBundle(1, MakeWorkspaceFile("a", 5)));
    EXPECT(!active.ApplyIfNewer(MakeBundle(2, {"a.yaml", "workspaces: 7\n"})));
    EXPECT_EQ(uint64_t{1}, active.Version());
    EXPECT_EQ(int64_t{5}, active.Current()->workspaces.at("a").weight);
    Bundle corrupted = MakeBundle(3, MakeWorkspaceFile("a", 6));
    corrupted.files[0].text += " ";
    EXPECT(!BundleFromJson(ToJson(corrupted)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActiveConfigurationTest);

}  // namespace

}  // namespace daisypond::intents
