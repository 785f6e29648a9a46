#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "base/failure_report.h"
#include "base/log.h"
#include "base/signals.h"
#include "base/version.h"
#include "entry/control_plane.h"
#include "entry/instance.h"
#include "entry/server.h"
#include "entry/settings.h"
#include "entry/target_state_reconciler.h"
#include "entry/tls.h"
#include "gateway/serve.h"
#include "gateway/settings.h"
#include "peer/peer_server.h"
#include "yaml/node.h"

namespace {

using daisypond::base::Clock;
using daisypond::base::Log;
using daisypond::base::LogLevel;
using daisypond::base::Millis;

constexpr int kExitInvalidSettings = 2;
constexpr int kExitCannotListen = 3;
constexpr Millis kDrainPollPeriod{20};
// The time allowed after the drain deadline for sending `handover` events.
constexpr Millis kHandoverGrace{3000};

/// Blocks until SIGTERM or SIGINT.
void WaitForStopSignal() {
  const sigset_t signals = daisypond::base::HandledSignals();
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&signals, &signal);
  }
}

/// Waits until the port may be closed: all requests that have been read or may
/// wait to be read have been answered. After the drain deadline, streams are
/// handed over to other instances. Returns false if this takes until
/// kHandoverGrace after the deadline and requests may still be open then.
bool Drain(daisypond::entry::Instance* instance,
           daisypond::entry::Server* server) {
  const Millis began_at = Clock::Now();
  const Millis drain_deadline = began_at + instance->settings.drain_timeout;
  instance->drain_deadline_ms = drain_deadline.count;
  const Millis final_deadline = drain_deadline + kHandoverGrace;
  bool may_close = server->MayClose(began_at);
  while (!may_close && Clock::Now() < final_deadline) {
    std::this_thread::sleep_for(kDrainPollPeriod.ToChrono());
    may_close = server->MayClose(began_at);
  }
  const bool has_drained = may_close || server->IsIdle();
  instance->metrics.CheckInvariant(
      daisypond::base::Invariant::kPlannedStopCutsNothing, has_drained);
  Log(has_drained ? LogLevel::kInfo : LogLevel::kError, "drained",
      {{"open", server->OpenRequests()},
       {"took_ms", (Clock::Now() - began_at).count}});
  return has_drained;
}

int Serve(const daisypond::entry::Settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);

  daisypond::entry::Instance instance(settings);
  daisypond::entry::ControlPlane control_plane(&instance);
  daisypond::peer::PeerServerDependencies dependencies;
  dependencies.copy_store = &instance.copies;
  dependencies.configuration = &instance.active_configuration;
  dependencies.post = [&](std::function<void()> task) {
    instance.control_loop.Post(std::move(task));
  };
  dependencies.on_exchange = [&](const auto& request, auto done) {
    control_plane.OnExchange(request, std::move(done));
  };
  dependencies.on_report_death = [&](const auto& request) {
    control_plane.OnDeathReport(request);
  };
  control_plane.Start();
  int status = 0;
  {
    const daisypond::peer::PeerServer peers(
        settings.peer_listen,
        daisypond::entry::PeerServerCredentials(settings.tls), dependencies);
    const daisypond::entry::TargetStateReconciler reconciler(&instance);
    // Destroyed first: its port closes as soon as it has drained.
    daisypond::entry::Server server(&instance, &control_plane);
    if (!peers.IsRunning() || !server.IsRunning()) {
      Log(LogLevel::kError, "cannot_listen",
          {{"listen", settings.listen}, {"peer_listen", settings.peer_listen}});
      instance.control_loop.Stop();
      return kExitCannotListen;
    }
    Log(LogLevel::kInfo, "serving",
        {{"instance", settings.instance}, {"listen", settings.listen}});
    WaitForStopSignal();
    Log(LogLevel::kInfo, "stopping", {{"open", server.OpenRequests()}});
    instance.is_stopping = true;
    instance.admission_gate.Stop();
    control_plane.SetLeaving();
    status = Drain(&instance, &server) ? 0 : 1;
  }
  instance.control_loop.Stop();
  Log(LogLevel::kInfo, "stopped", {{"status", status}});
  return status;
}

/// Returns the path of the settings file from an environment variable.
std::string PathFromVariable(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  if (value == nullptr) {
    throw CLI::ValidationError("--config-variable", name + " is not set");
  }
  return value;
}

/// True if the settings file contains `interface: forward`.
bool IsForwardingInterface(const std::string& file) {
  const std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  const auto node = daisypond::yaml::Parse(file, text.str());
  const daisypond::yaml::Node* it = node ? node->Find("interface") : nullptr;
  return it != nullptr && it->scalar == "forward";
}

/// Makes the allocator return freed buffers of kMappedBytes or more to the
/// system. Otherwise it raises this limit by itself and keeps them in the arena
/// of each thread, beside what intake::RoomPlan counts.
void ReturnLargeBuffers() {
  constexpr int kMappedBytes = 256 << 10;
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
}

}  // namespace

int main(int argc, char** argv) {
  daisypond::base::BlockHandledSignals();
  daisypond::base::InstallFailureReport();
  ReturnLargeBuffers();
  CLI::App app("daisypond-entry: an entry instance of daisypond");
  std::string config;
  auto* source = app.add_option_group("settings");
  source->add_option("--config", config, "settings file (YAML)");
  source
      ->add_option("--config-variable", config,
                   "environment variable that holds the file's path")
      ->transform(PathFromVariable);
  source->require_option(1);
  app.set_version_flag("--version", daisypond::base::kVersion);
  CLI11_PARSE(app, argc, argv);
  if (IsForwardingInterface(config)) {
    const auto gateway_settings = daisypond::gateway::ReadSettings(config);
    if (!gateway_settings) {
      fmt::print(stderr, "{}\n", gateway_settings.error().ToString());
      return kExitInvalidSettings;
    }
    daisypond::base::SetLogLevel(gateway_settings->log_level);
    return daisypond::gateway::Serve(config, *gateway_settings);
  }
  const auto settings = daisypond::entry::ReadSettings(config);
  if (!settings) {
    fmt::print(stderr, "{}\n", settings.error().ToString());
    return kExitInvalidSettings;
  }
  const auto tls = daisypond::entry::CheckTlsFiles(settings->tls);
  if (!tls) {
    fmt::print(stderr, "{}\n", tls.error().ToString());
    return kExitInvalidSettings;
  }
  daisypond::base::SetLogLevel(settings->log_level);
  return Serve(*settings);
}
