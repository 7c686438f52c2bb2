// sycamorehinged: the entry process between callers and back ends.
#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "entry_process.h"
#include "platform_process.h"
#include "sycamorehinge/settings/parameters.h"
#include "sycamorehinge/settings/secret.h"
#include "wiring.h"

namespace sycamorehinge {
namespace {

// Exit codes; docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitSettings = 2;

// Signals are taken by sigwait in the main thread only.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Run(const process_settings& settings) {
  const result<std::string> key = ReadSecret(PeerKeySource(settings.peers));
  if (!key) {
    std::cerr << "peers: " << key.detail() << "\n";
    return kExitSettings;
  }
  result<access_tokens> tokens = ReadTokens(settings.access);
  if (!tokens) {
    std::cerr << tokens.detail() << "\n";
    return kExitSettings;
  }
  const sigset_t signals = BlockSignals();
  std::atomic<errc> outcome = errc::kOk;
  const pthread_t main_thread = pthread_self();
  entry_process process(settings, *key, std::move(*tokens), [&outcome, main_thread](errc code) {
    outcome = code;
    pthread_kill(main_thread, SIGUSR1);
  });
  if (const errc started = process.Start(); started != errc::kOk) {
    std::cerr << "cannot start: " << ErrorName(started) << "\n";
    return kExitFailed;
  }
  int signal = 0;
  while (sigwait(&signals, &signal) == 0) {
    if (signal == SIGUSR1) break;
    process.Drain();
  }
  if (outcome != errc::kOk) std::cerr << "stopped: " << ErrorName(outcome) << "\n";
  return outcome == errc::kOk ? kExitOk : kExitFailed;
}

// Runs on the users' platform, with the settings file that the platform names.
int RunOnPlatform() {
  // No other thread runs yet.
  const char* path = std::getenv(platform::kSettingsPathVariable);  // NOLINT(concurrency-mt-unsafe)
  if (!path) {
    std::cerr << platform::kSettingsPathVariable << " is not set\n";
    return kExitSettings;
  }
  result<platform::platform_settings> settings = platform::LoadSettings(path);
  if (!settings) {
    std::cerr << path << ": " << settings.detail() << "\n";
    return kExitSettings;
  }
  sigset_t signals = BlockSignals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const pthread_t main_thread = pthread_self();
  platform_process process(std::move(*settings), path,
                           [main_thread] { pthread_kill(main_thread, SIGUSR1); });
  if (process.Start() != errc::kOk) return kExitFailed;
  int signal = 0;
  while (sigwait(&signals, &signal) == 0 && signal != SIGUSR1) {
    if (signal == SIGHUP) {
      process.Reload();
    } else {
      process.Drain();
    }
  }
  process.Close();
  // Answers of the store and of hosts may still be on their way to parts that a return would
  // destroy.
  std::_Exit(kExitOk);
}

int Main(int argc, char** argv) {
  CLI::App app("Entry process of the sycamorehinge cluster scheduler", "sycamorehinged");
  std::string path;
  bool check = false;
  bool help_settings = false;
  bool on_platform = false;
  app.set_version_flag("--version", std::string("sycamorehinged ") + SYCAMOREHINGE_VERSION);
  app.add_option("--settings", path, "TOML file with the settings of this process");
  app.add_flag("--check", check, "Check the settings and exit");
  app.add_flag("--help-settings", help_settings, "Print all settings and exit");
  app.add_flag("--platform", on_platform,
               "Run on the users' platform, with the settings file that it provides");
  CLI11_PARSE(app, argc, argv);
  if (on_platform) return RunOnPlatform();
  if (help_settings) {
    std::cout << ParameterHelp();
    return kExitOk;
  }
  if (path.empty()) {
    std::cerr << "--settings is required; see --help\n";
    return kExitSettings;
  }
  const parsed<process_settings> settings = LoadSettings(path);
  if (!settings) {
    std::cerr << ToString(settings.Mistakes());
    return kExitSettings;
  }
  return check ? kExitOk : Run(*settings);
}

}  // namespace
}  // namespace sycamorehinge

int main(int argc, char** argv) { return sycamorehinge::Main(argc, argv); }
