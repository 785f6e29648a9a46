#ifndef DAISYPOND_ENTRY_TAKEOVER_H_
#define DAISYPOND_ENTRY_TAKEOVER_H_

#include <optional>
#include <vector>

#include "base/verdict.h"
#include "entry/generation_request.h"
#include "entry/instance.h"
#include "generation/copy_store.h"

namespace daisypond::entry {

/// Chooses among the copies that were handed over. With a position, only a
/// copy that holds exactly the caller's tokens will do; without one, the copy
/// of the latest holder. Copies of one epoch are prefixes of each other.
std::optional<generation::GenerationCopy> ChooseCopy(
    const std::vector<generation::TakeOverResult>& results,
    const std::optional<generation::TokenPosition>& position);

/// Looks for an earlier try of the request, here and at peers, and makes this
/// instance its holder. Empty when there is none and a new generation may
/// start. The error is `generation_lost` when the caller holds tokens that no
/// copy continues.
base::Result<std::optional<generation::GenerationCopy>> TakeOver(
    const GenerationRequest& request,
    Instance* instance);

}  // namespace daisypond::entry

#endif  // DAISYPOND_ENTRY_TAKEOVER_H_
