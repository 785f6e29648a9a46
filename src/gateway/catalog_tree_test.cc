#include "gateway/catalog_tree.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/test_macros.h"

namespace daisypond::gateway {

namespace {

using base::Millis;

constexpr Millis kBound{4000};
constexpr Millis kStep{50};
constexpr size_t kDomains = 5;
constexpr size_t kDirectGroup = 16;

std::vector<membership::PeerState> MakeMembers(size_t n) {
  std::vector<membership::PeerState> members(n);
  for (size_t i = 0; i < n; ++i) {
    members[i].instance = "i" + std::to_string(i);
    members[i].address = "a" + std::to_string(i);
    members[i].failure_domain = "d" + std::to_string(i % kDomains);
  }
  return members;
}

std::vector<membership::PeerState> Without(
    const std::vector<membership::PeerState>& members,
    size_t left_out) {
  std::vector<membership::PeerState> peers = members;
  peers.erase(peers.begin() + static_cast<long>(left_out));
  return peers;
}

enum class Fault : uint8_t {
  kNone,
  /// Does not run. The others believe for kDetection that it is alive.
  kFrozen,
  /// Gets no answer from the table service.
  kCutFromStore,
};

/// A group in virtual time. Changes in the table service are told by their
/// time; a member knows all of them up to `content`.
class GroupModel {
 public:
  /// A follower's own read of all targets takes `list_time`.
  GroupModel(size_t n,
             uint64_t seed,
             Millis bound = kBound,
             Millis list_time = {0})
      : times_(bound),
        list_time_(list_time),
        members_(MakeMembers(n)),
        nodes_(n),
        random_(seed) {}

  /// Plays `duration`. `faults_per_minute` members fail for some seconds,
  /// readers first.
  void Play(Millis duration, double faults_per_minute) {
    const Millis end = now_ + duration;
    while (now_ < end) {
      now_ = now_ + kStep;
      if (std::uniform_real_distribution(0.0, 60'000.0)(random_) <
          faults_per_minute * static_cast<double>(kStep.count)) {
        AddFault();
      }
      if (random_() % 20 == 0) {
        changes_.push_back(now_);
      }
      UpdatePlaces();
      for (size_t i = 0; i < nodes_.size(); ++i) {
        Step(i);
      }
    }
  }

  /// Cuts the readers of `n` domains and a third of the other members off from
  /// the table service at this moment.
  void CutFromStore(size_t n, Millis duration) {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      const bool is_reader = nodes_[i].place.role == CatalogRole::kReader;
      if (is_reader ? i % kDomains < n : random_() % 3 == 0) {
        SetFault(&nodes_[i], Fault::kCutFromStore, duration);
      }
    }
  }

  size_t calls = 0;
  /// Longest time for which a sound member did not know of a change.
  Millis longest_lag;

 private:
  // The membership protocol declares a member dead after such a time.
  static constexpr Millis kDetection{5000};
  static constexpr Millis kFetchSlack{300};

  struct Node {
    CatalogPlace place;
    Millis content;
    Millis confirmed;
    Fault fault = Fault::kNone;
    Millis fault_begin;
    Millis fault_end;
    std::optional<size_t> source;
    Millis fetch_begin;
    size_t failed = 0;
    Millis next_read;
    std::optional<Millis> list_begin;
  };

  bool IsBelievedDead(const Node& node) const {
    return node.fault == Fault::kFrozen &&
           now_ - node.fault_begin >= kDetection;
  }

