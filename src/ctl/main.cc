#include <string>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "base/version.h"
#include "ctl/commands.h"

namespace {

using daisypond::ctl::Commands;
using daisypond::ctl::ExitCode;
using daisypond::ctl::Options;

using Command = ExitCode (Commands::*)();

struct CommandDefinition {
  const char* name;
  const char* help;
  Command command;
  bool needs_platform;
};

constexpr CommandDefinition kCommandTable[] = {
    {"check", "validate a folder of configuration files", &Commands::Check,
     false},
    {"diff", "compare a folder with the published version", &Commands::Diff,
     true},
    {"apply", "publish a folder as a new version", &Commands::Apply, true},
    {"pull", "write the published version into a folder", &Commands::Pull,
     true},
    {"status", "print the status of entry instances", &Commands::Status, false},
    {"watch", "print the status once a second", &Commands::Watch, false},
    {"drain", "take a target out of service or return it", &Commands::Drain,
     true},
    {"history", "list published versions and their authors", &Commands::History,
     true},
};

void AddFlags(CLI::App* app,
              const CommandDefinition& definition,
              Options* options) {
  const std::string name = definition.name;
  if (name != "status" && name != "watch" && name != "history") {
    app->add_option("--folder", options->folder, "folder of *.yaml files")
        ->required();
  }
  if (definition.needs_platform) {
    app->add_option("--platform", options->platform_address, "IP:PORT")
        ->required();
    app->add_option("--author", options->author,
                    "name stored as the author of the version");
  }
  auto* entries = app->add_option("--entry", options->entry_addresses,
                                  "entry instances, IP:PORT");
  if (name == "status" || name == "watch") {
    entries->required();
  }
  if (name == "apply" || name == "drain") {
    app->add_flag("--wait", options->waits_for_instances,
                  "wait until all instances use the version");
    app->add_option("--wait-ms", options->wait_timeout.count,
                    "time limit of --wait in milliseconds");
  }
  if (name == "drain") {
    app->add_option("target", options->target, "name of the target")
        ->required();
    app->add_flag("--undo", options->is_undo, "return the target to service");
  }
  if (name == "history") {
    app->add_option("--limit", options->history_length,
                    "maximum number of versions");
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "daisypond-ctl: commands for operators.\n"
      "Exit codes: 0 success, 1 refused (conflict, instances behind, "
      "differences), 2 invalid input, 3 platform or instance unreachable.");
  app.set_version_flag("--version", daisypond::base::kVersion);
  app.require_subcommand(1);
  Options options;
  std::string output = "text";
  app.add_option("--output", output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  Command selected_command = nullptr;
  for (const CommandDefinition& it : kCommandTable) {
    CLI::App* command = app.add_subcommand(it.name, it.help);
    command->fallthrough();
    AddFlags(command, it, &options);
    command->callback(
        [&selected_command, &it] { selected_command = it.command; });
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int status = app.exit(e);
    return status == 0 ? 0 : static_cast<int>(ExitCode::kBadInput);
  }
  options.output = daisypond::ctl::kOutputFormatNames.ValueOf(output).value();
  Commands commands(options);
  return static_cast<int>((commands.*selected_command)());
}
