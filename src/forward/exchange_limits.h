#ifndef DAISYPOND_FORWARD_EXCHANGE_LIMITS_H_
#define DAISYPOND_FORWARD_EXCHANGE_LIMITS_H_

#include <cstddef>

#include "base/clock.h"

namespace daisypond::forward {

/// With less time left than this, a request is not sent because no answer can
/// arrive in time.
inline constexpr base::Millis kMinimumSendTime{10};
/// Round trips take up to 10 ms. A lost first packet is retransmitted only
/// after a second, so trying another target is faster.
inline constexpr base::Millis kConnectTimeout{300};
/// A caller that reads nothing for this long is disconnected.
inline constexpr base::Millis kWriteTimeout{5000};
/// A pooled connection that has been idle for longer is not reused.
inline constexpr base::Millis kMaximumIdleTime{30'000};
/// Stricter limit for requests that may run only once. After a longer idle time
/// the target may be closing the connection, and a send that fails this way
/// leaves open whether the request ran.
inline constexpr base::Millis kMaximumIdleTimeForRunOnce{1000};
/// How often a request that waits for a retry asks the shared pool again. The
/// pool answers within a few round trips.
inline constexpr base::Millis kRetryPollPeriod{25};
/// How long a request that has no answer yet waits for a retry, in percent of
/// the route's latency aim.
inline constexpr int64_t kRetryWaitPercent = 25;
/// How often a stream without a target looks for one again.
inline constexpr base::Millis kTargetPollPeriod{100};
/// Longest time after its last event that a stream waits for a target or a
/// retry before it is cut. A copy of its memory is kept for this long.
inline constexpr base::Millis kMaximumResumeWait{4000};
/// Callers are expected to leave a stream that pauses for longer than the
/// largest of this time, four latency aims and eight gap aims.
inline constexpr base::Millis kMinimumToleratedPause{2000};
inline constexpr int64_t kToleratedPauseInLatencyObjectives = 4;
inline constexpr int64_t kToleratedPauseInEventGapObjectives = 8;
/// A stream that waits is cut after this percentage of the pause that makes
/// callers leave.
inline constexpr int64_t kResumeWaitPercent = 75;
/// Number of refusals by targets after which the request is refused.
inline constexpr int kMaximumRefusals = 4;
/// Maximum number of answers to earlier requests that are skipped on one
/// connection.
inline constexpr int kMaximumStaleAnswers = 3;
inline constexpr size_t kMaximumSkippedBytes = 256u << 10;
/// Answers of plain services are buffered in memory up to this size.
inline constexpr size_t kMaximumBufferedAnswerBytes = 8u << 20;
/// A prompt of the usual length is prefilled within a second. A target that has
/// not begun to answer by then is probed.
inline constexpr base::Millis kFirstEventTimeout{1300};
/// Interval at which a target that answers probes but not the request is probed
/// again.
inline constexpr base::Millis kProbePeriod{800};
/// A target that has sent any byte within this time counts as alive. Events
/// arrive about every 30 to 200 ms.
inline constexpr base::Millis kRecentlyHeardPeriod{400};
/// A probe needs no free slot at the target and is answered within a few round
/// trips.
inline constexpr base::Millis kProbeTimeout{300};
/// Expected durations of a stream and of a call. A stopping instance uses them
/// to decide whether it can still finish a new request.
inline constexpr base::Millis kExpectedStreamDuration{6000};
inline constexpr base::Millis kExpectedCallDuration{500};
/// Retry-After of a stopping instance. Another instance can take the request at
/// once.
inline constexpr base::Millis kStoppingRetryAfter{50};
/// Time after which an idempotent call is abandoned at a target, in percent of
/// the route's latency aim.
inline constexpr int64_t kCallTimeoutPercent = 150;
inline constexpr base::Millis kMinimumCallTimeout{200};
/// A run that resumes from a copy prefills only the tokens that the copy lacks.
inline constexpr base::Millis kResumedHeaderTimeout{1000};
/// Silence after which a target counts as lost within a stream, in percent of
/// the route's gap aim.
inline constexpr int64_t kSilencePercent = 60;
/// Used when the route states no gap aim.
inline constexpr base::Millis kDefaultSilenceTimeout{2000};
inline constexpr int64_t kPercentBase = 100;
/// After this time a refused caller may reach another instance, or the target
/// may have recovered.
inline constexpr base::Millis kRefusalRetryAfter{300};
/// An instance that has just started receives its configuration within this
/// time.
inline constexpr base::Millis kConfigurationRetryAfter{300};
/// Covers the first reads from the table service after a start. A longer wait
/// means that the table service is unavailable; another instance may then have
/// a catalog.
inline constexpr base::Millis kMaximumCatalogWait{700};
inline constexpr base::Millis kCatalogPollPeriod{20};

inline constexpr unsigned kFirstSuccess = 200;
inline constexpr unsigned kNoContent = 204;
inline constexpr unsigned kNotModified = 304;
inline constexpr unsigned kFirstRedirect = 300;
inline constexpr unsigned kFirstServerError = 500;

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_EXCHANGE_LIMITS_H_
