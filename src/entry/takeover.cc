#include "entry/takeover.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "generation/progress.h"

namespace daisypond::entry {

namespace {

using generation::Copy;
using generation::TakeOverOutcome;
using generation::TakeOverResult;

constexpr base::Millis kTakeOverTimeout{300};

size_t CountTaken(const std::vector<TakeOverResult>& results) {
  return static_cast<size_t>(std::count_if(
      results.begin(), results.end(),
      [](const auto& it) { return it.outcome == TakeOverOutcome::kTaken; }));
}

bool Holds(const Copy& copy, const generation::Position& position) {
  const auto index = static_cast<size_t>(position.index);
  if (copy.generation != position.generation || index >= copy.tokens.size()) {
    return false;
  }
  return generation::DigestOf(copy.generation, copy.tokens, index + 1) ==
         position.digest;
}

}  // namespace

std::optional<Copy> ChooseCopy(
    const std::vector<TakeOverResult>& results,
    const std::optional<generation::Position>& position) {
  const Copy* chosen = nullptr;
  uint64_t epoch = 0;
  for (const TakeOverResult& it : results) {
    if (it.outcome != TakeOverOutcome::kTaken) {
      continue;
    }
    // The new holder has to outrank every copy, also those not chosen.
    epoch = std::max(epoch, it.copy.epoch);
    if (position && !Holds(it.copy, *position)) {
      continue;
    }
    const bool is_better =
        chosen == nullptr || it.copy.epoch > chosen->epoch ||
        (it.copy.epoch == chosen->epoch &&
         it.copy.tokens.size() + (it.copy.is_finished ? 1 : 0) >
             chosen->tokens.size() + (chosen->is_finished ? 1 : 0));
    if (is_better) {
      chosen = &it.copy;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  Copy copy = *chosen;
  copy.epoch = epoch;
  return copy;
}

base::Result<std::optional<Copy>> TakeOver(const GenerationRequest& request,
                                           Instance* instance) {
  const std::string key = request.caller.Key();
  peer::TakeOverRequest message;
  message.set_key(key);
  message.set_body_digest(request.body_digest);
  message.set_holder(instance->settings.instance);
  message.set_attempt(request.caller.attempt.value);
  message.set_holder_tag(instance->HolderTag());
  const auto peers = instance->peers.Current();
  std::vector<TakeOverResult> results = instance->peer_client.TakeOver(
      membership::CopyHolders(key, *peers), message, kTakeOverTimeout);
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
  std::optional<Copy> copy = ChooseCopy(results, request.last_position);
  if (!copy) {
    if (request.last_position) {
      base::Log(base::LogLevel::kWarning, "generation_lost",
                {{"request", key},
                 {"index", request.last_position->index},
                 {"copies", CountTaken(results)}});
      return base::MayHaveRunError(
          base::Reason::kGenerationLost,
          "discard what you have and ask again with a new key");
    }
    return std::optional<Copy>();
  }
  copy->body_digest = request.body_digest;
  copy->attempt = request.caller.attempt.value;
  // No two takeovers of one instance share an epoch.
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
             {"copies", CountTaken(results)}});
  return copy;
}

}  // namespace daisypond::entry
