#ifndef DAISYPOND_FORWARD_EXCHANGE_LIMITS_H_
#define DAISYPOND_FORWARD_EXCHANGE_LIMITS_H_

#include <cstddef>

#include "base/clock.h"

namespace daisypond::forward {

/// A request is not sent when less time than this is left before its deadline,
/// because no answer can arrive in time.
inline constexpr base::Millis kMinimumSendTime{10};
/// Time allowed for opening a connection to a target. Much longer than a round
/// trip, which takes up to 10 ms. A lost first packet is retransmitted only
/// after a second; trying another target is faster.
inline constexpr base::Millis kConnectTimeout{300};
/// A caller that takes less than one piece of its answer in this time is
/// disconnected.
inline constexpr base::Millis kWriteTimeout{5000};
/// A pooled connection that has been idle for longer than this is not reused.
inline constexpr base::Millis kMaximumIdleTime{30'000};
/// Replaces kMaximumIdleTime for requests that may run only once. After a
/// longer idle time the target may be closing the connection. A send on such a
/// connection fails, and it is then unknown whether the request ran.
inline constexpr base::Millis kMaximumIdleTimeForRunOnce{1000};
/// How often a request that waits for retry budget checks whether a retry is
/// available and asks the shared pool. The pool answers within a few round
/// trips.
inline constexpr base::Millis kRetryPollPeriod{25};
/// How long a request that has no answer yet waits for retry budget, in percent
/// of the route's latency objective.
inline constexpr int64_t kRetryWaitPercent = 25;
/// How often a stream that found no eligible target checks for one again.
inline constexpr base::Millis kTargetPollPeriod{100};
/// How often a request for which brittle targets have no free slot looks for
/// one, and for how long since its arrival, in percent of the route's latency
/// objective.
inline constexpr base::Millis kSlotPollPeriod{10};
inline constexpr int64_t kSlotWaitPercent = 12;
/// The lease of a slot outlasts the deadline of its request by this time.
inline constexpr base::Millis kSlotLeaseMargin{200};
/// Longest time after its last event that an interrupted stream waits for a
/// target or for retry budget before it is cut. Engines keep the copy of the
/// run's KV cache for this long.
inline constexpr base::Millis kMaximumResumeWait{4000};
/// Callers are expected to abandon a stream when a pause exceeds the largest of
/// this time, four times the route's latency objective and eight times its
/// event gap objective.
inline constexpr base::Millis kMinimumToleratedPause{2000};
inline constexpr int64_t kToleratedPauseInLatencyObjectives = 4;
inline constexpr int64_t kToleratedPauseInEventGapObjectives = 8;
/// Longest time that an interrupted stream waits before it is cut, in percent
/// of the pause after which callers are expected to abandon it.
inline constexpr int64_t kResumeWaitPercent = 75;
/// Silence after which a target that takes connections but does not answer
/// counts as lost, in percent of the same pause.
inline constexpr int64_t kStallTimeoutPercent = 50;
/// After this many refusals by targets, the request is not sent again.
inline constexpr int kMaximumRefusals = 4;
/// Maximum number of late answers to earlier requests that are skipped on a
/// connection before the answer to the current request.
inline constexpr int kMaximumStaleAnswers = 3;
/// Maximum size of an answer body that is read only to be discarded.
inline constexpr size_t kMaximumSkippedBytes = 256u << 10;
/// Time allowed for a body that is read only to be discarded.
inline constexpr base::Millis kMaximumSkipTime{500};
/// An event of a stream must be complete within this size, and within this time
/// after its first bytes. Packets that are lost are sent again within a second.
inline constexpr size_t kMaximumEventBytes = 256u << 10;
inline constexpr base::Millis kMaximumEventTime{2000};
/// How often it is checked whether a header has begun but does not end, and how
/// long the rest of such a header may take.
inline constexpr base::Millis kHeaderCheckPeriod{1000};
inline constexpr base::Millis kHeaderGraceTime{500};
/// How often it is checked whether a target still takes a request that it has
/// not got as a whole.
inline constexpr base::Millis kUploadCheckPeriod{200};
/// Time allowed for the body of an answer that is not a stream, in addition to
/// the time that its bytes take at kMinimumBodyBytesPerMs. The answer to a
/// request that may run only once cannot be replaced by another one, so it is
/// awaited for longer.
inline constexpr base::Millis kBodyGraceTime{500};
inline constexpr base::Millis kBodyGraceTimeForRunOnce{2000};
inline constexpr int64_t kMinimumBodyBytesPerMs = 16;
/// Maximum body size of an answer that is not a stream. Such an answer is
/// buffered completely before it is relayed if there is room for it.
inline constexpr size_t kMaximumBufferedAnswerBytes = 8u << 20;
/// A target that has not begun to answer a stream request after this time is
/// probed. A prompt of the usual length is prefilled within a second.
inline constexpr base::Millis kFirstEventTimeout{1300};
/// Interval at which a target that answers probes but not the request is probed
/// again.
inline constexpr base::Millis kProbePeriod{800};
/// A target that has sent any byte within this time counts as alive. A running
/// stream sends an event about every 30 to 200 ms.
inline constexpr base::Millis kRecentlyHeardPeriod{400};
/// A target that has sent any byte within this time reads at once that a
/// connection is closed.
inline constexpr base::Millis kHeardJustNowPeriod{100};
/// Time allowed for the answer to a probe. Probes need no free slot at the
/// target and are answered within a few round trips.
inline constexpr base::Millis kProbeTimeout{300};
/// A run that has delivered events for this long has hardly crashed its target.
inline constexpr base::Millis kCrashAttributionPeriod{1000};
/// Expected durations of a stream and of a call (a request without a stream). A
/// stopping instance uses them to decide whether it can finish a new request.
inline constexpr base::Millis kExpectedStreamDuration{6000};
inline constexpr base::Millis kExpectedCallDuration{500};
/// The same for a call that may run only once: few take longer.
inline constexpr base::Millis kLongRunOnceDuration{2000};
/// Minimum Retry-After of a stopping instance. Short, because other instances
/// accept the request at once.
inline constexpr base::Millis kStoppingRetryAfter{50};
/// Time after which an idempotent call without an answer is abandoned at a
/// target, in percent of the route's latency objective.
inline constexpr int64_t kCallTimeoutPercent = 150;
/// Lower bound of the time after which a call is abandoned at a target.
inline constexpr base::Millis kMinimumCallTimeout{200};
/// A target that has not begun to answer after this time is probed, when the
/// run resumes from a copy of its KV cache. Shorter than kFirstEventTimeout,
/// because the target prefills only the tokens that the copy lacks.
inline constexpr base::Millis kResumedHeaderTimeout{1000};
/// Silence after which a target counts as lost within a stream, in percent of
/// the route's event gap objective.
inline constexpr int64_t kSilenceTimeoutPercent = 60;
/// Silence after which a target counts as lost within a stream, when the route
/// states no event gap objective.
inline constexpr base::Millis kDefaultSilenceTimeout{2000};
inline constexpr int64_t kPercentBase = 100;
/// Retry-After of a request that no target has run. After this time the caller
/// may reach another instance, or a target may have recovered.
inline constexpr base::Millis kRefusalRetryAfter{300};
/// Callers that are refused because targets limit their requests are told to
/// return at times spread over this period.
inline constexpr base::Millis kLimitRetryAfterSpread{1000};
/// Retry-After of an instance without a configuration. An instance that has
/// just started receives its configuration within this time.
inline constexpr base::Millis kConfigurationRetryAfter{300};
/// How long a request waits for the first catalog of this instance. The first
/// reads from the table service after a start take less time. If they take
/// longer, the table service is unavailable, and the caller should try another
/// instance, which may have a catalog.
inline constexpr base::Millis kMaximumCatalogWait{700};
inline constexpr base::Millis kCatalogPollPeriod{20};

inline constexpr unsigned kFirstSuccess = 200;
inline constexpr unsigned kNoContent = 204;
inline constexpr unsigned kNotModified = 304;
inline constexpr unsigned kFirstRedirect = 300;
inline constexpr unsigned kFirstServerError = 500;

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_EXCHANGE_LIMITS_H_
