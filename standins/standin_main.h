#ifndef DAISYPOND_STANDINS_STANDIN_MAIN_H_
#define DAISYPOND_STANDINS_STANDIN_MAIN_H_

#include <csignal>
#include <string>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "base/version.h"
#include "http/server.h"

namespace daisypond::standins {

/// Adds the flags that all stand-ins (fake servers for tests) have in common.
inline void AddCommonFlags(CLI::App* app, http::ServerOptions* options) {
  app->add_option("--listen", options->address, "IP:PORT")->required();
  app->add_option("--threads", options->threads,
                  "maximum concurrent connections");
  app->set_version_flag("--version", base::kVersion);
}

/// Serves requests until SIGTERM or SIGINT, then exits the process with status
/// 0. Returns exit status 3 if the server cannot listen on its address.
inline int ServeUntilStopped(const http::ServerOptions& options,
                             http::Server::Handler handler) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const http::Server server(options, std::move(handler));
  if (!server.IsRunning()) {
    fmt::print(stderr, "event=cannot_listen address={}\n", options.address);
    return 3;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  // Skips the shutdown of the server: open streams may sleep for a long time,
  // and a stand-in has no state to save at exit.
  _exit(0);
}

}  // namespace daisypond::standins

#endif  // DAISYPOND_STANDINS_STANDIN_MAIN_H_
