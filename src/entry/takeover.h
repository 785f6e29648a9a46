#ifndef DAISYPOND_ENTRY_TAKEOVER_H_
#define DAISYPOND_ENTRY_TAKEOVER_H_

#include <optional>
#include <vector>

#include "base/verdict.h"
#include "entry/generation_request.h"
#include "entry/instance.h"
#include "generation/copy_store.h"

namespace daisypond::entry {

/// Chooses the copy from which to continue a generation: of the copies that
/// contain exactly the caller's tokens up to `position`, or of all copies
/// without a position, the one with the highest epoch and then the most tokens.
/// The epoch of the returned copy is the highest of all copies. Copies of one
/// epoch are prefixes of each other.
std::optional<generation::GenerationCopy> ChooseCopyToContinue(
    const std::vector<generation::TakeOverResult>& results,
    const std::optional<generation::TokenPosition>& position);

/// Searches this instance and its peers for copies of the generation that an
/// earlier try of the request has started, and makes this instance the holder
/// of the generation. Empty if there is no copy and a new generation may start.
/// The error is `generation_lost` if the caller has received tokens that are in
/// no copy.
base::Result<std::optional<generation::GenerationCopy>> TakeOverGeneration(
    const GenerationRequest& request,
    Instance* instance);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TAKEOVER_H_
