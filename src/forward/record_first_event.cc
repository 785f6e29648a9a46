#include "forward/record_first_event.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "base/log.h"

namespace daisypond::forward {

namespace {

// The instances answer sooner, even if the table service does not.
constexpr base::Millis kTimeout{1100};

StreamBase BaseOf(const Forwarder& forwarder, const std::string& service) {
  const auto found = forwarder.stream_bases.find(service);
  return found == forwarder.stream_bases.end() ? StreamBase() : found->second;
}

/// What is known of the service, without a fallback whose targets take no
/// requests: the table service may go on naming it as the base.
StreamBase UsableBaseOf(const Forwarder& forwarder,
                        const std::string& service) {
  StreamBase base = BaseOf(forwarder, service);
  if (base.fallback &&
      !forwarder.selector.HasVersion(service, *base.fallback)) {
    base.fallback.reset();
    base.may_begin_unrecorded = false;
  }
  return base;
}

}  // namespace

std::optional<std::string> ForcedVersion(const Forwarder& forwarder,
                                         const std::string& service,
                                         base::Millis now) {
  const StreamBase base = UsableBaseOf(forwarder, service);
  return now < forwarder.records_failing_until && base.is_record_required
             ? base.fallback
             : std::nullopt;
}

bool CanNoStreamBegin(const Forwarder& forwarder,
                      const std::string& service,
                      base::Millis now) {
  const StreamBase base = UsableBaseOf(forwarder, service);
  return forwarder.record_stream_first &&
         now < forwarder.records_failing_until && base.is_record_required &&
         !base.version && !base.fallback && !base.may_begin_unrecorded;
}

bool MustAwaitRecord(const Forwarder& forwarder,
                     const StreamRecord& record,
                     base::Millis now) {
  if (!forwarder.record_stream_first ||
      !BaseOf(forwarder, record.service).MustRecordFirst(record.version)) {
    return false;
  }
  const StreamBase base = UsableBaseOf(forwarder, record.service);
  const bool has_alternative =
      base.fallback && *base.fallback != record.version;
  return has_alternative || now >= forwarder.records_failing_until ||
         !base.may_begin_unrecorded;
}

FirstEventDecision DecideFirstEvent(RecordOutcome outcome,
                                    const std::string& version,
                                    const StreamBase& base) {
  if (outcome == RecordOutcome::kStored) {
    return FirstEventDecision::kBeginRecorded;
  }
  if (!base.may_begin_unrecorded) {
    return FirstEventDecision::kEndAttempt;
  }
  if (!base.fallback || *base.fallback == version) {
    return FirstEventDecision::kBegin;
  }
  return outcome == RecordOutcome::kNotStored ? FirstEventDecision::kUseFallback
                                              : FirstEventDecision::kEndAttempt;
}

net::asio::awaitable<FirstEventDecision> RecordFirstEvent(Forwarder* forwarder,
                                                          std::string id,
                                                          StreamRecord record) {
  struct State {
    explicit State(const net::asio::any_io_executor& executor)
        : answered(executor) {}
    net::asio::steady_timer answered;
    std::optional<RecordOutcome> outcome;
  };
  const base::Millis began_at = base::Clock::Now();
  if (!MustAwaitRecord(*forwarder, record, began_at)) {
    co_return FirstEventDecision::kBegin;
  }
  const auto state = std::make_shared<State>(forwarder->executor);
  state->answered.expires_after(kTimeout.ToChrono());
  forwarder->record_stream_first(id, record, [state](RecordOutcome outcome) {
    state->outcome = outcome;
    state->answered.cancel();
  });
  if (!state->outcome) {
    co_await state->answered.async_wait(net::kAsTuple);
  }
  const RecordOutcome outcome =
      state->outcome.value_or(RecordOutcome::kUnknown);
  const base::Millis now = base::Clock::Now();
  forwarder->records_failing_until =
      outcome == RecordOutcome::kStored ? now : now + kRecordRetryPeriod;
  const FirstEventDecision decision = DecideFirstEvent(
      outcome, record.version, UsableBaseOf(*forwarder, record.service));
  if (outcome != RecordOutcome::kStored) {
    base::Log(base::LogLevel::kWarning, "stream_record_awaited",
              {{"request", id},
               {"software", record.version},
               {"outcome", kRecordOutcomeNames.NameOf(outcome)},
               {"decision", kFirstEventDecisionNames.NameOf(decision)},
               {"took_ms", (now - began_at).count}});
  }
  co_return decision;
}

}  // namespace daisypond::forward
