#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "base64.h"
#include "sycamorehinge/testing/caller_client.h"
#include "sycamorehinge/testing/platform.h"
#include "sycamorehinge/testing/standin_api.h"
#include "sycamorehinge/testing/standin_server.h"

namespace sycamorehinge::testing {
namespace {

using nlohmann::json;

topology SmallShape() {
  topology shape;
  shape.workers = 6;
  shape.targets = 3;
  shape.rack_size = 1;
  shape.accelerators = 6;
  shape.accelerators_per_worker = 4;
  shape.service_time = std::chrono::milliseconds(1);
  return shape;
}

// The interface without a socket.
class stand_in {
 public:
  stand_in()
      : platform_(SmallShape(), 1, *history_writer::Open("")), api_(platform_, "http://a:1") {}

  api_reply Call(std::string_view method, std::string_view path, const std::string& body = "",
                 std::map<std::string, std::string> values = {}) {
    const auto find = [&values](const char* name) { return values[name]; };
    return api_.Handle({method, path, body, find, find});
  }
  json Get(std::string_view path) { return json::parse(Call("GET", path).body); }
  standin_api& Api() { return api_; }

 private:
  platform platform_;
  standin_api api_;
};

constexpr const char* kWorker = "/v1/hosts/worker-harju-0000/";
constexpr const char* kTarget = "/v1/hosts/target-harju-0000/";
constexpr const char* kClaim = R"({"holder":"e1","term":0,"ttl_ms":2000,"keep":[],"ack":[]})";

std::string Path(const char* host, const char* call) { return std::string(host) + call; }

// Guards against a topology that differs from the one that the options ask for.
TEST_CASE("The host list shows regions, racks and kinds") {
  stand_in host;
  const json hosts = host.Get("/v1/hosts")["hosts"];
  REQUIRE(hosts.size() == 9);
  int workers = 0;
  std::set<std::string> racks;
  for (const json& row : hosts) {
    if (row["kind"] == "worker") ++workers;
    racks.insert(row["rack"]);
    CHECK(row["state"] == "live");
    CHECK(row["address"] == "http://a:1");
    CHECK(row["service"] == (row["kind"] == "target" ? "orders" : ""));
  }
  CHECK(workers == 6);
  CHECK(racks.size() == 9);
  CHECK(host.Get("/control")["workers_capacity"]["accelerators"] == 6);
}

// Guards against a list without lag, which no scheduler will meet in production.
TEST_CASE("The list lags behind and can be frozen, claims do not") {
  stand_in host;
  const auto leaving = [&host] {
    int count = 0;
    const json hosts = host.Get("/v1/hosts")["hosts"];
    for (const json& row : hosts) count += row["state"] == "leaving" ? 1 : 0;
    return count;
  };
  CHECK(host.Call("POST", "/control", R"({"list":{"lag_ms":60000}})").status == 200);
  CHECK(host.Call("POST", "/control", R"({"hosts":{"worker-*":{"leaving":true}}})").status == 200);
  CHECK(leaving() == 0);
  CHECK(json::parse(host.Call("POST", Path(kWorker, "claim"), kClaim).body)["leaving"] == true);
  host.Call("POST", "/control", R"({"list":{"lag_ms":0}})");
  CHECK(leaving() == 6);
  host.Call("POST", "/control", R"({"list":{"frozen":true}})");
  host.Call("POST", "/control", R"({"hosts":{"worker-*":{"leaving":false}}})");
  CHECK(leaving() == 6);
}

// Guards against wire names that differ from docs/design.md.
TEST_CASE("A task goes through claim, start, report and acknowledgement") {
  stand_in host;
  const json claim = json::parse(host.Call("POST", Path(kWorker, "claim"), kClaim).body);
  CHECK(claim["term"] == 1);
  CHECK(claim["capacity"]["cores_milli"] == 30'000);
  const char* start = R"({"holder":"e1","term":1,"attempt":"p3-120-7.0/1","tenant":"t","class":"c",
      "preemptible":true,"size":{"cores_milli":1000,"memory_mb":10,"accelerators":0,"slots":0},
      "lease_ms":10000,"run_ms":0,"payload":""})";
  CHECK(host.Call("POST", Path(kWorker, "start"), start).status == 200);
  const char* stop = R"({"term":1,"attempt":"p3-120-7.0/1","checkpoint":true})";
  CHECK(host.Call("POST", Path(kWorker, "throttle"),
                  R"({"term":1,"attempt":"p3-120-7.0/1","percent":50})")
            .status == 200);
  CHECK(host.Call("POST", Path(kWorker, "stop"), stop).status == 200);
  const char* renew = R"({"holder":"e1","term":1,"ttl_ms":2000,"keep":[],"ack":["p3-120-7.0/2"]})";
  const json renewed = json::parse(host.Call("POST", Path(kWorker, "claim"), renew).body);
  REQUIRE(renewed["tasks"].size() == 1);
  const json& task = renewed["tasks"][0];
  CHECK(task["attempt"] == "p3-120-7.0/1");
  CHECK(task["tenant"] == "t");
  CHECK(task["class"] == "c");
  CHECK(task["preemptible"] == true);
  CHECK(task["size"]["cores_milli"] == 1'000);
  CHECK(task["state"] == "stopped");
  CHECK(task["used"]["cores_milli"] == 0);
}

// Guards against errors that an adapter cannot tell apart.
TEST_CASE("Errors have the statuses and names of the interface") {
  stand_in host;
  const auto error = [](const api_reply& reply) {
    return std::to_string(reply.status) + " " + json::parse(reply.body)["error"].get<std::string>();
  };
  const char* other = R"({"holder":"e2","term":0,"ttl_ms":2000,"keep":[],"ack":[]})";
  host.Call("POST", Path(kWorker, "claim"), kClaim);
  CHECK(error(host.Call("POST", Path(kWorker, "claim"), other)) == "409 claim_held");
  CHECK(error(host.Call("POST", Path(kWorker, "claim"), "{")) == "400 malformed");
  CHECK(error(host.Call("POST", Path(kWorker, "void"), R"({"term":1,"attempt":"x"})")) ==
        "400 malformed");
  CHECK(error(host.Call("POST", Path(kWorker, "void"), R"({"term":9,"attempt":"p1-1-1.0/1"})")) ==
        "409 stale_term");
  CHECK(error(host.Call("POST", "/v1/hosts/none/claim", kClaim)) == "404 unknown_host");
  CHECK(error(host.Call("POST", Path(kTarget, "execute"), "body")) == "400 malformed");
}

// Guards against an execute without the echo, by which a mixed-up answer would go unnoticed.
TEST_CASE("Execute answers with the body and echoes the attempt") {
  stand_in host;
  host.Call("POST", Path(kTarget, "claim"), kClaim);
  const std::string body("a\0b\xff", 4);
  const auto reply =
      host.Call("POST", Path(kTarget, "execute"), body,
                {{"Sycamorehinge-Term", "1"}, {"Sycamorehinge-Attempt", "r-5-1.0/1"}});
  CHECK(reply.status == 200);
  CHECK(reply.body == "done:" + body);
  const std::pair<std::string, std::string> echo("Sycamorehinge-Attempt", "r-5-1.0/1");
  CHECK(std::find(reply.headers.begin(), reply.headers.end(), echo) != reply.headers.end());
}

// Guards against log faults that are set but not felt.
TEST_CASE("The log's faults show at its interface") {
  stand_in host;
  CHECK(host.Call("POST", "/v1/streams/p1", "ab").body == R"({"offset":1})");
  host.Call("POST", "/control", R"({"log":{"lose_answers":1.0}})");
  CHECK(host.Call("POST", "/v1/streams/p1", "cd").cut);
  host.Call("POST", "/control", R"({"log":{"lose_answers":0.0}})");
  json page = json::parse(host.Call("GET", "/v1/streams/p1", "", {{"from", "1"}}).body);
  CHECK(page["entries"][1]["data"] == "Y2Q=");
  CHECK(page["next"] == 3);
  host.Call("POST", "/control", R"({"log":{"retention":1}})");
  host.Call("POST", "/v1/streams/p1", "ef");
  const auto forgotten = host.Call("GET", "/v1/streams/p1", "", {{"from", "1"}});
  CHECK(forgotten.status == 410);
  CHECK(json::parse(forgotten.body) == json({{"error", "offset_forgotten"}, {"oldest", 3}}));
  host.Call("POST", "/control", R"({"log":{"down":true}})");
  const auto down = host.Call("POST", "/v1/streams/p1", "gh");
  CHECK(down.status == 503);
  CHECK(json::parse(down.body)["error"] == "log_unavailable");
}

// Guards against host faults that hit other hosts, or none.
TEST_CASE("Faults hit the hosts that they name") {
  stand_in host;
  CHECK(host.Call("POST", "/control", R"({"hosts":{"worker-harju-*":{"down":true}}})").body ==
        R"({"hosts":2})");
  CHECK(host.Call("POST", Path(kWorker, "claim"), kClaim).cut);
  CHECK_FALSE(host.Call("POST", Path(kTarget, "claim"), kClaim).cut);
  host.Call("POST", "/control", R"({"hosts":{"worker-harju-0000":{"down":false}}})");
  host.Call("POST", "/control", R"({"hosts":{"worker-harju-0000":{"lose_answers":1.0}}})");
  CHECK(host.Call("POST", Path(kWorker, "claim"), kClaim).cut);
  host.Call("POST", "/control", R"({"hosts":{"worker-harju-0000":{"lose_answers":0.0}}})");
  // The lost answer granted term 1.
  CHECK(json::parse(host.Call("POST", Path(kWorker, "claim"), kClaim).body)["term"] == 2);
  CHECK(host.Call("POST", "/control", "{").status == 400);
}

// Guards against padding mistakes at each length.
TEST_CASE("Base64 follows the examples of RFC 4648") {
  CHECK(Base64Encode("").empty());
  CHECK(Base64Encode("f") == "Zg==");
  CHECK(Base64Encode("fo") == "Zm8=");
  CHECK(Base64Encode("foo") == "Zm9v");
  CHECK(Base64Encode("foobar") == "Zm9vYmFy");
  CHECK(Base64Encode(std::string("\xff\xfe\x00", 3)) == "//4A");
}

// A port that was free a moment ago.
std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  (void)bind(fd, reinterpret_cast<struct sockaddr*>(&address), length);
  (void)getsockname(fd, reinterpret_cast<struct sockaddr*>(&address), &length);
  (void)close(fd);
  return ntohs(address.sin_port);
}

// Guards against an HTTP server that loses query parameters, binary bodies or broken connections.
TEST_CASE("The interface works over HTTP") {
  stand_in host;
  const std::uint16_t port = FreePort();
  const auto server = standin_server::Start("127.0.0.1", port, host.Api());
  REQUIRE(server);
  caller_client client("");
  const std::string entry = "http://127.0.0.1:" + std::to_string(port);
  const auto call = [&](const char* method, const char* path, const std::string& body) {
    return client.Call(entry, {method, path, {}, body, std::chrono::seconds(5)});
  };
  const std::string binary("\0\xff=&", 4);
  CHECK(call("POST", "/v1/streams/p1", binary).body == R"({"offset":1})");
  CHECK(call("POST", "/v1/streams/p1", "second").body == R"({"offset":2})");
  const auto page = json::parse(call("GET", "/v1/streams/p1?from=1&max=1", "").body);
  REQUIRE(page["entries"].size() == 1);
  CHECK(page["entries"][0]["data"] == Base64Encode(binary));
  CHECK(call("POST", "/control", R"({"log":{"lose_answers":1.0}})").status == 200);
  CHECK(call("POST", "/v1/streams/p1", "third").end == call_end::kCut);
  CHECK(call("POST", "/control", R"({"log":{"lose_answers":0.0}})").status == 200);
  CHECK(json::parse(call("GET", "/v1/streams/p1?from=3", "").body)["entries"].size() == 1);
}

}  // namespace
}  // namespace sycamorehinge::testing
