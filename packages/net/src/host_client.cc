#include "sycamorehinge/net/host_client.h"

#include <utility>

#include "host_codec.h"

namespace sycamorehinge {

host_client::host_client(http_client& client, host_client_options options)
    : client_(&client), options_(options) {}

void host_client::Call(const listed_host& host, host_call call,
                       completion<host_answer> done) const {
  const expected_response expected = ExpectedResponse(call);
  result<http_client_request> http = EncodeHostCall(host, std::move(call), options_);
  if (!http) {
    // A port must not call `done` before it returns.
    client_->Post(
        [done = std::move(done), code = http.code(), detail = std::string(http.detail())] {
          done({code, detail});
        });
    return;
  }
  client_->Send(std::move(*http),
                [done = std::move(done), expected](result<http_client_response> outcome) {
                  if (outcome) return done(DecodeHostReply(expected, std::move(*outcome)));
                  done({outcome.code(), std::string(outcome.detail())});
                });
}

}  // namespace sycamorehinge
