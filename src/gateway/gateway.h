#ifndef DAISYPOND_GATEWAY_GATEWAY_H_
#define DAISYPOND_GATEWAY_GATEWAY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "catalog/table_watcher.h"
#include "forward/session.h"
#include "gateway/catalog_source.h"
#include "gateway/forwarder_options.h"
#include "gateway/peer_link.h"
#include "gateway/settings.h"
#include "gateway/status_server.h"
#include "net/address.h"

namespace daisypond::gateway {

namespace asio = boost::asio;

/// An instance that forwards requests: one thread for traffic, one for the
/// catalog. `Names` spells headers, `Format` spells tables and rows.
template <forward::Dialect Names, typename Format>
class Gateway {
 public:
  explicit Gateway(const Settings& settings)
      : settings_(settings),
        forwarder_(traffic_.get_executor(),
                   ForwarderOptionsOf(settings),
                   &metrics_),
        source_(&metrics_, [this](const catalog::Catalog& it) { Publish(it); }),
        configuration_reader_(control_.get_executor(), settings.store),
        target_reader_(control_.get_executor(), settings.store),
        configuration_watcher_(&configuration_reader_,
                               {.table = Format::kConfigurationTable},
                               ConfigurationEvents()),
        target_watcher_(&target_reader_,
                        {.table = Format::kTargetTable},
                        TargetEvents()),
        acceptor_(traffic_) {
    forwarder_.borrow_retries = [this](const std::string& service, int wanted,
                                       std::function<void(int)> done) {
      asio::post(control_, [this, service, wanted, done = std::move(done)] {
        peers_->Retries().Borrow(service, wanted, [this, done](int n) {
          asio::post(traffic_, [done, n] { done(n); });
        });
      });
    };
    forwarder_.on_target_lost = [this](const std::string& target,
                                       uint64_t content) {
      asio::post(control_, [this, target, content] {
        peers_->TellLost(target, content);
      });
    };
  }

  /// Opens the ports and starts both threads. False when a port is taken.
  bool Start() {
    if (!Listen()) {
      return false;
    }
    status_.emplace(settings_, &metrics_, [this] { return is_ready_.load(); });
    if (!status_->IsRunning()) {
      return false;
    }
    peers_.emplace(settings_, &metrics_, PeerHooks());
    if (!peers_->IsRunning()) {
      return false;
    }
    asio::co_spawn(traffic_, Accept(), asio::detached);
    asio::co_spawn(traffic_, Tidy(), asio::detached);
    asio::co_spawn(control_, configuration_watcher_.Run(), asio::detached);
    asio::co_spawn(control_, target_watcher_.Run(), asio::detached);
    Every(kAdvancePeriod, [this] { source_.Advance(); });
    Every(peer::MembershipProtocol::kProbePeriod, [this] { peers_->Probe(); });
    Every(RetryShare::kReportPeriod, [this] { ReportRequests(); });
    Every(peer::MembershipProtocol::kSeedContactPeriod,
          [this] { peers_->Contact(); });
    Every(PeerLink::kFetchPeriod, [this] {
      peers_->Fetch();
      peers_->AnswerWaiting();
    });
    traffic_thread_ = std::thread([this] { traffic_.run(); });
    control_thread_ = std::thread([this] { control_.run(); });
    return true;
  }

  /// Serves what is open and what still comes, then stops. Returns the number
  /// of connections that were cut.
  size_t Stop() {
    is_ready_ = false;
    const base::Millis began_at = base::Clock::Now();
    asio::post(traffic_, [this, began_at] { BeginStop(began_at); });
    asio::post(control_, [this] { peers_->Leave(); });
    std::this_thread::sleep_for(kBalancerNotice.ToChrono());
    peers_->StopServing();
    while (!IsDrained(began_at)) {
      std::this_thread::sleep_for(kDrainStep.ToChrono());
    }
    const size_t n_cut = open_requests_;
    Halt();
    return n_cut;
  }

  void Halt() {
    control_.stop();
    traffic_.stop();
    control_thread_.join();
    traffic_thread_.join();
    // Its calls end before what they report to.
    peers_.reset();
  }

 private:
  using Session = forward::Session<Names>;

  // New connections come until the balancer has seen two answers that are not
  // ready, a second apart.
  static constexpr base::Millis kBalancerNotice{2500};
  // Left for closing connections before the process is killed.
  static constexpr base::Millis kStopMargin{250};
  static constexpr base::Millis kDrainStep{50};
  static constexpr base::Millis kTidyPeriod{500};
  static constexpr base::Millis kAdvancePeriod{200};
  // A reader whose call is silent for longer is no source for others.
  static constexpr base::Millis kReaderWait{1000};
  static constexpr base::Millis kOwnWait{5000};
  // What others told is older than this: the instance reads by itself. Leaves
  // half of the time within which a leaving target gets no more work.
  static constexpr base::Millis kOldestFromPeers{2200};

