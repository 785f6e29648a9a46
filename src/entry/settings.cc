#include "entry/settings.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "yaml/environment.h"
#include "yaml/mapping_reader.h"

namespace daisypond::entry {

namespace {

constexpr base::NameTable<base::LogLevel, 4> kLogLevelNames("debug",
                                                            "info",
                                                            "warning",
                                                            "error");

constexpr size_t kBytesPerMegabyte = 1 << 20;
// Bodies get at least this part of the memory, however much copies may take.
constexpr size_t kMinimumShare = 4;

void ReadTls(yaml::MappingReader& reader, TlsSettings* tls) {
  tls->peer_certificate = reader.Text("peer_certificate");
  tls->peer_key = reader.Text("peer_key");
  tls->peer_authority = reader.Text("peer_authority");
  const int n = (tls->peer_certificate.empty() ? 0 : 1) +
                (tls->peer_key.empty() ? 0 : 1) +
                (tls->peer_authority.empty() ? 0 : 1);
  if (n != 0 && n != 3) {
    reader.SetError(
        "peer_certificate",
        "needs peer_certificate, peer_key and peer_authority together");
  }
}

void ReadAllSettings(yaml::MappingReader& reader, Settings* into) {
  into->instance = reader.RequiredText("instance");
  into->failure_domain = reader.RequiredText("failure_domain");
  into->region = reader.Text("region", into->region);
  into->listen = reader.Address("listen", true);
  into->peer_listen = reader.Address("peer_listen", true);
  into->peer_address = reader.Address("peer_address", false);
  into->platform = reader.Address("platform", true);
  into->seed_peers = reader.TextList("seed_peers");
  into->threads =
      static_cast<int>(reader.Integer("threads", {4, 20'000}, into->threads));
  into->maximum_body_bytes = static_cast<size_t>(
      reader.Integer("maximum_body_bytes", {1024, 64 << 20},
                     static_cast<int64_t>(into->maximum_body_bytes)));
  into->memory_mb =
      reader.Integer("memory_mb", yaml::kMemoryRange, into->memory_mb);
  into->caller_timeout = reader.Duration("caller_timeout_ms", {1000, 60'000},
                                         into->caller_timeout);
  into->body_timeout =
      reader.Duration("body_timeout_ms", {1000, 3'600'000}, into->body_timeout);
  into->copy_bytes = static_cast<size_t>(
      reader.Integer("copy_bytes", {1 << 20, int64_t{4} << 30},
                     static_cast<int64_t>(into->copy_bytes)));
  into->claim_rows = static_cast<size_t>(reader.Integer(
      "claim_rows", {1, 25}, static_cast<int64_t>(into->claim_rows)));
  into->platform_timeout = reader.Duration("platform_timeout_ms", {10, 60'000},
                                           into->platform_timeout);
  into->drain_timeout =
      reader.Duration("drain_bound_ms", {0, 3'600'000}, into->drain_timeout);
  into->routing =
      reader.Choice("routing", routing::kRoutingModeNames, into->routing);
  into->log_level = reader.Choice("log_level", kLogLevelNames, into->log_level);
  into->is_fault_endpoint_open =
      reader.Bool("fault_endpoint", into->is_fault_endpoint_open);
  reader.Child("tls",
               [&](yaml::MappingReader& child) { ReadTls(child, &into->tls); });
  if (into->peer_address.empty()) {
    into->peer_address = into->peer_listen;
  }
  if (!into->listen.empty() && into->listen == into->peer_listen) {
    reader.SetError("peer_listen", "is the same address as listen");
  }
  reader.RejectUnknownKeys();
}

}  // namespace

intake::RoomPlan RoomPlanFor(const Settings& settings) {
  // An instance of which nothing is stated has been given the memory for its
  // copies in any case.
  const size_t memory =
      settings.memory_mb > 0
          ? static_cast<size_t>(settings.memory_mb) * kBytesPerMegabyte
          : intake::kDefaultMemoryBytes + settings.copy_bytes;
  const size_t left = memory - std::min(memory, settings.copy_bytes);
  return intake::MakeRoomPlan(std::max(left, memory / kMinimumShare));
}

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
  ReadAllSettings(reader, &settings);
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
  const auto error = yaml::ReadVariable(
      yaml::kMemoryVariable, yaml::kMemoryRange, &settings->memory_mb);
  if (error) {
    return tl::unexpected(*error);
  }
  return settings;
}

}  // namespace daisypond::entry
