#ifndef DAISYPOND_FORWARD_SUSPECT_H_
#define DAISYPOND_FORWARD_SUSPECT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/name_table.h"
#include "forward/target_loss.h"

namespace daisypond::forward {

enum class SuspectKind : uint8_t { kRequest, kPromptPart };

inline constexpr base::NameTable<SuspectKind, 2> kSuspectKindNames(
    "request",
    "prompt_part");

/// Identifies a request, or a part of prompts, that may crash targets.
struct SuspectId {
  SuspectKind kind = SuspectKind::kRequest;
  /// See RequestContent.
  uint64_t hash = 0;

  auto operator<=>(const SuspectId&) const = default;
};

/// What an instance knows of a request or a prompt part that is suspected to
/// crash targets, as told to its peers. Ages instead of times, because clocks
/// differ.
struct Suspect {
  struct Loss {
    TargetLoss target;
    /// Time since the target was lost.
    base::Millis age;
    /// Number of other targets of the service in the failure domain that were
    /// lost at about the same time.
    int simultaneous = 0;
    /// Hash of the request that the target had.
    uint64_t request = 0;
  };

  SuspectId id;
  std::vector<Loss> losses;
  /// Time since a target began to answer; empty if none did.
  std::optional<base::Millis> answer_age;
  /// Number of recent answers, as counted by the instance that counted most.
  int answers = 0;
  /// Of a prompt part: the number of parts before it.
  int position = 0;
};

/// Adds `elapsed` to all ages.
std::vector<Suspect> Aged(std::vector<Suspect> suspects, base::Millis elapsed);

}  // namespace daisypond::forward

#endif  // DAISYPOND_FORWARD_SUSPECT_H_
