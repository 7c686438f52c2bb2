// sycamorehinge-standin: plays the platform (log, host list, workers, targets) over HTTP.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <string>

#include "sycamorehinge/testing/platform.h"
#include "sycamorehinge/testing/standin_api.h"
#include "sycamorehinge/testing/standin_server.h"

namespace {

using namespace sycamorehinge;           // NOLINT(google-build-using-namespace)
using namespace sycamorehinge::testing;  // NOLINT(google-build-using-namespace)

struct options {
  std::uint16_t port = 9000;
  std::string listen = "127.0.0.1";
  std::uint64_t seed = 1;
  std::string history;
  topology shape;
  double cores = 30;
  std::int64_t memory_gb = 130;
  std::int64_t service_time_ms = 5;
  std::int64_t usage_lag_ms = 2'000;
  double log_rate = 0;
  std::uint64_t log_retention = 0;
  std::int64_t list_lag_ms = 0;
};

void AddOptions(CLI::App& app, options& chosen) {
  topology& shape = chosen.shape;
  app.add_option("--port", chosen.port, "TCP port");
  app.add_option("--listen", chosen.listen, "IPv4 address");
  app.add_option("--seed", chosen.seed, "seed of all random faults");
  app.add_option("--history", chosen.history, "file to which events are appended");
  app.add_option("--regions", shape.regions, "regions, separated by commas")->delimiter(',');
  app.add_option("--data-centres", shape.data_centres_per_region, "data centres of a region");
  app.add_option("--workers", shape.workers, "workers in all regions");
  app.add_option("--targets", shape.targets, "targets in all regions");
  app.add_option("--rack-size", shape.rack_size, "hosts of a rack");
  app.add_option("--cores", chosen.cores, "cores of a worker");
  app.add_option("--memory-gb", chosen.memory_gb, "memory of a worker");
  app.add_option("--accelerators", shape.accelerators, "accelerators of all workers");
  app.add_option("--accelerators-per-worker", shape.accelerators_per_worker,
                 "accelerators of one worker that has any");
  app.add_option("--slots", shape.slots, "requests that a target runs at once");
  app.add_option("--environment", shape.environment, "environment of all hosts");
  app.add_option("--service", shape.service, "service of all targets");
  app.add_option("--service-time-ms", chosen.service_time_ms, "time of one request on a target");
  app.add_option("--usage-lag-ms", chosen.usage_lag_ms, "age of a task before usage is reported");
  app.add_option("--log-rate", chosen.log_rate, "appends per second; 0 for no bound");
  app.add_option("--log-retention", chosen.log_retention, "entries of a stream; 0 for no bound");
  app.add_option("--list-lag-ms", chosen.list_lag_ms, "lag of the host list");
}

int Serve(options& chosen) {
  topology& shape = chosen.shape;
  if (shape.regions.empty() || shape.rack_size == 0 || shape.data_centres_per_region == 0) {
    (void)std::fprintf(stderr, "regions, rack size and data centres must not be empty\n");
    return 2;
  }
  shape.worker.cores_milli = static_cast<std::int64_t>(chosen.cores * 1000);
  shape.worker.memory_mb = chosen.memory_gb * 1024;
  shape.service_time = std::chrono::milliseconds(chosen.service_time_ms);
  shape.usage_lag = std::chrono::milliseconds(chosen.usage_lag_ms);
  const auto history = history_writer::Open(chosen.history);
  if (!history) {
    (void)std::fprintf(stderr, "%s\n", std::string(history.detail()).c_str());
    return 1;
  }
  platform stand_in(shape, chosen.seed, *history);
  stand_in.ChangeLog([&](log_settings& settings) {
    settings.rate = chosen.log_rate;
    settings.retention = chosen.log_retention;
  });
  stand_in.ChangeList([&](list_settings& settings) {
    settings.lag = std::chrono::milliseconds(chosen.list_lag_ms);
  });
  standin_api api(stand_in, "http://" + chosen.listen + ":" + std::to_string(chosen.port));
  const auto server = standin_server::Start(chosen.listen, chosen.port, api);
  if (!server) {
    (void)std::fprintf(stderr, "%s\n", std::string(server.detail()).c_str());
    return 1;
  }
  (void)std::printf("ready %s:%u\n", chosen.listen.c_str(), unsigned{chosen.port});
  (void)std::fflush(stdout);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
  stand_in.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  // Blocked before any thread starts, so that only sigwait takes them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  CLI::App app("Stand-in of the platform: log, host list, workers and targets");
  options chosen;
  AddOptions(app, chosen);
  CLI11_PARSE(app, argc, argv);
  return Serve(chosen);
}
