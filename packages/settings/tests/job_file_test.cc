#include "sycamorehinge/settings/job_file.h"

#include <catch2/catch.hpp>
#include <string>

namespace sycamorehinge {
namespace {

// Guards against sizes and times that reach the scheduler in the wrong unit.
TEST_CASE("A job file is read with its units") {
  const auto job = ParseJob(
      "environment = \"sutepuu\"\ntenant = \"members\"\nclass = \"payout\"\nkind = \"gang\"\n"
      "tasks = 8\nsize = {cores = 2.5, memory_gb = 4}\nrun_ms = 1500\nidempotent = false\n",
      "job.toml");
  REQUIRE(ToString(job.Mistakes()) == "");
  CHECK(job->environment.value == "sutepuu");
  CHECK(job->kind == work_kind::kGang);
  CHECK(job->tasks == 8);
  CHECK(job->size == resources{2500, 4096, 0, 0});
  CHECK(job->run_time == std::chrono::milliseconds(1500));
  CHECK_FALSE(job->idempotent);
  CHECK(job->preemptible);
}

// Guards against a job that is submitted although its file is wrong.
TEST_CASE("Mistakes of a job file are reported") {
  const auto job =
      ParseJob("kind = \"gangs\"\ntasks = 0\nidempotent = 1\nsize = 3\nclas = \"c\"\n", "job.toml");
  const std::string report = ToString(job.Mistakes());
  CHECK(report.find("job.toml:1:8: kind: expected batch, service or gang (malformed); did you mean "
                    "gang?") != std::string::npos);
  CHECK(report.find("tasks: expected whole number from 1") != std::string::npos);
  CHECK(report.find("idempotent: expected true or false") != std::string::npos);
  CHECK(report.find("size: expected a table") != std::string::npos);
  CHECK(report.find("clas: unknown key (unknown_key); did you mean class?") != std::string::npos);
}

// Guards against `check` holding a file to the rules of another kind.
TEST_CASE("The kind of a file is told by its keys") {
  CHECK(GuessFileKind("[process]\nname = \"e\"\n") == file_kind::kSettings);
  CHECK(GuessFileKind("name = \"e\"\n[[class]]\n") == file_kind::kEnvironment);
  CHECK(GuessFileKind("environment = \"e\"\ntasks = 1\n") == file_kind::kJob);
  CHECK(GuessFileKind("= broken") == file_kind::kEnvironment);
}

}  // namespace
}  // namespace sycamorehinge
