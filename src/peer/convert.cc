#include "peer/convert.h"

namespace daisypond::peer {

PeerState ToProto(const membership::PeerState& state) {
  PeerState message;
  message.set_instance(state.instance);
  message.set_address(state.address);
  message.set_failure_domain(state.failure_domain);
  message.set_region(state.region);
  message.set_incarnation(state.incarnation);
  message.set_status(static_cast<uint32_t>(state.status));
  message.set_configuration_version(state.configuration_version);
  message.set_tunnel_address(state.tunnel_address);
  message.set_is_path_lost(state.is_path_lost);
  message.set_feature_level(state.feature_level);
  return message;
}

membership::PeerState FromProto(const PeerState& message) {
  membership::PeerState state;
  state.instance = message.instance();
  state.address = message.address();
  state.failure_domain = message.failure_domain();
  state.region = message.region();
  state.incarnation = message.incarnation();
  state.status = message.status() < membership::kPeerStatusNames.Size()
                     ? static_cast<membership::PeerStatus>(message.status())
                     : membership::PeerStatus::kDead;
  state.configuration_version = message.configuration_version();
  state.tunnel_address = message.tunnel_address();
  state.is_path_lost = message.is_path_lost();
  state.feature_level = message.feature_level();
  return state;
}

Append ToProto(const generation::AppendTokens& append) {
  Append message;
  message.set_key(append.key);
  message.set_generation(append.generation);
  message.set_epoch(append.epoch);
  message.set_first_index(append.first_index);
  message.set_prefix_digest(append.prefix_digest);
  message.set_attempt(append.attempt);
  message.set_identity(append.model_version);
  message.set_body_digest(append.body_digest);
  message.set_is_finished(append.is_finished);
  message.set_finish_reason(append.finish_reason);
  for (const std::string& it : append.tokens) {
    message.add_tokens(it);
  }
  return message;
}

generation::AppendTokens FromProto(const Append& message) {
  generation::AppendTokens append;
  append.key = message.key();
  append.generation = message.generation();
  append.epoch = message.epoch();
  append.first_index = message.first_index();
  append.prefix_digest = message.prefix_digest();
  append.attempt = message.attempt();
  append.model_version = message.identity();
  append.body_digest = message.body_digest();
  append.is_finished = message.is_finished();
  append.finish_reason = message.finish_reason();
  append.tokens.assign(message.tokens().begin(), message.tokens().end());
  return append;
}

TakeOverReply ToProto(const generation::TakeOverResult& result) {
  TakeOverReply message;
  const generation::GenerationCopy& copy = result.copy;
  message.set_is_found(result.outcome == generation::TakeOverOutcome::kTaken);
  message.set_is_other_body(result.outcome ==
                            generation::TakeOverOutcome::kOtherBody);
  message.set_is_outdated(result.outcome ==
                          generation::TakeOverOutcome::kOutdated);
  message.set_generation(copy.generation);
  message.set_epoch(copy.epoch);
  message.set_identity(copy.model_version);
  message.set_is_finished(copy.is_finished);
  message.set_finish_reason(copy.finish_reason);
  for (const std::string& it : copy.tokens) {
    message.add_tokens(it);
  }
  return message;
}

generation::TakeOverResult FromProto(const TakeOverReply& message) {
  generation::TakeOverResult result;
  if (message.is_other_body()) {
    result.outcome = generation::TakeOverOutcome::kOtherBody;
  } else if (message.is_outdated()) {
    result.outcome = generation::TakeOverOutcome::kOutdated;
  } else if (message.is_found()) {
    result.outcome = generation::TakeOverOutcome::kTaken;
  }
  generation::GenerationCopy& copy = result.copy;
  copy.generation = message.generation();
  copy.epoch = message.epoch();
  copy.model_version = message.identity();
  copy.is_finished = message.is_finished();
  copy.finish_reason = message.finish_reason();
  copy.tokens.assign(message.tokens().begin(), message.tokens().end());
  return result;
}

AppendOutcome ToProto(generation::AppendOutcome outcome) {
  switch (outcome) {
    case generation::AppendOutcome::kStored:
      return STORED;
    case generation::AppendOutcome::kGap:
      return GAP;
    default:
      return SUPERSEDED;
  }
}

generation::AppendOutcome FromProto(AppendOutcome outcome) {
  switch (outcome) {
    case STORED:
      return generation::AppendOutcome::kStored;
    case GAP:
      return generation::AppendOutcome::kGap;
    default:
      return generation::AppendOutcome::kSuperseded;
  }
}

}  // namespace daisypond::peer
