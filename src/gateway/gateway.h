#ifndef DAISYPOND_GATEWAY_GATEWAY_H_
#define DAISYPOND_GATEWAY_GATEWAY_H_

#include <atomic>
#include <cstdint>
#include <exception>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/failure_report.h"
#include "base/log.h"
#include "base/metrics.h"
#include "catalog/table_watcher.h"
#include "forward/session.h"
#include "gateway/caller_listener.h"
#include "gateway/catalog_source.h"
#include "gateway/connection_plan.h"
#include "gateway/forwarder_options.h"
#include "gateway/known_configurations.h"
#include "gateway/peer_link.h"
#include "gateway/process_limits.h"
#include "gateway/release_records.h"
#include "gateway/settings.h"
#include "gateway/status_server.h"
#include "gateway/stop_schedule.h"
#include "gateway/stream_record_store.h"
#include "gateway/tunnel_target.h"
#include "net/address.h"
#include "net/spawn.h"
#include "tunnel/server.h"

namespace daisypond::gateway {

namespace asio = boost::asio;

/// An instance that forwards requests. One thread handles traffic, another one
/// the catalog and the messages of peers. `HeaderDialect` reads and writes HTTP
/// headers; `Format` reads the tables and rows of the table service.
template <forward::Dialect HeaderDialect, typename Format>
class Gateway {
 public:
  explicit Gateway(const Settings& settings)
      : settings_(settings),
        forwarder_(traffic_.get_executor(),
                   MakeForwarderOptions(settings),
                   &metrics_),
        catalog_source_(
            &metrics_,
            [this](const catalog::Catalog& it) { PublishCatalog(it); },
            [this] { OnStoreReturnedFromCopy(); }),
        configuration_reader_(control_.get_executor(), settings.store),
        target_reader_(control_.get_executor(), settings.store),
        release_reader_(control_.get_executor(), settings.store),
        stream_record_writer_(control_.get_executor(), settings.store),
        configuration_watcher_(&configuration_reader_,
                               {.table = Format::kConfigurationTable,
                                .catch_up = catalog::CatchUp::kRows,
                                .change_batch_delay = {0}},
                               MakeConfigurationWatcherCallbacks()),
        target_watcher_(&target_reader_,
                        {.table = Format::kTargetTable},
                        MakeTargetWatcherCallbacks()),
        release_records_(&release_reader_,
                         Format::kReleaseTable,
                         &metrics_,
                         MakeReleaseCallbacks()),
        stream_record_store_(
            &stream_record_writer_,
            [this] {
              return std::make_unique<typename Format::Reader>(
                  control_.get_executor(), settings_.store);
            },
            Format::kStreamTable,
            Format::kReleaseTable,
            &metrics_,
            [this] { return peer_link_->StreamRecords().IsCleaner(); }),
        callers_(&traffic_,
                 plan_,
                 &metrics_,
                 {[this](net::Tcp::socket socket) {
                    return std::make_shared<Session>(&forwarder_,
                                                     std::move(socket));
                  },
                  [this] { return forwarder_.connection_pool.OpenCount(); }}),
        tunnel_server_(
            traffic_.get_executor(),
            [this](const tunnel::ConnectRequest& it) {
              return FindTunnelTarget(it);
            },
            plan_.tunnels) {
    forwarder_.may_connect_target = [this] { return MakeRoomForTarget(); };
    forwarder_.borrow_retries = [this](const std::string& service, int wanted,
                                       std::function<void(int)> done) {
      asio::post(control_, [this, service, wanted, done = std::move(done)] {
        peer_link_->RetryBudget().BorrowRetries(
            service, wanted, [this, done](int n) {
              asio::post(traffic_, [done, n] { done(n); });
            });
      });
    };
    forwarder_.take_permit =
        [this](const forward::TargetProcess& target, double limit,
               std::function<void(forward::RequestPermit)> done) {
          asio::post(control_, [this, target, limit, done = std::move(done)] {
            peer_link_->RequestLimit().TakePermit(
                target, limit, [this, done](forward::RequestPermit permit) {
                  asio::post(traffic_, [done, permit] { done(permit); });
                });
          });
        };
    forwarder_.take_slot =
        [this](const forward::SlotRequest& request,
               std::function<void(forward::RequestPermit)> done) {
          asio::post(control_, [this, request, done = std::move(done)] {
            peer_link_->Slots().Take(
                request, [this, done](forward::RequestPermit permit) {
                  asio::post(traffic_, [done, permit] { done(permit); });
                });
          });
        };
    forwarder_.return_slot = [this](const forward::SlotReturn& slot) {
      asio::post(control_, [this, slot] { peer_link_->Slots().Return(slot); });
    };
    forwarder_.record_stream = [this](const std::string& id,
                                      const forward::StreamRecord& record,
                                      forward::RecordState state) {
      asio::post(control_, [this, id, record, state] {
        peer_link_->StreamRecords().Record(id, record, state);
      });
    };
    forwarder_.record_stream_first =
        [this](const std::string& id, const forward::StreamRecord& record,
               std::function<void(forward::RecordOutcome)> done) {
          asio::post(control_, [this, id, record, done = std::move(done)] {
            peer_link_->StreamRecords().RecordFirst(
                id, record, [this, done](forward::RecordOutcome outcome) {
                  asio::post(traffic_, [done, outcome] { done(outcome); });
                });
          });
        };
    forwarder_.find_stream_origin =
        [this](const std::string& id, const std::string& service,
               std::function<void(forward::StreamOrigin)> done) {
          asio::post(control_, [this, id, service, done = std::move(done)] {
            peer_link_->StreamRecords().Find(
                id, service, [this, done](const forward::StreamOrigin& origin) {
                  asio::post(traffic_, [done, origin] { done(origin); });
                });
          });
        };
    forwarder_.on_unshared_parts = [this] {
      if (!std::exchange(is_sharing_parts_, true)) {
        net::Spawn(traffic_, "share_parts", ShareParts());
      }
    };
    forwarder_.on_path_changed = [this](bool is_lost) {
      is_path_lost_ = is_lost;
      asio::post(control_,
                 [this, is_lost] { peer_link_->AnnouncePathLost(is_lost); });
    };
    forwarder_.on_target_lost = [this](const forward::TargetLoss& target,
                                       uint64_t content_hash,
                                       forward::LossAudience audience) {
      asio::post(control_, [this, target, content_hash, audience] {
        peer_link_->ReportLostTarget(target, content_hash, audience);
      });
    };
  }

