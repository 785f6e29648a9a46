#ifndef DAISYPOND_GATEWAY_RELEASE_RECORD_H_
#define DAISYPOND_GATEWAY_RELEASE_RECORD_H_

#include <optional>
#include <set>
#include <string>

#include "base/clock.h"

namespace daisypond::gateway {

/// Encodes the recent versions of a service. Builds before this format read
/// only the number at the beginning: the Unix time at which several versions
/// were last listed.
std::string EncodeReleaseRecord(const std::set<std::string>& versions,
                                base::Millis unix_now);

/// Returns the recorded versions; empty if the record is of an earlier build,
/// which does not name them. Returns nothing if it can't be decoded.
std::optional<std::set<std::string>> DecodeReleaseRecord(
    const std::string& text);

}  // namespace daisypond::gateway

#endif  // DAISYPOND_GATEWAY_RELEASE_RECORD_H_
