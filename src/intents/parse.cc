#include "intents/parse.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "yaml/mapping_reader.h"

namespace daisypond::intents {

namespace {

using yaml::MappingReader;
using yaml::Range;

constexpr size_t kSha256Digits = 64;
constexpr Range kDurationRangeMs{1, 86'400'000};

std::string ReadDigest(std::string_view key, MappingReader& reader) {
  std::string digest = reader.RequiredText(key);
  const bool is_digest =
      digest.size() == kSha256Digits &&
      digest.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!is_digest) {
    reader.SetError(key,
                    "must be a SHA-256 digest of 64 lower-case hex digits");
  }
  return digest;
}

ModelVersion ReadModelVersion(const std::string& text,
                              std::string_view key,
                              MappingReader& reader) {
  ModelVersion model;
  if (!ModelVersion::FromString(text, &model)) {
    reader.SetError(key,
                    "must look like model:version or model:version+adapter");
  }
  return model;
}

void ReadRequestKind(const std::string& name,
                     MappingReader& reader,
                     Configuration* configuration) {
  RequestKind kind;
  kind.priority = reader.Choice("priority", kPriorityNames, kind.priority);
  kind.deadline =
      reader.Duration("deadline_ms", kDurationRangeMs, kind.deadline);
  kind.queue_timeout =
      reader.Duration("queue_timeout_ms", kDurationRangeMs, kind.queue_timeout);
  kind.maximum_tokens =
      reader.Integer("maximum_tokens", {1, 1'000'000}, kind.maximum_tokens);
  configuration->request_kinds.emplace(name, kind);
}

void ReadWorkspace(const std::string& name,
                   MappingReader& reader,
                   Configuration* configuration) {
  Workspace workspace;
  workspace.api_key_sha256 = ReadDigest("api_key_sha256", reader);
  workspace.weight = reader.Integer("weight", {1, 1000}, workspace.weight);
  workspace.requests_per_second = reader.Decimal("requests_per_second", 0.001,
                                                 workspace.requests_per_second);
  workspace.concurrent_requests = reader.Integer(
      "concurrent_requests", {1, 100'000}, workspace.concurrent_requests);
  reader.ForEach("models", [&](const std::string& alias, MappingReader& child) {
    const std::string text = child.RequiredText("serve");
    workspace.models.emplace(alias, ReadModelVersion(text, "serve", child));
  });
  const auto [it, is_new] =
      configuration->workspace_by_key.emplace(workspace.api_key_sha256, name);
  if (!is_new) {
    reader.SetError("api_key_sha256",
                    "also the key of workspace " + it->second);
  }
  configuration->workspaces.emplace(name, std::move(workspace));
}

void ReadService(const std::string& name,
                 MappingReader& reader,
                 Configuration* configuration) {
  Service service;
  reader.ForEach("calls", [&](const std::string& call_name,
                              MappingReader& child) {
    ServiceCall call;
    call.is_idempotent = child.Bool("idempotent", call.is_idempotent);
    call.timeout = child.Duration("timeout_ms", kDurationRangeMs, call.timeout);
    service.calls.emplace(call_name, call);
  });
  configuration->services.emplace(name, std::move(service));
}

void ReadTarget(const std::string& name,
                MappingReader& reader,
                Configuration* configuration) {
  Target target;
  target.address = reader.Address("address", true);
  target.failure_domain = reader.RequiredText("failure_domain");
  target.kind = reader.Choice("kind", kTargetKindNames, target.kind);
  target.state = reader.Choice("state", kTargetStateNames, target.state);
  target.fencing = reader.Choice("fencing", kFencingNames, target.fencing);
  target.capacity = reader.Integer("capacity", {1, 100'000}, target.capacity);
  target.service = reader.Text("service");
  target.wanted_model = reader.Text("wanted_model");
  if (!target.wanted_model.empty()) {
    ReadModelVersion(target.wanted_model, "wanted_model", reader);
  }
  for (const std::string& it : reader.TextList("models")) {
    target.models.push_back(ReadModelVersion(it, "models", reader));
  }
  const bool is_engine = target.kind == TargetKind::kEngine;
  if (is_engine && target.models.empty()) {
    reader.SetError("models", "an engine needs at least one model");
  }
  if (!is_engine && target.service.empty()) {
    reader.SetError("service", "a target of kind service needs its name");
  }
  if (!is_engine && !configuration->services.contains(target.service)) {
    reader.SetError("service", "unknown service " + target.service);
  }
  configuration->targets.emplace(name, std::move(target));
}

void ReadConfiguration(MappingReader& root, Configuration* configuration) {
  root.ForEach("request_kinds",
               [&](const std::string& name, MappingReader& reader) {
                 ReadRequestKind(name, reader, configuration);
               });
  root.ForEach("workspaces",
               [&](const std::string& name, MappingReader& reader) {
                 ReadWorkspace(name, reader, configuration);
               });
  root.ForEach("services", [&](const std::string& name, MappingReader& reader) {
    ReadService(name, reader, configuration);
  });
  root.ForEach("targets", [&](const std::string& name, MappingReader& reader) {
    ReadTarget(name, reader, configuration);
  });
  root.ForEach("drains", [&](const std::string& name, MappingReader& reader) {
    const auto target = configuration->targets.find(name);
    if (target == configuration->targets.end()) {
      reader.SetError("", "unknown target");
      return;
    }
    target->second.state = TargetState::kLeaving;
  });
  root.ForEach("operators", [&](const std::string& name,
                                MappingReader& reader) {
    configuration->operators.emplace(name, ReadDigest("token_sha256", reader));
  });
  root.Child("resume", [&](MappingReader& reader) {
    ResumeSettings& resume = configuration->resume;
    resume.mode = reader.Choice("mode", kResumeModeNames, resume.mode);
    resume.latency_weight =
        reader.Decimal("latency_weight", 0, resume.latency_weight);
    resume.resource_weight =
        reader.Decimal("resource_weight", 0, resume.resource_weight);
  });
  root.Child("limits", [&](MappingReader& reader) {
    InstanceLimits& limits = configuration->limits;
    limits.concurrent_streams = reader.Integer(
        "concurrent_streams", {1, 10'000}, limits.concurrent_streams);
    limits.queued_requests =
        reader.Integer("queued_requests", {0, 100'000}, limits.queued_requests);
    limits.retry_percent =
        reader.Integer("retry_percent", {0, 1000}, limits.retry_percent);
  });
  root.RejectUnknownKeys();
}

/// Reports an error if two targets have the same address, because every order
/// to one of them would also reach the other.
void CheckUniqueAddresses(const yaml::Node& root,
                          const Configuration& configuration,
                          std::optional<yaml::Error>* error) {
  std::map<std::string, std::string> target_by_address;
  for (const auto& [name, target] : configuration.targets) {
    const auto [it, is_new] = target_by_address.emplace(target.address, name);
    if (is_new || error->has_value()) {
      continue;
    }
    const yaml::Node* node = root.Find("targets")->Find(name);
    *error = yaml::Error{node->file, node->line, "targets." + name + ".address",
                         "also the address of " + it->second};
  }
}

}  // namespace

yaml::ParseResult<Configuration> ParseIntents(std::vector<IntentFile> files) {
  std::sort(files.begin(), files.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  yaml::Node root;
  root.kind = yaml::NodeKind::kMapping;
  root.file = files.empty() ? "intents" : files.front().name;
  for (const IntentFile& it : files) {
    const auto node = yaml::Parse(it.name, it.text);
    if (!node) {
      return tl::unexpected(node.error());
    }
    const auto merged = yaml::Merge(*node, &root);
    if (!merged) {
      return tl::unexpected(merged.error());
    }
  }
  std::optional<yaml::Error> error;
  Configuration configuration;
  MappingReader reader(root, "", &error);
  ReadConfiguration(reader, &configuration);
  CheckUniqueAddresses(root, configuration, &error);
  if (error) {
    return tl::unexpected(*error);
  }
  return configuration;
}

yaml::ParseResult<std::vector<IntentFile>> ReadFolder(
    const std::string& folder) {
  std::error_code ec;
  std::vector<IntentFile> files;
  const std::filesystem::directory_iterator entries(folder, ec);
  if (ec) {
    return tl::unexpected(yaml::Error{folder, 0, "", ec.message()});
  }
  for (const auto& it : entries) {
    if (it.path().extension() != ".yaml") {
      continue;
    }
    const std::ifstream stream(it.path());
    if (!stream) {
      return tl::unexpected(
          yaml::Error{it.path().string(), 0, "", "cannot be read"});
    }
    std::ostringstream text;
    text << stream.rdbuf();
    files.push_back({it.path().filename().string(), text.str()});
  }
  if (files.empty()) {
    return tl::unexpected(yaml::Error{folder, 0, "", "no *.yaml file"});
  }
  std::sort(files.begin(), files.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  return files;
}

}  // namespace daisypond::intents
