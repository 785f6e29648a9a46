#include "gateway/settings.h"

#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "yaml/environment.h"
#include "yaml/mapping_reader.h"

namespace daisypond::gateway {

namespace {

constexpr base::NameTable<base::LogLevel, 4> kLogLevelNames("debug",
                                                            "info",
                                                            "warning",
                                                            "error");
constexpr int64_t kMillisPerSecond = 1000;
constexpr yaml::Range kDescriptorRange{128, 1 << 20};

/// Reads a number of seconds, which may have a fraction.
base::Millis ReadSeconds(yaml::MappingReader& reader,
                         const char* key,
                         base::Millis fallback) {
  const double seconds =
      reader.Decimal(key, 0,
                     static_cast<double>(fallback.count) /
                         static_cast<double>(kMillisPerSecond));
  return {
      static_cast<int64_t>(seconds * static_cast<double>(kMillisPerSecond))};
}

void ReadRetrySettings(yaml::MappingReader& reader, RetrySettings* into) {
  into->window = ReadSeconds(reader, "window_s", into->window);
  into->ratio = reader.Decimal("ratio", 0, into->ratio);
  into->slack = reader.Decimal("slack", 0, into->slack);
  if (into->window.count <= 0) {
    reader.SetError("window_s", "must be greater than zero");
  }
}

void ReadSettingsFields(yaml::MappingReader& reader, Settings* into) {
  reader.RequiredText("interface");
  into->instance = reader.RequiredText("instance");
  into->failure_domain = reader.RequiredText("failure_domain");
  into->region = reader.Text("region", into->region);
  into->listen = reader.Address("listen", true);
  into->ready_listen = reader.Address("ready_listen", true);
  into->metrics_listen = reader.Address("metrics_listen", true);
  into->peer_listen = reader.Address("peer_listen", true);
  into->tunnel_listen = reader.Address("tunnel_listen", false);
  into->seed_peers = reader.TextList("seed_peers");
  into->store = reader.Address("store", true);
  into->direct_group = static_cast<size_t>(reader.Integer(
      "direct_group", {1, 100'000}, static_cast<int64_t>(into->direct_group)));
  into->catalog_bound = {reader.Integer("catalog_bound_ms", {500, 600'000},
                                        into->catalog_bound.count)};
  into->is_first_start = reader.Bool("first_start", into->is_first_start);
  into->stop_grace = ReadSeconds(reader, "stop_grace_s", into->stop_grace);
  reader.Child("retries", [&](yaml::MappingReader& child) {
    ReadRetrySettings(child, &into->retries);
  });
  into->memory_mb =
      reader.Integer("memory_mb", yaml::kMemoryRange, into->memory_mb);
  into->maximum_descriptors = reader.Integer(
      "max_descriptors", kDescriptorRange, into->maximum_descriptors);
  into->log_level = reader.Choice("log_level", kLogLevelNames, into->log_level);
  reader.RejectUnknownKeys();
}

}  // namespace

yaml::ParseResult<Settings> ParseSettings(const std::string& file,
                                          const std::string& text) {
  const auto node = yaml::Parse(file, text);
  if (!node) {
    return tl::unexpected(node.error());
  }
  std::optional<yaml::Error> error;
  yaml::Node root = *node;
  root.file = file;
  root.line = root.line == 0 ? 1 : root.line;
  yaml::MappingReader reader(root, "", &error);
  Settings settings;
  ReadSettingsFields(reader, &settings);
  if (error) {
    return tl::unexpected(*error);
  }
  return settings;
}

yaml::ParseResult<Settings> ReadSettings(const std::string& file) {
  const std::ifstream stream(file);
  if (!stream) {
    return tl::unexpected(yaml::Error{file, 0, "", "cannot be read"});
  }
  std::ostringstream text;
  text << stream.rdbuf();
  yaml::ParseResult<Settings> settings = ParseSettings(file, text.str());
  if (!settings) {
    return settings;
  }
  for (const auto& error :
       {yaml::ReadVariable(yaml::kMemoryVariable, yaml::kMemoryRange,
                           &settings->memory_mb),
        yaml::ReadVariable(kDescriptorsVariable, kDescriptorRange,
                           &settings->maximum_descriptors)}) {
    if (error) {
      return tl::unexpected(*error);
    }
  }
  return settings;
}

}  // namespace daisypond::gateway
