#include "gateway/serve.h"

#include <malloc.h>

#include <csignal>
#include <cstdlib>

#include "base/log.h"
#include "base/signals.h"
#include "base/version.h"
#include "gateway/gateway.h"
#include "platform/catalog_format.h"
#include "platform/dialect.h"

namespace daisypond::gateway {

namespace {

using base::Log;
using base::LogLevel;

constexpr int kExitCannotListen = 3;

/// Makes the allocator return large blocks to the system when they are freed.
void ReturnFreedMemory() {
#ifdef __GLIBC__
  constexpr int kLargeBlockBytes = 128 << 10;
  // A threshold that is set stays where it is.
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
#endif
}

void ReloadSettings(const std::string& file) {
  const auto settings = ReadSettings(file);
  if (!settings) {
    Log(LogLevel::kError, "reload_refused",
        {{"error", settings.error().ToString()}});
    return;
  }
  // Only the log level can change while the process runs; addresses and limits
  // are read at the start only.
  base::SetLogLevel(settings->log_level);
  Log(LogLevel::kInfo, "reloaded", {{"file", file}});
}

/// Blocks until SIGTERM or SIGINT. Reloads the settings on SIGHUP.
void WaitForStop(const std::string& file) {
  const sigset_t signals = base::HandledSignals();
  while (true) {
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal != SIGHUP) {
      return;
    }
    ReloadSettings(file);
  }
}

}  // namespace

int Serve(const std::string& file, const Settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  ReturnFreedMemory();

  Gateway<platform::PlatformDialect, platform::CatalogFormat> gateway(settings);
  if (!gateway.Start()) {
    Log(LogLevel::kError, "cannot_listen",
        {{"listen", settings.listen},
         {"ready_listen", settings.ready_listen},
         {"metrics_listen", settings.metrics_listen},
         {"tunnel_listen", settings.tunnel_listen}});
    return kExitCannotListen;
  }
  Log(LogLevel::kInfo, "serving",
      {{"instance", settings.instance},
       {"domain", settings.failure_domain},
       {"listen", settings.listen},
       {"store", settings.store},
       {"memory_mb", settings.memory_mb},
       {"version", base::kVersion}});
  WaitForStop(file);
  Log(LogLevel::kInfo, "stopping", {});
  const size_t n_cut = gateway.Stop();
  Log(LogLevel::kInfo, "stopped", {{"cut", n_cut}});
  // Without the destructor of the gateway: it waits for threads of gRPC, which
  // can take longer than what is left of the grace.
  std::exit(EXIT_SUCCESS);
}

}  // namespace daisypond::gateway