  void AddFault() {
    std::vector<size_t> readers;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].place.role == CatalogRole::kReader) {
        readers.push_back(i);
      }
    }
    const bool is_reader = !readers.empty() && random_() % 2 == 0;
    Node& node = nodes_[is_reader ? readers[random_() % readers.size()]
                                  : random_() % nodes_.size()];
    const Fault fault =
        random_() % 2 == 0 ? Fault::kFrozen : Fault::kCutFromStore;
    SetFault(&node, fault, Millis{static_cast<int64_t>(random_() % 12'000)});
  }

  void SetFault(Node* node, Fault fault, Millis duration) const {
    node->fault = fault;
    node->fault_begin = now_;
    node->fault_end = now_ + duration;
  }

  /// All members see the same group, and see changes of it at once.
  void UpdatePlaces() {
    std::set<size_t> dead;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].fault != Fault::kNone && now_ >= nodes_[i].fault_end) {
        nodes_[i].fault = Fault::kNone;
      }
      if (IsBelievedDead(nodes_[i])) {
        dead.insert(i);
      }
    }
    if (!places_known_ || dead != dead_) {
      places_known_ = true;
      dead_ = dead;
      for (size_t i = 0; i < nodes_.size(); ++i) {
        auto peers = Without(members_, i);
        std::erase_if(peers, [&](const auto& it) {
          return dead.contains(
              static_cast<size_t>(std::stoul(it.instance.substr(1))));
        });
        nodes_[i].place = FindCatalogPlace(members_[i], peers, kDirectGroup);
      }
    }
  }

  /// True if there was a change after `from`, up to `to`.
  bool HasNews(Millis from, Millis to) const {
    const auto it = std::upper_bound(changes_.begin(), changes_.end(), from);
    return it != changes_.end() && *it <= to;
  }

  void Step(size_t i) {
    Node& node = nodes_[i];
    if (node.fault == Fault::kFrozen) {
      node.source.reset();
      sound_since_[i] = now_;
      return;
    }
    if (node.fault == Fault::kCutFromStore) {
      sound_since_[i] = now_;
    }
    Read(&node);
    if (node.place.role == CatalogRole::kFollower) {
      Fetch(&node);
    }
    // A member that was out of reach is given some time to catch up.
    const auto unknown =
        std::upper_bound(changes_.begin(), changes_.end(), node.content);
    if (unknown != changes_.end() && now_ - sound_since_[i] > Millis{5000}) {
      longest_lag = std::max(longest_lag, now_ - *unknown);
    }
  }

  void Read(Node* node) {
    const bool is_reader = node->place.role != CatalogRole::kFollower;
    const bool has_store = node->fault != Fault::kCutFromStore;
    if (is_reader && has_store) {
      // A call is pending: changes arrive as they are made.
      if (HasNews(node->content, now_)) {
        ++calls;
        node->confirmed = now_;
      }
      node->content = now_;
    }
    if (node->list_begin && now_ - *node->list_begin >= list_time_) {
      node->content = std::max(node->content, *node->list_begin);
      node->confirmed = std::max(node->confirmed, *node->list_begin);
      node->list_begin.reset();
    }
    const auto wait =
        TargetReadWait(times_, node->place.role, now_ - node->confirmed, false);
    if (!wait || now_ < node->next_read || node->list_begin) {
      return;
    }
    ++calls;
    node->next_read = now_ + (has_store ? *wait : times_.retry_pause);
    if (has_store && is_reader) {
      node->content = now_;
      node->confirmed = now_;
    } else if (has_store) {
      node->list_begin = now_;
    }
  }

  void Fetch(Node* node) {
    if (!node->source) {
      const auto& sources = node->place.sources;
      const size_t n = node->failed;
      node->source = n < sources.size() ? std::stoul(sources[n].substr(1))
                                        : random_() % nodes_.size();
      node->fetch_begin = now_;
      return;
    }
    const Node& source = nodes_[*node->source];
    const Millis waited = now_ - node->fetch_begin;
    const bool has_news = HasNews(node->content, source.content) ||
                          source.confirmed - node->confirmed >= kMinimumAgeGain;
    if (source.fault == Fault::kFrozen) {
      if (waited >= times_.peer_wait + kFetchSlack) {
        node->source.reset();
        node->failed = (node->failed + 1) % 6;
      }
    } else if (has_news || waited >= times_.peer_wait) {
      node->content = std::max(node->content, source.content);
      node->confirmed = std::max(node->confirmed, source.confirmed);
      node->source.reset();
      node->failed = now_ - source.confirmed <= times_.maximum_age
                         ? 0
                         : (node->failed + 1) % 6;
    }
  }

  CatalogTimes times_;
  Millis list_time_;
  std::vector<membership::PeerState> members_;
  std::vector<Node> nodes_;
  std::map<size_t, Millis> sound_since_;
  std::set<size_t> dead_;
  bool places_known_ = false;
  Millis now_{1000};
  std::vector<Millis> changes_;
  std::mt19937_64 random_;
};

SUITE(CatalogTreeTest) {
  CPPUNIT_TEST_SUITE(CatalogTreeTest);
  CPPUNIT_TEST(TestPlacesOfAllMembersFitTogether);
  CPPUNIT_TEST(TestSmallGroupsReadDirectly);
  CPPUNIT_TEST(TestCallsDoNotGrowWithTheGroup);
  CPPUNIT_TEST(TestChangesArriveWithinTheBoundWhileReadersFail);
  CPPUNIT_TEST(TestFollowersHaveTimeToListTargetsWhenTheirReaderFails);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestPlacesOfAllMembersFitTogether() {
    for (const size_t n : {30, 83, 295, 1000}) {
      const auto members = MakeMembers(n);
      size_t n_readers = 0;
      std::map<std::string, size_t> n_children;
      for (size_t i = 0; i < n; ++i) {
        const auto place =
            FindCatalogPlace(members[i], Without(members, i), kDirectGroup);
        n_readers += place.role == CatalogRole::kReader ? 1 : 0;
        EXPECT(place.sources.size() <= 3);
        EXPECT_EQ(place.role == CatalogRole::kReader, place.sources.empty());
        if (!place.sources.empty()) {
          EXPECT(++n_children[place.sources.front()] <= kCatalogFanOut);
        }
      }
      EXPECT_EQ(kDomains, n_readers);
    }
  }

  void TestSmallGroupsReadDirectly() {
    const auto members = MakeMembers(kDirectGroup);
    for (size_t i = 0; i < members.size(); ++i) {
      EXPECT(FindCatalogPlace(members[i], Without(members, i), kDirectGroup)
                 .role == CatalogRole::kDirect);
    }
  }

  void TestCallsDoNotGrowWithTheGroup() {
    for (const size_t n : {30, 83, 295, 1000}) {
      GroupModel group(n, 1);
      group.Play(Millis{60'000}, 0);
      // A call a change and reader, and those that time out.
      EXPECT(group.calls <= 60 * (kDomains + kDomains));
      EXPECT(group.longest_lag <= kBound);
    }
  }

  void TestChangesArriveWithinTheBoundWhileReadersFail() {
    for (const size_t n : {8, 30, 83, 295}) {
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        GroupModel group(n, seed);
        group.Play(Millis{120'000}, 20);
        EXPECT(group.longest_lag <= kBound);
      }
    }
  }

  // A list of some 250 targets took a second over a link that streams use.
  void TestFollowersHaveTimeToListTargetsWhenTheirReaderFails() {
    constexpr Millis kListTime{1000};
    for (const Millis bound : {Millis{3000}, kBound}) {
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        GroupModel group(83, seed, bound, kListTime);
        for (int i = 0; i < 10; ++i) {
          group.Play(Millis{15'000}, 0);
          group.CutFromStore(kDomains - 1, Millis{9000});
        }
        EXPECT(group.longest_lag <= bound);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogTreeTest);

}  // namespace

}  // namespace daisypond::gateway
