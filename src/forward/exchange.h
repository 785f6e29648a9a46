#ifndef DAISYPOND_FORWARD_EXCHANGE_H_
#define DAISYPOND_FORWARD_EXCHANGE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/log.h"
#include "forward/answer_body.h"
#include "forward/caller_connection.h"
#include "forward/connect_target.h"
#include "forward/dialect.h"
#include "forward/end_relayed_run.h"
#include "forward/engine_poll.h"
#include "forward/event_splitter.h"
#include "forward/exchange_limits.h"
#include "forward/find_stream_origin.h"
#include "forward/forwarder.h"
#include "forward/http_text.h"
#include "forward/process_check.h"
#include "forward/record_first_event.h"
#include "forward/response_reader.h"
#include "forward/run_copy.h"
#include "forward/run_end.h"
#include "forward/send_tracker.h"
#include "forward/silence_watch.h"
#include "forward/stream_lifetimes.h"
#include "forward/suspected_content.h"
#include "forward/take_permit.h"
#include "forward/target_call.h"
#include "forward/target_silence.h"
#include "forward/upload_progress.h"

namespace daisypond::forward {

/// Whether a run resumes from a copy of the KV cache of an earlier run of the
/// same request, and the reason if it does not.
enum class CopyUse : uint8_t {
  /// No copy exists.
  kNone,
  /// The run resumes from the copy.
  kUsed,
  /// The engine that holds the copy has failed or accepts no new work.
  kHolderLost,
  /// The request may not be sent to the engine that holds the copy.
  kHolderExcluded,
};

inline constexpr base::NameTable<CopyUse, 4> kCopyUseNames("none",
                                                           "used",
                                                           "holder_lost",
                                                           "holder_excluded");

/// The part of an answer that does not end.
enum class AnswerPart : uint8_t { kHeader, kBody, kEvent };

inline constexpr base::NameTable<AnswerPart, 3> kAnswerPartNames("header",
                                                                 "body",
                                                                 "event");

/// Serves one request of a caller: finds its route, sends it to targets until
/// one answers, and relays the answer. The whole request is served under the
/// catalog that was current when the request was admitted.
template <Dialect DialectType>
class Exchange {
 public:
  Exchange(Forwarder* forwarder,
           CallerConnection* caller,
           CallerRequest request)
      : forwarder_(forwarder),
        caller_(caller),
        request_(std::move(request)),
        catalog_(forwarder->catalog),
        request_info_(DialectType::ParseRequestHeader(request_.fields)) {}

  /// Id of the request.
  const std::string& Id() const { return request_info_.id; }

  /// Serves the request until the caller has the complete answer or the request
  /// has failed.
  net::asio::awaitable<ConnectionReuse> Run() {
    forwarder_->metrics->Add(base::Counter::kForwarded);
    co_await WaitForCatalog();
    const std::optional<base::Verdict> refusal = Admit();
    if (refusal) {
      co_return co_await AnswerVerdict(*refusal);
    }
    caller_->StartDisconnectWatch([this] { OnCallerGone(); });
    const bool is_origin_known = co_await FindOriginOfResumedStream();
    const ConnectionReuse reuse =
        is_origin_known ? co_await SendUntilAnswered()
                        : co_await FailRequest(base::Reason::kStreamUnknown);
    caller_->StopDisconnectWatch();
    forwarder_->metrics->Observe(base::Timer::kForward,
                                 base::Clock::Now() - request_.arrived_at);
    co_return reuse;
  }

  /// Ends the request after Run() has thrown an exception. The caller gets a
  /// verdict, unless bytes of an answer have been written.
  net::asio::awaitable<ConnectionReuse> FailAfterException(std::string error) {
    caller_->StopDisconnectWatch();
    base::Log(base::LogLevel::kError, "request_failed",
              {{"request", request_info_.id}, {"error", error}});
    EndBrokenSend();
    if (is_answer_complete_) {
      co_return ConnectionReuse::kClose;
    }
    if (is_answer_begun_) {
      forwarder_->metrics->Add(base::Counter::kStreamsCut);
      LogAnswer(0, base::Reason::kInternal);
      caller_->Socket().Reset();
      co_return ConnectionReuse::kClose;
    }
    base::Verdict verdict;
    verdict.execution =
        send_tracker_ ? send_tracker_->Execution() : base::Execution::kNotRun;
    verdict.reason = base::Reason::kInternal;
    verdict.detail = "this instance has failed to serve the request";
    co_await AnswerVerdict(verdict, ConnectionReuse::kClose);
    co_return ConnectionReuse::kClose;
  }

  /// Ends the request at once, because the process stops. A caller that has
  /// received nothing yet gets a verdict.
  void EndForStop() {
    is_ended_for_stop_ = true;
    CloseActiveConnection();
  }

 private:
  using Clock = base::Clock;
  using Millis = base::Millis;

  /// The result of one send to a target.
  struct SendResult {
    SendOutcome outcome = SendOutcome::kUnknown;
    base::Reason reason = base::Reason::kTargetBroken;
    /// Set when the answer to the caller has ended, either complete or cut off.
    /// States whether the caller's connection stays open.
    std::optional<ConnectionReuse> finished;
  };

  // ---- Admission.

  /// Waits until this instance has a catalog. An instance that has just started
  /// receives it within a few round trips, so a short wait avoids refusing the
  /// request.
  net::asio::awaitable<void> WaitForCatalog() {
    net::asio::steady_timer timer(forwarder_->executor);
    const Millis deadline = request_.arrived_at + kMaximumCatalogWait;
    while (!catalog_.IsComplete() && !IsAbandoned() &&
           Clock::Now() < deadline) {
      timer.expires_after(kCatalogPollPeriod.ToChrono());
      co_await timer.async_wait(net::kAsTuple);
      catalog_ = forwarder_->catalog;
    }
  }

  /// Determines the route, the workspace and the deadline of the request.
  /// Returns the verdict that refuses the request, or nothing if the request is
  /// admitted.
  std::optional<base::Verdict> Admit() {
    if (!catalog_.IsComplete()) {
      return Refuse(base::Reason::kNoConfiguration,
                    "this instance has no configuration yet",
                    kConfigurationRetryAfter);
    }
    if (request_info_.id.empty()) {
      return Refuse(base::Reason::kBadRequest, "the request has no id", {});
    }
    route_ = catalog_.configuration->FindRoute(
        request_.host, PathWithoutQuery(request_.target));
    if (route_ == nullptr) {
      return Refuse(base::Reason::kUnknownRoute, "no route for host and path",
                    {});
    }
    if (!FindWorkspace()) {
      return Refuse(base::Reason::kUnauthorized, "the API key is not known",
                    {});
    }
    deadline_ = request_.arrived_at +
                std::min(request_info_.caller_timeout.value_or(route_->timeout),
                         route_->timeout);
    if (CannotFinishBeforeStopping()) {
      return Refuse(base::Reason::kStopping, "this instance is stopping",
                    StoppingRetryAfter());
    }
    SetService(ChooseService());
    content_.is_loss_weak = request_.Body().empty() && !route_->is_stream;
    content_.prompt_parts = request_info_.shared_prompt_parts;
    content_.hash = base::HashOfAll(
        {PathWithoutQuery(request_.target), "\n",
         workspace_.empty() ? request_info_.api_key : workspace_, "\n",
         request_.Body()});
    if (content_.is_loss_weak) {
      content_.hash = WeakHash(content_.hash);
    }
    send_tracker_.emplace(route_->repeatability, route_->maximum_targets);
    last_received_event_ = request_info_.last_event_id.value_or(0);
    last_written_event_ = last_received_event_;
    forwarder_->retry_limit.OnRequest(service_name_, Clock::Now());
    return std::nullopt;
  }

  /// True when this instance will probably stop before the answer is complete.
  bool CannotFinishBeforeStopping() const {
    if (!forwarder_->is_stopping) {
      return false;
    }
    const Millis now = Clock::Now();
    return now + ExpectedDuration(now) > forwarder_->stop_at;
  }

  /// Returns the time in which the request will probably be answered. A call
  /// that may run only once cannot be repeated if it takes longer.
  Millis ExpectedDuration(Millis now) const {
    if (route_->is_stream) {
      return kExpectedStreamDuration;
    }
    return route_->repeatability == catalog::Repeatability::kRunOnce
               ? std::min(deadline_ - now, kLongRunOnceDuration)
               : kExpectedCallDuration;
  }

  /// Returns the Retry-After value while this instance is stopping. A caller
  /// that retried sooner might reach this instance again.
  Millis StoppingRetryAfter() const {
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
    const auto it = workspaces.find(request_info_.api_key);
    if (it != workspaces.end()) {
      workspace_ = it->second.name;
      priority_ = it->second.priority;
      return true;
    }
    return route_->is_public || !catalog_.configuration->has_workspaces;
  }

