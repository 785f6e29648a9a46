#ifndef DAISYPOND_FORWARD_RECORD_FIRST_EVENT_H_
#define DAISYPOND_FORWARD_RECORD_FIRST_EVENT_H_

#include <optional>
#include <string>

#include "forward/forwarder.h"
#include "forward/stream_record.h"

namespace daisypond::forward {

/// What becomes of a stream whose first event has arrived.
enum class FirstEventDecision : uint8_t {
  /// The stream begins.
  kBegin,
  /// The stream begins and has a record in the table service.
  kBeginRecorded,
  /// The run is given up; the stream begins at the fallback version.
  kUseFallback,
  /// The run is given up; the attempt ends, as the table service may have a
  /// record of it that no other version fits.
  kEndAttempt,
};

inline constexpr base::NameTable<FirstEventDecision, 4>
    kFirstEventDecisionNames("begin",
                             "begin_recorded",
                             "use_fallback",
                             "end_attempt");

/// How long no stream waits for its record after one got none.
inline constexpr base::Millis kRecordRetryPeriod{2000};

/// Returns the version at which streams of the service are to begin, if the
/// table service stores no records at present and targets of it are listed.
std::optional<std::string> ForcedVersion(const Forwarder& forwarder,
                                         const std::string& service,
                                         base::Millis now);

/// True if a new stream of the service would be given up at its first event:
/// the table service stores no records at present, and no target has a version
/// whose streams need none.
bool CanNoStreamBegin(const Forwarder& forwarder,
                      const std::string& service,
                      base::Millis now);

/// True if a stream that begins at the version must wait for its record.
bool MustAwaitRecord(const Forwarder& forwarder,
                     const StreamRecord& record,
                     base::Millis now);

/// Decides after a wait for the record. `base.fallback` is the version that
/// targets have at which the stream could begin instead, if any.
FirstEventDecision DecideFirstEvent(RecordOutcome outcome,
                                    const std::string& version,
                                    const StreamBase& base);

/// Waits for the record of the stream that the attempt `id` begins, if it needs
/// one.
net::asio::awaitable<FirstEventDecision> RecordFirstEvent(Forwarder* forwarder,
                                                          std::string id,
                                                          StreamRecord record);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_RECORD_FIRST_EVENT_H_
