#include "ctl/commands.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "base/hash.h"
#include "ctl/drains.h"
#include "ctl/folder.h"
#include "intents/parse.h"

namespace daisypond::ctl {

namespace {

using base::Json;
using base::Millis;
using intents::PublishOutcome;

constexpr Millis kPlatformTimeout{2000};
constexpr Millis kStatusTimeout{1000};
constexpr Millis kWaitPollInterval{100};
constexpr Millis kWatchPeriod{1000};

}  // namespace

Commands::Commands(Options options)
    : options_(std::move(options)),
      platform_(&client_, options_.platform_address, kPlatformTimeout),
      publisher_(&platform_, &platform_) {}

void Commands::Print(const std::string& text, const Json& value) const {
  if (options_.output == OutputFormat::kJson) {
    fmt::print("{}\n", base::WriteJson(value));
  } else {
    fmt::print("{}", text);
  }
}

ExitCode Commands::PrintError(const yaml::Error& error) const {
  fmt::print(stderr, "{}\n", error.ToString());
  if (options_.output == OutputFormat::kJson) {
    fmt::print("{}\n", base::WriteJson({{"error",
                                         {{"file", error.file},
                                          {"line", error.line},
                                          {"key", error.key},
                                          {"message", error.message}}}}));
  }
  return ExitCode::kBadInput;
}

ExitCode Commands::PrintUnreachable(const std::string& server) const {
  fmt::print(stderr, "{} cannot be reached\n", server);
  return ExitCode::kUnavailable;
}

ExitCode Commands::Check() {
  const auto files = intents::ReadFolder(options_.folder);
  if (!files) {
    return PrintError(files.error());
  }
  const auto parsed = intents::ParseIntents(*files);
  if (!parsed) {
    return PrintError(parsed.error());
  }
  Print(fmt::format("ok: {} files, {} workspaces, {} services, {} targets\n",
                    files->size(), parsed->workspaces.size(),
                    parsed->services.size(), parsed->targets.size()),
        {{"files", files->size()},
         {"workspaces", parsed->workspaces.size()},
         {"services", parsed->services.size()},
         {"targets", parsed->targets.size()}});
  return ExitCode::kSuccess;
}

ExitCode Commands::Diff() {
  const auto files = intents::ReadFolder(options_.folder);
  if (!files) {
    return PrintError(files.error());
  }
  const auto current = publisher_.ReadCurrentManifest();
  const auto published_files =
      current ? publisher_.ReadFiles(current->manifest) : std::nullopt;
  if (!published_files) {
    return PrintUnreachable("the platform");
  }
  std::map<std::string, std::pair<std::string, std::string>> texts_by_name;
  for (const intents::IntentFile& it : *published_files) {
    texts_by_name[it.name].first = it.text;
  }
  for (const intents::IntentFile& it : *files) {
    texts_by_name[it.name].second = it.text;
  }
  std::string text;
  Json changed = Json::array();
  for (const auto& [name, texts] : texts_by_name) {
    const std::string diff = LineDiff(name, texts.first, texts.second);
    if (!diff.empty()) {
      changed.push_back({{"file", name}, {"diff", diff}});
    }
    text += diff;
  }
  Print(text, {{"version", current->manifest.version}, {"changed", changed}});
  return text.empty() ? ExitCode::kSuccess : ExitCode::kRefused;
}

ExitCode Commands::PrintPublishResult(
    const intents::PublishResult& result) const {
  if (result.outcome == PublishOutcome::kInvalid) {
    return PrintError(result.error);
  }
  const auto name = intents::kPublishOutcomeNames.NameOf(result.outcome);
  std::string text = fmt::format("{}: version {}\n", name, result.version);
  for (const std::string& it : result.conflicts) {
    text += fmt::format("conflict: {} was changed by another operator\n", it);
  }
  if (result.outcome == PublishOutcome::kConflict) {
    text += "run 'pull' into another folder, or 'diff', and apply again\n";
  }
  Print(text, {{"outcome", name},
               {"version", result.version},
               {"conflicts", result.conflicts}});
  switch (result.outcome) {
    case PublishOutcome::kPublished:
    case PublishOutcome::kUnchanged:
      return ExitCode::kSuccess;
    case PublishOutcome::kConflict:
      return ExitCode::kRefused;
    default:
      return ExitCode::kUnavailable;
  }
}

ExitCode Commands::Apply() {
  auto files = intents::ReadFolder(options_.folder);
  if (!files) {
    return PrintError(files.error());
  }
  const auto parsed = intents::ParseIntents(*files);
  if (!parsed) {
    return PrintError(parsed.error());
  }
  intents::FolderChange change;
  change.files = std::move(*files);
  change.base = ReadFolderBase(options_.folder).file_digests;
  change.author = options_.author;
  const auto result = publisher_.Publish(change);
  const ExitCode code = PrintPublishResult(result);
  if (code != ExitCode::kSuccess) {
    return code;
  }
  const auto written = WriteFolderBase(
      options_.folder, {result.version, intents::ComputeDigests(change.files)});
  if (!written) {
    return PrintError(written.error());
  }
  return options_.waits_for_instances ? WaitForVersion(result.version) : code;
}

ExitCode Commands::Pull() {
  const auto current = publisher_.ReadCurrentManifest();
  const auto files =
      current ? publisher_.ReadFiles(current->manifest) : std::nullopt;
  if (!files) {
    return PrintUnreachable("the platform");
  }
  const auto written = WriteFolder(options_.folder, *files);
  if (!written) {
    return PrintError(written.error());
  }
  const auto base_written = WriteFolderBase(
      options_.folder, {current->manifest.version, current->manifest.files});
  if (!base_written) {
    return PrintError(base_written.error());
  }
  Print(fmt::format("pulled: version {}\n", current->manifest.version),
        {{"version", current->manifest.version}});
  return ExitCode::kSuccess;
}

std::optional<Json> Commands::FetchStatus(const std::string& entry) {
  http::ClientRequest request;
  request.method = "GET";
  request.address = entry;
  request.path = "/v1/wall";
  request.connect_timeout = kStatusTimeout;
  request.total_timeout = kStatusTimeout;
  const auto response = client_.Fetch(std::move(request));
  if (!response.IsSuccess()) {
    return std::nullopt;
  }
  Json status = base::ParseJson(response.body);
  return status.is_object() ? std::optional<Json>(std::move(status))
                            : std::nullopt;
}

ExitCode Commands::WaitForVersion(uint64_t version) {
  if (options_.entry_addresses.empty()) {
    fmt::print(stderr, "--wait needs at least one --entry\n");
    return ExitCode::kBadInput;
  }
  const Millis deadline = base::Clock::Now() + options_.wait_timeout;
  std::vector<std::string> outdated;
  size_t instance_count = 0;
  while (true) {
    std::map<std::string, uint64_t> versions;
    outdated.clear();
    for (const std::string& entry : options_.entry_addresses) {
      const auto status = FetchStatus(entry);
      if (!status) {
        outdated.push_back(entry + " (no answer)");
        continue;
      }
      const auto own_version = static_cast<uint64_t>(
          base::IntegerField(*status, "configuration_version"));
      const std::string name = base::StringField(*status, "instance");
      versions[name] = std::max(versions[name], own_version);
      // The response also lists the instances that are not in
      // `entry_addresses`.
      for (const Json& it : base::ArrayField(*status, "instances")) {
        if (base::StringField(it, "status") == "dead") {
          continue;
        }
        uint64_t& known = versions[base::StringField(it, "instance")];
        known = std::max(known, static_cast<uint64_t>(base::IntegerField(
                                    it, "configuration_version")));
      }
    }
    for (const auto& [name, instance_version] : versions) {
      if (instance_version < version) {
        outdated.push_back(
            fmt::format("{} (at version {})", name, instance_version));
      }
    }
    instance_count = versions.size();
    if (outdated.empty() || base::Clock::Now() >= deadline) {
      break;
    }
    std::this_thread::sleep_for(kWaitPollInterval.ToChrono());
  }
  std::string text =
      fmt::format("version in use by {} of {} instances\n",
                  instance_count - std::min(instance_count, outdated.size()),
                  instance_count);
  for (const std::string& it : outdated) {
    text += fmt::format("behind: {}\n", it);
  }
  Print(text, {{"version", version},
               {"instances", instance_count},
               {"behind", outdated}});
  return outdated.empty() ? ExitCode::kSuccess : ExitCode::kRefused;
}

std::string Commands::FormatStatus(const Json& status) const {
  std::string text = fmt::format(
      "instance={} failure_domain={} configuration_version={} stale={} "
      "platform_reached={} running={} queued={}\n",
      base::StringField(status, "instance"),
      base::StringField(status, "failure_domain"),
      base::IntegerField(status, "configuration_version"),
      base::BoolField(status, "stale"),
      base::BoolField(status, "platform_reached"),
      base::IntegerField(status, "running"),
      base::IntegerField(status, "queued"));
  for (const Json& it : base::ArrayField(status, "domains")) {
    text += fmt::format(
        "  domain={} alive={}/{} behind={} age_ms={}\n",
        base::StringField(it, "failure_domain"),
        base::IntegerField(it, "alive"), base::IntegerField(it, "instances"),
        base::IntegerField(it, "behind"), base::IntegerField(it, "age_ms"));
  }
  for (const Json& it : base::ArrayField(status, "targets")) {
    if (base::StringField(it, "status") != "serving") {
      text += fmt::format(
          "  target={} status={} running={}\n", base::StringField(it, "target"),
          base::StringField(it, "status"), base::IntegerField(it, "running"));
    }
  }
  return text;
}

ExitCode Commands::Status() {
  std::string text;
  Json statuses = Json::array();
  bool have_all_answered = true;
  for (const std::string& entry : options_.entry_addresses) {
    auto status = FetchStatus(entry);
    have_all_answered = have_all_answered && status.has_value();
    text +=
        status ? FormatStatus(*status) : fmt::format("{}: no answer\n", entry);
    statuses.push_back(status ? std::move(*status)
                              : Json{{"no_answer", entry}});
  }
  Print(text, statuses);
  return have_all_answered ? ExitCode::kSuccess : ExitCode::kUnavailable;
}

ExitCode Commands::Watch() {
  while (true) {
    Status();
    std::fflush(stdout);
    std::this_thread::sleep_for(kWatchPeriod.ToChrono());
  }
}

ExitCode Commands::Drain() {
  auto files = intents::ReadFolder(options_.folder);
  if (!files) {
    return PrintError(files.error());
  }
  const auto parsed = intents::ParseIntents(*files);
  if (!parsed) {
    return PrintError(parsed.error());
  }
  if (!parsed->targets.contains(options_.target)) {
    return PrintError(
        {options_.folder, 0, "targets", "unknown target " + options_.target});
  }
  const auto changed = SetDrainState(
      options_.folder, options_.target,
      options_.is_undo ? DrainState::kNotDrained : DrainState::kDrained);
  if (!changed) {
    return PrintError(changed.error());
  }
  return Apply();
}

ExitCode Commands::History() {
  const auto current = publisher_.ReadCurrentManifest();
  if (!current) {
    return PrintUnreachable("the platform");
  }
  std::string text;
  Json list = Json::array();
  intents::Manifest manifest = current->manifest;
  for (int64_t i = 0; i < options_.history_length && manifest.version > 0;
       ++i) {
    text += fmt::format("version={} author={} written_at_ms={} files={}\n",
                        manifest.version, manifest.author,
                        manifest.written_at_ms, manifest.files.size());
    list.push_back({{"version", manifest.version},
                    {"author", manifest.author},
                    {"written_at_ms", manifest.written_at_ms},
                    {"files", manifest.files}});
    const auto earlier = platform_.GetObject(intents::ManifestObjectName(
        manifest.version - 1, manifest.previous_nonce));
    const auto parsed =
        earlier ? intents::ManifestFromJson(*earlier) : std::nullopt;
    if (!parsed) {
      break;
    }
    manifest = *parsed;
  }
  Print(text, list);
  return ExitCode::kSuccess;
}

}  // namespace daisypond::ctl
