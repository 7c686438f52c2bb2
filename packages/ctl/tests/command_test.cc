#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "fake_api.h"
#include "json_fields.h"

namespace sycamorehinge {
namespace {

constexpr const char* kExample = SYCAMOREHINGE_SOURCE "/examples/sutepuu.toml";
constexpr const char* kUnknownEnvironment =
    R"({"error":"unknown_environment","outcome":"not_run"})";

bool Contains(const std::ostringstream& stream, std::string_view text) {
  return stream.str().find(text) != std::string::npos;
}

// Guards against an apply that replaces a document that the operator has not seen.
TEST_CASE("Apply names the version in force as base") {
  fake_api api;
  api.Reply(200, R"({"version":7,"base":3,"author":"x","text":"","wall_ms":1})");
  api.Reply(200, R"({"version":9})");
  CHECK(api.Run({"apply", kExample}) == 0);
  CHECK(Contains(api.out, "sutepuu trial: version 9 replaces 7"));
  REQUIRE(api.calls.size() == 2);
  const nlohmann::json body = ParseJson(api.calls[1].request.body);
  CHECK(api.calls[1].request.path == "/v1/environments/sutepuu/trial");
  CHECK(body["base"] == 7);
  CHECK(body["author"] == "operator");
}

// Guards against a loser of two concurrent changes that believes to have won.
TEST_CASE("A conflict names the winner") {
  fake_api api;
  api.Reply(409, R"({"error":"version_conflict","code":110,"outcome":"not_run","detail":"",
                     "winner":{"version":12,"author":"mari"}})");
  CHECK(api.Run({"apply", "--base", "7", kExample}) == 3);
  CHECK(Contains(api.err, "version 12 by mari is in force"));
}

// Guards against telling an operator "unknown" or "failed" for a change that is in force.
TEST_CASE("The history tells what became of an apply whose reply was lost") {
  fake_api api;
  std::ifstream file(kExample);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const nlohmann::json ours = {
      {"version", 9}, {"base", 7}, {"author", "operator"}, {"text", text}, {"wall_ms", 1}};
  nlohmann::json other = ours;
  other["author"] = "mari";

  api.Lose();
  api.Reply(200, JsonText({{"versions", {ours}}}));
  CHECK(api.Run({"apply", "--base", "7", kExample}) == 0);
  api.Lose();
  api.Reply(200, JsonText({{"versions", {other}}}));
  CHECK(api.Run({"apply", "--base", "7", kExample}) == 3);
  api.Lose();
  api.Reply(200, R"({"versions":[{"version":7}]})");
  CHECK(api.Run({"apply", "--base", "7", kExample}) == 5);
}

// Guards against promoting a document that changed after it was reviewed.
TEST_CASE("Promote sends the text of the trial") {
  fake_api api;
  const std::string trial = R"({"version":9,"author":"x","text":"name = 'e'"})";
  api.Reply(200, trial);
  api.Reply(404, kUnknownEnvironment);
  api.Reply(200, R"({"version":11})");
  CHECK(api.Run({"promote", "e", "--trial", "9"}) == 0);
  const nlohmann::json body = ParseJson(api.calls[2].request.body);
  CHECK(api.calls[2].request.path == "/v1/environments/e/production");
  CHECK(body["text"] == "name = 'e'");
  CHECK(body["base"] == 0);

  api.Reply(200, trial);
  CHECK(api.Run({"promote", "e", "--trial", "8"}) == 3);
  api.Reply(404, kUnknownEnvironment);
  CHECK(api.Run({"promote", "e"}) == 4);
}

// Guards against a job that is submitted twice, or lost, when replies are lost.
TEST_CASE("Submit repeats a lost submission under the same key") {
  fake_api api;
  api.Lose();
  api.Reply(202, R"({"job":"p3-120-7"})");
  CHECK(api.Run({"submit", "--environment", "e", "--tenant", "t", "--class", "c", "--cores", "1.5",
                 "--memory-gb", "4", "--kind", "gang", "--tasks", "8"}) == 0);
  CHECK(api.out.str() == "p3-120-7\n");
  REQUIRE(api.calls.size() == 2);
  CHECK(api.calls[0].request.body == api.calls[1].request.body);
  const nlohmann::json body = ParseJson(api.calls[0].request.body);
  CHECK(body["key"].get<std::string>().starts_with("ctl-"));
  CHECK(body["size"]["cores_milli"] == 1500);
  CHECK(body["size"]["memory_mb"] == 4096);
  CHECK(body["kind"] == "gang");
}

// Guards against wrong usage that reaches an entry process or looks like a failure of it.
TEST_CASE("Wrong usage exits with 2 and calls nothing") {
  const std::vector<std::vector<std::string>> lines = {
      {},
      {"nonsense"},
      {"status", "not-a-job"},
      {"history", "e", "somewhere"},
      {"hosts", "--entry", "ftp://x"},
      {"hosts", "--token-file", "/nonexistent"},
      {"diff"},
      {"drain", "--entry", "http://a", "--entry", "http://b"},
      {"submit", "--environment", "e"},
      {"submit", "--cores", "nan"},
      {"submit", "--environment", "\xff"},
  };
  for (const auto& line : lines) {
    fake_api api;
    INFO((line.empty() ? "" : line[0]));
    CHECK(api.Run(line) == 2);
    CHECK(api.calls.empty());
    CHECK_FALSE(api.err.str().empty());
  }
}

// Guards against commands that cannot be explored on the command line.
TEST_CASE("Every command has help and version") {
  for (const char* name : {"check", "diff", "apply", "promote", "history", "submit", "status",
                           "cancel", "wait", "request", "hosts", "queues", "explain", "state",
                           "metrics", "drain", "bench", "help-settings"}) {
    fake_api api;
    INFO(name);
    CHECK(api.Run({name, "--help"}) == 0);
    CHECK(Contains(api.out, "Exit codes"));
    CHECK(api.Run({name, "--version"}) == 0);
  }
}

// Guards against a wait that ends on a passing failure, or never.
TEST_CASE("Wait outlasts failures and ends with the job") {
  fake_api api;
  api.terminal = true;
  api.Refuse();
  api.Reply(503, R"({"error":"home_unreachable","outcome":"not_run"})");
  api.Reply(200, R"({"job":"p1-2-3","state":"running","tasks":4,"done":1})");
  api.Reply(200, R"({"job":"p1-2-3","state":"failed","outcome":"fails_everywhere","tasks":4})");
  CHECK(api.Run({"wait", "p1-2-3"}) == 1);
  CHECK(Contains(api.err, "running, 1 of 4 tasks done"));
  CHECK(Contains(api.out, "fails_everywhere"));

  // All connections are refused from here on.
  const time_point start = api.now;
  CHECK(api.Run({"wait", "p1-2-3"}) == 6);
  CHECK(api.now - start < std::chrono::minutes(2));

  api.Reply(404, R"({"error":"unknown_job","outcome":"not_run"})");
  CHECK(api.Run({"wait", "p1-2-3"}) == 1);
  api.Reply(200, R"({"job":"p1-2-3","state":"queued","tasks":4})");
  CHECK(api.Run({"wait", "p1-2-3", "--wait-ms", "0.5"}) == 2);
  CHECK(api.Run({"wait", "p1-2-3", "--wait-ms", "1000"}) == 6);
}

// Guards against a status that reports an end of an attempt that still runs.
TEST_CASE("Status shows how attempts ended, but not of the first one while it runs") {
  fake_api api;
  api.Reply(200, R"({"job":"p1-2-3","state":"running","tasks":2,"attempts":[
      {"task":"p1-2-3.0","attempts":1,"open":true,"host":"w1","last":"never_ran"},
      {"task":"p1-2-3.1","attempts":2,"open":true,"host":"w2","last":"lost"}]})");
  CHECK(api.Run({"status", "p1-2-3"}) == 0);
  CHECK_FALSE(Contains(api.out, "never_ran"));
  CHECK(Contains(api.out, "p1-2-3.1         2  yes   w2    lost"));
}

