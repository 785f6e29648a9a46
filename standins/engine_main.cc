#include <unistd.h>

#include "standins/engine.h"
#include "standins/standin_main.h"

int main(int argc, char** argv) {
  CLI::App app("standin-engine: a fake model engine for tests");
  daisypond::http::ServerOptions server;
  daisypond::standins::EngineOptions options;
  daisypond::standins::AddCommonFlags(&app, &server);
  app.add_option("--token-ms", options.token_interval.count,
                 "milliseconds between tokens");
  app.add_option("--prefill-ms", options.prefill_per_1000_tokens.count,
                 "prefill milliseconds per 1,000 uncached tokens");
  app.add_option("--capacity", options.capacity, "maximum concurrent requests");
  app.add_option("--cached-prefixes", options.maximum_cached_prefixes,
                 "maximum prompt prefixes in the cache");
  CLI11_PARSE(app, argc, argv);
  daisypond::standins::Engine engine(options);
  return daisypond::standins::ServeUntilStopped(
      server, [&engine](const auto& request, auto& stream) {
        engine.Handle(request, stream);
      });
}