  catalog::TableWatcherCallbacks ConfigurationEvents() {
    catalog::TableWatcherCallbacks events;
    events.on_listed = [this](const auto& rows) {
      source_.OnConfigurationRows(rows);
    };
    events.on_changed = events.on_listed;
    events.on_available = [this] {
      metrics_.Add(base::Counter::kStoreCalls);
      source_.OnConfigurationAnswered();
    };
    events.on_unavailable = [this](catalog::TableReadError) {
      metrics_.Add(base::Counter::kStoreCalls);
      source_.OnConfigurationAway();
    };
    events.next_wait = [] { return kOwnWait; };
    return events;
  }

  catalog::TableWatcherCallbacks TargetEvents() {
    catalog::TableWatcherCallbacks events;
    events.on_listed = [this](const auto& rows) {
      source_.OnTargetsListed(rows);
    };
    events.on_changed = [this](const auto& rows) {
      source_.OnTargetsChanged(rows);
    };
    events.on_available = [this] {
      metrics_.Add(base::Counter::kStoreCalls);
      source_.OnTargetsAnswered();
    };
    events.on_unavailable = [this](catalog::TableReadError) {
      metrics_.Add(base::Counter::kStoreCalls);
      source_.OnStoreAway();
    };
    events.next_wait = [this] { return NextWait(); };
    return events;
  }

  /// Whether this instance reads the targets by itself now, and how long a
  /// call may wait. Shorter waits notice a silent connection sooner.
  std::optional<base::Millis> NextWait() const {
    const std::optional<base::Millis> age = source_.Age();
    if (!age || *age > kOldestFromPeers) {
      return kOwnWait;
    }
    if (!peers_->IsReader()) {
      return std::nullopt;
    }
    return members_ > settings_.direct_group ? kReaderWait : kOwnWait;
  }

  bool NeedsPeers() const {
    return source_.NeedsPeers() || !peers_->IsReader();
  }

  /// Hands a catalog from the control thread to the traffic thread.
  void Publish(const catalog::Catalog& next) {
    peers_->AnswerWaiting();
    asio::post(traffic_, [this, next] {
      forwarder_.Apply(next);
      is_ready_ = forwarder_.IsReady();
    });
  }

