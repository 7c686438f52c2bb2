#include "sycamorehinge/core/bench.h"

#include <array>
#include <cstdio>

#include "commands/commands.h"
#include "json_fields.h"
#include "text_table.h"

namespace sycamorehinge {

namespace {

// The simulated workload keeps every item in memory.
constexpr std::uint32_t kMaxHosts = 100'000;
constexpr std::uint32_t kMaxItems = 10'000'000;

std::string SignatureText(std::uint64_t signature) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(signature));
  return digits.data();
}

nlohmann::json BenchJson(const bench_result& measured) {
  nlohmann::json sections = nlohmann::json::array();
  for (const bench_section& section : measured.sections) {
    nlohmann::json counts = nlohmann::json::object();
    for (const auto& [name, count] : section.counts) counts[std::string(name)] = count;
    sections.push_back({{"module", section.module},
                        {"signature", SignatureText(section.signature)},
                        {"counts", std::move(counts)}});
  }
  return {{"signature", SignatureText(measured.signature)}, {"sections", std::move(sections)}};
}

exit_code RunBenchCommand(command_context& context, const bench_options& options) {
  const bench_result measured = RunBench(options);
  if (context.format == output_format::kJson) {
    context.out << JsonText(BenchJson(measured)) << "\n";
    return exit_code::kOk;
  }
  text_table table({"module", "signature", "counts"});
  for (const bench_section& section : measured.sections) {
    std::string counts;
    for (const auto& [name, count] : section.counts) {
      if (!counts.empty()) counts += ' ';
      counts.append(name).append("=").append(std::to_string(count));
    }
    table.Add({std::string(section.module), SignatureText(section.signature), counts});
  }
  context.out << table.Render() << "signature " << SignatureText(measured.signature) << "\n";
  return exit_code::kOk;
}

}  // namespace

void AddBenchCommand(command_registry& registry) {
  AddCommand<bench_options>(
      registry, "bench", "Run a fixed workload over the decisions and print its signature",
      [](CLI::App& app, bench_options& options) {
        app.add_option("--seed", options.seed, "Seed of the workload")->capture_default_str();
        app.add_option("--hosts", options.hosts, "Hosts")
            ->check(CLI::Range(std::uint32_t{1}, kMaxHosts))
            ->capture_default_str();
        app.add_option("--items", options.items, "Work items")
            ->check(CLI::Range(std::uint32_t{1}, kMaxItems))
            ->capture_default_str();
      },
      RunBenchCommand);
}

}  // namespace sycamorehinge
