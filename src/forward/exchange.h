#ifndef DAISYPOND_FORWARD_EXCHANGE_H_
#define DAISYPOND_FORWARD_EXCHANGE_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "forward/answer_reader.h"
#include "forward/caller_channel.h"
#include "forward/dialect.h"
#include "forward/event_splitter.h"
#include "forward/exchange_limits.h"
#include "forward/forwarder.h"
#include "forward/http_text.h"
#include "forward/run_copy.h"
#include "forward/send_ledger.h"
#include "forward/survey.h"
#include "forward/target_call.h"

namespace daisypond::forward {

/// Whether a run goes on from a copy of an earlier run's memory.
enum class CopyUse : uint8_t {
  /// There is no copy.
  kNone,
  kUsed,
  /// The engine that keeps the copy is lost or takes no work.
  kHolderLost,
  /// The request may not run there again.
  kHolderExcluded,
};

inline constexpr base::NameTable<CopyUse, 4> kCopyUseNames("none",
                                                           "used",
                                                           "holder_lost",
                                                           "holder_excluded");

/// Serves one request of a caller: finds its route, sends it to targets until
/// one has answered, and writes the answer. The catalog of its start stays
/// with it.
template <Dialect Names>
class Exchange {
 public:
  Exchange(Forwarder* forwarder, CallerChannel* caller, CallerRequest request)
      : forwarder_(forwarder),
        caller_(caller),
        request_(std::move(request)),
        catalog_(forwarder->catalog),
        facts_(Names::ReadRequest(request_.fields)) {}

  /// Runs to the end of the answer.
  net::asio::awaitable<AfterAnswer> Run() {
    forwarder_->metrics->Add(base::Counter::kForwarded);
    co_await WaitForCatalog();
    const std::optional<base::Verdict> refusal = Admit();
    if (refusal) {
      co_return co_await AnswerVerdict(*refusal);
    }
    caller_->StartWatch([this] { OnCallerGone(); });
    const AfterAnswer after = co_await SendUntilAnswered();
    caller_->StopWatch();
    forwarder_->metrics->Observe(base::Timer::kForward,
                                 base::Clock::Now() - request_.arrived_at);
    co_return after;
  }

 private:
  using Clock = base::Clock;
  using Millis = base::Millis;

  /// How one send ended.
  struct SendResult {
    SendOutcome outcome = SendOutcome::kUnknown;
    base::Reason reason = base::Reason::kTargetBroken;
    /// The caller has its answer, whole or cut short for good.
    std::optional<AfterAnswer> finished;
  };

  // ---- Admission.

