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
constexpr Millis kWallTimeout{1000};
constexpr Millis kWaitStep{100};
constexpr Millis kWatchPeriod{1000};

}  // namespace

Commands::Commands(Options options)
    : options_(std::move(options)),
      platform_(&client_, options_.platform, kPlatformTimeout),
      publisher_(&platform_, &platform_) {}

void Commands::Print(const std::string& text, const Json& value) const {
  if (options_.output == Output::kJson) {
    fmt::print("{}\n", base::WriteJson(value));
  } else {
    fmt::print("{}", text);
  }
}

ExitCode Commands::Complain(const yaml::Error& error) const {
  fmt::print(stderr, "{}\n", error.ToString());
  if (options_.output == Output::kJson) {
    fmt::print("{}\n", base::WriteJson({{"error",
                                         {{"file", error.file},
                                          {"line", error.line},
                                          {"key", error.key},
                                          {"message", error.message}}}}));
  }
  return ExitCode::kBadInput;
}

ExitCode Commands::Unavailable(const std::string& what) const {
  fmt::print(stderr, "{} cannot be reached\n", what);
  return ExitCode::kUnavailable;
}

ExitCode Commands::Check() {
  const auto files = intents::ReadFolder(options_.folder);
  if (!files) {
    return Complain(files.error());
  }
  const auto parsed = intents::ParseIntents(*files);
  if (!parsed) {
    return Complain(parsed.error());
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
    return Complain(files.error());
  }
  const auto current = publisher_.ReadCurrentManifest();
  const auto present =
      current ? publisher_.ReadFiles(current->manifest) : std::nullopt;
  if (!present) {
    return Unavailable("the platform");
  }
  std::map<std::string, std::pair<std::string, std::string>> pairs;
  for (const intents::IntentFile& it : *present) {
    pairs[it.name].first = it.text;
  }
  for (const intents::IntentFile& it : *files) {
    pairs[it.name].second = it.text;
  }
  std::string text;
  Json changed = Json::array();
  for (const auto& [name, pair] : pairs) {
    const std::string diff = LineDiff(name, pair.first, pair.second);
    if (!diff.empty()) {
      changed.push_back({{"file", name}, {"diff", diff}});
    }
    text += diff;
  }
  Print(text, {{"version", current->manifest.version}, {"changed", changed}});
  return text.empty() ? ExitCode::kSuccess : ExitCode::kRefused;
}

ExitCode Commands::PrintResult(const intents::PublishResult& result) const {
  if (result.outcome == PublishOutcome::kInvalid) {
    return Complain(result.error);
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
    return Complain(files.error());
  }
  const auto parsed = intents::ParseIntents(*files);
  if (!parsed) {
    return Complain(parsed.error());
  }
  intents::FolderChange change;
  change.files = std::move(*files);
  change.base = ReadBase(options_.folder).files;
  change.author = options_.author;
  const auto result = publisher_.Publish(change);
  const ExitCode code = PrintResult(result);
  if (code != ExitCode::kSuccess) {
    return code;
  }
  const auto written = WriteBase(
      options_.folder, {result.version, intents::ComputeDigests(change.files)});
  if (!written) {
    return Complain(written.error());
  }
  return options_.is_waiting ? WaitForVersion(result.version) : code;
}

ExitCode Commands::Pull() {
  const auto current = publisher_.ReadCurrentManifest();
  const auto files =
      current ? publisher_.ReadFiles(current->manifest) : std::nullopt;
  if (!files) {
    return Unavailable("the platform");
  }
  const auto written = WriteFolder(options_.folder, *files);
  if (!written) {
    return Complain(written.error());
  }
  const auto noted = WriteBase(
      options_.folder, {current->manifest.version, current->manifest.files});
  if (!noted) {
    return Complain(noted.error());
  }
  Print(fmt::format("pulled: version {}\n", current->manifest.version),
        {{"version", current->manifest.version}});
  return ExitCode::kSuccess;
}

std::optional<Json> Commands::WallOf(const std::string& entry) {
  http::ClientRequest request;
  request.method = "GET";
  request.address = entry;
  request.path = "/v1/wall";
  request.connect_timeout = kWallTimeout;
  request.total_timeout = kWallTimeout;
  const auto response = client_.Fetch(std::move(request));
  if (!response.IsSuccess()) {
    return std::nullopt;
  }
  Json wall = base::ParseJson(response.body);
  return wall.is_object() ? std::optional<Json>(std::move(wall)) : std::nullopt;
}

