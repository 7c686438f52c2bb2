#include "sycamorehinge/testing/load_plan.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

namespace sycamorehinge::testing {

namespace {

using nlohmann::json;

double Draw(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

std::int64_t Between(std::mt19937_64& random, std::int64_t low, std::int64_t high) {
  return std::uniform_int_distribution<std::int64_t>(low, std::max(low, high))(random);
}

const std::string& Choose(std::span<const weighted_name> names, std::mt19937_64& random) {
  double sum = 0;
  for (const weighted_name& name : names) sum += name.weight;
  double left = Draw(random) * sum;
  for (const weighted_name& name : names) {
    left -= name.weight;
    if (left < 0) return name.name;
  }
  return names.back().name;
}

planned_request PlanRequest(const load_mix& mix, std::string name, std::mt19937_64& random) {
  planned_request request;
  request.tenant = Choose(mix.tenants, random);
  request.work_class = Choose(mix.request_classes, random);
  if (Draw(random) < mix.keyed_share) request.key = name;
  // The name makes the body unique, so that runs can be told apart by their content.
  request.body = "id=" + name + ";";
  if (request.body.size() < mix.body_bytes) request.body.resize(mix.body_bytes, 'x');
  request.name = std::move(name);
  return request;
}

job_kind ChooseKind(const load_mix& mix, std::mt19937_64& random) {
  const double draw = Draw(random);
  if (draw < mix.gang_share) return job_kind::kGang;
  if (draw < mix.gang_share + mix.service_share) return job_kind::kService;
  return job_kind::kBatch;
}

std::string Payload(const load_mix& mix, const planned_job& job, std::mt19937_64& random) {
  json payload = {{"id", job.name}};
  const auto deviate = [&](std::int64_t declared) {
    const double exponent = (2 * Draw(random) - 1) * std::log(std::max(1.0, mix.deviation));
    return static_cast<std::int64_t>(static_cast<double>(declared) * std::exp(exponent));
  };
  if (job.run_time > duration::zero()) {
    payload["actual_run_ms"] =
        std::max<std::int64_t>(1, deviate(job.run_time / std::chrono::milliseconds(1)));
  }
  payload["actual_cores_milli"] = deviate(job.size.cores_milli);
  if (Draw(random) < mix.failing_share) payload["fail"] = true;
  return payload.dump();
}

planned_job PlanJob(const load_mix& mix, std::string name, std::mt19937_64& random) {
  planned_job job;
  job.name = std::move(name);
  job.tenant = Choose(mix.tenants, random);
  job.work_class = Choose(mix.job_classes, random);
  job.kind = ChooseKind(mix, random);
  const std::int64_t least_tasks = job.kind == job_kind::kGang ? 2 : 1;
  job.tasks = static_cast<std::uint32_t>(Between(random, least_tasks, mix.most_tasks));
  job.size.cores_milli =
      Between(random, std::max<std::int64_t>(1, mix.cores_milli / 4), mix.cores_milli);
  job.size.memory_mb = Between(random, mix.memory_mb / 4, mix.memory_mb);
  job.size.accelerators = Between(random, 0, mix.accelerators);
  if (job.kind != job_kind::kService) {
    job.run_time = duration(Between(random, mix.run.least.count(), mix.run.most.count()));
  }
  // A service that runs at most once cannot be restarted, which is not what services are for.
  job.idempotent = job.kind == job_kind::kService || Draw(random) >= mix.once_share;
  job.cancel = Draw(random) < mix.cancel_share;
  job.payload = Payload(mix, job, random);
  return job;
}

}  // namespace

result<std::vector<weighted_name>> ParseWeights(std::string_view text) {
  std::vector<weighted_name> names;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const std::string_view part = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const std::size_t equals = std::min(part.find('='), part.size());
    weighted_name parsed{std::string(part.substr(0, equals)), 1};
    if (equals < part.size()) {
      const std::string_view number = part.substr(equals + 1);
      const auto [end, error] =
          std::from_chars(number.data(), number.data() + number.size(), parsed.weight);
      if (error != std::errc() || end != number.data() + number.size() || parsed.weight <= 0) {
        return {errc::kMalformed, "weight in " + std::string(part)};
      }
    }
    if (parsed.name.empty()) return {errc::kMalformed, "empty name in a list of weights"};
    names.push_back(std::move(parsed));
  }
  if (names.empty()) return {errc::kMalformed, "empty list of weights"};
  return names;
}

std::string_view ToString(job_kind kind) {
  switch (kind) {
    case job_kind::kBatch:
      return "batch";
    case job_kind::kService:
      return "service";
    case job_kind::kGang:
      return "gang";
  }
  return "batch";
}

planned_work PlanWork(const load_mix& mix, std::uint64_t number) {
  std::string name = mix.name + "-" + std::to_string(number);
  std::mt19937_64 random(StableHash(name, mix.seed));
  if (Draw(random) < mix.job_share) return PlanJob(mix, std::move(name), random);
  return PlanRequest(mix, std::move(name), random);
}

std::string JobBody(const load_mix& mix, const planned_job& job) {
  json body = {{"environment", mix.environment},
               {"tenant", job.tenant},
               {"class", job.work_class},
               {"key", job.name},
               {"kind", ToString(job.kind)},
               {"tasks", job.tasks},
               {"size",
                {{"cores_milli", job.size.cores_milli},
                 {"memory_mb", job.size.memory_mb},
                 {"accelerators", job.size.accelerators}}},
               {"run_ms", job.run_time / std::chrono::milliseconds(1)},
               {"idempotent", job.idempotent},
               {"preemptible", job.idempotent},
               {"payload", job.payload}};
  if (mix.deadline > duration::zero()) {
    body["deadline_ms"] = mix.deadline / std::chrono::milliseconds(1);
  }
  return body.dump();
}

std::string ExpectedAnswer(std::string_view body) { return "done:" + std::string(body); }

}  // namespace sycamorehinge::testing