  bool Listen() {
    const auto endpoint = net::ParseAddress(settings_.listen);
    net::ErrorCode ec;
    acceptor_.open(endpoint->protocol(), ec);
    acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
    acceptor_.bind(*endpoint, ec);
    if (!ec) {
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    return !ec;
  }

  asio::awaitable<void> Accept() {
    while (true) {
      auto [ec, socket] = co_await acceptor_.async_accept(net::kAsTuple);
      if (ec) {
        LogAcceptFailed(ec);
        asio::steady_timer timer(traffic_, kDrainStep.ToChrono());
        co_await timer.async_wait(net::kAsTuple);
        continue;
      }
      asio::co_spawn(traffic_, Serve(std::move(socket)), asio::detached);
    }
  }

  static void LogAcceptFailed(const net::ErrorCode& ec) {
    base::Log(base::LogLevel::kWarning, "accept_failed",
              {{"error", ec.message()}});
  }

  asio::awaitable<void> Serve(net::Tcp::socket socket) {
    const uint64_t id = ++last_session_;
    const auto session =
        std::make_shared<Session>(&forwarder_, std::move(socket));
    sessions_[id] = session;
    CountOpen();
    co_await session->Run();
    sessions_.erase(id);
    CountOpen();
  }

  asio::awaitable<void> Tidy() {
    asio::steady_timer timer(traffic_);
    while (true) {
      timer.expires_after(kTidyPeriod.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
      forwarder_.pool.CloseExpired(base::Clock::Now());
      if (forwarder_.is_stopping) {
        CloseIdle();
      }
      CountOpen();
    }
  }

  /// Runs `task` on the control thread, now and then every `period`.
  template <typename Task>
  void Every(base::Millis period, Task task) {
    asio::co_spawn(control_, Repeat(period, std::move(task)), asio::detached);
  }

  template <typename Task>
  asio::awaitable<void> Repeat(base::Millis period, Task task) {
    asio::steady_timer timer(control_);
    while (true) {
      task();
      timer.expires_after(period.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
    }
  }

  PeerLinkHooks PeerHooks() {
    PeerLinkHooks hooks;
    hooks.post = [this](std::function<void()> task) {
      asio::post(control_, std::move(task));
    };
    hooks.version = [this] { return source_.Version(); };
    hooks.catalog = [this](uint64_t version, uint64_t targets) {
      return CatalogFor(version, targets);
    };
    hooks.needs_peers = [this] { return NeedsPeers(); };
    hooks.needs_configuration = [this] {
      return source_.NeedsPeersConfiguration();
    };
    hooks.targets_revision = [this] { return source_.TargetsRevision(); };
    hooks.on_unchanged = [this](base::Millis age) {
      source_.OnPeerUnchanged(age);
    };
    hooks.on_catalog = [this](const PeerCatalog& it) {
      const bool is_followed =
          !peers_->IsReader() && it.age <= PeerLink::kFreshAge;
      source_.OnPeerCatalog(
          it, is_followed ? PeerTrust::kFollowed : PeerTrust::kIfNewer);
    };
    hooks.on_target_lost = [this](const std::string& target, uint64_t content) {
      asio::post(traffic_, [this, target, content] {
        const base::Millis now = base::Clock::Now();
        forwarder_.selector.OnPeerReportedFailure(target, now);
        forwarder_.crashes.OnTargetLost(
            content, target, forwarder_.selector.FailureDomainOf(target), now);
      });
    };
    hooks.on_members = [this](size_t n) { OnMembers(n); };
    return hooks;
  }

  PeerCatalog CatalogFor(uint64_t version, uint64_t targets) const {
    PeerCatalog catalog;
    if (source_.Version() > version) {
      catalog.configuration = source_.ConfigurationText();
    }
    const std::optional<base::Millis> age = source_.Age();
    if (age) {
      source_.FillTargets(targets, &catalog);
      catalog.age = *age;
    }
    return catalog;
  }

  /// Tells the holders of the shared pool what this instance has taken.
  void ReportRequests() {
    asio::post(traffic_, [this] {
      auto requests = forwarder_.retries.TakeUnreportedRequests();
      asio::post(control_, [this, requests = std::move(requests)] {
        peers_->Retries().Report(requests);
      });
    });
  }

  void OnMembers(size_t n) {
    if (n == members_) {
      return;
    }
    base::Log(base::LogLevel::kInfo, "members",
              {{"n", n}, {"before", members_}});
    members_ = n;
    asio::post(traffic_, [this, n] {
      forwarder_.retries.SetAllowance(AllowanceOf(settings_, n));
      forwarder_.retries.SetUsesPool(n > 1);
    });
  }

  void BeginStop(base::Millis began_at) {
    forwarder_.is_stopping = true;
    forwarder_.stop_at = began_at + settings_.stop_grace - kStopMargin;
    forwarder_.out_of_rotation_at = began_at + kBalancerNotice;
    stopping_since_ = began_at;
  }

  void CloseIdle() {
    if (base::Clock::Now() < stopping_since_ + kBalancerNotice) {
      return;
    }
    for (const auto& it : sessions_) {
      if (it.second->IsIdle()) {
        it.second->Close();
      }
    }
  }

  void CountOpen() {
    size_t n = 0;
    for (const auto& it : sessions_) {
      n += it.second->IsIdle() ? 0 : 1;
    }
    open_requests_ = n;
    open_connections_ = sessions_.size();
  }

  bool IsDrained(base::Millis began_at) const {
    const base::Millis now = base::Clock::Now();
    if (now >= began_at + settings_.stop_grace - kStopMargin / 2) {
      return true;
    }
    return now >= began_at + kBalancerNotice + kTidyPeriod * 2 &&
           open_connections_ == 0;
  }

  Settings settings_;
  base::Metrics metrics_;
  asio::io_context traffic_{1};
  asio::io_context control_{1};
  forward::Forwarder forwarder_;
  CatalogSource<Format> source_;
  typename Format::Reader configuration_reader_;
  typename Format::Reader target_reader_;
  catalog::TableWatcher<typename Format::Reader> configuration_watcher_;
  catalog::TableWatcher<typename Format::Reader> target_watcher_;
  net::Tcp::acceptor acceptor_;
  std::optional<StatusServer> status_;
  std::optional<PeerLink> peers_;
  size_t members_ = 0;
  std::map<uint64_t, std::shared_ptr<Session>> sessions_;
  uint64_t last_session_ = 0;
  base::Millis stopping_since_;
  std::atomic<bool> is_ready_ = false;
  std::atomic<size_t> open_requests_ = 0;
  std::atomic<size_t> open_connections_ = 0;
  std::thread traffic_thread_;
  std::thread control_thread_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_GATEWAY_H_
