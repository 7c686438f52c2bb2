#include "commands/commands.h"
#include "exposition.h"
#include "histogram_text.h"
#include "json_fields.h"

namespace sycamorehinge {

namespace {

struct metrics_options {
  std::string name;
  bool raw = false;
};

nlohmann::json MetricsJson(const metric_groups& groups) {
  nlohmann::json histograms = nlohmann::json::array();
  for (const metric_histogram& histogram : groups.histograms) {
    nlohmann::json buckets = nlohmann::json::array();
    for (const histogram_bucket& bucket : histogram.buckets) {
      // JSON has no infinity; dump() writes null for it.
      buckets.push_back({{"limit", bucket.limit}, {"count", bucket.count}});
    }
    histograms.push_back({{"name", histogram.name},
                          {"labels", histogram.labels},
                          {"count", histogram.count},
                          {"sum", histogram.sum},
                          {"buckets", buckets}});
  }
  nlohmann::json single = nlohmann::json::array();
  for (const metric_sample& sample : groups.single) {
    single.push_back({{"name", sample.name}, {"labels", sample.labels}, {"value", sample.value}});
  }
  return {{"histograms", histograms}, {"samples", single}};
}

exit_code RunMetrics(command_context& context, const metrics_options& options) {
  const result<api_reply> reply =
      context.api.Send({.path = "/v1/metrics"}, repeat_rule::kRepeatable);
  if (!reply || reply->status != 200) return Fail(context, ErrorOf(reply, call_kind::kRead));
  if (options.raw) {
    context.out << reply->body;
    return exit_code::kOk;
  }
  std::vector<metric_sample> samples = ParseExposition(reply->body);
  std::erase_if(samples, [&options](const metric_sample& sample) {
    return sample.name.find(options.name) == std::string::npos;
  });
  const metric_groups groups = GroupMetrics(samples);
  if (context.format == output_format::kJson) {
    context.out << JsonText(MetricsJson(groups)) << "\n";
  } else {
    context.out << MetricsText(groups);
  }
  return exit_code::kOk;
}

}  // namespace

void AddMetricsCommand(command_registry& registry) {
  AddCommand<metrics_options>(
      registry, "metrics", "Show the metrics of one entry process, histograms as bars",
      [](CLI::App& app, metrics_options& options) {
        app.add_option("--name", options.name, "Only metrics whose name contains this text");
        app.add_flag("--raw", options.raw, "Print the text exposition as it is");
      },
      RunMetrics);
}

}  // namespace sycamorehinge