  /// Opens the ports and starts both threads. Returns false when an address
  /// could not be bound.
  bool Start() {
    if (!callers_.Listen(settings_.listen) || !ListenForTunnels()) {
      return false;
    }
    status_server_.emplace(settings_, &metrics_,
                           [this] { return is_ready_.load(); });
    if (!status_server_->IsRunning()) {
      return false;
    }
    peer_link_.emplace(settings_, &metrics_, MakePeerLinkCallbacks());
    if (!peer_link_->IsRunning()) {
      return false;
    }
    peer_link_->StreamRecords().SetStorage(
        {[this](const std::string& id, const forward::StreamRecord& record) {
           stream_record_store_.Add(id, record);
         },
         [this](const std::string& id, const forward::StreamRecord& record,
                RecordCallback done) {
           stream_record_store_.AddFirst(id, record, std::move(done));
         },
         [this](const std::string& id, const std::string& service,
                std::function<void(StoredOrigin)> done) {
           stream_record_store_.Find(id, service, std::move(done));
         }});
    net::Spawn(traffic_, "maintenance", RunMaintenance());
    net::Spawn(control_, "configuration_watcher", configuration_watcher_.Run());
    net::Spawn(control_, "target_watcher", target_watcher_.Run());
    net::Spawn(control_, "release_records", release_records_.Run());
    net::Spawn(control_, "stream_record_store", stream_record_store_.Run());
    StartPeriodicTask(kDropMissingTargetsPeriod,
                      [this] { catalog_source_.DropMissingTargets(); });
    StartPeriodicTask(kStreamBasePeriod, [this] { UpdateStreamBases(); });
    StartPeriodicTask(peer::MembershipProtocol::kProbePeriod,
                      [this] { peer_link_->Probe(); });
    StartPeriodicTask(SharedRetryBudget::kReportPeriod,
                      [this] { ReportRequests(); });
    StartPeriodicTask(peer::MembershipProtocol::kSeedContactPeriod,
                      [this] { peer_link_->ContactSeeds(); });
    StartPeriodicTask(PeerLink::kFetchPeriod, [this] {
      peer_link_->FetchFromPeer();
      peer_link_->FetchConfiguration();
      peer_link_->AnswerHeldRequests();
    });
    traffic_thread_ =
        std::thread([this] { net::RunHandlers(traffic_, "traffic"); });
    control_thread_ =
        std::thread([this] { net::RunHandlers(control_, "control"); });
    return true;
  }

