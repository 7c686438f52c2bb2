// Encoding of host requests and responses as HTTP and JSON.
#ifndef SYCAMOREHINGE_NET_SRC_HOST_CODEC_H_
#define SYCAMOREHINGE_NET_SRC_HOST_CODEC_H_

#include "sycamorehinge/net/host_client.h"

namespace sycamorehinge {

// kMalformed if a string is not valid UTF-8 or the key is not a valid header value.
result<http_client_request> EncodeHostCall(const listed_host& host, host_call call,
                                           const host_client_options& options);

// Kind of response that a call must receive.
struct expect_claim {};
struct expect_done {};
struct expect_void {};
struct expect_execute {
  attempt_id id;
};
using expected_response = std::variant<expect_claim, expect_done, expect_void, expect_execute>;

expected_response ExpectedResponse(const host_call& call);

// Accepts arbitrary bytes without throwing.
result<host_answer> DecodeHostReply(const expected_response& expected, http_client_response reply);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_NET_SRC_HOST_CODEC_H_