// Guards against an answer that is altered on its way to the terminal.
TEST_CASE("Request prints the answer byte by byte") {
  fake_api api;
  const std::string answer("a\0\xff\r\n", 5);
  api.Reply(200, answer);
  CHECK(api.Run({"request", "s", "--environment", "e", "--tenant", "t", "--class", "c", "--key",
                 "k", "--not-idempotent", "--body", "order"}) == 0);
  CHECK(api.out.str() == answer);
  CHECK(api.calls[0].request.path == "/v1/requests/s");
  CHECK(api.calls[0].request.body == "order");

  // The answer of another request must not be taken for this one's.
  api.replies.push_back(api_reply{200, "x", "other"});
  CHECK(api.Run({"request", "s", "--environment", "e", "--tenant", "t", "--class", "c"}) == 5);
}

// Guards against replies with missing fields or control sequences that reach the terminal.
TEST_CASE("Lists are shown as tables and survive odd replies") {
  fake_api api;
  api.Reply(200, R"({"hosts":[{"host":"w1","kind":"worker","holder":"e1","term":4,"running":2,
      "capacity":{"cores_milli":30000,"memory_mb":133120},"taken":{"cores_milli":1500}},
      {"host":"w2\u001b[2J","leaving":true}, 5]})");
  CHECK(api.Run({"hosts"}) == 0);
  CHECK(Contains(api.out, "1.5 cores  30 cores, 130 GB"));
  CHECK(Contains(api.out, "w2?[2J"));
  CHECK(Contains(api.out, "leaving"));
  api.Reply(200, R"({"queues":[{"environment":"e","service":"","class":"c","waiting":3,
      "running":1,"expected_wait_ms":1500}]})");
  CHECK(api.Run({"queues"}) == 0);
  CHECK(Contains(api.out, "(workers)"));
  CHECK(Contains(api.out, "1.5 s"));
  api.Reply(200, R"({"process":"e1","partitions":[{"number":3}]})");
  CHECK(api.Run({"state"}) == 0);
  CHECK(Contains(api.out, "partitions[0].number  3"));
}

