#ifndef DAISYPOND_FORWARD_EXCHANGE_LIMITS_H_
#define DAISYPOND_FORWARD_EXCHANGE_LIMITS_H_

#include <cstddef>

#include "base/clock.h"

namespace daisypond::forward {

/// A send with less time left can't be answered.
inline constexpr base::Millis kMinimumSendTime{10};
/// Round trips take up to 10 ms; a lost first packet costs a second, and
/// another target is sooner.
inline constexpr base::Millis kConnectTimeout{300};
/// A caller that does not read for this long is given up.
inline constexpr base::Millis kWriteTimeout{5000};
/// Kept connections are used after at most this time idle.
inline constexpr base::Millis kMaximumIdle{30'000};
/// Requests that may run once only don't risk a connection that the target
/// may be closing: it fails them without telling whether they ran.
inline constexpr base::Millis kMaximumIdleForRunOnce{1000};
/// A request that waits for a repeated send asks this often; the pool answers
/// within a few round trips.
inline constexpr base::Millis kRetryPollPeriod{25};
/// A request without an answer yet waits for a repeated send for this share of
/// its latency aim, in hundredths.
inline constexpr int64_t kRetryWaitPercent = 25;
/// A stream without a target that could go on, or without a repeated send,
/// asks again this often. It is given up this long after its last event, as
/// long as a copy of its memory is kept, or sooner: callers leave a stream that
/// pauses for longer than the largest of two seconds, four latency aims and
/// eight accepted pauses, and it is given up at a share of that, in hundredths.
inline constexpr base::Millis kTargetPollPeriod{100};
inline constexpr base::Millis kMaximumResumeWait{4000};
inline constexpr base::Millis kMinimumCallerPatience{2000};
inline constexpr int64_t kPatienceInLatencyAims = 4;
inline constexpr int64_t kPatienceInGapAims = 8;
inline constexpr int64_t kPatiencePercent = 75;
/// Refusals by targets before the request is refused.
inline constexpr int kMaximumRefusals = 4;
/// Answers to earlier requests that are skipped on one connection.
inline constexpr int kMaximumStaleAnswers = 3;
inline constexpr size_t kMaximumSkippedBytes = 256u << 10;
/// Larger answers of plain services are not held in memory.
inline constexpr size_t kMaximumWholeAnswerBytes = 8u << 20;
/// A prompt of the usual length is read within a second; a target that has
/// not begun to answer then is asked whether it lives.
inline constexpr base::Millis kFirstEventTimeout{1300};
/// A target that lives and still does not answer is asked again after this.
inline constexpr base::Millis kProbePeriod{800};
/// Any byte of a target within this time shows that it lives; events come
/// about every 30 to 200 ms.
inline constexpr base::Millis kRecentlyHeardPeriod{400};
/// A probe needs no place at the target and is answered in a few round trips.
inline constexpr base::Millis kProbeTimeout{300};
/// What a stream and a call take from start to end, for deciding whether an
/// instance that is stopping can still finish them.
inline constexpr base::Millis kExpectedStreamDuration{6000};
inline constexpr base::Millis kExpectedCallDuration{500};
/// Another instance takes the request; it need not wait.
inline constexpr base::Millis kStoppingRetryAfter{50};
/// An idempotent call is given up at a target after this multiple of the
/// latency aim, in hundredths.
inline constexpr int64_t kCallTimeoutPercent = 150;
inline constexpr base::Millis kMinimumCallTimeout{200};
/// A run that goes on from a copy reads only what the copy lacks.
inline constexpr base::Millis kResumedHeadTimeout{1000};
/// Share of the accepted pause, in hundredths, after which a silent target
/// counts as lost.
inline constexpr int64_t kSilencePercent = 60;
/// Where no pause is stated.
inline constexpr base::Millis kDefaultSilenceTimeout{2000};
inline constexpr int64_t kPercentBase = 100;
/// A refused caller finds another instance, or a target that is back.
inline constexpr base::Millis kRefusalRetryAfter{300};
/// An instance that has just started knows its configuration soon.
inline constexpr base::Millis kConfigurationRetryAfter{300};
/// Covers the first reads from the table service after a start; longer waits
/// mean that it is away, and another instance may know more.
inline constexpr base::Millis kMaximumCatalogWait{700};
inline constexpr base::Millis kCatalogPollPeriod{20};

inline constexpr unsigned kFirstSuccess = 200;
inline constexpr unsigned kNoContent = 204;
inline constexpr unsigned kNotModified = 304;
inline constexpr unsigned kFirstRedirect = 300;
inline constexpr unsigned kFirstServerError = 500;

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_EXCHANGE_LIMITS_H_
