#include <unistd.h>

#include "standins/service.h"
#include "standins/standin_main.h"

int main(int argc, char** argv) {
  CLI::App app("standin-service: a fake plain service that counts executions");
  daisypond::http::ServerOptions server;
  std::string journal_path;
  daisypond::standins::AddCommonFlags(&app, &server);
  app.add_option("--journal", journal_path, "file that stores the executions");
  CLI11_PARSE(app, argc, argv);
  daisypond::standins::Service service(journal_path);
  return daisypond::standins::ServeUntilStopped(
      server, [&service](const auto& request, auto& stream) {
        service.Handle(request, stream);
      });
}