// Guards against a signature that changes from run to run, which would show changes of decisions
// where there are none.
TEST_CASE("Bench prints the same signature for the same seed") {
  const std::vector<std::string> line = {"bench", "--hosts", "5", "--items", "200"};
  fake_api first;
  fake_api second;
  CHECK(first.Run(line) == 0);
  CHECK(second.Run(line) == 0);
  CHECK(Contains(first.out, "\nsignature "));
  CHECK(first.out.str() == second.out.str());
  CHECK(first.calls.empty());
}

// Guards against a check that passes a wrong file or hides some of its mistakes.
TEST_CASE("Check prints every mistake") {
  const std::string path =
      (std::filesystem::temp_directory_path() / "sycamorehinge_ctl_check.toml").string();
  std::ofstream(path) << "[process]\nname = 1\n[http]\nprt = 1\n";
  fake_api api;
  CHECK(api.Run({"check", path}) == 1);
  CHECK(Contains(api.err, ":2:8: process.name"));
  CHECK(Contains(api.err, "http.prt: unknown key (unknown_key); did you mean port?"));
  CHECK(api.Run({"check", path, "--output", "json"}) == 1);
  CHECK_FALSE(ParseJson(api.out.str())["mistakes"].empty());
  std::filesystem::remove(path);
}

// Guards against a configuration that is sent although every process would reject it, and against
// keys and the network in a check of files.
TEST_CASE("Check reports findings on a platform configuration") {
  const std::string example = SYCAMOREHINGE_SOURCE "/platform/examples/config.json";
  const std::string path =
      (std::filesystem::temp_directory_path() / "sycamorehinge_ctl_check.json").string();
  fake_api api;
  CHECK(api.Run({"check", "--platform", example}) == 0);
  CHECK(Contains(api.out, "platform configuration without errors"));
  CHECK(api.Run({"check", "--platform", example, "--in-force", example}) == 1);
  CHECK(Contains(api.out, "error: configuration: version 8 is not higher than version 8 in force"));

  std::ifstream file(example);
  nlohmann::json next = ParseJson(std::string{std::istreambuf_iterator<char>(file), {}});
  next["version"] = 9;
  next["limits"] = nlohmann::json::object();
  next["services"].push_back({{"name", "idle"}});
  std::ofstream(path) << next;
  api.out.str("");
  CHECK(api.Run({"check", "--platform", path, "--in-force", example}) == 0);
  CHECK(Contains(api.out, "warning: service 'idle': has no queue\n"));
  CHECK(Contains(api.out, "change: service 'idle': added\n"));
  CHECK(Contains(api.out, "change: limits: "));
  CHECK_FALSE(Contains(api.out, "replace-this"));

  next["tenants"][1]["weight"] = -1;
  next["version"] = "9";
  std::ofstream(path) << next;
  api.out.str("");
  CHECK(api.Run({"check", "--platform", path, "--output", "json"}) == 1);
  CHECK(ParseJson(api.out.str())["findings"].size() == 2);
  CHECK(Contains(api.out, "tenants[1]: a field is missing"));
  CHECK(api.Run({"check", "--platform", example, "--in-force", "/dev/null"}) == 1);
  CHECK(Contains(api.out, "in force: the text is not a JSON object"));

  CHECK(api.Run({"check"}) == 2);
  CHECK(api.Run({"check", path, "--platform", path}) == 2);
  CHECK(api.Run({"check", path, "--in-force", path}) == 2);
  CHECK(api.calls.empty());
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace sycamorehinge
