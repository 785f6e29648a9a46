#include <csignal>
#include <fstream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "base/version.h"
#include "load/options.h"
#include "load/runner.h"

namespace {

constexpr int kInvalidFlagsExitStatus = 2;

/// Parses "name:api-key" or "name:api-key:share". Returns false if the text is
/// malformed.
bool ParseWorkspace(const std::string& text,
                    daisypond::load::CallingWorkspace* out) {
  const size_t first_colon = text.find(':');
  if (first_colon == std::string::npos || first_colon == 0) {
    return false;
  }
  const size_t second_colon = text.find(':', first_colon + 1);
  out->name = text.substr(0, first_colon);
  out->api_key =
      text.substr(first_colon + 1, second_colon == std::string::npos
                                       ? std::string::npos
                                       : second_colon - first_colon - 1);
  if (second_colon == std::string::npos) {
    return !out->api_key.empty();
  }
  char* end = nullptr;
  out->share = std::strtod(text.c_str() + second_colon + 1, &end);
  return *end == '\0' && out->share > 0;
}

void AddFlags(CLI::App* app, daisypond::load::Options* options) {
  app->add_option("--entry", options->entry_addresses,
                  "entry instances, IP:PORT")
      ->required();
  app->add_option("--model", options->model, "name of the model");
  app->add_option("--kind", options->request_kind, "kind of request");
  app->add_option("--tokens", options->tokens_per_generation,
                  "tokens per generation");
  app->add_option("--prompt-bytes", options->prompt_bytes, "prompt length");
  app->add_option("--prefixes", options->distinct_prefixes,
                  "number of distinct prompt prefixes");
  app->add_option("--prompt-mark", options->prompt_suffix,
                  "text appended to each prompt");
  app->add_option("--rate", options->generations_per_second,
                  "generations per second");
  app->add_option("--generations", options->generation_count,
                  "total number of generations; 0: limited by --seconds");
  app->add_option("--postings", options->postings_per_second,
                  "postings per second");
  app->add_option("--lookups", options->lookups_per_second,
                  "lookups per second");
  app->add_option("--seconds", options->duration_seconds,
                  "how long new calls are started");
  app->add_option("--whole-share", options->non_streaming_share,
                  "fraction of non-streaming generations, 0 to 1");
  app->add_option("--patience-ms", options->caller_timeout.count,
                  "time limit of a caller, in milliseconds");
  app->add_option("--tries", options->maximum_attempts,
                  "maximum attempts of a caller");
  app->add_option("--service", options->service_name,
                  "name of the plain service");
  app->add_option("--posting", options->posting_call,
                  "call of the service that must not "
                  "run twice");
  app->add_option("--lookup", options->lookup_call,
                  "idempotent call of the service");
  app->add_option("--counts", options->service_addresses,
                  "addresses of services whose execution counts are checked");
  app->add_option("--seed", options->seed, "seed of all random choices");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "daisypond-load: open-loop load generator that checks every response.\n"
      "Exit codes: 0 success, 1 wrong or repeated results, 2 invalid flags.");
  daisypond::load::Options options;
  std::vector<std::string> workspaces;
  std::string report_file;
  AddFlags(&app, &options);
  app.add_option("--workspace", workspaces, "NAME:API-KEY[:SHARE]")->required();
  app.add_option("--report", report_file,
                 "file to write the report to, as JSON");
  app.set_version_flag("--version", daisypond::base::kVersion);
  CLI11_PARSE(app, argc, argv);
  for (const std::string& it : workspaces) {
    daisypond::load::CallingWorkspace workspace;
    if (!ParseWorkspace(it, &workspace)) {
      fmt::print(stderr, "--workspace: {}: must be NAME:API-KEY[:SHARE]\n", it);
      return kInvalidFlagsExitStatus;
    }
    options.workspaces.push_back(workspace);
  }
  std::signal(SIGPIPE, SIG_IGN);
  fmt::print("seed={}\n", options.seed);
  daisypond::load::Runner runner(std::move(options));
  const int64_t violations = runner.Run();
  fmt::print("{}", runner.Results().ToText(runner.ElapsedSeconds()));
  if (!report_file.empty()) {
    std::ofstream(report_file)
        << runner.Results().ToJson(runner.ElapsedSeconds()) << "\n";
  }
  return violations == 0 ? 0 : 1;
}
