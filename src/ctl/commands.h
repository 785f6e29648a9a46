#ifndef DAISYPOND_CTL_COMMANDS_H_
#define DAISYPOND_CTL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/json.h"
#include "base/name_table.h"
#include "http/client.h"
#include "intents/configuration_publisher.h"
#include "store/store_client.h"

namespace daisypond::ctl {

enum class OutputFormat : uint8_t { kText, kJson };

inline constexpr base::NameTable<OutputFormat, 2> kOutputFormatNames("text",
                                                                     "json");

/// Settings of all commands; each command uses some of them. See main.cc.
struct Options {
  /// The folder of *.yaml configuration files to work on.
  std::string folder = ".";
  /// IP:PORT of the platform.
  std::string platform_address;
  /// IP:PORT of the entry instances to query.
  std::vector<std::string> entry_addresses;
  OutputFormat output = OutputFormat::kText;
  /// Stored as the author of the published version.
  std::string author;
  /// Whether to wait after publishing until all instances use the new version.
  bool waits_for_instances = false;
  base::Millis wait_timeout{10'000};
  /// The target to drain.
  std::string target;
  /// For Drain(): return the target to service instead of draining it.
  bool is_undo = false;
  /// Maximum number of versions that History() prints.
  int64_t history_length = 20;
};

/// Exit codes of daisypond-ctl.
enum class ExitCode : uint8_t {
  kSuccess = 0,
  /// The command ran, but with a negative result, such as a conflict.
  kRefused = 1,
  kBadInput = 2,
  /// The platform or an entry instance could not be reached.
  kUnavailable = 3,
};

/// The commands of daisypond-ctl. Each prints its result to standard output and
/// errors to standard error.
class Commands {
 public:
  explicit Commands(Options options);

  /// Checks whether the files of the folder form a valid configuration.
  ExitCode Check();
  /// Prints the differences between the published version and the folder.
  ExitCode Diff();
  /// Publishes the folder as a new version.
  ExitCode Apply();
  /// Replaces the files of the folder by those of the published version.
  ExitCode Pull();
  /// Prints the status that each entry instance reports.
  ExitCode Status();
  /// Prints the status of the entry instances once a second until the process
  /// is terminated.
  ExitCode Watch();
  /// Marks the target as drained, or removes this mark if `is_undo` is set, and
  /// publishes the folder.
  ExitCode Drain();
  /// Prints the published versions, newest first.
  ExitCode History();

 private:
  using ConfigurationPublisher =
      intents::ConfigurationPublisher<store::StoreClient, store::StoreClient>;

  /// Prints `text` or `value`, depending on the output format.
  void Print(const std::string& text, const base::Json& value) const;
  /// Prints an error about a file of the folder. Returns ExitCode::kBadInput.
  ExitCode PrintError(const yaml::Error& error) const;
  /// Prints that `server` is unreachable. Returns ExitCode::kUnavailable.
  ExitCode PrintUnreachable(const std::string& server) const;
  ExitCode PrintPublishResult(const intents::PublishResult& result) const;
  /// Polls the entry instances until they all respond and report that every
  /// live instance uses the version, or until the wait times out.
  ExitCode WaitForVersion(uint64_t version);
  /// Reads the status of an entry instance from its path /v1/wall. Returns
  /// nothing if the instance does not respond.
  std::optional<base::Json> FetchStatus(const std::string& entry);
  std::string FormatStatus(const base::Json& status) const;

  Options options_;
  http::Client client_;
  store::StoreClient platform_;
  ConfigurationPublisher publisher_;
};

}  // namespace daisypond::ctl

#endif  // DAISYPOND_CTL_COMMANDS_H_
