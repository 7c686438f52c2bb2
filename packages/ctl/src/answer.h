// Turns replies into JSON values or errors with an exit code.
#ifndef SYCAMOREHINGE_CTL_ANSWER_H_
#define SYCAMOREHINGE_CTL_ANSWER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "client.h"

namespace sycamorehinge {

// Exit codes of the program; documented in docs/OPERATIONS.md and `--help`.
enum class exit_code {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kConflict = 3,
  kNotRun = 4,
  kUnknownOutcome = 5,
  kUnreachable = 6,
};

struct call_error {
  exit_code exit = exit_code::kFailed;
  // HTTP status; 0 if there was no reply.
  int status = 0;
  // For people, without a line end.
  std::string message;
  // Body of the error; discarded if it was not JSON.
  nlohmann::json body;
};

// Whether a call only reads; the outcome of a failed read is never of interest.
enum class call_kind { kRead, kChange };

using json_answer = std::variant<nlohmann::json, call_error>;

// Sends the request; reads are repeatable.
json_answer Call(client& api, const api_request& request, call_kind kind,
                 repeat_rule rule = repeat_rule::kOnce);
// The error of a reply, or of a call without one.
call_error ErrorOf(const result<api_reply>& reply, call_kind kind);

// JSON request with the given body.
api_request JsonRequest(std::string method, std::string path, const nlohmann::json& body);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_ANSWER_H_
