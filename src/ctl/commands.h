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

enum class Output : uint8_t { kText, kJson };

inline constexpr base::NameTable<Output, 2> kOutputNames("text", "json");

struct Options {
  std::string folder = ".";
  std::string platform;
  std::vector<std::string> entries;
  Output output = Output::kText;
  std::string author;
  bool is_waiting = false;
  base::Millis wait_bound{10'000};
  std::string target;
  bool is_undone = false;
  int64_t history_length = 20;
};

/// Exit codes of daisypond-ctl.
enum class ExitCode : uint8_t {
  kSuccess = 0,
  /// The command worked and its answer is no, such as a conflict.
  kRefused = 1,
  kBadInput = 2,
  kUnavailable = 3,
};

/// The operators' commands. Each prints its answer to standard output and
/// errors to standard error.
class Commands {
 public:
  explicit Commands(Options options);

  ExitCode Check();
  ExitCode Diff();
  ExitCode Apply();
  ExitCode Pull();
  ExitCode Status();
  ExitCode Watch();
  ExitCode Drain();
  ExitCode History();

 private:
  using ConfigurationPublisher =
      intents::ConfigurationPublisher<store::StoreClient, store::StoreClient>;

  void Print(const std::string& text, const base::Json& value) const;
  ExitCode Complain(const yaml::Error& error) const;
  ExitCode Unavailable(const std::string& what) const;
  ExitCode PrintResult(const intents::PublishResult& result) const;
  ExitCode WaitForVersion(uint64_t version);
  std::optional<base::Json> WallOf(const std::string& entry);
  std::string StatusText(const base::Json& wall) const;

  Options options_;
  http::Client client_;
  store::StoreClient platform_;
  ConfigurationPublisher publisher_;
};

}  // namespace daisypond::ctl

#endif  // DAISYPOND_CTL_COMMANDS_H_