  /// An instance that has just started knows its catalog within a few round
  /// trips; refusing meanwhile would cost callers a try.
  net::asio::awaitable<void> WaitForCatalog() {
    net::asio::steady_timer timer(forwarder_->executor);
    const Millis limit = request_.arrived_at + kCatalogWait;
    while (!catalog_.IsComplete() && Clock::Now() < limit) {
      timer.expires_after(kCatalogPollPeriod.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
      catalog_ = forwarder_->catalog;
    }
  }

  /// Finds route, workspace and time limit. Returns why the request is
  /// refused, if it is.
  std::optional<base::Verdict> Admit() {
    if (!catalog_.IsComplete()) {
      return Refuse(base::Reason::kNoConfiguration,
                    "this instance has no configuration yet",
                    kConfigurationRetryAfter);
    }
    if (facts_.id.empty()) {
      return Refuse(base::Reason::kBadRequest, "the request has no id", {});
    }
    route_ = catalog_.configuration->FindRoute(request_.host,
                                               PathOf(request_.target));
    if (route_ == nullptr) {
      return Refuse(base::Reason::kUnknownRoute, "no route for host and path",
                    {});
    }
    if (!FindWorkspace()) {
      return Refuse(base::Reason::kUnauthorized, "the API key is not known",
                    {});
    }
    limit_ =
        request_.arrived_at +
        std::min(facts_.patience.value_or(route_->timeout), route_->timeout);
    if (CanNotFinishBeforeStop()) {
      return Refuse(base::Reason::kStopping, "this instance is stopping",
                    TimeUntilOthersAreAsked());
    }
    service_ = ChooseService();
    content_ = base::Hash(request_.target + '\n' + facts_.api_key + '\n' +
                          facts_.prompt + '\n' + request_.body);
    ledger_.emplace(route_->repeatability, route_->maximum_targets);
    last_event_ = facts_.last_event.value_or(0);
    written_event_ = last_event_;
    const catalog::Service* service =
        catalog_.configuration->FindService(service_);
    engine_ =
        service != nullptr && service->engine ? &*service->engine : nullptr;
    forwarder_->retries.OnRequest(service_, Clock::Now());
    return std::nullopt;
  }

  /// True when this instance stops before the answer can be expected whole.
  bool CanNotFinishBeforeStop() const {
    if (!forwarder_->is_stopping) {
      return false;
    }
    const Millis needed = route_->is_stream ? kExpectedStream : kExpectedCall;
    return Clock::Now() + needed > forwarder_->stop_at;
  }

  /// A caller that comes back sooner may reach this instance again.
  Millis TimeUntilOthersAreAsked() const {
    return std::max(kStoppingRetryAfter,
                    forwarder_->out_of_rotation_at - Clock::Now());
  }

  static base::Verdict Refuse(base::Reason reason,
                              std::string detail,
                              Millis retry_after) {
    return {base::Execution::kNotRun, reason, std::move(detail), retry_after,
            base::VerdictScope::kThisAttempt};
  }

  bool FindWorkspace() {
    const auto& workspaces = catalog_.configuration->workspaces;
    const auto it = workspaces.find(facts_.api_key);
    if (it != workspaces.end()) {
      workspace_ = it->second.name;
      priority_ = it->second.priority;
      return true;
    }
    return route_->is_public || !catalog_.configuration->has_workspaces;
  }

  std::string ChooseService() {
    int64_t total = 0;
    for (const auto& it : route_->services) {
      total += it.weight;
    }
    if (total <= 0) {
      return route_->services.empty() ? "" : route_->services.front().service;
    }
    auto point = static_cast<int64_t>(base::RandomNumber() %
                                      static_cast<uint64_t>(total));
    for (const auto& it : route_->services) {
      if (point < it.weight) {
        return it.service;
      }
      point -= it.weight;
    }
    return route_->services.back().service;
  }

  // ---- The loop over targets.

  net::asio::awaitable<AfterAnswer> SendUntilAnswered() {
    base::Reason reason = base::Reason::kNoTarget;
    while (!is_gone_ && TimeLeft() > kShortestSend) {
      if (!ledger_->MaySendAgain()) {
        break;
      }
      if (forwarder_->crashes.IsHeld(content_, Clock::Now())) {
        reason = base::Reason::kCondemned;
        break;
      }
      if (ledger_->Sends() > 0 && !has_retry_ &&
          !co_await AcquireRetry(reason)) {
        reason = base::Reason::kRetryBudgetSpent;
        break;
      }
      const std::optional<Placement> placement = co_await Place();
      if (is_gone_) {
        break;
      }
      if (!placement && CanWaitForTarget()) {
        co_await Pause(kTargetWaitPeriod);
        continue;
      }
      if (!placement) {
        reason = ledger_->Sends() == 0 && refusals_ == 0
                     ? base::Reason::kNoTarget
                     : reason;
        break;
      }
      const SendResult result = co_await SendTo(*placement, reason);
      if (result.finished) {
        co_return *result.finished;
      }
      reason = result.reason;
      if (refusals_ >= kMaximumRefusals) {
        break;
      }
    }
    co_return co_await GiveUp(reason);
  }

  /// A stream that has begun is worth a short wait for a target.
  bool CanWaitForTarget() const {
    return HasStreamBegun() && Clock::Now() < PauseLimit();
  }

  /// How long a stream that has begun may wait for what it needs to go on.
  Millis PauseLimit() const {
    const Millis patience = std::max(
        {kShortestCallerPatience, route_->latency_aim * kPatienceInLatencyAims,
         route_->gap_aim * kPatienceInPauses});
    return event_written_at_ +
           std::min(kLongestTargetWait, patience * kPatienceShare / kHundred);
  }

  net::asio::awaitable<void> Pause(Millis span) {
    net::asio::steady_timer timer(forwarder_->executor, span.ToChrono());
    co_await timer.async_wait(net::kAsTuple);
  }

  Millis TimeLeft() const {
    Millis limit = limit_;
    if (forwarder_->is_stopping) {
      limit = std::min(limit, forwarder_->stop_at);
    }
    return limit - Clock::Now();
  }

  net::asio::awaitable<std::optional<Placement>> Place() {
    const Millis now = Clock::Now();
    memory_.reset();
    copy_use_ = CopyUse::kNone;
    if (copy_ && HasStreamBegun()) {
      const std::optional<Placement> holder =
          forwarder_->board.FindAgain(copy_->holder, now);
      if (holder && ledger_->MaySendTo(holder->id)) {
        memory_ = copy_->source;
        copy_use_ = CopyUse::kUsed;
        co_return holder;
      }
      copy_use_ = holder ? CopyUse::kHolderExcluded : CopyUse::kHolderLost;
    }
    if (broken_ && MayCopyRuns() && ledger_->MaySendAgain()) {
      // If only the connection broke, the engine still holds the prompt.
      const Placement again = *std::exchange(broken_, std::nullopt);
      if (!forwarder_->board.IsSuperseded(again.id)) {
        co_return again;
      }
    }
    PlacementRequest wanted = WantedPlacement();
    wanted.avoided_domain = lost_domain_;
    if (engine_ != nullptr && route_->is_stream) {
      const auto asked = forwarder_->board.Rank(wanted, kSurveyed, now);
      wanted.only = co_await AskEngines<Names>(forwarder_, asked);
      if (wanted.only.empty()) {
        // Any other engine is more likely to live.
        for (const Placement& it : asked) {
          wanted.excluded.insert(it.id);
        }
      }
    }
    std::optional<Placement> placement =
        forwarder_->board.Choose(wanted, Clock::Now());
    if (!placement && !wanted.excluded.empty() &&
        route_->repeatability == catalog::Repeatability::kResumable) {
      // Any target that is left is better than none.
      wanted.excluded.clear();
      placement = forwarder_->board.Choose(wanted, Clock::Now());
    }
    co_return placement;
  }

  PlacementRequest WantedPlacement() const {
    PlacementRequest wanted;
    wanted.service = service_;
    wanted.failure_domain = forwarder_->options.failure_domain;
    wanted.excluded = excluded_;
    wanted.is_engine = engine_ != nullptr;
    wanted.affinity_key = base::Hash(facts_.prompt);
    wanted.tokens =
        facts_.prompt_tokens +
        facts_.expected_output_tokens.value_or(facts_.maximum_output_tokens);
    return wanted;
  }

  bool TakeRetry(base::Reason reason) {
    const RetryUse use = reason == base::Reason::kErrorAnswer
                             ? RetryUse::kImprove
                             : RetryUse::kRescue;
    if (!forwarder_->retries.TakeRetry(service_, use, Clock::Now())) {
      return false;
    }
    forwarder_->metrics->AddRetry(reason);
    return true;
  }

  /// Takes a repeated send, which lasts until a send has left: one that never
  /// left is no load on the service.
  net::asio::awaitable<bool> AcquireRetry(base::Reason reason) {
    has_retry_ = TakeRetry(reason) || co_await WaitForRetry(reason);
    co_return has_retry_;
  }

  /// Waits until the pool grants a repeated send or earlier ones of this
  /// instance no longer count.
  net::asio::awaitable<bool> WaitForRetry(base::Reason reason) {
    if (reason == base::Reason::kErrorAnswer) {
      co_return false;
    }
    const Millis began_at = Clock::Now();
    const Millis limit =
        HasStreamBegun()
            ? PauseLimit()
            : began_at + route_->latency_aim * kRetryWaitShare / kHundred;
    bool is_taken = false;
    forwarder_->BeginRetryWait(service_);
    while (!is_taken && !is_gone_ && Clock::Now() < limit &&
           TimeLeft() > kShortestSend) {
      forwarder_->AskForRetries(service_);
      co_await Pause(kRetryPollPeriod);
      is_taken = !is_gone_ && TakeRetry(reason);
    }
    forwarder_->EndRetryWait(service_);
    LogRetryWait(is_taken, Clock::Now() - began_at);
    co_return is_taken;
  }

  net::asio::awaitable<AfterAnswer> GiveUp(base::Reason reason) {
    if (is_gone_) {
      forwarder_->metrics->Add(base::Counter::kCallersGone);
      LogAnswer(0, base::Reason::kCallerGone);
      co_return AfterAnswer::kClose;
    }
    if (HasStreamBegun()) {
      // The caller sees that the stream is not whole: it has no last chunk.
      forwarder_->metrics->Add(base::Counter::kStreamsCut);
      LogAnswer(0, reason);
      caller_->Socket().Reset();
      co_return AfterAnswer::kClose;
    }
    if (!kept_answer_.empty()) {
      LogAnswer(kept_status_, reason);
      co_return co_await WriteWhole(kept_answer_, AfterAnswer::kKeepOpen);
    }
    if (TimeLeft() <= kShortestSend && ledger_->Sends() > 0) {
      reason = base::Reason::kDeadlineExceeded;
    }
    base::Verdict verdict;
    verdict.execution = ledger_->Execution();
    verdict.reason = reason;
    verdict.detail = "no target has answered";
    if (verdict.execution == base::Execution::kNotRun) {
      verdict.retry_after = kRefusalRetryAfter;
    }
    co_return co_await AnswerVerdict(verdict);
  }

  // ---- One send.

  net::asio::awaitable<SendResult> SendTo(Placement placement,
                                          base::Reason reason) {
    ++attempts_;
    const Millis began_at = Clock::Now();
    const int64_t first_event = last_event_;
    ChooseCopyFor(placement);
    LogSend(placement, reason);
    forwarder_->metrics->Add(base::Counter::kSends);
    forwarder_->board.OnSend(placement.id);
    SendResult result = co_await SendOn(placement);
    forwarder_->board.OnEnded(placement.id);
    SettleCopies(result.outcome, first_event);
    active_.reset();
    ledger_->OnEnded(placement.id, result.outcome);
    has_retry_ = has_retry_ && result.outcome == SendOutcome::kNotSent;
    LogSendEnded(placement, result, Clock::Now() - began_at);
    if (!result.finished && !is_gone_) {
      NoteFailure(placement, result);
    }
    co_return result;
  }

  void NoteFailure(const Placement& placement, const SendResult& result) {
    const Millis now = Clock::Now();
    if (result.outcome == SendOutcome::kRefused) {
      ++refusals_;
      if (result.reason == base::Reason::kTargetReplaced) {
        forwarder_->board.OnReplaced(placement.id);
      }
      if (!memory_) {
        forwarder_->board.OnFull(placement.id, now);
        excluded_.insert(placement.id);
      }
      return;
    }
    excluded_.insert(placement.id);
    if (result.reason == base::Reason::kErrorAnswer) {
      return;
    }
    if (result.reason == base::Reason::kTargetSilent &&
        now - forwarder_->board.HeardAt(placement.id) < kHeardLately) {
      // Others are answered: the request is slow, not the target.
      return;
    }
    const bool is_connection_lost =
        result.reason == base::Reason::kTargetBroken ||
        result.reason == base::Reason::kAnswerTorn;
    if (is_connection_lost && !was_broken_at_.contains(placement.id)) {
      was_broken_at_.insert(placement.id);
      broken_ = placement;
    }
    if (result.reason == base::Reason::kTargetUnreachable) {
      forwarder_->board.OnUnreachable(placement.id, now);
    } else {
      forwarder_->board.OnFailure(placement.id, now);
    }
    const bool may_have_crashed_it = route_->is_stream && is_connection_lost &&
                                     !HasStreamBegun() &&
                                     result.outcome == SendOutcome::kUnknown;
    const uint64_t suspect = may_have_crashed_it ? content_ : 0;
    forwarder_->crashes.OnLost(suspect, placement.id, placement.failure_domain,
                               now);
    if (forwarder_->on_target_lost) {
      forwarder_->on_target_lost(placement.id, suspect);
    }
    lost_domain_ = placement.failure_domain;
  }

  bool MayCopyRuns() const {
    return engine_ != nullptr && route_->is_stream &&
           route_->repeatability == catalog::Repeatability::kResumable;
  }

  PlacementRequest CopyRequestFor(const Placement& placement) const {
    PlacementRequest wanted = WantedPlacement();
    wanted.excluded.insert(placement.id);
    wanted.avoided_domain = placement.failure_domain;
    return wanted;
  }

  void ChooseCopyFor(const Placement& placement) {
    next_copy_.reset();
    if (MayCopyRuns() && engine_->copies_memory) {
      next_copy_ =
          forwarder_->board.ChooseCopy(CopyRequestFor(placement), Clock::Now());
    }
    if (next_copy_) {
      forwarder_->board.OnCopyBegun(next_copy_->id);
    }
    keeper_.emplace(forwarder_, facts_.id, placement, next_copy_);
  }

  /// A send that brought events has made the copy to go on from. One that went
  /// on from a copy has used it up; any other leaves the earlier copy as it is.
  void SettleCopies(SendOutcome outcome, int64_t first_event) {
    if (next_copy_) {
      forwarder_->board.OnCopyEnded(next_copy_->id);
    }
    if (outcome == SendOutcome::kAnswered) {
      keeper_->Release();
    }
    if (last_event_ > first_event) {
      copy_ = keeper_->Current();
    } else if (memory_ && outcome != SendOutcome::kNotSent) {
      copy_.reset();
    }
    next_copy_.reset();
    keeper_.reset();
  }

  net::asio::awaitable<SendResult> SendOn(const Placement& placement) {
    const std::shared_ptr<TargetConnection> connection =
        co_await Open(placement);
    if (connection == nullptr) {
      co_return SendResult{SendOutcome::kNotSent,
                           base::Reason::kTargetUnreachable, std::nullopt};
    }
    if (is_gone_) {
      connection->Socket().Close();
      co_return SendResult{SendOutcome::kNotSent, base::Reason::kCallerGone,
                           std::nullopt};
    }
    active_ = connection;
    CheckSendAllowed();
    ledger_->OnSend(placement.id);
    connection->StartWrite(RequestTextFor(placement));
    SendResult result = co_await ReadAnswer(placement, connection);
    if (!result.finished && connection->Socket().Raw().is_open() &&
        result.outcome == SendOutcome::kUnknown) {
      if (connection->IsNothingWritten() && connection->IsWriteDone()) {
        result.outcome = SendOutcome::kNotSent;
      }
      connection->Socket().Close();
    }
    co_return result;
  }

  void CheckSendAllowed() {
    forwarder_->metrics->CheckInvariant(
        base::Invariant::kSentOnceUnlessRepeatable, ledger_->MaySendAgain());
  }

  net::asio::awaitable<std::shared_ptr<TargetConnection>> Open(
      const Placement& placement) {
    const Millis now = Clock::Now();
    const bool may_repeat =
        route_->repeatability != catalog::Repeatability::kRunOnce;
    std::shared_ptr<TargetConnection> connection = forwarder_->pool.Take(
        placement.id, may_repeat ? kLongestIdle : kLongestIdleForRunOnce, now);
    if (connection != nullptr) {
      co_return connection;
    }
    connection = forwarder_->pool.Make(placement.id, placement.address);
    active_ = connection;
    forwarder_->metrics->Add(base::Counter::kConnectionsOpened);
    const net::ErrorCode ec = co_await connection->Socket().Connect(
        placement.address, std::min(now + kConnectTimeout, limit_));
    if (ec) {
      co_return nullptr;
    }
    connection->Socket().Configure(net::Liveness::kWritesOnly);
    co_return connection;
  }

  std::string RequestTextFor(const Placement& placement) {
    bhttp::fields fields = request_.fields;
    Names::RemoveReserved(fields);
    SendFacts send;
    send.time_left = limit_ - Clock::Now();
    send.target_id = placement.id;
    send.workspace = workspace_;
    send.priority = priority_.value_or(route_->priority);
    if (HasStreamBegun()) {
      send.last_event = last_event_;
    }
    if (next_copy_) {
      send.copy_address = next_copy_->address;
    }
    send.memory = memory_;
    Names::WriteSend(send, fields);
    return RequestHead(request_, fields) + request_.body;
  }

  net::asio::awaitable<SendResult> ReadAnswer(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection) {
    AnswerReader reader(connection, request_.method != "HEAD");
    AnswerFacts facts;
    for (int n_foreign = 0;; ++n_foreign) {
      const ReadStatus status = co_await ReadHead(placement, &reader);
      if (status == ReadStatus::kBroken || status == ReadStatus::kTimedOut) {
        co_return SendResult{SendOutcome::kUnknown,
                             status == ReadStatus::kTimedOut
                                 ? base::Reason::kTargetSilent
                                 : base::Reason::kTargetBroken,
                             std::nullopt};
      }
      facts = Names::ReadAnswer(reader.Status(), reader.Fields());
      if (facts.id.empty() || facts.id == facts_.id) {
        break;
      }
      // An answer to an earlier request of this connection.
      forwarder_->metrics->Add(base::Counter::kAnswersForeign);
      if (n_foreign >= kMaximumForeignAnswers || !reader.IsFramed() ||
          !co_await SkipBody(&reader)) {
        co_return SendResult{SendOutcome::kUnknown, base::Reason::kTargetBroken,
                             std::nullopt};
      }
    }
    NoteAnswer(placement, facts, connection.get());
    co_return co_await HandleAnswer(placement, connection, &reader, facts);
  }

  void NoteAnswer(const Placement& placement,
                  const AnswerFacts& facts,
                  TargetConnection* connection) {
    const Millis now = Clock::Now();
    forwarder_->board.OnHeard(placement.id, now);
    if (facts.load) {
      forwarder_->board.OnReport(placement.id, *facts.load, now);
    }
    if (facts.keep_alive) {
      connection->idle_limit = *facts.keep_alive;
    }
  }

  /// Reads the answer's header. A target of a repeatable request that is
  /// silent for too long is given up; for a stream only if it does not answer
  /// a probe either, as reading a prompt again costs more than waiting.
  net::asio::awaitable<ReadStatus> ReadHead(const Placement& placement,
                                            AnswerReader* reader) {
    if (route_->repeatability == catalog::Repeatability::kRunOnce) {
      co_return co_await reader->ReadHead(limit_);
    }
    Millis patience = HeadBound();
    while (true) {
      const Millis bound = std::min(limit_, Clock::Now() + patience);
      const ReadStatus status = co_await reader->ReadHead(bound);
      if (status != ReadStatus::kTimedOut || bound >= limit_ ||
          !route_->is_stream) {
        co_return status;
      }
      if (!co_await IsAlive(placement)) {
        co_return status;
      }
      patience = kRecheckPeriod;
    }
  }

  /// True when the target was heard of lately or answers a probe.
  net::asio::awaitable<bool> IsAlive(const Placement& placement) {
    const Millis now = Clock::Now();
    if (now - forwarder_->board.HeardAt(placement.id) < kHeardLately) {
      co_return true;
    }
    forwarder_->metrics->Add(base::Counter::kProbes);
    TargetCall call{placement.id, placement.address, "GET",
                    Names::kReportTarget, ""};
    const std::optional<TargetAnswer> answer =
        co_await CallTarget(forwarder_, std::move(call), now + kProbeTimeout);
    const bool is_alive = answer.has_value();
    LogProbe(placement, is_alive, Clock::Now() - now);
    co_return is_alive;
  }

  Millis HeadBound() const {
    if (route_->is_stream) {
      return memory_ ? kResumedHeadBound : kFirstEventBound;
    }
    return std::max(kShortestCallBound,
                    route_->latency_aim * kCallShare / kHundred);
  }

  net::asio::awaitable<bool> SkipBody(AnswerReader* reader) {
    std::string ignored;
    ReadStatus status = ReadStatus::kMore;
    while (status == ReadStatus::kMore && ignored.size() < kMaximumSkipBytes) {
      status = co_await reader->ReadSome(&ignored, limit_);
    }
    co_return status == ReadStatus::kDone;
  }

  net::asio::awaitable<SendResult> HandleAnswer(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection,
      AnswerReader* reader,
      const AnswerFacts& facts) {
    if (facts.is_not_run && (!facts.id.empty() || connection->Uses() == 1)) {
      const bool is_whole = co_await SkipBody(reader);
      Recycle(connection, *reader, is_whole);
      co_return SendResult{SendOutcome::kRefused,
                           facts.is_wrong_target ? base::Reason::kTargetReplaced
                                                 : base::Reason::kTargetRefused,
                           std::nullopt};
    }
    if (facts.id.empty() || !facts.is_sealed || facts.is_encoded) {
      co_return SendResult{SendOutcome::kUnknown, base::Reason::kTargetBroken,
                           std::nullopt};
    }
    forwarder_->metrics->CheckInvariant(
        base::Invariant::kSuccessIsSealed,
        facts.is_sealed && facts.id == facts_.id);
    const bool is_success =
        reader->Status() >= kFirstSuccess && reader->Status() < kFirstRedirect;
    if (is_success && route_->is_stream && facts.is_event_stream) {
      co_return co_await RelayStream(placement, connection, reader);
    }
    if (HasStreamBegun()) {
      // A failure can't follow events that the caller has.
      co_return SendResult{SendOutcome::kUnknown, base::Reason::kErrorAnswer,
                           std::nullopt};
    }
    co_return co_await RelayWhole(placement, connection, reader);
  }

  void Recycle(const std::shared_ptr<TargetConnection>& connection,
               const AnswerReader& reader,
               bool is_whole) {
    if (is_whole && reader.IsFramed() && reader.IsKeptAlive() &&
        connection->IsWriteDone() && connection->Buffer().size() == 0) {
      forwarder_->pool.Put(connection, Clock::Now());
    } else {
      connection->Socket().Close();
    }
  }

  // ---- Whole answers.

  net::asio::awaitable<SendResult> RelayWhole(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection,
      AnswerReader* reader) {
    std::string body;
    ReadStatus status = ReadStatus::kMore;
    while (status == ReadStatus::kMore) {
      if (body.size() > kMaximumWholeBytes) {
        co_return SendResult{SendOutcome::kUnknown, base::Reason::kTargetBroken,
                             std::nullopt};
      }
      status = co_await reader->ReadSome(&body, limit_);
    }
    if (status != ReadStatus::kDone) {
      co_return SendResult{SendOutcome::kUnknown, base::Reason::kAnswerTorn,
                           std::nullopt};
    }
    const unsigned code = reader->Status();
    bhttp::fields fields = reader->Fields();
    RemoveConnectionFields(&fields);
    const AfterAnswer after = After();
    const bool has_body =
        code != kNoContent && code != kNotModified && request_.method != "HEAD";
    std::string text =
        AnswerHead(code, reader->ReasonPhrase(), fields,
                   has_body ? Framing::kLength : Framing::kNoBody, body.size(),
                   after) +
        body;
    Recycle(connection, *reader, true);
    if (code >= kFirstServerError) {
      forwarder_->board.OnErrorAnswer(placement.id, Clock::Now());
      kept_answer_ = std::move(text);
      kept_status_ = code;
      if (route_->repeatability == catalog::Repeatability::kIdempotent) {
        co_return SendResult{SendOutcome::kUnknown, base::Reason::kErrorAnswer,
                             std::nullopt};
      }
      text = kept_answer_;
    } else {
      forwarder_->board.OnSuccess(placement.id, Clock::Now());
    }
    active_.reset();
    LogAnswer(code, base::Reason::kNone);
    const AfterAnswer written = co_await WriteWhole(text, after);
    co_return SendResult{SendOutcome::kAnswered, base::Reason::kNone, written};
  }

  net::asio::awaitable<AfterAnswer> WriteWhole(const std::string& text,
                                               AfterAnswer after) {
    const bool is_written =
        co_await caller_->Write(text, Clock::Now() + kWriteTimeout);
    co_return is_written ? after : AfterAnswer::kClose;
  }

  AfterAnswer After() const {
    return request_.wants_close || forwarder_->is_stopping
               ? AfterAnswer::kClose
               : AfterAnswer::kKeepOpen;
  }

  // ---- Streams.

  bool HasStreamBegun() const { return is_head_written_; }

  net::asio::awaitable<SendResult> RelayStream(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection,
      AnswerReader* reader) {
    EventSplitter splitter;
    const AfterAnswer after = After();
    Millis heard_at = Clock::Now();
    bool has_event = false;
    ReadStatus status = ReadStatus::kMore;
    while (status == ReadStatus::kMore) {
      std::string bytes;
      const Millis bound = has_event ? SilenceBound() : HeadBound();
      const Millis silent_at = heard_at + bound;
      status =
          co_await reader->ReadSome(&bytes, std::min(StreamLimit(), silent_at));
      const Millis now = Clock::Now();
      if (status == ReadStatus::kTimedOut && now >= silent_at &&
          !CanGoOnFromCopy() && co_await IsAlive(placement)) {
        heard_at = now - bound + kRecheckPeriod;
        status = ReadStatus::kMore;
      }
      if (!bytes.empty()) {
        forwarder_->board.OnHeard(placement.id, now);
        heard_at = now;
      }
      std::string text;
      size_t n_events = 0;
      for (const StreamEvent& it : splitter.Append(bytes)) {
        if (!it.id || *it.id != last_event_ + 1) {
          LogBadEvent(placement, it);
          co_return SendResult{SendOutcome::kUnknown,
                               base::Reason::kTargetBroken, std::nullopt};
        }
        ++last_event_;
        text += it.bytes;
        ++n_events;
        has_event = true;
        forwarder_->metrics->Add(base::Counter::kEventsRelayed);
      }
      if (!text.empty() && MayCopyRuns() && engine_->copies_on_demand) {
        keeper_->Advance(CopyRequestFor(placement), now);
      }
      if (!text.empty() &&
          !co_await WriteEvents(text, n_events, *reader, after)) {
        is_gone_ = true;
        co_return SendResult{SendOutcome::kUnknown, base::Reason::kCallerGone,
                             std::nullopt};
      }
    }
    if (status == ReadStatus::kTimedOut) {
      co_return SendResult{SendOutcome::kUnknown, base::Reason::kTargetSilent,
                           std::nullopt};
    }
    if (status == ReadStatus::kBroken || splitter.HasPartialEvent() ||
        !HasStreamBegun()) {
      co_return SendResult{SendOutcome::kUnknown, base::Reason::kAnswerTorn,
                           std::nullopt};
    }
    Recycle(connection, *reader, true);
    active_.reset();
    forwarder_->board.OnSuccess(placement.id, Clock::Now());
    forwarder_->crashes.OnAnswered(content_);
    LogAnswer(reader->Status(), base::Reason::kNone);
    const std::string last(kLastChunk);
    const AfterAnswer written = co_await WriteWhole(last, after);
    co_return SendResult{SendOutcome::kAnswered, base::Reason::kNone, written};
  }

  /// True when the present run's memory is copied to an engine that can go
  /// on with it: giving up a run that is only slow then costs little.
  bool CanGoOnFromCopy() const {
    const std::optional<RunCopy>& copy = keeper_->Current();
    return copy && forwarder_->board.FindAgain(copy->holder, Clock::Now());
  }

  Millis StreamLimit() const {
    return forwarder_->is_stopping ? std::min(limit_, forwarder_->stop_at)
                                   : limit_;
  }

  /// A target that is silent for this long within a stream counts as lost:
  /// what is left of the pause that callers accept is for going on elsewhere.
  Millis SilenceBound() const {
    if (route_->gap_aim.count <= 0) {
      return kDefaultSilenceBound;
    }
    return route_->gap_aim * kSilenceShare / kHundred;
  }

  net::asio::awaitable<bool> WriteEvents(const std::string& events,
                                         size_t n_events,
                                         const AnswerReader& reader,
                                         AfterAnswer after) {
    const Millis now = Clock::Now();
    std::string text;
    if (!is_head_written_) {
      bhttp::fields fields = reader.Fields();
      RemoveConnectionFields(&fields);
      text = AnswerHead(reader.Status(), reader.ReasonPhrase(), fields,
                        Framing::kChunked, 0, after);
      is_head_written_ = true;
      forwarder_->metrics->Observe(base::Timer::kFirstEvent,
                                   now - request_.arrived_at);
    } else {
      forwarder_->metrics->Observe(base::Timer::kEventGap,
                                   now - event_written_at_);
      longest_gap_ = std::max(longest_gap_, now - event_written_at_);
    }
    event_written_at_ = now;
    const bool is_contiguous =
        last_event_ == written_event_ + static_cast<int64_t>(n_events);
    if (!forwarder_->metrics->CheckInvariant(base::Invariant::kEventsContiguous,
                                             is_contiguous)) {
      co_return false;
    }
    written_event_ = last_event_;
    text += Chunk(events);
    co_return co_await caller_->Write(text, now + kWriteTimeout);
  }

  // ---- Ends.

  void OnCallerGone() {
    is_gone_ = true;
    if (active_ != nullptr) {
      active_->Socket().Close();
    }
  }

  net::asio::awaitable<AfterAnswer> AnswerVerdict(base::Verdict verdict) {
    forwarder_->metrics->AddRefusal(verdict.reason);
    LogAnswer(static_cast<unsigned>(StatusOf(verdict)), verdict.reason);
    const AfterAnswer after = After();
    co_return co_await WriteWhole(VerdictAnswer(verdict, after), after);
  }

  // ---- Log lines.

  void LogSend(const Placement& placement, base::Reason reason) const {
    base::Log(base::LogLevel::kInfo, "send",
              {{"request", facts_.id},
               {"attempt", attempts_},
               {"cause", base::kReasonNames.NameOf(
                             attempts_ == 1 ? base::Reason::kNone : reason)},
               {"target", placement.id},
               {"domain", placement.failure_domain},
               {"score", placement.score},
               {"load", placement.load},
               {"report_age_ms", placement.report_age.count},
               {"copy", next_copy_ ? next_copy_->id : "none"},
               {"from_copy", kCopyUseNames.NameOf(copy_use_)},
               {"after_event", last_event_},
               {"left_ms", (limit_ - Clock::Now()).count}});
  }

  void LogProbe(const Placement& placement, bool is_alive, Millis took) const {
    base::Log(base::LogLevel::kInfo, "probe",
              {{"request", facts_.id},
               {"target", placement.id},
               {"alive", is_alive},
               {"took_ms", took.count}});
  }

  void LogRetryWait(bool is_granted, Millis waited) const {
    base::Log(base::LogLevel::kInfo, "retry_wait",
              {{"request", facts_.id},
               {"service", service_},
               {"granted", is_granted},
               {"waited_ms", waited.count}});
  }

  void LogSendEnded(const Placement& placement,
                    const SendResult& result,
                    Millis took) const {
    base::Log(base::LogLevel::kInfo, "send_ended",
              {{"request", facts_.id},
               {"attempt", attempts_},
               {"target", placement.id},
               {"outcome", kSendOutcomeNames.NameOf(result.outcome)},
               {"reason", base::kReasonNames.NameOf(result.reason)},
               {"event", last_event_},
               {"took_ms", took.count}});
  }

  void LogBadEvent(const Placement& placement, const StreamEvent& event) const {
    base::Log(base::LogLevel::kWarning, "event_out_of_order",
              {{"request", facts_.id},
               {"target", placement.id},
               {"expected", last_event_ + 1},
               {"got", event.id.value_or(-1)}});
  }

  void LogAnswer(unsigned status, base::Reason reason) const {
    base::Log(base::LogLevel::kInfo, "answer",
              {{"request", facts_.id},
               {"status", status},
               {"reason", base::kReasonNames.NameOf(reason)},
               {"route", route_ == nullptr ? "" : route_->name},
               {"workspace", workspace_},
               {"version", catalog_.configuration == nullptr
                               ? 0
                               : catalog_.configuration->version},
               {"sends", attempts_},
               {"events", last_event_},
               {"longest_gap_ms", longest_gap_.count},
               {"took_ms", (Clock::Now() - request_.arrived_at).count}});
  }

  Forwarder* forwarder_;
  CallerChannel* caller_;
  CallerRequest request_;
  catalog::Catalog catalog_;
  RequestFacts facts_;
  const catalog::Route* route_ = nullptr;
  const catalog::EngineTraits* engine_ = nullptr;
  std::string service_;
  /// Equal for requests with the same target, caller and body.
  uint64_t content_ = 0;
  std::string workspace_;
  std::optional<int> priority_;
  /// The caller waits no longer.
  Millis limit_;
  std::optional<SendLedger> ledger_;
  int attempts_ = 0;
  int refusals_ = 0;
  /// A repeated send that is counted and not made yet.
  bool has_retry_ = false;
  std::set<std::string> excluded_;
  std::string lost_domain_;
  /// The engine whose connection broke last; tried once more.
  std::optional<Placement> broken_;
  std::set<std::string> was_broken_at_;
  bool is_gone_ = false;
  /// The connection of the present send.
  std::shared_ptr<TargetConnection> active_;
  /// A target's failure that is passed on if no other target does better.
  std::string kept_answer_;
  unsigned kept_status_ = 0;
  /// The engine that keeps a copy of the run of the last send, and of the
  /// present one.
  std::optional<RunCopy> copy_;
  std::optional<Placement> next_copy_;
  std::optional<CopyKeeper<Names>> keeper_;
  std::optional<MemorySource> memory_;
  CopyUse copy_use_ = CopyUse::kNone;
  /// The last event that was taken from a target, and that was written to the
  /// caller.
  int64_t last_event_ = 0;
  int64_t written_event_ = 0;
  bool is_head_written_ = false;
  Millis event_written_at_;
  Millis longest_gap_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_EXCHANGE_H_