  void SetService(const std::string& name) {
    service_name_ = name;
    const catalog::Service* service =
        catalog_.configuration->FindService(service_name_);
    engine_traits_ =
        service != nullptr && service->engine ? &*service->engine : nullptr;
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

  /// True when the caller takes up a stream of which it has events.
  bool IsResumedByCaller() const {
    return route_->is_stream &&
           route_->repeatability == catalog::Repeatability::kResumable &&
           last_received_event_ > 0;
  }

  /// Finds out which software version began a stream that the caller resumes.
  /// Returns false if that is not known.
  net::asio::awaitable<bool> FindOriginOfResumedStream() {
    if (!IsResumedByCaller()) {
      co_return true;
    }
    // A braced temporary in a co_await expression is destroyed twice by GCC 12.
    std::string id = request_info_.resumed_id;
    std::string service = service_name_;
    const StreamOrigin origin = co_await FindStreamOrigin(
        forwarder_, std::move(id), std::move(service));
    const auto& services = route_->services;
    const bool is_on_route = std::any_of(
        services.begin(), services.end(),
        [&](const auto& it) { return it.service == origin.record.service; });
    if (origin.source == VersionSource::kUnknown || !is_on_route) {
      co_return false;
    }
    SetService(origin.record.service);
    stream_version_ = origin.record.version;
    RecordStream(request_info_.resumed_id, RecordState::kNotStored);
    co_return true;
  }

  /// True for a new stream that no target can begin at present.
  bool IsStreamBeginningBlocked() const {
    return route_->repeatability == catalog::Repeatability::kResumable &&
           !stream_version_ &&
           CanNoStreamBegin(*forwarder_, service_name_, Clock::Now());
  }

  /// Lets other instances know by which software the stream was begun.
  void RecordStream(const std::string& id, RecordState state) {
    if (forwarder_->record_stream && !id.empty() &&
        route_->repeatability == catalog::Repeatability::kResumable) {
      forwarder_->record_stream(id, MakeStreamRecord(*stream_version_), state);
    }
  }

  StreamRecord MakeStreamRecord(const std::string& version) const {
    return {service_name_, version,
            ResumableUntil(request_.arrived_at, request_info_.caller_timeout,
                           route_->timeout)};
  }

  // ---- The loop over targets.

  net::asio::awaitable<ConnectionReuse> SendUntilAnswered() {
    base::Reason reason = base::Reason::kNoTarget;
    while (!IsAbandoned() && TimeLeft() > kMinimumSendTime) {
      if (!send_tracker_->MaySendAgain()) {
        break;
      }
      if (IsBlocked()) {
        reason = base::Reason::kCondemned;
        break;
      }
      if (IsVersionGone()) {
        reason = base::Reason::kVersionGone;
        break;
      }
      if (IsStreamBeginningBlocked()) {
        reason = base::Reason::kStoreUnavailable;
        break;
      }
      if (send_tracker_->SendCount() > 0 && !has_unused_retry_ &&
          !co_await AcquireRetry(reason)) {
        reason = base::Reason::kRetryBudgetSpent;
        break;
      }
      const std::optional<Placement> placement = co_await ChoosePlacement();
      if (IsAbandoned()) {
        break;
      }
      if (!placement && MayWaitForTarget()) {
        co_await Sleep(kTargetPollPeriod);
        continue;
      }
      if (!placement && MayWaitForSlot()) {
        co_await Sleep(kSlotPollPeriod);
        continue;
      }
      if (!placement && IsVersionGone()) {
        continue;
      }
      if (!placement) {
        reason = send_tracker_->SendCount() == 0 && n_refusals_ == 0
                     ? ReasonForNoTarget()
                     : reason;
        break;
      }
      // The request may have been blocked while it waited for a retry or a
      // target.
      if (IsBlocked()) {
        reason = base::Reason::kCondemned;
        break;
      }
      const bool is_permitted = co_await AcquirePermit(*placement);
      if (IsAbandoned()) {
        break;
      }
      if (!is_permitted) {
        continue;
      }
      const SendResult result = co_await SendTo(*placement, reason);
      if (result.finished) {
        co_return *result.finished;
      }
      reason = result.reason;
      if (n_refusals_ >= kMaximumRefusals) {
        break;
      }
      if (reason == base::Reason::kNoRoom) {
        if (!MayWaitForTarget()) {
          break;
        }
        co_await Sleep(kTargetPollPeriod);
      }
    }
    co_return co_await FailRequest(reason);
  }

  /// Returns why no target can be chosen. If targets only lack a permit, sets
  /// `permit_wait_`.
  base::Reason ReasonForNoTarget() {
    const Millis now = Clock::Now();
    const std::optional<Millis> next_permit_at =
        forwarder_->selector.NextPermitAt(BasePlacementRequest(), now);
    if (!next_permit_at) {
      return base::Reason::kNoTarget;
    }
    permit_wait_ = *next_permit_at - now;
    return base::Reason::kTargetLimit;
  }

  /// Takes what the send needs of what all instances share: a slot if the
  /// target is brittle, and a permit if it limits the requests. A target
  /// without them is not chosen until they can be expected.
  net::asio::awaitable<bool> AcquirePermit(Placement placement) {
    const bool has_slot = co_await AcquireSlot(placement);
    if (!has_slot) {
      co_return false;
    }
    const bool has_permit = co_await AcquireRequestPermit(placement);
    if (!has_permit) {
      ReturnSlot(SlotOutcome::kUnused);
    }
    co_return has_permit;
  }

  net::asio::awaitable<bool> AcquireSlot(Placement placement) {
    const std::optional<double> limit =
        forwarder_->selector.RejectionLimit(placement.id);
    if (!limit) {
      co_return true;
    }
    SlotRequest request;
    request.target = {placement.id, placement.started_at};
    request.lease_id = base::RandomNumber();
    request.rejection_limit = *limit;
    request.slots = forwarder_->selector.SlotsOf(placement.id);
    request.duration = TimeLeft() + kSlotLeaseMargin;
    const RequestPermit permit = co_await TakeSlot(forwarder_, request);
    LogPermit(placement, PermitKind::kSlot, *limit, permit);
    is_slot_refused_ = !permit.is_granted;
    if (is_slot_refused_) {
      forwarder_->selector.OnPermitRefused(placement.id,
                                           Clock::Now() + permit.wait);
      co_return false;
    }
    slot_ = SlotReturn{request.target, request.lease_id, *limit,
                       SlotOutcome::kUnused};
    co_return true;
  }

  /// Gives back the slot of the last send, if it had one.
  void ReturnSlot(SlotOutcome outcome) {
    std::optional<SlotReturn> slot = std::exchange(slot_, std::nullopt);
    if (slot && forwarder_->return_slot) {
      slot->outcome = outcome;
      forwarder_->return_slot(*slot);
    }
  }

  /// Ends the use of the target's slot by a send. Reports also a rejection of a
  /// request for which no slot was leased, as the target was not known to be
  /// brittle.
  void ReturnSlotAfterSend(const Placement& placement,
                           const SendResult& result) {
    const SlotOutcome outcome = SlotOutcomeOf(result);
    const std::optional<double> limit =
        forwarder_->selector.RejectionLimit(placement.id);
    if (!slot_ && limit && outcome == SlotOutcome::kRejected) {
      slot_ =
          SlotReturn{{placement.id, placement.started_at}, 0, *limit, outcome};
    }
    ReturnSlot(outcome);
  }

  static SlotOutcome SlotOutcomeOf(const SendResult& result) {
    if (result.outcome == SendOutcome::kRefused &&
        result.reason != base::Reason::kTargetReplaced) {
      return SlotOutcome::kRejected;
    }
    switch (result.outcome) {
      case SendOutcome::kNotSent:
      case SendOutcome::kRefused:
        return SlotOutcome::kUnused;
      case SendOutcome::kUnknown:
        return SlotOutcome::kAbandoned;
      case SendOutcome::kAnswered:
        break;
    }
    return SlotOutcome::kUsed;
  }

  net::asio::awaitable<bool> AcquireRequestPermit(Placement placement) {
    const std::optional<double> limit =
        forwarder_->selector.RequestLimit(placement.id);
    if (!limit) {
      co_return true;
    }
    // A braced temporary in a co_await expression is destroyed twice by GCC 12.
    const TargetProcess process{placement.id, placement.started_at};
    const RequestPermit permit =
        co_await TakePermit(forwarder_, process, *limit);
    LogPermit(placement, PermitKind::kRequest, *limit, permit);
    if (!permit.is_granted) {
      forwarder_->selector.OnPermitRefused(placement.id,
                                           Clock::Now() + permit.wait);
    }
    co_return permit.is_granted;
  }

  /// True when the request is suspected to crash targets.
  bool IsBlocked() const {
    const Millis now = Clock::Now();
    return forwarder_->crashing_requests.IsBlocked(content_, now) ||
           (route_->is_stream && forwarder_->crashing_requests.IsBlocked(
                                     LongRunContent(content_), now));
  }

  /// True when the request may wait until a target becomes available. Only a
  /// stream that has begun waits, and only until ResumeDeadline().
  bool MayWaitForTarget() const {
    return HasStreamBegun() && !IsVersionGone() &&
           Clock::Now() < ResumeDeadline();
  }

  /// True when the request may wait until brittle targets have a free slot.
  bool MayWaitForSlot() const {
    return is_slot_refused_ && !HasStreamBegun() &&
           Clock::Now() < request_.arrived_at + route_->latency_objective *
                                                    kSlotWaitPercent /
                                                    kPercentBase;
  }

  /// True when no target is left that could go on with the stream.
  bool IsVersionGone() const {
    return stream_version_ &&
           !forwarder_->selector.HasVersion(service_name_, *stream_version_);
  }

  /// Returns the time until which a stream that has begun may wait for a target
  /// or for retry budget before it is cut.
  Millis ResumeDeadline() const {
    return last_write_at_ +
           std::min(kMaximumResumeWait,
                    ToleratedPause() * kResumeWaitPercent / kPercentBase);
  }

  /// Returns the pause after which the caller is expected to abandon a stream.
  Millis ToleratedPause() const {
    return std::max(
        {kMinimumToleratedPause,
         route_->latency_objective * kToleratedPauseInLatencyObjectives,
         route_->event_gap_objective * kToleratedPauseInEventGapObjectives});
  }

  /// Returns the silence after which a process that stands still counts as
  /// lost. The rest of the tolerated pause is needed to resume elsewhere.
  Millis StallTimeout() const {
    return std::min(kLongestStall,
                    ToleratedPause() * kStallTimeoutPercent / kPercentBase);
  }

  net::asio::awaitable<void> Sleep(Millis span) {
    net::asio::steady_timer timer(forwarder_->executor, span.ToChrono());
    co_await timer.async_wait(net::kAsTuple);
  }

  Millis TimeLeft() const {
    Millis deadline = deadline_;
    if (forwarder_->is_stopping) {
      deadline = std::min(deadline, forwarder_->stop_at);
    }
    return deadline - Clock::Now();
  }

  net::asio::awaitable<std::optional<Placement>> ChoosePlacement() {
    const Millis now = Clock::Now();
    kv_source_.reset();
    copy_use_ = CopyUse::kNone;
    if (run_copy_ && HasStreamBegun()) {
      const std::optional<Placement> holder =
          forwarder_->selector.FindSameProcess(run_copy_->holder, now);
      if (holder && holder->version == stream_version_ &&
          send_tracker_->MaySendTo(holder->id)) {
        kv_source_ = run_copy_->source;
        copy_use_ = CopyUse::kUsed;
        co_return holder;
      }
      copy_use_ = holder ? CopyUse::kHolderExcluded : CopyUse::kHolderLost;
    }
    if (reconnect_candidate_ && MayCopyRuns() &&
        send_tracker_->MaySendAgain()) {
      // Sends the request to the same engine once more. If only the connection
      // broke, the engine still has the prompt in its KV cache.
      const Placement same_engine =
          *std::exchange(reconnect_candidate_, std::nullopt);
      const TargetSelector& selector = forwarder_->selector;
      const bool is_available = HasStreamBegun()
                                    ? selector.IsSameProcess(same_engine)
                                    : !selector.IsSuperseded(same_engine.id);
      // Much time may have passed on waiting for a retry.
      if (is_available && !selector.IsLeaving(same_engine.id)) {
        co_return same_engine;
      }
    }
    PlacementRequest wanted = BasePlacementRequest();
    wanted.avoided_domain = last_lost_domain_;
    if (engine_traits_ != nullptr && route_->is_stream) {
      auto polled_engines =
          forwarder_->selector.Rank(wanted, kPolledEngines, now);
      const auto is_limited = [this](const Placement& it) {
        return forwarder_->selector.RequestLimit(it.id).has_value();
      };
      // Polls count towards the limit of a target, so it is chosen without one.
      if (!polled_engines.empty() && is_limited(polled_engines.front())) {
        co_return polled_engines.front();
      }
      std::erase_if(polled_engines, is_limited);
      wanted.allowed =
          co_await PollEngines<DialectType>(forwarder_, polled_engines);
      if (wanted.allowed.empty()) {
        // None of the polled engines answered, so prefer the engines that were
        // not polled.
        for (const Placement& it : polled_engines) {
          wanted.excluded.insert(it.id);
        }
      }
    }
    std::optional<Placement> placement =
        forwarder_->selector.Choose(wanted, Clock::Now());
    if (!placement && !wanted.excluded.empty() &&
        route_->repeatability == catalog::Repeatability::kResumable) {
      // Only excluded targets are left. Sending the request to one of them
      // again is better than failing the request.
      wanted.excluded.clear();
      placement = forwarder_->selector.Choose(wanted, Clock::Now());
    }
    co_return placement;
  }

  PlacementRequest BasePlacementRequest() const {
    PlacementRequest wanted;
    wanted.service = service_name_;
    wanted.version = stream_version_;
    if (!stream_version_ && route_->is_stream &&
        route_->repeatability == catalog::Repeatability::kResumable) {
      wanted.version = ForcedVersion(*forwarder_, service_name_, Clock::Now());
    }
    wanted.prefers_common_version = MayCopyRuns() && !stream_version_;
    wanted.failure_domain = forwarder_->options.failure_domain;
    wanted.excluded = excluded_targets_;
    wanted.is_engine = engine_traits_ != nullptr;
    wanted.affinity_key = base::Hash(request_info_.prompt);
    wanted.kv_cache_tokens = request_info_.prompt_tokens +
                             request_info_.expected_output_tokens.value_or(
                                 request_info_.maximum_output_tokens);
    return wanted;
  }

  bool TakeRetry(base::Reason reason) {
    const RetryPurpose purpose = reason == base::Reason::kErrorAnswer
                                     ? RetryPurpose::kReplaceErrorAnswer
                                     : RetryPurpose::kResumeLostWork;
    if (!forwarder_->retry_limit.TakeRetry(service_name_, purpose,
                                           Clock::Now())) {
      return false;
    }
    forwarder_->metrics->AddRetry(reason);
    return true;
  }

  /// Takes a retry from the retry budget, or waits for one. The retry counts as
  /// used only when bytes of a send have left this instance, because any other
  /// send puts no load on the service.
  net::asio::awaitable<bool> AcquireRetry(base::Reason reason) {
    has_unused_retry_ = TakeRetry(reason) || co_await WaitForRetry(reason);
    co_return has_unused_retry_;
  }

  /// Waits for retry budget: until the shared pool grants a retry, or until
  /// earlier retries of this instance leave the window of its retry limit.
  /// Returns false when neither happens in time.
  net::asio::awaitable<bool> WaitForRetry(base::Reason reason) {
    if (reason == base::Reason::kErrorAnswer) {
      co_return false;
    }
    const Millis began_at = Clock::Now();
    const Millis deadline =
        HasStreamBegun() ? ResumeDeadline()
                         : began_at + route_->latency_objective *
                                          kRetryWaitPercent / kPercentBase;
    bool is_taken = false;
    forwarder_->OnRetryWaitBegun(service_name_);
    while (!is_taken && !IsAbandoned() && Clock::Now() < deadline &&
           TimeLeft() > kMinimumSendTime) {
      forwarder_->BorrowMissingRetries(service_name_);
      co_await Sleep(kRetryPollPeriod);
      is_taken = !IsAbandoned() && TakeRetry(reason);
    }
    forwarder_->OnRetryWaitEnded(service_name_);
    LogRetryWait(is_taken, Clock::Now() - began_at);
    co_return is_taken;
  }

  /// True when nobody waits for an answer of a target any more.
  bool IsAbandoned() const { return is_caller_gone_ || is_ended_for_stop_; }

  net::asio::awaitable<ConnectionReuse> FailRequest(base::Reason reason) {
    ReturnSlot(SlotOutcome::kUnused);
    if (is_caller_gone_) {
      co_return co_await EndForGoneCaller();
    }
    if (is_ended_for_stop_) {
      reason = base::Reason::kStopping;
    }
    if (HasStreamBegun()) {
      // The caller detects that the stream is truncated, because the last chunk
      // is missing.
      forwarder_->metrics->Add(base::Counter::kStreamsCut);
      LogAnswer(0, reason);
      caller_->Socket().Reset();
      co_return ConnectionReuse::kClose;
    }
    if (fallback_answer_) {
      LogAnswer(fallback_answer_->status, reason);
      co_return co_await WriteAnswer(&*fallback_answer_);
    }
    if (!is_ended_for_stop_ && TimeLeft() <= kMinimumSendTime &&
        send_tracker_->SendCount() > 0) {
      reason = base::Reason::kDeadlineExceeded;
    }
    base::Verdict verdict;
    verdict.execution = send_tracker_->Execution();
    verdict.reason = reason;
    verdict.detail = "no target has answered";
    if (verdict.execution == base::Execution::kNotRun) {
      verdict.retry_after = reason == base::Reason::kTargetLimit
                                ? RetryAfterForLimit()
                                : kRefusalRetryAfter;
    }
    co_return co_await AnswerVerdict(verdict);
  }

  /// Ends the request of a caller that has ended its data. If no answer has
  /// begun, the caller gets a verdict: it may have closed only its own
  /// direction of the connection.
  net::asio::awaitable<ConnectionReuse> EndForGoneCaller() {
    forwarder_->metrics->Add(base::Counter::kCallersGone);
    LogCallerGone("caller_gone");
    if (is_answer_begun_ || !caller_->MayStillRead()) {
      LogAnswer(0, base::Reason::kCallerGone);
      co_return ConnectionReuse::kClose;
    }
    base::Verdict verdict;
    verdict.execution = send_tracker_->Execution();
    verdict.reason = base::Reason::kCallerGone;
    verdict.detail = "the caller has ended its data";
    co_await AnswerVerdict(verdict, ConnectionReuse::kClose);
    co_return ConnectionReuse::kClose;
  }

  /// Returns the Retry-After value when targets have no permits left. Spread
  /// out, so that the refused callers do not return together.
  Millis RetryAfterForLimit() const {
    const auto spread = static_cast<int64_t>(
        base::RandomNumber() %
        static_cast<uint64_t>(kLimitRetryAfterSpread.count));
    return permit_wait_ + Millis{spread};
  }

  // ---- One send.

  net::asio::awaitable<SendResult> SendTo(Placement placement,
                                          base::Reason reason) {
    ++n_send_attempts_;
    const Millis began_at = Clock::Now();
    const int64_t first_event = last_received_event_;
    run_began_at_.reset();
    is_answer_recorded_ = false;
    has_answer_header_ = false;
    StartCopyFor(placement);
    forwarder_->metrics->Add(base::Counter::kSends);
    forwarder_->selector.OnSend(placement.id);
    send_target_ = placement.id;
    SendResult result = co_await SendAndReadAnswer(placement, reason);
    forwarder_->selector.OnSendEnded(placement.id);
    send_target_.clear();
    ReturnSlotAfterSend(placement, result);
    UpdateCopyOfRun(result.outcome, first_event);
    active_connection_.reset();
    send_tracker_->OnSendEnded(placement.id, result.outcome);
    has_unused_retry_ =
        has_unused_retry_ && result.outcome == SendOutcome::kNotSent;
    LogSendEnded(placement, result, Clock::Now() - began_at);
    if (whole_answer_) {
      // The caller may take long; nothing of the target is needed any more.
      result.finished = co_await WriteAnswer(&*whole_answer_);
      whole_answer_.reset();
    }
    if (!result.finished && !IsAbandoned()) {
      RecordFailure(placement, result);
      co_await WaitForPathCheck(placement);
    }
    co_return result;
  }

  /// Waits until it is known whether the target or the path to it is lost, so
  /// that the next send takes the right way.
  net::asio::awaitable<void> WaitForPathCheck(const Placement& placement) {
    if (std::exchange(is_loss_checked_, false)) {
      // A braced temporary in a co_await expression is destroyed twice by GCC
      // 12.
      std::string id = placement.id;
      co_await forwarder_->path_monitor.WaitForCheck(
          std::move(id),
          std::min(deadline_, Clock::Now() + LossHold::kMaximumHold));
    }
  }

  /// Ends a send that an exception has left in progress, if there is one.
  void EndBrokenSend() {
    if (active_connection_ != nullptr) {
      active_connection_->Abandon();
      forwarder_->path_monitor.OnSendEnded(active_connection_,
                                           ReadStatus::kDone);
      active_connection_.reset();
    }
    if (!send_target_.empty()) {
      forwarder_->selector.OnSendEnded(send_target_);
      send_target_.clear();
    }
    if (copy_manager_) {
      UpdateCopyOfRun(SendOutcome::kUnknown, last_received_event_);
    }
    ReturnSlot(SlotOutcome::kAbandoned);
  }

  void RecordFailure(const Placement& placement, const SendResult& result) {
    const Millis now = Clock::Now();
    if (result.outcome == SendOutcome::kRefused) {
      ++n_refusals_;
      if (result.reason == base::Reason::kTargetReplaced) {
        forwarder_->selector.OnReplaced(placement.id);
      }
      if (!kv_source_) {
        forwarder_->selector.OnFull(placement.id, now);
        excluded_targets_.insert(placement.id);
      }
      return;
    }
    if (result.reason == base::Reason::kNoRoom ||
        result.reason == base::Reason::kStoreUnavailable ||
        IsExplainedByPath(result)) {
      return;
    }
    excluded_targets_.insert(placement.id);
    if (result.reason == base::Reason::kErrorAnswer) {
      return;
    }
    if (result.reason == base::Reason::kTargetSilent &&
        now - forwarder_->selector.LastHeardAt(placement.id) <
            kRecentlyHeardPeriod) {
      // The target has sent data for other requests, so this request is slow
      // and the target has not failed.
      return;
    }
    if (result.reason == base::Reason::kAnswerWithoutEnd ||
        result.reason == base::Reason::kEmptyAnswer) {
      forwarder_->selector.OnFailure(placement.id, now);
      return;
    }
    const bool is_connection_lost =
        result.reason == base::Reason::kTargetBroken ||
        result.reason == base::Reason::kAnswerTorn;
    if (is_connection_lost && !disconnected_targets_.contains(placement.id)) {
      disconnected_targets_.insert(placement.id);
      reconnect_candidate_ = placement;
    }
    if (result.reason == base::Reason::kTargetUnreachable) {
      forwarder_->selector.OnUnreachable(placement.id, now);
    } else {
      forwarder_->selector.OnFailure(placement.id, now);
    }
    forwarder_->path_monitor.OnLossFound(
        {{placement.id, placement.started_at},
         service_name_,
         placement.failure_domain},
        SuspectedContent(content_, FailedSendOf(result, now)),
        result.reason == base::Reason::kTargetUnreachable
            ? LossKind::kConnectFailed
            : LossKind::kRequestFailed,
        send_peer_);
    last_lost_domain_ = placement.failure_domain;
    is_loss_checked_ = send_peer_.empty();
  }

  /// True when the send failed because the path to the target was lost; another
  /// send to it goes through a peer.
  bool IsExplainedByPath(const SendResult& result) const {
    return send_peer_.empty() && result.outcome == SendOutcome::kUnknown &&
           result.reason != base::Reason::kErrorAnswer &&
           !forwarder_->tunnel_peers.empty() &&
           forwarder_->path_monitor.Path().IsLossExplained(service_name_);
  }

  FailedSend FailedSendOf(const SendResult& result, Millis now) const {
    FailedSend send{route_->is_stream, result.outcome, result.reason, {}};
    if (run_began_at_) {
      send.ran_for = now - *run_began_at_;
    }
    return send;
  }

  /// True when the run of one target can be resumed by another.
  bool MayResume() const {
    return route_->is_stream &&
           route_->repeatability == catalog::Repeatability::kResumable;
  }

  bool MayCopyRuns() const { return engine_traits_ != nullptr && MayResume(); }

  PlacementRequest CopyPlacementRequest(const Placement& placement) const {
    PlacementRequest wanted = BasePlacementRequest();
    wanted.excluded.insert(placement.id);
    wanted.avoided_domain = placement.failure_domain;
    wanted.version = placement.version;
    return wanted;
  }

  void StartCopyFor(const Placement& placement) {
    next_copy_holder_.reset();
    if (MayCopyRuns() && engine_traits_->replicates_kv_cache) {
      next_copy_holder_ = forwarder_->selector.ChooseCopyHolder(
          CopyPlacementRequest(placement), Clock::Now());
    }
    if (next_copy_holder_) {
      forwarder_->selector.OnCopyBegun(next_copy_holder_->id);
    }
    copy_manager_.emplace(forwarder_, request_info_.id, placement,
                          next_copy_holder_);
  }

  /// Updates `run_copy_` after a send. If the send delivered events, the copy
  /// of its run replaces the earlier copy. If the send resumed from a copy and
  /// delivered no events, that copy has been consumed. Otherwise the earlier
  /// copy stays valid.
  void UpdateCopyOfRun(SendOutcome outcome, int64_t first_event) {
    if (next_copy_holder_) {
      forwarder_->selector.OnCopyEnded(next_copy_holder_->id);
    }
    if (outcome == SendOutcome::kAnswered) {
      copy_manager_->ReleaseCopy();
    }
    if (last_received_event_ > first_event) {
      run_copy_ = copy_manager_->CurrentCopy();
    } else if (kv_source_ && outcome != SendOutcome::kNotSent) {
      run_copy_.reset();
    }
    next_copy_holder_.reset();
    copy_manager_.reset();
  }

  net::asio::awaitable<SendResult> SendAndReadAnswer(const Placement& placement,
                                                     base::Reason reason) {
    // The watch reports nothing while this thread reads and sends.
    if (caller_->HasDisconnected()) {
      is_caller_gone_ = true;
      co_return SendResult{SendOutcome::kNotSent, base::Reason::kCallerGone,
                           std::nullopt};
    }
    const std::shared_ptr<TargetConnection> connection =
        co_await OpenConnection(placement);
    LogSend(placement, reason, connection.get());
    if (connection == nullptr) {
      co_return SendResult{SendOutcome::kNotSent,
                           is_without_room_ ? base::Reason::kNoRoom
                                            : base::Reason::kTargetUnreachable,
                           std::nullopt};
    }
    if (IsAbandoned()) {
      connection->Socket().Close();
      co_return SendResult{
          SendOutcome::kNotSent,
          is_caller_gone_ ? base::Reason::kCallerGone : base::Reason::kStopping,
          std::nullopt};
    }
    active_connection_ = connection;
    CheckSendAllowed();
    send_tracker_->OnSend(placement.id);
    connection->StartWrite(SerializeHeader(placement), request_.body);
    forwarder_->path_monitor.OnSendBegun(
        connection, route_->repeatability == catalog::Repeatability::kRunOnce
                        ? SendInterruption::kForbidden
                        : SendInterruption::kAllowed);
    SendResult result = co_await ReadAnswer(placement, connection);
    LogIfPartlyWritten(request_info_.id, *connection);
    forwarder_->path_monitor.OnSendEnded(
        connection, result.reason == base::Reason::kTargetBroken
                        ? ReadStatus::kBroken
                        : ReadStatus::kDone);
    if (!result.finished && connection->Socket().Raw().is_open() &&
        result.outcome == SendOutcome::kUnknown) {
      if (connection->HasWrittenNothing() && connection->IsWriteDone()) {
        result.outcome = SendOutcome::kNotSent;
      }
      co_await LeaveRun(connection);
    }
    co_return result;
  }

  /// Ends a run that may go on elsewhere.
  net::asio::awaitable<void> LeaveRun(
      std::shared_ptr<TargetConnection> connection) {
    if (connection->Route() == ConnectionRoute::kTunnel && MayResume()) {
      // A braced temporary in a co_await expression is destroyed twice by GCC
      // 12.
      std::string id = request_info_.id;
      const Millis deadline =
          HasStreamBegun() ? std::min(deadline_, ResumeDeadline()) : deadline_;
      co_await EndRelayedRun(std::move(id), connection, deadline);
    }
    connection->Socket().Close();
  }

  void CheckSendAllowed() {
    forwarder_->metrics->CheckInvariant(
        base::Invariant::kSentOnceUnlessRepeatable,
        send_tracker_->MaySendAgain());
  }

  net::asio::awaitable<std::shared_ptr<TargetConnection>> OpenConnection(
      const Placement& placement) {
    const Millis now = Clock::Now();
    const bool may_repeat =
        route_->repeatability != catalog::Repeatability::kRunOnce;
    const bool is_path_checked = forwarder_->path_monitor.Path().StateOf(
                                     service_name_) == PathState::kChecking;
    std::shared_ptr<TargetConnection> connection =
        may_repeat || !is_path_checked
            ? forwarder_->connection_pool.TakeIdle(
                  placement.id,
                  may_repeat ? kMaximumIdleTime : kMaximumIdleTimeForRunOnce,
                  now)
            : nullptr;
    if (connection != nullptr) {
      send_peer_ = connection->Peer();
      co_return connection;
    }
    connection = forwarder_->connection_pool.CreateConnection(
        placement.id, placement.address);
    active_connection_ = connection;
    const ConnectOutcome outcome =
        co_await ConnectTarget(forwarder_, connection, deadline_);
    send_peer_ = outcome.peer;
    is_without_room_ = outcome.status == ConnectStatus::kNoRoom;
    if (outcome.status != ConnectStatus::kConnected) {
      co_return nullptr;
    }
    connection->Socket().SetTcpOptions(
        net::DeadPeerDetection::kUnacknowledgedDataOnly);
    co_return connection;
  }

  std::string SerializeHeader(const Placement& placement) {
    bhttp::fields fields = request_.fields;
    DialectType::RemoveReservedFields(fields);
    SendMetadata send;
    send.time_left = deadline_ - Clock::Now();
    send.target_id = placement.id;
    send.workspace = workspace_;
    send.priority = priority_.value_or(route_->priority);
    if (HasStreamBegun()) {
      send.last_event_id = last_received_event_;
    }
    if (next_copy_holder_) {
      send.kv_backup_address = next_copy_holder_->address;
    }
    send.kv_source = kv_source_;
    DialectType::WriteSendFields(send, fields);
    return FormatRequestHeader(request_, fields);
  }

  net::asio::awaitable<SendResult> ReadAnswer(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection) {
    ResponseReader reader(connection, request_.method != "HEAD");
    ResponseMetadata metadata;
    for (int n_stale_answers = 0;; ++n_stale_answers) {
      const ReadStatus status =
          co_await ReadAnswerHeader(placement, connection, &reader);
      if (status == ReadStatus::kBroken || status == ReadStatus::kTimedOut) {
        co_return SendResult{SendOutcome::kUnknown,
                             status == ReadStatus::kTimedOut
                                 ? base::Reason::kTargetSilent
                                 : base::Reason::kTargetBroken,
                             std::nullopt};
      }
      metadata =
          DialectType::ParseResponseHeader(reader.Status(), reader.Fields());
      if (metadata.id.empty() || metadata.id == request_info_.id) {
        break;
      }
      // The answer belongs to an earlier request on the same connection.
      forwarder_->metrics->Add(base::Counter::kAnswersForeign);
      if (n_stale_answers >= kMaximumStaleAnswers ||
          !reader.HasDelimitedBody() || !co_await SkipBody(&reader)) {
        co_return SendResult{SendOutcome::kUnknown, base::Reason::kTargetBroken,
                             std::nullopt};
      }
    }
    RecordAnswerHeader(placement, metadata, connection.get());
    co_return co_await HandleAnswer(placement, connection, &reader, metadata);
  }

  void RecordAnswerHeader(const Placement& placement,
                          const ResponseMetadata& metadata,
                          TargetConnection* connection) {
    const Millis now = Clock::Now();
    has_answer_header_ = true;
    forwarder_->selector.OnBytesReceived(placement.id, now);
    forwarder_->OnResponse({placement.id, placement.started_at}, metadata);
    if (metadata.load) {
      forwarder_->selector.OnLoadReport(placement.id, *metadata.load, now);
    }
    if (metadata.keep_alive) {
      connection->idle_timeout = *metadata.keep_alive;
    }
  }

  /// Reads the header of the answer. When the target of a repeatable request is
  /// silent for too long, returns kTimedOut; a target that still takes the
  /// request is not silent. For a stream, the timeout counts only if the target
  /// also fails a probe, because prefilling the prompt at another engine costs
  /// more than waiting. A process that stands still may go on with the request.
  net::asio::awaitable<ReadStatus> ReadAnswerHeader(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection,
      ResponseReader* reader) {
    const bool may_repeat =
        route_->repeatability != catalog::Repeatability::kRunOnce;
    Millis timeout = may_repeat ? HeaderTimeout() : kHeaderCheckPeriod;
    Millis now = Clock::Now();
    Millis silent_since = now;
    // Set while probes are taken but not answered.
    std::optional<Millis> unanswered_since;
    UploadProgress upload(connection->TotalBytes(), now);
    while (true) {
      Millis wait = silent_since + timeout - now;
      if (!upload.IsComplete()) {
        wait = std::min(wait, kUploadCheckPeriod);
      }
      const ReadStatus status =
          co_await reader->ReadHeader(std::min(deadline_, now + wait));
      now = Clock::Now();
      if (status != ReadStatus::kTimedOut || now >= deadline_) {
        co_return status;
      }
      upload.Sample(connection->AcknowledgedBytes(), now);
      silent_since = std::max(silent_since, upload.IdleSince());
      if (now < silent_since + timeout) {
        continue;
      }
      if (reader->HasPartialHeader()) {
        co_return co_await ReadRestOfHeader(placement, reader);
      }
      if (may_repeat && !route_->is_stream) {
        co_return status;
      }
      if (may_repeat) {
        const CallEnd end = co_await ProbeTarget(
            placement, kRecentlyHeardPeriod, kProbeTimeout);
        unanswered_since = end == CallEnd::kUnanswered
                               ? unanswered_since.value_or(now)
                               : std::optional<Millis>();
        if (end == CallEnd::kUnreachable ||
            (unanswered_since &&
             Clock::Now() - *unanswered_since >= StallTimeout())) {
          co_return status;
        }
      }
      now = Clock::Now();
      silent_since = now;
      timeout = may_repeat ? kProbePeriod : kHeaderCheckPeriod;
    }
  }

  /// Gives a header that has begun a little more time.
  net::asio::awaitable<ReadStatus> ReadRestOfHeader(const Placement& placement,
                                                    ResponseReader* reader) {
    const ReadStatus status = co_await reader->ReadHeader(
        std::min(deadline_, Clock::Now() + kHeaderGraceTime));
    if (status != ReadStatus::kTimedOut) {
      co_return status;
    }
    LogAnswerWithoutEnd(placement, AnswerPart::kHeader, 0, kHeaderGraceTime);
    co_return ReadStatus::kBroken;
  }

  /// Finds out whether the target answers. One that has sent data within
  /// `heard_period` does.
  net::asio::awaitable<CallEnd> ProbeTarget(const Placement& placement,
                                            Millis heard_period,
                                            Millis timeout) {
    const Millis now = Clock::Now();
    if (now - forwarder_->selector.LastHeardAt(placement.id) < heard_period) {
      co_return CallEnd::kAnswered;
    }
    if (!forwarder_->MayConnectTarget() || !co_await AcquirePermit(placement)) {
      // Not known; the next probe may get a permit.
      co_return CallEnd::kAnswered;
    }
    forwarder_->metrics->Add(base::Counter::kProbes);
    TargetCall call{placement.id, placement.address, "GET",
                    DialectType::kEngineReportPath, ""};
    const CallResult result =
        co_await CallTarget(forwarder_, std::move(call), now + timeout);
    if (result.answer) {
      forwarder_->OnResponse({placement.id, placement.started_at},
                             DialectType::ParseResponseHeader(
                                 result.answer->status, result.answer->fields));
    }
    LogProbe(placement, result.end, Clock::Now() - now);
    co_return result.end;
  }

  Millis HeaderTimeout() const {
    if (route_->is_stream) {
      return kv_source_ ? kResumedHeaderTimeout : kFirstEventTimeout;
    }
    return std::max(
        kMinimumCallTimeout,
        route_->latency_objective * kCallTimeoutPercent / kPercentBase);
  }

  net::asio::awaitable<bool> SkipBody(ResponseReader* reader) {
    std::string ignored;
    const Millis skip_deadline =
        std::min(deadline_, Clock::Now() + kMaximumSkipTime);
    ReadStatus status = ReadStatus::kMore;
    while (status == ReadStatus::kMore &&
           ignored.size() < kMaximumSkippedBytes) {
      status = co_await reader->ReadBodyPart(&ignored, skip_deadline);
    }
    co_return status == ReadStatus::kDone;
  }

  net::asio::awaitable<SendResult> HandleAnswer(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection,
      ResponseReader* reader,
      const ResponseMetadata& metadata) {
    if (metadata.is_not_run &&
        (!metadata.id.empty() || connection->RequestCount() == 1)) {
      const bool is_body_complete = co_await SkipBody(reader);
      ReuseOrClose(connection, *reader, is_body_complete);
      co_return SendResult{SendOutcome::kRefused,
                           metadata.is_wrong_target
                               ? base::Reason::kTargetReplaced
                               : base::Reason::kTargetRefused,
                           std::nullopt};
    }
    if (metadata.id.empty() || !metadata.is_sealed || metadata.is_encoded) {
      co_return SendResult{SendOutcome::kUnknown, base::Reason::kTargetBroken,
                           std::nullopt};
    }
    forwarder_->metrics->CheckInvariant(
        base::Invariant::kSuccessIsSealed,
        metadata.is_sealed && metadata.id == request_info_.id);
    const bool is_success =
        reader->Status() >= kFirstSuccess && reader->Status() < kFirstRedirect;
    if (is_success && route_->is_stream && metadata.is_event_stream) {
      co_return co_await RelayStream(placement, connection, reader);
    }
    if (HasStreamBegun()) {
      // The caller has received events already, so an error answer can no
      // longer be relayed.
      co_return SendResult{SendOutcome::kUnknown, base::Reason::kErrorAnswer,
                           std::nullopt};
    }
    co_return co_await RelayBufferedAnswer(placement, connection, reader);
  }

  /// True if the end of an answer without framing, with which the target has
  /// closed its connection, was not caused by the end of the target's process.
  net::asio::awaitable<bool> IsEndOfAnswer(
      std::shared_ptr<TargetConnection> connection) {
    const ProcessState state =
        co_await CheckProcess(forwarder_, connection, deadline_);
    co_return state != ProcessState::kEnded;
  }

  void ReuseOrClose(const std::shared_ptr<TargetConnection>& connection,
                    const ResponseReader& reader,
                    bool is_body_complete) {
    if (is_body_complete && reader.HasDelimitedBody() && reader.IsKeptAlive() &&
        connection->IsReadyForRequest()) {
      forwarder_->path_monitor.ReturnIdle(connection);
    } else {
      connection->Socket().Close();
    }
  }

  // ---- Answers that are not streams.

  /// An answer that is not a stream.
  struct BufferedAnswer {
    std::string header;
    AnswerBody body;
    /// Room for `body`, unless it is small.
    std::optional<intake::RoomLease> room;
    unsigned status = 0;
    ConnectionReuse reuse = ConnectionReuse::kKeepOpen;
  };

  enum class BodyEnd : uint8_t {
    kWhole,
    kBroken,
    /// The body is too large or too slow.
    kWithoutEnd,
    /// There is no room for the next part.
    kNoRoom,
  };

  /// How far the body of an answer has been read.
  struct BodyProgress {
    Millis began_at;
    /// Time spent meanwhile on waits for room and on writing to the caller.
    Millis paused_time{0};
    size_t n_read = 0;
  };

  /// Reads the next part of the body, for which there must be room.
  net::asio::awaitable<ReadStatus> ReadBodyPart(ResponseReader* reader,
                                                BodyProgress* progress,
                                                AnswerBody* body) {
    const Millis grace =
        route_->repeatability == catalog::Repeatability::kRunOnce
            ? kBodyGraceTimeForRunOnce
            : kBodyGraceTime;
    const Millis transfer_time{static_cast<int64_t>(progress->n_read) /
                               kMinimumBodyBytesPerMs};
    const Millis limit =
        std::min(deadline_, progress->began_at + grace + transfer_time) +
        progress->paused_time;
    std::string* tail = body->Tail();
    const size_t n_before = tail->size();
    const ReadStatus status = co_await reader->ReadBodyPart(tail, limit);
    progress->n_read += tail->size() - n_before;
    co_return status;
  }

  /// Reads the body into `answer` as far as there is room.
  net::asio::awaitable<BodyEnd> ReadBody(ResponseReader* reader,
                                         BodyProgress* progress,
                                         BufferedAnswer* answer) {
    ReadStatus status = ReadStatus::kMore;
    while (status == ReadStatus::kMore &&
           progress->n_read <= kMaximumBufferedAnswerBytes) {
      const Millis waits_since = Clock::Now();
      const bool has_room = co_await AcquireRoom(*reader, answer);
      progress->paused_time =
          progress->paused_time + (Clock::Now() - waits_since);
      if (!has_room) {
        co_return BodyEnd::kNoRoom;
      }
      status = co_await ReadBodyPart(reader, progress, &answer->body);
    }
    co_return EndOf(status);
  }

  static BodyEnd EndOf(ReadStatus status) {
    switch (status) {
      case ReadStatus::kDone:
        return BodyEnd::kWhole;
      case ReadStatus::kBroken:
        return BodyEnd::kBroken;
      case ReadStatus::kMore:
      case ReadStatus::kTimedOut:
        break;
    }
    return BodyEnd::kWithoutEnd;
  }

  /// Gets room for the next part of the body. Waits for it only if the answer
  /// can't be passed on in parts.
  net::asio::awaitable<bool> AcquireRoom(const ResponseReader& reader,
                                         BufferedAnswer* answer) {
    const size_t n_held = answer->body.HeldBytes();
    const size_t n_wanted = answer->body.BytesAfterNextPart();
    if (n_wanted == 0 || (answer->room && n_wanted == n_held)) {
      co_return true;
    }
    const Millis now = Clock::Now();
    if (!answer->room) {
      answer->room =
          forwarder_->caller_room.Hold(intake::RoomKind::kAnswer, RoomOwner());
      answer->room->SetPace(intake::RoomPace::kSystem, now);
    }
    if (!MayRelayInParts(reader)) {
      co_return co_await forwarder_->caller_room.Acquire(&*answer->room,
                                                         n_wanted);
    }
    const bool is_granted =
        answer->room->Resize(n_wanted, now) == intake::RoomDecision::kGranted;
    if (!is_granted) {
      // Ends the wait for it.
      answer->room->Resize(n_held, now);
    }
    co_return is_granted;
  }

  std::string RoomOwner() const {
    net::ErrorCode ignored;
    return workspace_.empty() ? caller_->Socket()
                                    .Raw()
                                    .remote_endpoint(ignored)
                                    .address()
                                    .to_string()
                              : request_info_.api_key;
  }

  /// True when the caller can tell a body that was cut off from a whole one
  /// without knowing its length, and no other answer may replace this one.
  bool MayRelayInParts(const ResponseReader& reader) const {
    return !request_.is_http10 && reader.Status() < kFirstServerError;
  }

  net::asio::awaitable<SendResult> RelayBufferedAnswer(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection,
      ResponseReader* reader) {
    BufferedAnswer answer;
    BodyProgress progress{Clock::Now()};
    BodyEnd end = co_await ReadBody(reader, &progress, &answer);
    if (end == BodyEnd::kNoRoom && MayRelayInParts(*reader)) {
      co_return co_await RelayInParts(placement, connection, reader, &progress,
                                      &answer);
    }
    end = co_await CheckEnd(end, connection, *reader);
    if (end != BodyEnd::kWhole) {
      co_return BrokenAnswer(placement, end, progress);
    }
    answer.status = reader->Status();
    answer.reuse = ChooseConnectionReuse();
    answer.header = FormatAnswerHeader(
        *reader, answer.reuse,
        HasBody(*reader) ? BodyFraming::kLength : BodyFraming::kNoBody,
        answer.body.Size());
    ReuseOrClose(connection, *reader, true);
    active_connection_.reset();
    if (answer.status >= kFirstServerError) {
      forwarder_->selector.OnErrorAnswer(placement.id, Clock::Now());
      if (route_->repeatability == catalog::Repeatability::kIdempotent) {
        fallback_answer_ = std::move(answer);
        co_return SendResult{SendOutcome::kUnknown, base::Reason::kErrorAnswer,
                             std::nullopt};
      }
    } else {
      RecordBufferedAnswer(placement, answer.status);
    }
    LogAnswer(answer.status, base::Reason::kNone);
    fallback_answer_.reset();
    whole_answer_ = std::move(answer);
    co_return SendResult{SendOutcome::kAnswered, base::Reason::kNone,
                         std::nullopt};
  }

  bool HasBody(const ResponseReader& reader) const {
    return reader.Status() != kNoContent && reader.Status() != kNotModified &&
           request_.method != "HEAD";
  }

  static std::string FormatAnswerHeader(const ResponseReader& reader,
                                        ConnectionReuse reuse,
                                        BodyFraming framing,
                                        size_t length) {
    bhttp::fields fields = reader.Fields();
    RemoveConnectionFields(&fields);
    return FormatResponseHeader(reader.Status(), reader.ReasonPhrase(), fields,
                                framing, length, reuse);
  }

  /// Makes sure that a body without a stated end is whole.
  net::asio::awaitable<BodyEnd> CheckEnd(
      BodyEnd end,
      std::shared_ptr<TargetConnection> connection,
      const ResponseReader& reader) {
    if (end == BodyEnd::kWhole && !reader.HasDelimitedBody()) {
      const bool is_whole = co_await IsEndOfAnswer(connection);
      co_return is_whole ? BodyEnd::kWhole : BodyEnd::kBroken;
    }
    co_return end;
  }

  SendResult BrokenAnswer(const Placement& placement,
                          BodyEnd end,
                          const BodyProgress& progress) const {
    if (end == BodyEnd::kWithoutEnd) {
      LogAnswerWithoutEnd(placement, AnswerPart::kBody, progress.n_read,
                          Clock::Now() - progress.began_at);
    }
    return {SendOutcome::kUnknown,
            end == BodyEnd::kBroken   ? base::Reason::kAnswerTorn
            : end == BodyEnd::kNoRoom ? base::Reason::kNoRoom
                                      : base::Reason::kAnswerWithoutEnd,
            std::nullopt};
  }

  /// Records that a target has answered without an error of its own.
  void RecordBufferedAnswer(const Placement& placement, unsigned status) {
    const Millis now = Clock::Now();
    forwarder_->selector.OnSuccess(placement.id, now);
    // An error answer does not show that a target can run the prompt.
    forwarder_->OnRequestAnswered(
        {content_.hash, status < kFirstRedirect ? content_.prompt_parts
                                                : std::vector<uint64_t>()},
        now);
  }

  /// Passes on an answer for which there is no room: reads from the target no
  /// faster than the caller reads. Once it has begun, the answer can't be
  /// replaced by that of another target.
  net::asio::awaitable<SendResult> RelayInParts(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection,
      ResponseReader* reader,
      BodyProgress* progress,
      BufferedAnswer* answer) {
    request_.body.reset();
    const ConnectionReuse reuse = ChooseConnectionReuse();
    std::string header =
        FormatAnswerHeader(*reader, reuse, BodyFraming::kChunked, 0);
    is_answer_begun_ = true;
    LogAnswer(reader->Status(), base::Reason::kNone);
    bool is_written = co_await WriteSlowly(header, answer);
    BodyEnd end = BodyEnd::kNoRoom;
    while (is_written && end == BodyEnd::kNoRoom) {
      const Millis began_at = Clock::Now();
      is_written = co_await WriteChunks(answer);
      progress->paused_time = progress->paused_time + (Clock::Now() - began_at);
      if (is_written) {
        end = co_await ReadSomeParts(reader, progress, &answer->body);
      }
    }
    end = co_await CheckEnd(end, connection, *reader);
    if (is_written) {
      is_written = co_await WriteChunks(answer);
    }
    if (is_written && end == BodyEnd::kWhole) {
      const std::string last(kLastChunk);
      is_written = co_await WriteSlowly(last, answer);
    }
    if (!is_written || end != BodyEnd::kWhole) {
      SendResult result =
          is_written ? BrokenAnswer(placement, end, *progress)
                     : SendResult{SendOutcome::kUnknown,
                                  base::Reason::kCallerGone, std::nullopt};
      CutAnswer(placement, connection.get(), &result);
      co_return result;
    }
    ReuseOrClose(connection, *reader, true);
    active_connection_.reset();
    RecordBufferedAnswer(placement, reader->Status());
    is_answer_complete_ = true;
    co_return SendResult{SendOutcome::kAnswered, base::Reason::kNone, reuse};
  }

  /// Reads about as much of the body as one write to the caller takes. Returns
  /// kNoRoom when more follows.
  net::asio::awaitable<BodyEnd> ReadSomeParts(ResponseReader* reader,
                                              BodyProgress* progress,
                                              AnswerBody* body) {
    ReadStatus status = ReadStatus::kMore;
    while (status == ReadStatus::kMore &&
           body->Size() < AnswerBody::kSmallBytes &&
           progress->n_read <= kMaximumBufferedAnswerBytes) {
      status = co_await ReadBodyPart(reader, progress, body);
    }
    const bool is_more = status == ReadStatus::kMore &&
                         progress->n_read <= kMaximumBufferedAnswerBytes;
    co_return is_more ? BodyEnd::kNoRoom : EndOf(status);
  }

  /// Ends an answer of which the caller has got a part. The caller sees that
  /// the rest is missing.
  void CutAnswer(const Placement& placement,
                 TargetConnection* connection,
                 SendResult* result) {
    LogCallerGone("answer_cut");
    connection->Socket().Close();
    caller_->Socket().Reset();
    if (result->reason != base::Reason::kCallerGone) {
      RecordFailure(placement, *result);
    }
    result->finished = ConnectionReuse::kClose;
  }

  /// Writes what is buffered of the body, as chunks.
  net::asio::awaitable<bool> WriteChunks(BufferedAnswer* answer) {
    bool is_written = true;
    while (is_written && !answer->body.IsEmpty()) {
      const std::string chunk = FormatChunk(answer->body.TakeFront());
      is_written = co_await WriteSlowly(chunk, answer);
    }
    co_return is_written;
  }

  /// Writes an answer that is buffered as a whole.
  net::asio::awaitable<ConnectionReuse> WriteAnswer(BufferedAnswer* answer) {
    request_.body.reset();
    is_answer_begun_ = true;
    std::string text = std::move(answer->header);
    if (!answer->body.IsEmpty()) {
      text += answer->body.TakeFront();
    }
    bool is_written = co_await WriteSlowly(text, answer);
    while (is_written && !answer->body.IsEmpty()) {
      text = answer->body.TakeFront();
      is_written = co_await WriteSlowly(text, answer);
    }
    answer->room.reset();
    co_return OnAnswerWritten(is_written, answer->reuse);
  }

  /// Writes a part of an answer as fast as the caller takes it. The caller is
  /// disconnected if its room is wanted and it makes no progress.
  net::asio::awaitable<bool> WriteSlowly(const std::string& text,
                                         BufferedAnswer* answer) {
    // A temporary in a co_await expression may be destroyed twice by GCC 12.
    const std::function<void(size_t)> on_progress = [answer](size_t n) {
      if (answer->room) {
        answer->room->OnProgress(n, Clock::Now());
      }
    };
    RoomCloser closer;
    if (answer->room) {
      answer->room->SetPace(intake::RoomPace::kCaller, Clock::Now());
      closer = forwarder_->caller_room.CloseOnDemand(
          *answer->room,
          [caller = caller_->shared_from_this()] { caller->Socket().Reset(); });
    }
    const bool is_written =
        co_await caller_->WriteByProgress(text, kWriteTimeout, on_progress);
    if (answer->room) {
      answer->room->SetPace(intake::RoomPace::kSystem, Clock::Now());
      answer->room->Resize(answer->body.HeldBytes(), Clock::Now());
    }
    co_return is_written;
  }

  net::asio::awaitable<ConnectionReuse> WriteToCaller(const std::string& text,
                                                      ConnectionReuse reuse) {
    is_answer_begun_ = true;
    const bool is_written =
        co_await caller_->Write(text, Clock::Now() + kWriteTimeout);
    co_return OnAnswerWritten(is_written, reuse);
  }

  ConnectionReuse OnAnswerWritten(bool is_written, ConnectionReuse reuse) {
    is_answer_complete_ = is_written;
    if (!is_written) {
      LogCallerGone("answer_unwritten");
    }
    return is_written ? reuse : ConnectionReuse::kClose;
  }

  ConnectionReuse ChooseConnectionReuse() const {
    return request_.wants_close || forwarder_->is_stopping
               ? ConnectionReuse::kClose
               : ConnectionReuse::kKeepOpen;
  }

  // ---- Streams.

  bool HasStreamBegun() const { return is_header_written_; }

  /// Fixes the version of the stream before its first event is passed on.
  /// Returns the result of the send if the stream does not begin with this run.
  net::asio::awaitable<std::optional<SendResult>> BeginStream(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection) {
    FirstEventDecision decision = FirstEventDecision::kBegin;
    if (route_->repeatability == catalog::Repeatability::kResumable) {
      std::string id = request_info_.id;
      StreamRecord record = MakeStreamRecord(placement.version);
      decision = co_await RecordFirstEvent(forwarder_, std::move(id),
                                           std::move(record));
    }
    SendResult given_up{SendOutcome::kUnknown, base::Reason::kStoreUnavailable,
                        std::nullopt};
    if (decision == FirstEventDecision::kUseFallback) {
      co_return given_up;
    }
    if (decision == FirstEventDecision::kEndAttempt) {
      connection->Socket().Close();
      ReturnSlot(SlotOutcome::kAbandoned);
      given_up.finished = co_await FailRequest(base::Reason::kStoreUnavailable);
      co_return given_up;
    }
    if (IsAbandoned()) {
      co_return SendResult{
          SendOutcome::kUnknown,
          is_caller_gone_ ? base::Reason::kCallerGone : base::Reason::kStopping,
          std::nullopt};
    }
    stream_version_ = placement.version;
    RecordStream(request_info_.id,
                 decision == FirstEventDecision::kBeginRecorded
                     ? RecordState::kStored
                     : RecordState::kNotStored);
    co_return std::nullopt;
  }

  net::asio::awaitable<SendResult> RelayStream(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection,
      ResponseReader* reader) {
    EventSplitter splitter;
    std::optional<Millis> partial_since;
    const ConnectionReuse reuse = ChooseConnectionReuse();
    SilenceWatch silence(Clock::Now());
    bool has_event = false;
    ReadStatus status = ReadStatus::kMore;
    while (status == ReadStatus::kMore) {
      std::string bytes;
      const Millis timeout = has_event ? SilenceTimeout() : HeaderTimeout();
      const Millis check_at = silence.NextCheckAt(timeout, CanResumeFromCopy());
      status = co_await reader->ReadBodyPart(
          &bytes, std::min(StreamDeadline(), check_at));
      const Millis now = Clock::Now();
      if (status == ReadStatus::kTimedOut && now >= check_at &&
          co_await MayGoOn(placement, connection, timeout, &silence)) {
        status = ReadStatus::kMore;
      }
      if (!bytes.empty()) {
        forwarder_->selector.OnBytesReceived(placement.id, now);
        silence.OnHeard(now);
      }
      std::string text;
      size_t n_events = 0;
      for (const StreamEvent& it : splitter.Append(bytes)) {
        if (!it.id || *it.id != last_received_event_ + 1) {
          LogEventOutOfOrder(placement, it);
          co_return SendResult{SendOutcome::kUnknown,
                               base::Reason::kTargetBroken, std::nullopt};
        }
        if (!stream_version_) {
          const std::optional<SendResult> given_up =
              co_await BeginStream(placement, connection);
          if (given_up) {
            co_return *given_up;
          }
          silence.OnHeard(Clock::Now());
        }
        ++last_received_event_;
        text += it.bytes;
        ++n_events;
        has_event = true;
        run_began_at_ = run_began_at_.value_or(now);
        forwarder_->metrics->Add(base::Counter::kEventsRelayed);
      }
      if (!splitter.HasPartialEvent()) {
        partial_since.reset();
      } else if (!partial_since || n_events > 0) {
        partial_since = now;
      }
      if (!text.empty() && now - *run_began_at_ >= kCrashAttributionPeriod) {
        RecordAnswer();
      }
      if (!text.empty() && MayCopyRuns() && engine_traits_->supports_kv_copy) {
        copy_manager_->MaintainCopy(CopyPlacementRequest(placement), now);
      }
      if (!text.empty() &&
          !co_await WriteEvents(text, n_events, *reader, reuse)) {
        is_caller_gone_ = true;
        co_return SendResult{SendOutcome::kUnknown, base::Reason::kCallerGone,
                             std::nullopt};
      }
      if (status == ReadStatus::kMore && partial_since &&
          (splitter.PartialBytes() > kMaximumEventBytes ||
           now - *partial_since >= kMaximumEventTime)) {
        LogAnswerWithoutEnd(placement, AnswerPart::kEvent,
                            splitter.PartialBytes(), now - *partial_since);
        co_return SendResult{SendOutcome::kUnknown,
                             base::Reason::kAnswerWithoutEnd, std::nullopt};
      }
    }
    const std::optional<base::Reason> failure = FailureAtEndOfRun(
        {status, splitter.HasPartialEvent(),
         HasStreamBegun() || IsResumedByCaller(), reader->HasDelimitedBody()});
    if (failure) {
      co_return SendResult{SendOutcome::kUnknown, *failure, std::nullopt};
    }
    if (!reader->HasDelimitedBody()) {
      const bool is_whole = co_await IsEndOfAnswer(connection);
      if (!is_whole) {
        co_return SendResult{SendOutcome::kUnknown, base::Reason::kAnswerTorn,
                             std::nullopt};
      }
    }
    ReuseOrClose(connection, *reader, true);
    active_connection_.reset();
    forwarder_->selector.OnSuccess(placement.id, Clock::Now());
    RecordAnswer();
    forwarder_->OnRequestAnswered(LongRunContent(content_), Clock::Now());
    LogAnswer(reader->Status(), base::Reason::kNone);
    std::string last = is_header_written_ ? "" : StreamHeader(*reader, reuse);
    last += kLastChunk;
    const ConnectionReuse written = co_await WriteToCaller(last, reuse);
    co_return SendResult{SendOutcome::kAnswered, base::Reason::kNone, written};
  }

  /// Records, once a run, that its target did not crash when it began to
  /// answer.
  void RecordAnswer() {
    if (run_began_at_ && !is_answer_recorded_) {
      is_answer_recorded_ = true;
      forwarder_->OnRequestAnswered(content_, *run_began_at_);
    }
  }

  /// True when the silent target of a stream may go on with it.
  net::asio::awaitable<bool> MayGoOn(
      const Placement& placement,
      std::shared_ptr<TargetConnection> connection,
      Millis timeout,
      SilenceWatch* watch) {
    TargetSilence silence{watch->DurationAt(Clock::Now()),
                          route_->repeatability};
    silence.is_copied = CanResumeFromCopy();
    silence.is_listed = forwarder_->selector.IsSameProcess(placement);
    silence.probe = watch->Probe();
    silence.timeout = timeout;
    silence.stall_timeout = StallTimeout();
    SilenceAction action = ChooseSilenceAction(silence);
    if (action == SilenceAction::kProbe) {
      silence.probe = co_await ProbeTarget(
          placement, kHeardJustNowPeriod,
          silence.is_copied ? SilenceWatch::kProbeLead : kProbeTimeout);
      silence.duration = watch->DurationAt(Clock::Now());
      action = ChooseSilenceAction(silence);
    }
    LogSilence(request_info_.id, placement.id, last_received_event_, silence,
               action);
    if (action == SilenceAction::kGiveUp &&
        !connection->Socket().HasUnreadBytes()) {
      co_return false;
    }
    watch->OnWait(Clock::Now(), silence);
    co_return true;
  }

  /// True when an available engine holds a copy of the current run's KV cache
  /// and can resume the run. Abandoning a run that is merely slow is then
  /// cheap.
  bool CanResumeFromCopy() const {
    const std::optional<RunCopy>& copy = copy_manager_->CurrentCopy();
    return copy &&
           forwarder_->selector.FindSameProcess(copy->holder, Clock::Now());
  }

  Millis StreamDeadline() const {
    return forwarder_->is_stopping ? std::min(deadline_, forwarder_->stop_at)
                                   : deadline_;
  }

  /// Returns the silence after which a target counts as lost within a stream.
  /// It is shorter than the event gap objective; the rest of that time is
  /// needed to resume at another target.
  Millis SilenceTimeout() const {
    if (route_->event_gap_objective.count <= 0) {
      return kDefaultSilenceTimeout;
    }
    return route_->event_gap_objective * kSilenceTimeoutPercent / kPercentBase;
  }

  static std::string StreamHeader(const ResponseReader& reader,
                                  ConnectionReuse reuse) {
    bhttp::fields fields = reader.Fields();
    RemoveConnectionFields(&fields);
    return FormatResponseHeader(reader.Status(), reader.ReasonPhrase(), fields,
                                BodyFraming::kChunked, 0, reuse);
  }

  net::asio::awaitable<bool> WriteEvents(const std::string& events,
                                         size_t n_events,
                                         const ResponseReader& reader,
                                         ConnectionReuse reuse) {
    const Millis now = Clock::Now();
    std::string text;
    if (!is_header_written_) {
      text = StreamHeader(reader, reuse);
      is_header_written_ = true;
      forwarder_->metrics->Observe(base::Timer::kFirstEvent,
                                   now - request_.arrived_at);
    } else {
      forwarder_->metrics->Observe(base::Timer::kEventGap,
                                   now - last_write_at_);
      longest_gap_ = std::max(longest_gap_, now - last_write_at_);
    }
    last_write_at_ = now;
    const bool is_contiguous =
        last_received_event_ ==
        last_written_event_ + static_cast<int64_t>(n_events);
    if (!forwarder_->metrics->CheckInvariant(base::Invariant::kEventsContiguous,
                                             is_contiguous)) {
      co_return false;
    }
    last_written_event_ = last_received_event_;
    text += FormatChunk(events);
    is_answer_begun_ = true;
    // A temporary in a co_await expression may be destroyed twice by GCC 12.
    const std::function<void(size_t)> ignore_progress = [](size_t) {};
    co_return co_await caller_->WriteByProgress(text, kWriteTimeout,
                                                ignore_progress);
  }

  // ---- Completion.

  void OnCallerGone() {
    is_caller_gone_ = true;
    CloseActiveConnection();
  }

  void CloseActiveConnection() {
    if (active_connection_ != nullptr) {
      active_connection_->Abandon();
    }
  }

  net::asio::awaitable<ConnectionReuse> AnswerVerdict(base::Verdict verdict) {
    return AnswerVerdict(std::move(verdict), ChooseConnectionReuse());
  }

  net::asio::awaitable<ConnectionReuse> AnswerVerdict(base::Verdict verdict,
                                                      ConnectionReuse reuse) {
    forwarder_->metrics->AddRefusal(verdict.reason);
    LogAnswer(static_cast<unsigned>(HttpStatusForVerdict(verdict)),
              verdict.reason);
    co_return co_await WriteToCaller(FormatVerdictResponse(verdict, reuse),
                                     reuse);
  }

  // ---- Log lines.

  void LogSend(const Placement& placement,
               base::Reason reason,
               const TargetConnection* connection) const {
    base::Log(
        base::LogLevel::kInfo, "send",
        {{"request", request_info_.id},
         {"attempt", n_send_attempts_},
         {"cause", base::kReasonNames.NameOf(
                       n_send_attempts_ == 1 ? base::Reason::kNone : reason)},
         {"target", placement.id},
         {"via", connection == nullptr ? "none" : connection->Via()},
         {"domain", placement.failure_domain},
         {"software", placement.version},
         {"score", placement.score},
         {"load", placement.load},
         {"report_age_ms", placement.report_age.count},
         {"copy", next_copy_holder_ ? next_copy_holder_->id : "none"},
         {"from_copy", kCopyUseNames.NameOf(copy_use_)},
         {"after_event", last_received_event_},
         {"resumes", request_info_.resumed_id},
         {"left_ms", (deadline_ - Clock::Now()).count}});
  }

  void LogProbe(const Placement& placement, CallEnd end, Millis took) const {
    base::Log(base::LogLevel::kInfo, "probe",
              {{"request", request_info_.id},
               {"target", placement.id},
               {"end", kCallEndNames.NameOf(end)},
               {"took_ms", took.count}});
  }

  void LogPermit(const Placement& placement,
                 PermitKind kind,
                 double limit,
                 RequestPermit permit) const {
    base::Log(base::LogLevel::kInfo, "permit",
              {{"request", request_info_.id},
               {"target", placement.id},
               {"kind", kPermitKindNames.NameOf(kind)},
               {"limit", limit},
               {"granted", permit.is_granted},
               {"wait_ms", permit.wait.count}});
  }

  void LogRetryWait(bool is_granted, Millis waited) const {
    base::Log(base::LogLevel::kInfo, "retry_wait",
              {{"request", request_info_.id},
               {"service", service_name_},
               {"granted", is_granted},
               {"waited_ms", waited.count}});
  }

  void LogSendEnded(const Placement& placement,
                    const SendResult& result,
                    Millis took) const {
    base::Log(
        base::LogLevel::kInfo, "send_ended",
        {{"request", request_info_.id},
         {"attempt", n_send_attempts_},
         {"target", placement.id},
         {"outcome", kSendOutcomeNames.NameOf(result.outcome)},
         {"reason", base::kReasonNames.NameOf(result.reason)},
         {"event", last_received_event_},
         {"has_answer_header", has_answer_header_},
         {"run_ms", run_began_at_ ? (Clock::Now() - *run_began_at_).count : 0},
         {"took_ms", took.count}});
  }

  void LogAnswerWithoutEnd(const Placement& placement,
                           AnswerPart part,
                           size_t n_bytes,
                           Millis took) const {
    base::Log(base::LogLevel::kWarning, "answer_without_end",
              {{"request", request_info_.id},
               {"target", placement.id},
               {"part", kAnswerPartNames.NameOf(part)},
               {"bytes", n_bytes},
               {"took_ms", took.count}});
  }

  void LogEventOutOfOrder(const Placement& placement,
                          const StreamEvent& event) const {
    base::Log(base::LogLevel::kWarning, "event_out_of_order",
              {{"request", request_info_.id},
               {"target", placement.id},
               {"expected", last_received_event_ + 1},
               {"got", event.id.value_or(-1)}});
  }

  /// Logs what showed that the caller does not get its answer.
  void LogCallerGone(std::string_view event) const {
    if (caller_->FirstDisconnectSign() == DisconnectSign::kWriteTimedOut) {
      forwarder_->caller_room.OnClosedForSlowness(Clock::Now());
    }
    base::Log(
        base::LogLevel::kInfo, event,
        {{"request", request_info_.id},
         {"sign", kDisconnectSignNames.NameOf(caller_->FirstDisconnectSign())},
         {"error", caller_->DisconnectError().message()},
         {"sends", n_send_attempts_},
         {"events", last_written_event_},
         {"stopping", forwarder_->is_stopping},
         {"took_ms", (Clock::Now() - request_.arrived_at).count}});
  }

  void LogAnswer(unsigned status, base::Reason reason) const {
    base::Log(base::LogLevel::kInfo, "answer",
              {{"request", request_info_.id},
               {"status", status},
               {"reason", base::kReasonNames.NameOf(reason)},
               {"content", content_.hash},
               {"prompt_parts",
                fmt::format("{:x}", fmt::join(content_.prompt_parts, ","))},
               {"route", route_ == nullptr ? "" : route_->name},
               {"workspace", workspace_},
               {"version", catalog_.configuration == nullptr
                               ? 0
                               : catalog_.configuration->version},
               {"sends", n_send_attempts_},
               {"events", last_received_event_},
               {"longest_gap_ms", longest_gap_.count},
               {"took_ms", (Clock::Now() - request_.arrived_at).count}});
  }

  Forwarder* forwarder_;
  CallerConnection* caller_;
  CallerRequest request_;
  catalog::Catalog catalog_;
  RequestMetadata request_info_;
  const catalog::Route* route_ = nullptr;
  const catalog::EngineTraits* engine_traits_ = nullptr;
  std::string service_name_;
  RequestContent content_;
  std::string workspace_;
  /// Software version of the target that sent the first event.
  std::optional<std::string> stream_version_;
  std::optional<int> priority_;
  /// When the caller stops waiting for the answer.
  Millis deadline_;
  std::optional<SendTracker> send_tracker_;
  int n_send_attempts_ = 0;
  int n_refusals_ = 0;
  /// True when a retry has been taken from the retry budget and no bytes of its
  /// send have left this instance yet.
  bool has_unused_retry_ = false;
  /// Targets that failed or refused the request. They are not chosen again,
  /// except for a resumable request when no other target is left.
  std::set<std::string> excluded_targets_;
  /// Failure domain of the most recently lost target.
  std::string last_lost_domain_;
  /// The engine whose connection broke last. The next send goes to this engine
  /// once more.
  std::optional<Placement> reconnect_candidate_;
  /// Targets whose connection broke during a send of this request. Each of them
  /// becomes `reconnect_candidate_` only once.
  std::set<std::string> disconnected_targets_;
  /// When no target has a permit left: time until one can be expected.
  Millis permit_wait_;
  /// The slot that is leased for the next send or the send in progress.
  std::optional<SlotReturn> slot_;
  /// True when the last target that was asked for a slot had none.
  bool is_slot_refused_ = false;
  bool is_caller_gone_ = false;
  bool is_ended_for_stop_ = false;
  /// Id of the target of the send in progress, or empty.
  std::string send_target_;
  /// The connection of the send in progress.
  std::shared_ptr<TargetConnection> active_connection_;
  /// The peer that relays the connection of the last send; empty if none does.
  std::string send_peer_;
  /// True when this instance has had too many connections for the last send.
  bool is_without_room_ = false;
  /// True when the last send has begun a check of the path to its target.
  bool is_loss_checked_ = false;
  /// The last error answer of a target. It is relayed if no other target
  /// answers without an error.
  std::optional<BufferedAnswer> fallback_answer_;
  /// The answer that the caller gets when its send has ended.
  std::optional<BufferedAnswer> whole_answer_;
  /// The KV cache copy of an earlier run, from which the next send can resume.
  std::optional<RunCopy> run_copy_;
  /// The engine chosen to hold the KV cache copy of the send in progress.
  std::optional<Placement> next_copy_holder_;
  std::optional<KvCacheCopyManager<DialectType>> copy_manager_;
  /// The copy from which the send in progress resumes; empty when the prompt is
  /// prefilled from the start.
  std::optional<KvCopySource> kv_source_;
  CopyUse copy_use_ = CopyUse::kNone;
  /// Id of the last event received from a target.
  int64_t last_received_event_ = 0;
  /// Id of the last event written to the caller.
  int64_t last_written_event_ = 0;
  /// True when the target of the send in progress has sent an answer header.
  bool has_answer_header_ = false;
  /// When the send in progress delivered its first event.
  std::optional<Millis> run_began_at_;
  /// True when RecordAnswer() has been called for the send in progress.
  bool is_answer_recorded_ = false;
  bool is_header_written_ = false;
  /// True when the write of an answer has begun.
  bool is_answer_begun_ = false;
  bool is_answer_complete_ = false;
  Millis last_write_at_;
  Millis longest_gap_;
};

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_EXCHANGE_H_
