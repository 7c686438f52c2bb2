#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "listen_socket.h"
#include "raw_server.h"
#include "sycamorehinge/net/http_client.h"
#include "sycamorehinge/net/http_server.h"

namespace sycamorehinge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

result<http_reply> SendAndWait(http_client& client, http_call call) {
  std::promise<result<http_reply>> promise;
  auto future = promise.get_future();
  client.Send(std::move(call),
              [&](result<http_reply> outcome) { promise.set_value(std::move(outcome)); });
  return future.get();
}

http_call Post(std::string url, std::string body = "x") {
  http_call call;
  call.method = "POST";
  call.url = std::move(url);
  call.body = std::move(body);
  call.timeout = seconds(5);
  return call;
}

void Echo(const http_request& request, const http_server::reply_function& reply) {
  std::string seen(request.method);
  seen += ' ';
  seen += request.path;
  seen += '?';
  seen += request.query;
  seen += ' ';
  seen += request.Header("x-test");
  seen += ' ';
  seen += request.Query("a").value_or("none");
  seen += ' ';
  seen += request.body;
  reply({201, {{"X-Answer", "yes"}}, std::move(seen)});
}

// Guards against parts of a request or answer that get lost or changed on the way.
TEST_CASE("Request and answer travel unchanged between client and server") {
  http_server server({}, Echo);
  REQUIRE(server.Start() == errc::kOk);
  http_client client;
  http_call call = Post(server.Address() + "/v1/a%2Fb?a=1%202&b=3", std::string("b\0d", 3));
  call.headers = {{"X-Test", "value"}};
  const auto reply = SendAndWait(client, call);
  REQUIRE(reply);
  CHECK(reply->status == 201);
  CHECK(FindHeader(reply->headers, "x-answer") == "yes");
  CHECK(reply->body == std::string("POST /v1/a%2Fb?a=1%202&b=3 value 1 2 b\0d", 40));
  for (const char* method : {"GET", "DELETE", "PUT"}) {
    http_call other;
    other.method = method;
    other.url = server.Address() + "/";
    const auto answer = SendAndWait(client, other);
    REQUIRE(answer);
    CHECK(answer->body == std::string(method) + " /?  none ");
  }
}

// Guards against a "not run" for a request that may have run, and against the opposite.
TEST_CASE("Only requests that were not sent are refused") {
  http_client client;
  std::uint16_t port = 0;
  ListenOn("127.0.0.1", 0, 1, port).Close();
  const auto refused = SendAndWait(client, Post("http://127.0.0.1:" + std::to_string(port)));
  CHECK(refused.code() == errc::kConnectionFailed);
  CHECK(refused.detail() == kRefusedDetail);

  raw_server reset(raw_behaviour::kCloseAfterRequest);
  const auto broken = SendAndWait(client, Post(reset.Address()));
  CHECK(broken.code() == errc::kConnectionFailed);
  CHECK(broken.detail() != kRefusedDetail);

  raw_server silent(raw_behaviour::kNeverAnswer);
  http_call call = Post(silent.Address());
  call.timeout = milliseconds(100);
  const auto late = SendAndWait(client, call);
  CHECK(late.code() == errc::kTimeout);
  CHECK(late.detail() != kNotSentDetail);
}

// Guards against curl's silent second try on a kept connection, which would run a task twice.
TEST_CASE("A request lost on a kept connection is not sent again") {
  raw_server server(raw_behaviour::kAnswerOnceThenClose);
  http_client client;
  REQUIRE(SendAndWait(client, Post(server.Address())));
  const auto second = SendAndWait(client, Post(server.Address()));
  CHECK(second.code() == errc::kConnectionFailed);
  CHECK(second.detail() != kRefusedDetail);
  CHECK(server.Requests() == 2);
}

// Guards against a measure of the distance that waits for a slow server, or costs it a request.
TEST_CASE("A connection is measured without a request") {
  raw_server silent(raw_behaviour::kNeverAnswer);
  http_client client;
  http_call call;
  call.url = silent.Address();
  call.connect_only = true;
  const auto reply = SendAndWait(client, call);
  REQUIRE(reply);
  CHECK(reply->connect > duration::zero());
  CHECK(silent.Requests() == 0);

  std::uint16_t port = 0;
  ListenOn("127.0.0.1", 0, 1, port).Close();
  call.url = "http://127.0.0.1:" + std::to_string(port);
  CHECK(SendAndWait(client, call).code() == errc::kConnectionFailed);

  // Handles are used again: the next call sends its request.
  http_server server({}, Echo);
  REQUIRE(server.Start() == errc::kOk);
  CHECK(SendAndWait(client, Post(server.Address()))->status == 201);
}

