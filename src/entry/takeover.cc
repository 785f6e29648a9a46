#include "entry/takeover.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "generation/token_sequence.h"

namespace daisypond::entry {

namespace {

using generation::GenerationCopy;
using generation::TakeOverOutcome;
using generation::TakeOverResult;

constexpr base::Millis kTakeoverTimeout{300};

size_t CountTakenCopies(const std::vector<TakeOverResult>& results) {
  return static_cast<size_t>(std::count_if(
      results.begin(), results.end(),
      [](const auto& it) { return it.outcome == TakeOverOutcome::kTaken; }));
}

/// True if the copy contains the token at `position`, and if all its tokens up
/// to and including this token are those that the caller has received.
bool ContainsPosition(const GenerationCopy& copy,
                      const generation::TokenPosition& position) {
  const auto index = static_cast<size_t>(position.index);
  if (copy.generation != position.generation || index >= copy.tokens.size()) {
    return false;
  }
  return generation::DigestOf(copy.generation, copy.tokens, index + 1) ==
         position.digest;
}

}  // namespace

std::optional<GenerationCopy> ChooseCopyToContinue(
    const std::vector<TakeOverResult>& results,
    const std::optional<generation::TokenPosition>& position) {
  const GenerationCopy* chosen = nullptr;
  uint64_t epoch = 0;
  for (const TakeOverResult& it : results) {
    if (it.outcome != TakeOverOutcome::kTaken) {
      continue;
    }
    // The epoch of the continued generation must not be lower than the epoch of
    // any copy, including the copies that are not chosen.
    epoch = std::max(epoch, it.copy.epoch);
    if (position && !ContainsPosition(it.copy, *position)) {
      continue;
    }
    const bool is_preferred =
        chosen == nullptr || it.copy.epoch > chosen->epoch ||
        (it.copy.epoch == chosen->epoch &&
         it.copy.tokens.size() + (it.copy.is_finished ? 1 : 0) >
             chosen->tokens.size() + (chosen->is_finished ? 1 : 0));
    if (is_preferred) {
      chosen = &it.copy;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  GenerationCopy copy = *chosen;
  copy.epoch = epoch;
  return copy;
}

base::Result<std::optional<GenerationCopy>> TakeOverGeneration(
    const GenerationRequest& request,
    Instance* instance) {
  const std::string key = request.caller.GlobalKey();
  peer::TakeOverRequest message;
  message.set_key(key);
  message.set_body_digest(request.body_digest);
  message.set_holder(instance->settings.instance);
  message.set_attempt(request.caller.attempt.value);
  message.set_holder_tag(instance->HolderTag());
  const auto peers = instance->peers.Current();
  std::vector<TakeOverResult> results = instance->peer_client.TakeOver(
      membership::CopyLookupAddresses(key, *peers), message, kTakeoverTimeout);
  results.push_back(instance->copies.TakeOver(
      key, request.body_digest, request.caller.attempt.value,
      instance->HolderTag(), base::Clock::Now()));
  const bool is_other_body = std::any_of(
      results.begin(), results.end(),
      [](const auto& it) { return it.outcome == TakeOverOutcome::kOtherBody; });
  if (is_other_body) {
    return base::NotRunError(base::Reason::kKeyReused,
                             "the key belongs to a request with another body");
  }
  const bool is_outdated = std::any_of(
      results.begin(), results.end(),
      [](const auto& it) { return it.outcome == TakeOverOutcome::kOutdated; });
  if (is_outdated) {
    return base::MayHaveRunError(base::Reason::kSuperseded,
                                 "a later try holds this generation");
  }
  std::optional<GenerationCopy> copy =
      ChooseCopyToContinue(results, request.last_position);
  if (!copy) {
    if (request.last_position) {
      base::Log(base::LogLevel::kWarning, "generation_lost",
                {{"request", key},
                 {"index", request.last_position->index},
                 {"copies", CountTakenCopies(results)}});
      return base::MayHaveRunError(
          base::Reason::kGenerationLost,
          "discard what you have and ask again with a new key");
    }
    return std::optional<GenerationCopy>();
  }
  copy->body_digest = request.body_digest;
  copy->attempt = request.caller.attempt.value;
  // FirstEpoch() grows with the clock, so that two takeovers of a generation by
  // this instance do not use the same epoch.
  copy->epoch =
      std::max(copy->epoch, generation::FirstEpoch(instance->HolderTag()));
  instance->metrics.Add(base::Counter::kTakeovers);
  const bool is_installed =
      instance->copies.Install(key, *copy, base::Clock::Now());
  if (!is_installed) {
    return base::MayHaveRunError(base::Reason::kSuperseded,
                                 "another try has taken over this generation");
  }
  base::Log(base::LogLevel::kInfo, "generation_taken_over",
            {{"request", key},
             {"tokens", copy->tokens.size()},
             {"copies", CountTakenCopies(results)}});
  return copy;
}

}  // namespace daisypond::entry
