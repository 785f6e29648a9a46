#ifndef DAISYPOND_ENTRY_TAKEOVER_H_
#define DAISYPOND_ENTRY_TAKEOVER_H_

#include <optional>
#include <vector>

#include "base/verdict.h"
#include "entry/generation_request.h"
#include "entry/instance.h"
#include "generation/copy_store.h"

namespace daisypond::entry {

/// Chooses the copy from which to continue a generation. If `position` is set,
/// only copies that contain exactly the caller's tokens up to `position` are
/// considered. Of these, the copies with the highest epoch are preferred, and
/// among them the one with the most tokens, as copies of one epoch are prefixes
/// of each other. The epoch of the returned copy is then set to the highest
/// epoch of all copies, including those not considered.
std::optional<generation::GenerationCopy> ChooseCopyToContinue(
    const std::vector<generation::TakeOverResult>& results,
    const std::optional<generation::TokenPosition>& position);

/// Searches this instance and its peers for copies of the generation that an
/// earlier attempt of the caller has started, and makes this instance the
/// holder of the generation. Empty if there is no copy and a new generation may
/// start. The error is `generation_lost` if the caller has received tokens that
/// are in no copy.
base::Result<std::optional<generation::GenerationCopy>> TakeOverGeneration(
    const GenerationRequest& request,
    Instance* instance);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TAKEOVER_H_