  /// Serves until no connection or tunnel is open or Settings::stop_grace has
  /// nearly passed, then closes what is open. Returns the number of connections
  /// that were closed with a request open.
  size_t Stop() {
    is_ready_ = false;
    const StopSchedule schedule(base::Clock::Now(), settings_.stop_grace);
    std::promise<size_t> drained;
    asio::post(traffic_, [this, schedule, &drained] {
      BeginStop(schedule);
      net::Spawn(traffic_, "drain", Drain(&drained));
    });
    asio::post(control_, [this] { peer_link_->LeaveGroup(); });
    std::this_thread::sleep_for(
        (schedule.OutOfRotationAt() - base::Clock::Now()).ToChrono());
    peer_link_->StopServing();
    // The status server serves until the process exits: its threads can take
    // seconds to end.
    const size_t n_cut = drained.get_future().get();
    StopThreads();
    return n_cut;
  }

  ~Gateway() {
    StopThreads();
    // Ends the calls to peers while the objects that their callbacks use still
    // exist.
    peer_link_.reset();
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

 private:
  using Session = forward::Session<HeaderDialect>;

  void StopThreads() {
    if (!traffic_thread_.joinable()) {
      return;
    }
    control_.stop();
    traffic_.stop();
    control_thread_.join();
    traffic_thread_.join();
  }

  static constexpr base::Millis kDrainPollPeriod{50};
  static constexpr base::Millis kMaintenancePeriod{500};
  static constexpr base::Millis kDropMissingTargetsPeriod{200};
  static constexpr base::Millis kStreamBasePeriod{500};
  // Losses come in groups; one message tells peers of several.
  static constexpr base::Millis kShareDelay{50};
  // A larger message is not sent to a peer that can read the configuration from
  // the table service: the link of an instance that sends it to several peers
  // would be busy for longer than a stream may pause.
  static constexpr size_t kMaximumPeerConfigurationBytes = 64u << 10;
  // At the first start of the system, instances find each other in this time
  // before they read the table service. One that has found no catalog after
  // kMaximumJoinTime reads it in any case.
  static constexpr base::Millis kJoinTime{1500};
  static constexpr base::Millis kMaximumJoinTime{4000};

  catalog::TableWatcherCallbacks MakeConfigurationWatcherCallbacks() {
    catalog::TableWatcherCallbacks callbacks;
    callbacks.on_listed = [this](const auto& rows, catalog::TableVersion) {
      catalog_source_.OnConfigurationRows(rows);
    };
    callbacks.on_changed = callbacks.on_listed;
    callbacks.on_available = [this](catalog::TableVersion, base::Millis) {
      metrics_.Add(base::Counter::kStoreCalls);
      catalog_source_.OnConfigurationTableAnswered();
    };
    callbacks.on_unavailable = [this](catalog::TableReadError) {
      metrics_.Add(base::Counter::kStoreCalls);
      catalog_source_.OnConfigurationTableUnavailable();
      OnReadFailed();
    };
    callbacks.on_caught_up = [] {};
    callbacks.next_wait = [this] { return NextConfigurationLongPoll(); };
    return callbacks;
  }

  catalog::TableWatcherCallbacks MakeTargetWatcherCallbacks() {
    catalog::TableWatcherCallbacks callbacks;
    callbacks.on_listed = [this](const auto& rows,
                                 catalog::TableVersion version) {
      catalog_source_.OnTargetsListed(rows, version);
    };
    callbacks.on_changed = [this](const auto& rows,
                                  catalog::TableVersion version) {
      catalog_source_.OnTargetsChanged(rows, version);
    };
    callbacks.on_available = [this](catalog::TableVersion version,
                                    base::Millis as_of) {
      metrics_.Add(base::Counter::kStoreCalls);
      LogIfReadAlone();
      catalog_source_.OnTargetTableAnswered(version, as_of);
      // Later, when the rows of this answer have been applied.
      asio::post(control_, [this] { peer_link_->AnswerHeldRequests(); });
    };
    callbacks.on_unavailable = [this](catalog::TableReadError) {
      metrics_.Add(base::Counter::kStoreCalls);
      catalog_source_.OnTargetTableUnavailable();
      OnReadFailed();
    };
    callbacks.on_caught_up = [this] {
      catalog_source_.OnTargetTableCaughtUp();
    };
    callbacks.next_wait = [this] { return NextTargetLongPoll(); };
    return callbacks;
  }

  typename ReleaseRecords<typename Format::Reader>::Callbacks
  MakeReleaseCallbacks() {
    typename ReleaseRecords<typename Format::Reader>::Callbacks callbacks;
    callbacks.on_read = [this](const ReleaseRecordMap& records, uint64_t era) {
      peer_link_->StreamRecords().OnReleasesRead(records, era);
      PublishStreamBases();
    };
    callbacks.on_known = [this](const std::string& service,
                                const ReleaseRecord& record, uint64_t era) {
      peer_link_->StreamRecords().Bases().OnRecordKnown(service, record, era,
                                                        base::Clock::Now());
      PublishStreamBases();
    };
    callbacks.is_read_due = [this] {
      return peer_link_->StreamRecords().Bases().IsReadDue(base::Clock::Now());
    };
    callbacks.held_services = [this] {
      return peer_link_->StreamRecords().HeldServices();
    };
    callbacks.record_to_keep = [this](
                                   const std::string& service,
                                   const std::optional<ReleaseRecord>& stored) {
      return peer_link_->StreamRecords().Bases().RecordToKeep(
          service, stored, base::Clock::Now());
    };
    return callbacks;
  }

  /// Passes on which streams may begin without a record, if that has changed.
  void PublishStreamBases() {
    forward::StreamBases bases =
        peer_link_->StreamRecords().Bases().Bases(base::Clock::Now());
    if (bases != stream_bases_) {
      stream_bases_ = bases;
      asio::post(traffic_, [this, bases = std::move(bases)]() mutable {
        forwarder_.stream_bases = std::move(bases);
      });
    }
  }

  void UpdateStreamBases() {
    peer_link_->StreamRecords().Update(catalog_source_.TargetsAge(),
                                       catalog_source_.TableVersion().era);
    PublishStreamBases();
  }

  /// To be called before what a call has returned is applied.
  void LogIfReadAlone() const {
    if (peer_link_->Role() == CatalogRole::kFollower) {
      const std::optional<base::Millis> age = catalog_source_.TargetsAge();
      base::Log(base::LogLevel::kInfo, "catalog_read_alone",
                {{"age_ms", age ? age->count : -1},
                 {"table_version", catalog_source_.TableVersion().number}});
    }
  }

  /// Records that were written after the copy are gone.
  void OnStoreReturnedFromCopy() {
    peer_link_->StreamRecords().OnStoreReturnedFromCopy();
    release_records_.OnStoreReturnedFromCopy();
  }

  void OnReadFailed() {
    // Instances that follow others and lose the table service together do not
    // return to it together.
    const int64_t pause = times_.retry_pause.count;
    read_again_at_ =
        base::Clock::Now() +
        base::Millis{pause / 2 +
                     static_cast<int64_t>(base::RandomNumber() %
                                          static_cast<uint64_t>(pause))};
  }

  /// True while this instance waits for others of a system that starts for the
  /// first time.
  bool IsJoining() const {
    const base::Millis age = base::Clock::Now() - started_at_;
    if (!settings_.is_first_start || age >= kMaximumJoinTime) {
      return false;
    }
    return age < kJoinTime || peer_link_->Role() == CatalogRole::kFollower;
  }

  /// Returns how long the next call to the table service may wait for a change
  /// of the targets. Returns nothing while this instance gets its targets from
  /// peers instead of the table service.
  std::optional<base::Millis> NextTargetLongPoll() const {
    if (IsJoining()) {
      return std::nullopt;
    }
    return TargetReadWait(times_, peer_link_->Role(),
                          catalog_source_.TargetsAge(),
                          base::Clock::Now() < read_again_at_);
  }

  /// The same for the configuration. A follower trusts its peers for it while
  /// they confirm the targets, and for a while after it has heard of a newer
  /// one: a connection of their reader that is silent ends after the wait,
  /// within the bound.
  std::optional<base::Millis> NextConfigurationLongPoll() const {
    const bool is_overdue =
        NewerConfigurationKnownFor() >= times_.configuration_read_patience;
    if (!is_overdue && !NextTargetLongPoll()) {
      return std::nullopt;
    }
    return peer_link_->Role() == CatalogRole::kFollower
               ? times_.peer_wait
               : times_.configuration_wait;
  }

  base::Millis NewerConfigurationKnownFor() const {
    return known_configurations_.KnownFor(
        catalog_source_.ConfigurationVersion(), base::Clock::Now());
  }

  void OnPeerConfigurationVersion(uint64_t version) {
    if (known_configurations_.OnKnown(version, base::Clock::Now()) &&
        version > catalog_source_.ConfigurationVersion()) {
      base::Log(base::LogLevel::kInfo, "newer_configuration_known",
                {{"version", version},
                 {"in_force", catalog_source_.ConfigurationVersion()}});
    }
  }

  bool NeedsCatalogFromPeers() const {
    return catalog_source_.NeedsCatalogFromPeers() ||
           peer_link_->Role() == CatalogRole::kFollower;
  }

  /// Passes a catalog from the control thread to the traffic thread.
  void PublishCatalog(const catalog::Catalog& next) {
    if (next.configuration != nullptr &&
        next.configuration != published_configuration_) {
      published_configuration_ = next.configuration;
      peer_link_->StreamRecords().OnLongestTimeouts(
          forward::LongestTimeouts(*next.configuration));
    }
    if (next.targets != nullptr) {
      peer_link_->StreamRecords().OnTargets(*next.targets);
      PublishStreamBases();
    }
    peer_link_->AnswerHeldRequests();
    asio::post(traffic_, [this, next, published_at = base::Clock::Now()] {
      const bool is_new_configuration =
          next.configuration != forwarder_.catalog.configuration;
      forwarder_.Apply(next);
      is_ready_ = forwarder_.IsReady();
      if (is_new_configuration) {
        base::Log(base::LogLevel::kInfo, "configuration_in_force",
                  {{"version", forwarder_.catalog.configuration->version},
                   {"publish_ms", (base::Clock::Now() - published_at).count}});
      }
    });
  }

  bool ListenForTunnels() {
    return settings_.tunnel_listen.empty() ||
           tunnel_server_.Listen(settings_.tunnel_listen);
  }

  /// True when another connection to a target may be opened.
  bool MakeRoomForTarget() {
    if (callers_.HasRoomForTarget()) {
      return true;
    }
    forwarder_.connection_pool.CloseIdleIf(
        [](const forward::TargetConnection&) { return true; });
    return callers_.MakeRoomForTarget();
  }

  /// Returns the address of the target to which a peer requests a tunnel.
  tl::expected<std::string, tunnel::Status> FindTunnelTarget(
      const tunnel::ConnectRequest& request) const {
    if (is_path_lost_ || forwarder_.selector.IsLeaving(request.target)) {
      return tl::unexpected(tunnel::Status::kRefused);
    }
    return FindTargetAddress(forwarder_.catalog, request);
  }

  asio::awaitable<void> RunMaintenance() {
    asio::steady_timer timer(traffic_);
    while (true) {
      timer.expires_after(kMaintenancePeriod.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
      forwarder_.connection_pool.CloseExpired(base::Clock::Now());
      forwarder_.caller_room.UpdateMetrics();
      callers_.UpdateMetrics();
      PublishSuspects();
    }
  }

  /// Runs `task` on the control thread, first at once, then every `period`.
  template <typename Task>
  void StartPeriodicTask(base::Millis period, Task task) {
    net::Spawn(control_, "periodic_task",
               RunPeriodically(period, std::move(task)));
  }

  template <typename Task>
  asio::awaitable<void> RunPeriodically(base::Millis period, Task task) {
    asio::steady_timer timer(control_);
    while (true) {
      task();
      timer.expires_after(period.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
    }
  }

  PeerLinkCallbacks MakePeerLinkCallbacks() {
    PeerLinkCallbacks callbacks;
    callbacks.post = [this](std::function<void()> task) {
      asio::post(control_, std::move(task));
    };
    callbacks.configuration_version = [this] {
      return catalog_source_.ConfigurationVersion();
    };
    callbacks.configuration_digest = [this] {
      return catalog_source_.ConfigurationHistory().CurrentDigest();
    };
    callbacks.lacks_configuration = [this] {
      return NewerConfigurationKnownFor() >= times_.configuration_patience;
    };
    callbacks.catalog_newer_than =
        [this](const peer::FetchCatalogRequest& request) {
          return CatalogNewerThan(request);
        };
    callbacks.needs_catalog = [this] { return NeedsCatalogFromPeers(); };
    callbacks.needs_configuration = [this] {
      return catalog_source_.NeedsConfigurationFromPeers() ||
             peer_link_->Role() == CatalogRole::kFollower;
    };
    callbacks.can_read_configuration = [this] {
      return !catalog_source_.NeedsConfigurationFromPeers();
    };
    callbacks.targets_age = [this] { return catalog_source_.TargetsAge(); };
    callbacks.targets_revision = [this] {
      return catalog_source_.TargetsRevision();
    };
    callbacks.table_version = [this] { return catalog_source_.TableVersion(); };
    callbacks.on_configuration_version = [this](uint64_t version) {
      OnPeerConfigurationVersion(version);
    };
    callbacks.on_catalog_unchanged = [this](const PeerCatalog& it) {
      catalog_source_.OnPeerUnchanged(it);
    };
    callbacks.on_catalog = [this](const PeerCatalog& it) {
      return catalog_source_.OnPeerCatalog(it);
    };
    callbacks.on_target_lost = [this](const forward::TargetLoss& target,
                                      uint64_t content_hash) {
      asio::post(traffic_, [this, target, content_hash] {
        forwarder_.selector.OnPeerReportedFailure(target.process.id,
                                                  base::Clock::Now());
        forwarder_.OnTargetLost(target, {content_hash, {}},
                                forward::LossSource::kPeer);
      });
    };
    callbacks.suspects = [this] {
      return forward::Aged(suspects_, base::Clock::Now() - suspects_at_);
    };
    callbacks.on_suspects = [this](
                                const std::vector<forward::Suspect>& suspects) {
      asio::post(traffic_,
                 [this, suspects] { forwarder_.OnSuspectedByPeer(suspects); });
    };
    callbacks.on_member_count = [this](size_t n) { OnMemberCount(n); };
    callbacks.on_tunnel_peers = [this](std::vector<forward::TunnelPeer> peers) {
      asio::post(traffic_, [this, peers = std::move(peers)]() mutable {
        forwarder_.tunnel_peers = std::move(peers);
      });
    };
    return callbacks;
  }

  PeerCatalog CatalogNewerThan(const peer::FetchCatalogRequest& request) const {
    PeerCatalog catalog;
    if (catalog_source_.ConfigurationVersion() > request.known_version()) {
      AddConfiguration(request, &catalog);
    }
    const std::optional<base::Millis> age = catalog_source_.TargetsAge();
    if (age) {
      catalog_source_.FillTargets(request.known_targets(), &catalog);
      catalog.age = *age;
      catalog.table_version = catalog_source_.TableVersion();
    }
    return catalog;
  }

  void AddConfiguration(const peer::FetchCatalogRequest& request,
                        PeerCatalog* into) const {
    const catalog::ConfigurationHistory& history =
        catalog_source_.ConfigurationHistory();
    const size_t limit = request.is_large_configuration_read()
                             ? kMaximumPeerConfigurationBytes
                             : SIZE_MAX;
    if (!request.accepts_compressed_configuration()) {
      if (history.Current().size() <= limit) {
        into->configuration = history.Current();
      }
      return;
    }
    const catalog::CompressedText& text =
        history.CompressFor(request.configuration_digest());
    if (text.bytes.size() <= limit) {
      into->compressed_configuration = text;
    }
  }

  /// Reports the number of requests that this instance has received to a holder
  /// of the shared retry pool.
  void ReportRequests() {
    asio::post(traffic_, [this] {
      auto requests = forwarder_.retry_limit.TakeUnreportedRequests();
      asio::post(control_, [this, requests = std::move(requests)] {
        peer_link_->RetryBudget().ReportRequestCounts(requests);
      });
    });
  }

  /// Passes the suspects of which peers are to be told from the traffic thread
  /// to the control thread.
  void PublishSuspects() {
    const base::Millis now = base::Clock::Now();
    auto suspects = forwarder_.crashing_requests.SharedSuspects(now);
    asio::post(control_, [this, now, suspects = std::move(suspects)] {
      suspects_ = suspects;
      suspects_at_ = now;
    });
  }

  /// Tells all peers of the prompt parts of which they are to be told. Parts
  /// that follow within kShareDelay are sent in the same message.
  asio::awaitable<void> ShareParts() {
    asio::steady_timer timer(traffic_);
    while (forwarder_.crashing_requests.HasUnsharedParts()) {
      timer.expires_after(kShareDelay.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
      auto parts =
          forwarder_.crashing_requests.TakeUnsharedParts(base::Clock::Now());
      asio::post(control_, [this, parts = std::move(parts)] {
        peer_link_->ShareSuspects(parts);
      });
    }
    is_sharing_parts_ = false;
  }

  void OnMemberCount(size_t n) {
    if (n == member_count_) {
      return;
    }
    base::Log(base::LogLevel::kInfo, "members",
              {{"n", n}, {"before", member_count_}});
    member_count_ = n;
    known_member_count_ = std::max(known_member_count_, n);
    // Members out of reach may live on beyond a partition.
    asio::post(traffic_, [this, n, n_known = known_member_count_] {
      forwarder_.retry_limit.SetAllowance(
          RetryAllowancePerMember(settings_, n_known));
      forwarder_.retry_limit.SetUsesPool(n > 1);
    });
  }

  void BeginStop(const StopSchedule& schedule) {
    stop_schedule_ = schedule;
    base::CurrentProcessState().is_stopping = true;
    forwarder_.is_stopping = true;
    forwarder_.stop_at = schedule.EndRequestsAt();
    forwarder_.out_of_rotation_at = schedule.OutOfRotationAt();
    is_ready_ = false;
    tunnel_server_.StopAccepting();
  }

  /// Closes the connections of callers as StopSchedule says, each after the
  /// answer to its last request. `drained` gets the number of connections that
  /// were closed with a request open.
  asio::awaitable<void> Drain(std::promise<size_t>* drained) {
    asio::steady_timer timer(traffic_);
    bool is_drained = false;
    while (!is_drained) {
      timer.expires_after(kDrainPollPeriod.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
      const base::Millis now = base::Clock::Now();
      try {
        is_drained = DrainOnce(now);
      } catch (...) {
        // Stop() waits for the end of the drain.
        net::LogTaskFailed("drain", std::current_exception());
        is_drained = stop_schedule_.PhaseAt(now) == StopPhase::kClosing;
      }
    }
    drained->set_value(callers_.CloseAll());
  }

  /// Does what the present phase of the stop wants. Returns true when the
  /// process may end.
  bool DrainOnce(base::Millis now) {
    const StopPhase phase = stop_schedule_.PhaseAt(now);
    if (std::exchange(logged_stop_phase_, phase) != phase) {
      LogStopPhase(phase, now);
    }
    // Answers to requests that have just been ended get one more period, also
    // if the process has not run for a while.
    const bool has_ended = phase == StopPhase::kClosing && are_requests_ended_;
    if (phase != StopPhase::kLeavingRotation) {
      callers_.CloseIdle();
    }
    if (phase == StopPhase::kEnding || phase == StopPhase::kClosing) {
      callers_.EndRequests();
      are_requests_ended_ = true;
    }
    const bool is_quiet = callers_.Count() == 0 &&
                          tunnel_server_.OpenTunnels() == 0 &&
                          stop_schedule_.MayEndEarly(now);
    return has_ended || (is_quiet && callers_.CloseAcceptor() == 0);
  }

  void LogStopPhase(StopPhase phase, base::Millis now) const {
    base::Log(base::LogLevel::kInfo, "stop_phase",
              {{"phase", kStopPhaseNames.NameOf(phase)},
               {"connections", callers_.Count()},
               {"requests", base::CurrentProcessState().open_requests.load()},
               {"tunnels", tunnel_server_.OpenTunnels()},
               {"after_ms", (now - stop_schedule_.BeganAt()).count}});
  }

  Settings settings_;
  ConnectionPlan plan_ =
      MakeConnectionPlan(UsableDescriptors(settings_), MemoryBytes(settings_));
  CatalogTimes times_{settings_.catalog_bound};
  base::Millis started_at_ = base::Clock::Now();
  /// Of the control thread: until then, an instance that follows others does
  /// not read the table service.
  base::Millis read_again_at_;
  /// Of the control thread.
  KnownConfigurations known_configurations_;
  base::Metrics metrics_;
  asio::io_context traffic_{1};
  asio::io_context control_{1};
  forward::Forwarder forwarder_;
  CatalogSource<Format> catalog_source_;
  typename Format::Reader configuration_reader_;
  typename Format::Reader target_reader_;
  typename Format::Reader release_reader_;
  typename Format::Reader stream_record_writer_;
  catalog::TableWatcher<typename Format::Reader> configuration_watcher_;
  catalog::TableWatcher<typename Format::Reader> target_watcher_;
  ReleaseRecords<typename Format::Reader> release_records_;
  StreamRecordStore<typename Format::Reader> stream_record_store_;
  CallerListener<Session> callers_;
  tunnel::Server tunnel_server_;
  /// Of the traffic thread: true while this instance has no direct path to the
  /// targets.
  bool is_path_lost_ = false;
  std::optional<StatusServer> status_server_;
  std::optional<PeerLink> peer_link_;
  size_t member_count_ = 0;
  /// Largest number of members seen.
  size_t known_member_count_ = 0;
  /// Of the control thread: what peers are to be told, and when it was true.
  std::vector<forward::Suspect> suspects_;
  base::Millis suspects_at_;
  /// Of the control thread: what was last passed to the traffic thread.
  forward::StreamBases stream_bases_;
  std::shared_ptr<const catalog::Configuration> published_configuration_;
  /// Of the traffic thread: true while ShareParts() waits.
  bool is_sharing_parts_ = false;
  StopSchedule stop_schedule_;
  std::optional<StopPhase> logged_stop_phase_;
  bool are_requests_ended_ = false;
  std::atomic<bool> is_ready_ = false;
  std::thread traffic_thread_;
  std::thread control_thread_;
};

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_GATEWAY_H_
