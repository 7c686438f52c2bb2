// sycamorehinge-load: sends requests and jobs to entry processes and follows them.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "sycamorehinge/testing/load_runner.h"

namespace {

using namespace sycamorehinge;           // NOLINT(google-build-using-namespace)
using namespace sycamorehinge::testing;  // NOLINT(google-build-using-namespace)

struct arguments {
  load_options load;
  std::string history;
  std::string tenants = "tenant";
  std::string request_classes = "confirmation";
  std::string job_classes = "payout";
  double seconds = 10;
  double wait_seconds = 60;
  std::int64_t timeout_ms = 30'000;
  std::int64_t deadline_ms = 0;
  std::int64_t run_least_ms = 200;
  std::int64_t run_most_ms = 2'000;
};

void AddOptions(CLI::App& app, arguments& given) {
  load_options& load = given.load;
  app.add_option("--entries", load.entries, "addresses of entry hosts, separated by commas")
      ->delimiter(',')
      ->required();
  app.add_option("--token", load.caller_token, "caller's token")
      ->envname("SYCAMOREHINGE_CALLER_TOKEN");
  app.add_option("--operator-token", load.operator_token, "operator's token, for --watch")
      ->envname("SYCAMOREHINGE_OPERATOR_TOKEN");
  app.add_option("--watch", load.watch, "document to watch at all entries: ENVIRONMENT/STAGE");
  app.add_option("--history", given.history, "file to which events are appended");
  app.add_option("--threads", load.threads, "sending threads");
  app.add_option("--rate", load.rate, "requests and jobs per second");
  app.add_option("--seconds", given.seconds, "time of sending");
  app.add_option("--attempts", load.attempts, "sendings of one piece of work");
  app.add_option("--timeout-ms", given.timeout_ms, "longest time of one call");
  app.add_option("--wait-seconds", given.wait_seconds, "longest wait for the end of all jobs");
}

void AddMixOptions(CLI::App& app, arguments& given) {
  load_mix& mix = given.load.mix;
  app.add_option("--name", mix.name, "prefix of all names; unique among runs of one history");
  app.add_option("--seed", mix.seed, "seed of the mix");
  app.add_option("--environment", mix.environment, "environment");
  app.add_option("--service", mix.service, "service of the requests");
  app.add_option("--tenants", given.tenants, "tenants with weights: a=2,b");
  app.add_option("--request-classes", given.request_classes, "classes of requests with weights");
  app.add_option("--job-classes", given.job_classes, "classes of jobs with weights");
  app.add_option("--job-share", mix.job_share, "share of jobs");
  app.add_option("--keyed-share", mix.keyed_share, "share of requests that run at most once");
  app.add_option("--gang-share", mix.gang_share, "share of jobs that are gangs");
  app.add_option("--service-share", mix.service_share, "share of jobs that are services");
  app.add_option("--cancel-share", mix.cancel_share, "share of jobs that are cancelled");
  app.add_option("--failing-share", mix.failing_share, "share of jobs that fail");
  app.add_option("--once-share", mix.once_share, "share of jobs that run at most once");
  app.add_option("--tasks", mix.most_tasks, "most tasks of a job");
  app.add_option("--run-least-ms", given.run_least_ms, "shortest declared run time");
  app.add_option("--run-most-ms", given.run_most_ms, "longest declared run time");
  app.add_option("--deviation", mix.deviation, "largest factor between declared and actual");
  app.add_option("--cores-milli", mix.cores_milli, "largest cores of a task");
  app.add_option("--memory-mb", mix.memory_mb, "largest memory of a task");
  app.add_option("--accelerators", mix.accelerators, "most accelerators of a task");
  app.add_option("--body-bytes", mix.body_bytes, "least size of a request body");
  app.add_option("--deadline-ms", given.deadline_ms, "deadline of all work; 0 for none");
}

// False, with a message, for arguments that no run can use.
bool Finish(arguments& given) {
  load_options& load = given.load;
  const auto read = [](const std::string& text, std::vector<weighted_name>& names) {
    auto parsed = ParseWeights(text);
    if (!parsed) {
      (void)std::fprintf(stderr, "%s\n", std::string(parsed.detail()).c_str());
      return false;
    }
    names = std::move(*parsed);
    return true;
  };
  if (!read(given.tenants, load.mix.tenants)) return false;
  if (!read(given.request_classes, load.mix.request_classes)) return false;
  if (!read(given.job_classes, load.mix.job_classes)) return false;
  if (load.rate <= 0 || load.threads == 0 || load.attempts == 0) {
    (void)std::fprintf(stderr, "rate, threads and attempts must be positive\n");
    return false;
  }
  load.length = std::chrono::duration_cast<duration>(std::chrono::duration<double>(given.seconds));
  load.job_wait =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(given.wait_seconds));
  load.timeout = std::chrono::milliseconds(given.timeout_ms);
  load.mix.deadline = std::chrono::milliseconds(given.deadline_ms);
  load.mix.run = {std::chrono::milliseconds(given.run_least_ms),
                  std::chrono::milliseconds(given.run_most_ms)};
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Sends requests and jobs to entry processes and follows them");
  arguments given;
  given.load.mix.name = "load" + std::to_string(getpid());
  AddOptions(app, given);
  AddMixOptions(app, given);
  CLI11_PARSE(app, argc, argv);
  if (!Finish(given)) return 2;
  const auto history = history_writer::Open(given.history);
  if (!history) {
    (void)std::fprintf(stderr, "%s\n", std::string(history.detail()).c_str());
    return 2;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  load_runner runner(std::move(given.load), *history);
  runner.Run();
  (void)std::fputs(runner.Stats().Print().c_str(), stdout);
  (void)std::printf("rate %.1f 1/s\n", runner.MeasuredRate());
  curl_global_cleanup();
  return 0;
}
