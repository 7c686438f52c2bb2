// An entry process and a clock for tests, without sockets.
#ifndef SYCAMOREHINGE_CTL_TESTS_FAKE_API_H_
#define SYCAMOREHINGE_CTL_TESTS_FAKE_API_H_

#include <deque>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "command_line.h"

namespace sycamorehinge {

struct recorded_call {
  std::string entry;
  api_request request;
};

// Gives the queued replies in order and records the calls.
struct fake_api {
  std::deque<result<api_reply>> replies;
  std::vector<recorded_call> calls;
  time_point now{};
  duration slept{};
  std::ostringstream out;
  std::ostringstream err;
  std::string token;
  std::string entry = "http://a";
  bool terminal = false;

  void Reply(int status, std::string body) {
    replies.push_back(api_reply{status, std::move(body), ""});
  }
  void Refuse() { replies.push_back({errc::kConnectionFailed, std::string(kNeverSent)}); }
  void Lose() { replies.push_back({errc::kConnectionFailed, "reset by peer"}); }

  api_transport Transport() {
    return [this](std::string_view to, const api_request& request, duration) {
      calls.push_back({std::string(to), request});
      if (replies.empty())
        return result<api_reply>(errc::kConnectionFailed, std::string(kNeverSent));
      result<api_reply> reply = std::move(replies.front());
      replies.pop_front();
      return reply;
    };
  }
  api_clock Clock() {
    return {[this] { return now; },
            [this](duration time) {
              now += time;
              slept += time;
            }};
  }
  int Run(std::vector<std::string> arguments) {
    return RunProgram(std::move(arguments),
                      {Transport(), Clock(), out, err, terminal, entry, token, "operator"});
  }
};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_TESTS_FAKE_API_H_
