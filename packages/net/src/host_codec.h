// Requests and answers of the host interface as HTTP and JSON.
#ifndef SYCAMOREHINGE_NET_SRC_HOST_CODEC_H_
#define SYCAMOREHINGE_NET_SRC_HOST_CODEC_H_

#include "sycamorehinge/net/host_client.h"

namespace sycamorehinge {

// kMalformed if a text in the call is not UTF-8 and so has no JSON form.
result<http_call> EncodeHostCall(const listed_host& host, host_call call,
                                 const host_client_options& options);

// What an answer must be to fit its call.
struct expect_claim {};
struct expect_done {};
struct expect_void {};
struct expect_execute {
  attempt_id id;
};
using expected_answer = std::variant<expect_claim, expect_done, expect_void, expect_execute>;

expected_answer ExpectedAnswer(const host_call& call);

// Never throws, whatever the reply holds.
result<host_answer> DecodeHostReply(const expected_answer& expected, http_reply reply);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_HOST_CODEC_H_