// Guards against incomplete answers that pass as complete ones.
TEST_CASE("Truncated and oversized answers are errors") {
  raw_server truncated(raw_behaviour::kTruncate);
  http_client client;
  const auto cut = SendAndWait(client, Post(truncated.Address()));
  CHECK(cut.code() == errc::kConnectionFailed);
  CHECK(cut.detail() == "truncated response");

  http_server server({}, [](const http_request&, const http_server::reply_function& reply) {
    reply({200, {}, std::string(100'000, 'x')});
  });
  REQUIRE(server.Start() == errc::kOk);
  http_call call = Post(server.Address());
  call.max_response_bytes = 50'000;
  CHECK(SendAndWait(client, call).detail() == "response too large");
  call.max_response_bytes = 200'000;
  CHECK(SendAndWait(client, call));
}

// Guards against input beyond the limits reaching the handler.
TEST_CASE("Oversized bodies and headers get typed errors") {
  http_server_options options;
  options.max_body_bytes = 1000;
  options.max_header_bytes = 2000;
  http_server server(options, Echo);
  REQUIRE(server.Start() == errc::kOk);
  http_client client;
  CHECK(SendAndWait(client, Post(server.Address(), std::string(1000, 'x')))->status == 201);
  for (const std::size_t size : {1001U, 300'000U}) {
    const auto reply = SendAndWait(client, Post(server.Address(), std::string(size, 'x')));
    REQUIRE(reply);
    CHECK(reply->status == 413);
    CHECK(reply->body.find("\"error\":\"too_large\"") != std::string::npos);
  }
  http_call call = Post(server.Address());
  call.headers = {{"X-Long", std::string(2100, 'h')}};
  const auto reply = SendAndWait(client, call);
  REQUIRE(reply);
  CHECK(reply->status == 431);
  CHECK(reply->body.find("\"outcome\":\"not_run\"") != std::string::npos);
  call.headers = {{"X-Long", std::string(100'000, 'h')}};
  CHECK(SendAndWait(client, call)->status == 431);
}

// Guards against connection threads that wait forever and against views used after a timeout.
TEST_CASE("A request without a reply gets 504 and its late reply is ignored") {
  http_server_options options;
  options.request_timeout = milliseconds(50);
  http_server::reply_function late;
  http_server server(options, [&](const http_request&, http_server::reply_function reply) {
    late = std::move(reply);
  });
  REQUIRE(server.Start() == errc::kOk);
  http_client client;
  const auto reply = SendAndWait(client, Post(server.Address()));
  REQUIRE(reply);
  CHECK(reply->status == 504);
  CHECK(reply->body.find("\"outcome\":\"unknown\"") != std::string::npos);
  late({});
}

// Guards against a shutdown that cuts requests in flight (P7).
TEST_CASE("Stop finishes requests in flight and refuses new connections") {
  std::promise<http_server::reply_function> arrived;
  http_server server({}, [&](const http_request& request, http_server::reply_function reply) {
    // Requests that come before the listener is closed are answered like any other.
    if (request.path == "/late") return reply({503, {}, ""});
    arrived.set_value(std::move(reply));
  });
  REQUIRE(server.Start() == errc::kOk);
  http_client client;
  auto answer = std::async(std::launch::async,
                           [&] { return SendAndWait(client, Post(server.Address() + "/a")); });
  const auto reply = arrived.get_future().get();
  const std::string address = server.Address();
  std::thread stop([&] { server.Stop(); });
  http_client other;
  result<http_reply> refused = errc::kInternal;
  for (int i = 0; i < 100 && refused.detail() != kRefusedDetail; ++i) {
    http_call call;
    call.url = address + "/late";
    call.timeout = milliseconds(20);
    refused = SendAndWait(other, call);
  }
  CHECK(refused.detail() == kRefusedDetail);
  reply({200, {}, std::string(1'000'000, 'y')});
  const auto complete = answer.get();
  stop.join();
  REQUIRE(complete);
  CHECK(complete->body.size() == 1'000'000);
}

// Guards against connections without a limit, and a limit that outlives its connections.
TEST_CASE("Connections beyond the limit are refused until others close") {
  http_server_options options;
  options.max_connections = 2;
  http_server server(options, Echo);
  REQUIRE(server.Start() == errc::kOk);
  auto first = std::make_unique<http_client>();
  http_client second;
  http_client third;
  CHECK(SendAndWait(*first, Post(server.Address())));
  CHECK(SendAndWait(second, Post(server.Address())));
  http_call call = Post(server.Address());
  call.timeout = milliseconds(300);
  CHECK_FALSE(SendAndWait(third, call));
  first.reset();
  bool answered = false;
  for (int i = 0; i < 20 && !answered; ++i) answered = bool(SendAndWait(third, call));
  CHECK(answered);
}

// Guards against calls that never complete when the client goes away.
TEST_CASE("The client's destructor completes pending calls") {
  raw_server silent(raw_behaviour::kNeverAnswer);
  std::atomic<int> completed = 0;
  {
    http_client client;
    for (int i = 0; i < 100; ++i) {
      client.Send(Post(silent.Address()), [&](const result<http_reply>& outcome) {
        CHECK(outcome.code() == errc::kConnectionFailed);
        ++completed;
      });
    }
  }
  CHECK(completed == 100);
}

// Guards against delayed acknowledgements (40 ms), lost wakeups and mixed-up answers (P3).
TEST_CASE("Many concurrent calls over kept connections each get their own answer") {
  http_server server({}, Echo);
  REQUIRE(server.Start() == errc::kOk);
  http_client client;
  constexpr int kCalls = 4000;
  std::atomic<int> right = 0;
  std::promise<void> all;
  std::atomic<int> left = kCalls;
  const auto begun = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i) {
    const std::string body = std::to_string(i);
    client.Send(Post(server.Address() + "/", body), [&, body](const result<http_reply>& outcome) {
      if (outcome && outcome->body == "POST /?  none " + body) ++right;
      if (--left == 0) all.set_value();
    });
  }
  all.get_future().wait();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
  CHECK(right == kCalls);
  WARN("concurrent calls per second: " << static_cast<int>(kCalls / took.count()));

  std::vector<double> serial;
  for (int i = 0; i < 200; ++i) {
    const auto start = std::chrono::steady_clock::now();
    REQUIRE(SendAndWait(client, Post(server.Address() + "/")));
    serial.push_back(
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
            .count());
  }
  std::sort(serial.begin(), serial.end());
  WARN("median of serial calls in ms: " << serial[100]);
  CHECK(serial[100] < 20);
}

}  // namespace
}  // namespace sycamorehinge