ExitCode Commands::WaitForVersion(uint64_t version) {
  if (options_.entries.empty()) {
    fmt::print(stderr, "--wait needs at least one --entry\n");
    return ExitCode::kBadInput;
  }
  const Millis end = base::Clock::Now() + options_.wait_bound;
  std::vector<std::string> behind;
  size_t n = 0;
  while (true) {
    std::map<std::string, uint64_t> versions;
    behind.clear();
    for (const std::string& entry : options_.entries) {
      const auto wall = WallOf(entry);
      if (!wall) {
        behind.push_back(entry + " (no answer)");
        continue;
      }
      const auto own = static_cast<uint64_t>(
          base::NumberField(*wall, "configuration_version"));
      const std::string name = base::TextField(*wall, "instance");
      versions[name] = std::max(versions[name], own);
      // Instances that were not named are known to those that were.
      for (const Json& it : base::ArrayField(*wall, "instances")) {
        if (base::TextField(it, "status") == "dead") {
          continue;
        }
        uint64_t& known = versions[base::TextField(it, "instance")];
        known = std::max(known, static_cast<uint64_t>(base::NumberField(
                                    it, "configuration_version")));
      }
    }
    for (const auto& [name, held] : versions) {
      if (held < version) {
        behind.push_back(fmt::format("{} (at version {})", name, held));
      }
    }
    n = versions.size();
    if (behind.empty() || base::Clock::Now() >= end) {
      break;
    }
    std::this_thread::sleep_for(kWaitStep.ToChrono());
  }
  std::string text = fmt::format("in force: {} of {} instances\n",
                                 n - std::min(n, behind.size()), n);
  for (const std::string& it : behind) {
    text += fmt::format("behind: {}\n", it);
  }
  Print(text, {{"version", version}, {"instances", n}, {"behind", behind}});
  return behind.empty() ? ExitCode::kSuccess : ExitCode::kRefused;
}

std::string Commands::StatusText(const Json& wall) const {
  std::string text = fmt::format(
      "instance={} failure_domain={} configuration_version={} stale={} "
      "platform_reached={} running={} queued={}\n",
      base::TextField(wall, "instance"),
      base::TextField(wall, "failure_domain"),
      base::NumberField(wall, "configuration_version"),
      base::FlagField(wall, "stale"), base::FlagField(wall, "platform_reached"),
      base::NumberField(wall, "running"), base::NumberField(wall, "queued"));
  for (const Json& it : base::ArrayField(wall, "domains")) {
    text += fmt::format(
        "  domain={} alive={}/{} behind={} age_ms={}\n",
        base::TextField(it, "failure_domain"), base::NumberField(it, "alive"),
        base::NumberField(it, "instances"), base::NumberField(it, "behind"),
        base::NumberField(it, "age_ms"));
  }
  for (const Json& it : base::ArrayField(wall, "targets")) {
    if (base::TextField(it, "status") != "serving") {
      text += fmt::format(
          "  target={} status={} running={}\n", base::TextField(it, "target"),
          base::TextField(it, "status"), base::NumberField(it, "running"));
    }
  }
  return text;
}

ExitCode Commands::Status() {
  std::string text;
  Json walls = Json::array();
  bool is_whole = true;
  for (const std::string& entry : options_.entries) {
    auto wall = WallOf(entry);
    is_whole = is_whole && wall.has_value();
    text += wall ? StatusText(*wall) : fmt::format("{}: no answer\n", entry);
    walls.push_back(wall ? std::move(*wall) : Json{{"no_answer", entry}});
  }
  Print(text, walls);
  return is_whole ? ExitCode::kSuccess : ExitCode::kUnavailable;
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
    return Complain(files.error());
  }
  const auto parsed = intents::ParseIntents(*files);
  if (!parsed) {
    return Complain(parsed.error());
  }
  if (!parsed->targets.contains(options_.target)) {
    return Complain(
        {options_.folder, 0, "targets", "unknown target " + options_.target});
  }
  const auto changed =
      SetDrained(options_.folder, options_.target,
                 options_.is_undone ? Drained::kNo : Drained::kYes);
  if (!changed) {
    return Complain(changed.error());
  }
  return Apply();
}

ExitCode Commands::History() {
  const auto current = publisher_.ReadCurrentManifest();
  if (!current) {
    return Unavailable("the platform");
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
