// Program sycamorehingectl: operates sycamorehinge from the command line.
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "command_line.h"
#include "curl_transport.h"

namespace sycamorehinge {
namespace {

std::string Variable(const char* name) {
  // The program has one thread and never changes its environment.
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? std::string() : std::string(value);
}

api_clock SystemClock() {
  return {[] { return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now()); },
          [](duration time) { std::this_thread::sleep_for(time); }};
}

}  // namespace
}  // namespace sycamorehinge

int main(int argc, char** argv) {
  using namespace sycamorehinge;  // NOLINT(google-build-using-namespace)
  program_environment environment{CurlTransport(),
                                  SystemClock(),
                                  std::cout,
                                  std::cerr,
                                  isatty(STDERR_FILENO) == 1,
                                  Variable("SYCAMOREHINGE_ENTRY"),
                                  Variable("SYCAMOREHINGE_TOKEN"),
                                  Variable("USER")};
  const int code =
      RunProgram(std::vector<std::string>(argv + 1, argv + argc), std::move(environment));
  std::cout.flush();
  // A full disk or closed pipe must not look like success.
  return code == 0 && !std::cout ? 1 : code;
}
