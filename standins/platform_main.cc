#include <unistd.h>

#include "standins/platform.h"
#include "standins/standin_main.h"

int main(int argc, char** argv) {
  CLI::App app(
      "standin-platform: a fake table service, object store and instance list "
      "for tests");
  daisypond::http::ServerOptions server;
  server.maximum_body_bytes = 64 << 20;
  daisypond::standins::PlatformOptions options;
  daisypond::standins::AddCommonFlags(&app, &server);
  app.add_option("--writes", options.writes_per_second,
                 "write limit per second");
  app.add_option("--reads", options.reads_per_second, "read limit per second");
  app.add_option("--seed", options.seed, "seed of the random faults");
  CLI11_PARSE(app, argc, argv);
  daisypond::standins::Platform platform(options);
  return daisypond::standins::ServeUntilStopped(
      server, [&platform](const auto& request, auto& stream) {
        platform.Handle(request, stream);
      });
}
