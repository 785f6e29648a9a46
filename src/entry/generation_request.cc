#include "entry/generation_request.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "base/hash.h"
#include "base/json.h"

namespace daisypond::entry {

namespace {

using base::Reason;

constexpr size_t kMaximumIdempotencyKeyBytes = 200;
constexpr size_t kAffinityPromptBytes = 512;
constexpr std::string_view kBearerPrefix = "Bearer ";

bool IsValidIdempotencyKey(std::string_view key) {
  return key.size() <= kMaximumIdempotencyKeyBytes &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

base::Result<base::AttemptNumber> ParseAttemptNumber(std::string_view text) {
  base::AttemptNumber attempt;
  if (text.empty()) {
    return attempt;
  }
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, attempt.value);
  if (ec != std::errc() || last != end || attempt.value < 1) {
    return base::NeverRunError(Reason::kBadRequest,
                               "Daisypond-Attempt must be a number from 1");
  }
  return attempt;
}

base::Result<void> ValidateBody(const base::Json& body) {
  if (!body.is_object()) {
    return base::NeverRunError(Reason::kBadRequest,
                               "the body is not a JSON object");
  }
  for (const auto& [key, value] : body.items()) {
    const bool is_text = key == "model" || key == "prompt" || key == "kind";
    const bool is_number = key == "max_tokens";
    const bool is_flag = key == "stream";
    if (!is_text && !is_number && !is_flag) {
      return base::NeverRunError(Reason::kBadRequest, "unknown key: " + key);
    }
    if ((is_text && !value.is_string()) ||
        (is_number && !value.is_number_integer()) ||
        (is_flag && !value.is_boolean())) {
      return base::NeverRunError(Reason::kBadRequest, "wrong type: " + key);
    }
  }
  for (const char* key : {"model", "prompt"}) {
    if (base::StringField(body, key).empty()) {
      return base::NeverRunError(Reason::kBadRequest,
                                 fmt::format("missing key: {}", key));
    }
  }
  return {};
}

}  // namespace

base::Result<std::string> FindWorkspace(
    const http::ServerRequest& request,
    const intents::Configuration& configuration) {
  const std::string_view authorization = request.HeaderValue("Authorization");
  if (!authorization.starts_with(kBearerPrefix)) {
    return base::NotRunError(Reason::kUnauthorized,
                             "Authorization: Bearer <api key> is needed");
  }
  const std::string digest =
      base::Sha256Hex(authorization.substr(kBearerPrefix.size()));
  const std::string_view workspace_name =
      request.HeaderValue("Daisypond-Workspace");
  if (workspace_name.empty()) {
    // This lookup need not take constant time: its timing reveals only the
    // digest of the API key, and the key cannot be derived from the digest.
    const auto it = configuration.workspace_by_key.find(digest);
    if (it != configuration.workspace_by_key.end()) {
      return it->second;
    }
    return base::NotRunError(Reason::kUnauthorized, "the API key is not known");
  }
  const auto it = configuration.workspaces.find(std::string(workspace_name));
  if (it == configuration.workspaces.end() ||
      !base::EqualsConstantTime(it->second.api_key_sha256, digest)) {
    return base::NotRunError(Reason::kUnauthorized,
                             "the API key does not belong to the workspace");
  }
  return it->first;
}

base::AttemptNumber AttemptNumberFromHeaders(
    const http::ServerRequest& request) {
  if (request.HeaderValue("Idempotency-Key").empty()) {
    return {1};
  }
  const auto attempt =
      ParseAttemptNumber(request.HeaderValue("Daisypond-Attempt"));
  return attempt.value_or(base::AttemptNumber{});
}

std::string CallerIdentity::GlobalKey() const {
  return fmt::format("{}/{}/{}", workspace.size(), workspace, request_id);
}

std::string GenerationRequest::AffinityKey() const {
  return model.ToString() + "/" + prompt.substr(0, kAffinityPromptBytes);
}

base::Result<CallerIdentity> Authenticate(
    const http::ServerRequest& request,
    const intents::Configuration& configuration) {
  if (configuration.version == 0) {
    constexpr base::Millis kRetryAfter{1000};
    return base::NotRunError(Reason::kNoConfiguration,
                             "no configuration is in force yet", kRetryAfter);
  }
  const auto workspace = FindWorkspace(request, configuration);
  if (!workspace) {
    return tl::unexpected(workspace.error());
  }
  const auto attempt =
      ParseAttemptNumber(request.HeaderValue("Daisypond-Attempt"));
  if (!attempt) {
    return tl::unexpected(attempt.error());
  }
  CallerIdentity caller;
  caller.workspace = *workspace;
  caller.request_id = request.HeaderValue("Idempotency-Key");
  caller.attempt = *attempt;
  if (!IsValidIdempotencyKey(caller.request_id)) {
    return base::NeverRunError(
        Reason::kBadRequest,
        "Idempotency-Key must be up to 200 printable characters");
  }
  if (caller.request_id.empty()) {
    caller.request_id = base::ToHex(base::RandomNumber());
    caller.is_request_id_generated = true;
    caller.attempt = {1};
  }
  return caller;
}

base::Result<GenerationRequest> ParseGenerationRequest(
    const http::ServerRequest& request,
    const intents::Configuration& configuration) {
  auto caller = Authenticate(request, configuration);
  if (!caller) {
    return tl::unexpected(caller.error());
  }
  const base::Json body = base::ParseJson(request.body);
  const auto checked = ValidateBody(body);
  if (!checked) {
    return tl::unexpected(checked.error());
  }
  GenerationRequest out;
  out.caller = std::move(*caller);
  out.mode = base::BoolField(body, "stream") ? ResponseMode::kStream
                                             : ResponseMode::kJsonObject;
  out.prompt = base::StringField(body, "prompt");
  const auto& workspace = configuration.workspaces.at(out.caller.workspace);
  const std::string alias = base::StringField(body, "model");
  const auto model = workspace.models.find(alias);
  if (model == workspace.models.end()) {
    return base::NotRunError(Reason::kUnknownModel,
                             "the workspace has no model " + alias);
  }
  out.model = model->second;
  const std::string kind = base::StringField(body, "kind");
  const auto settings = configuration.request_kinds.find(kind);
  if (settings != configuration.request_kinds.end()) {
    out.kind = settings->second;
  } else if (!kind.empty()) {
    return base::NeverRunError(Reason::kBadRequest, "unknown kind: " + kind);
  }
  out.start_by = base::Clock::Now() + out.kind.queue_timeout;
  out.maximum_tokens =
      base::IntegerField(body, "max_tokens", out.kind.maximum_tokens);
  if (out.maximum_tokens < 1 || out.maximum_tokens > out.kind.maximum_tokens) {
    return base::NeverRunError(
        Reason::kBadRequest,
        fmt::format("max_tokens must be from 1 to {} for this kind",
                    out.kind.maximum_tokens));
  }
  const std::string_view event_id = request.HeaderValue("Last-Event-ID");
  if (!event_id.empty()) {
    out.last_position = generation::PositionFromEventId(event_id);
    if (!out.last_position) {
      return base::NeverRunError(Reason::kBadRequest,
                                 "Last-Event-ID is not valid");
    }
  }
  // The digest leaves out `stream`, because two attempts with one idempotency
  // key may ask for different response formats.
  base::Json identity = body;
  identity.erase("stream");
  out.body_digest = base::Hash(base::WriteJson(identity));
  out.content_digest = {
      base::Hash(out.prompt, base::Hash(out.model.ToString()))};
  return out;
}

}  // namespace daisypond::entry
