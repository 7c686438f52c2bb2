// sycamorehinge-check: decides from histories whether the scheduler kept its guarantees.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>
#include <vector>

#include "sycamorehinge/testing/checker.h"
#include "sycamorehinge/testing/figures.h"

namespace {

using namespace sycamorehinge;           // NOLINT(google-build-using-namespace)
using namespace sycamorehinge::testing;  // NOLINT(google-build-using-namespace)

// Exit status: 0 all promises held, 1 some promise broken, 2 unreadable history.
int CheckFiles(const std::vector<std::string>& files, const check_options& options,
               bool with_figures) {
  std::vector<history_event> events;
  for (const std::string& file : files) {
    std::string detail;
    if (ReadHistory(file, events, detail) == errc::kOk) continue;
    (void)std::fprintf(stderr, "%s\n", detail.c_str());
    return 2;
  }
  if (events.empty()) {
    (void)std::fprintf(stderr, "the histories hold no events\n");
    return 2;
  }
  const check_report report = Check(events, options);
  if (with_figures) (void)std::fputs(ToString(Measure(events)).c_str(), stdout);
  (void)std::fputs(ToString(report).c_str(), stdout);
  return report.Held() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Checks histories of the stand-ins and of callers");
  std::vector<std::string> files;
  std::int64_t leaving_grace_ms = 5'000;
  std::int64_t document_within_ms = 9'000;
  check_options options;
  app.add_option("files", files, "history files")->required();
  app.add_option("--leaving-grace-ms", leaving_grace_ms,
                 "time in which a leaving host may still get work");
  app.add_option("--document-within-ms", document_within_ms,
                 "time in which an accepted document must be in force everywhere");
  app.add_option("--findings", options.shown_findings, "findings shown for each promise");
  bool with_figures = false;
  app.add_flag("--figures", with_figures, "also print waits, packing and control traffic");
  CLI11_PARSE(app, argc, argv);
  options.leaving_grace = std::chrono::milliseconds(leaving_grace_ms);
  options.document_within = std::chrono::milliseconds(document_within_ms);
  return CheckFiles(files, options, with_figures);
}
