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

#include "base/log.h"
#include "base/version.h"
#include "entry/control.h"
#include "entry/instance.h"
#include "entry/order_worker.h"
#include "entry/server.h"
#include "entry/settings.h"
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

constexpr int kBadSettings = 2;
constexpr int kBadAddress = 3;
constexpr Millis kDrainStep{20};
// Callers that are being handed over need their last event.
constexpr Millis kHandOverGrace{3000};

/// Blocks until the platform asks the process to stop.
void WaitForStop(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

/// Finishes what runs; after the drain bound streams go to other instances.
/// Returns false when requests were still open at the very end.
bool Drain(daisypond::entry::Instance* instance,
           daisypond::entry::Server* server) {
  const Millis bound = Clock::Now() + instance->settings.drain_bound;
  instance->drain_until = bound.count;
  const Millis end = bound + kHandOverGrace;
  while (server->Open() > 0 && Clock::Now() < end) {
    std::this_thread::sleep_for(kDrainStep.ToChrono());
  }
  const bool is_clean = server->Open() == 0;
  instance->metrics.CheckInvariant(
      daisypond::base::Invariant::kPlannedStopCutsNothing, is_clean);
  return is_clean;
}

int Serve(const daisypond::entry::Settings& settings) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  daisypond::entry::Instance instance(settings);
  daisypond::entry::Control control(&instance);
  daisypond::peer::PeerServerParts parts;
  parts.copies = &instance.copies;
  parts.follower = &instance.follower;
  parts.post = [&](std::function<void()> task) {
    instance.control.Post(std::move(task));
  };
  parts.on_exchange = [&](const auto& request, auto done) {
    control.OnExchange(request, std::move(done));
  };
  parts.on_death = [&](const auto& request) { control.OnDeath(request); };
  control.Start();
  int status = 0;
  {
    const daisypond::peer::PeerServer peers(
        settings.peer_listen,
        daisypond::entry::PeerServerCredentials(settings.tls), parts);
    daisypond::entry::Server server(&instance, &control);
    const daisypond::entry::OrderWorker orders(&instance);
    if (!peers.IsRunning() || !server.IsRunning()) {
      Log(LogLevel::kError, "cannot_listen",
          {{"listen", settings.listen}, {"peer_listen", settings.peer_listen}});
      instance.control.Stop();
      return kBadAddress;
    }
    Log(LogLevel::kInfo, "serving",
        {{"instance", settings.instance}, {"listen", settings.listen}});
    WaitForStop(signals);
    Log(LogLevel::kInfo, "stopping", {{"open", server.Open()}});
    instance.is_stopping = true;
    instance.gate.Stop();
    control.SetLeaving();
    status = Drain(&instance, &server) ? 0 : 1;
  }
  instance.control.Stop();
  Log(LogLevel::kInfo, "stopped", {{"status", status}});
  return status;
}

/// The file's path from an environment variable.
std::string ValueOfVariable(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  if (value == nullptr) {
    throw CLI::ValidationError("--config-variable", name + " is not set");
  }
  return value;
}

/// True when the settings ask for the forwarding interface.
bool IsForwarding(const std::string& file) {
  const std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  const auto node = daisypond::yaml::Parse(file, text.str());
  const daisypond::yaml::Node* it = node ? node->Find("interface") : nullptr;
  return it != nullptr && it->scalar == "forward";
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("daisypond-entry: an entry instance of daisypond");
  std::string config;
  auto* source = app.add_option_group("settings");
  source->add_option("--config", config, "settings file (YAML)");
  source
      ->add_option("--config-variable", config,
                   "environment variable that holds the file's path")
      ->transform(ValueOfVariable);
  source->require_option(1);
  app.set_version_flag("--version", daisypond::base::kVersion);
  CLI11_PARSE(app, argc, argv);
  if (IsForwarding(config)) {
    const auto forwarding = daisypond::gateway::ReadSettings(config);
    if (!forwarding) {
      fmt::print(stderr, "{}\n", forwarding.error().ToString());
      return kBadSettings;
    }
    daisypond::base::SetLogLevel(forwarding->log_level);
    return daisypond::gateway::Serve(config, *forwarding);
  }
  const auto settings = daisypond::entry::ReadSettings(config);
  if (!settings) {
    fmt::print(stderr, "{}\n", settings.error().ToString());
    return kBadSettings;
  }
  const auto tls = daisypond::entry::CheckTlsFiles(settings->tls);
  if (!tls) {
    fmt::print(stderr, "{}\n", tls.error().ToString());
    return kBadSettings;
  }
  daisypond::base::SetLogLevel(settings->log_level);
  return Serve(*settings);
}
