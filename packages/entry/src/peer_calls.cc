#include "peer_calls.h"

#include <utility>

#include "sycamorehinge/telemetry/exposition.h"

namespace sycamorehinge {

namespace {

// Returns the error of a call without a response in the terms of control::ports::call_peer.
result<control::peer_answer> FailureOf(const result<http_client_response>& reply) {
  if (MayHaveBeenSent(reply)) return {reply.code(), std::string(reply.detail())};
  const bool refused = reply.detail() == kRefusedDetail;
  return {errc::kConnectionFailed,
          std::string(refused ? control::kNoListenerDetail : control::kCallNotSentDetail)};
}

}  // namespace

void CallPeer(http_client& http, std::string_view address, const control::peer_call& call,
              duration timeout, control::completion<control::peer_answer> done) {
  http_client_request request;
  request.method = "POST";
  request.url = "http://" + std::string(address) + "/call";
  request.body = control::EncodeCall(call);
  request.timeout = timeout;
  http.Send(std::move(request),
            [done = std::move(done)](const result<http_client_response>& reply) {
              if (!reply) return done(FailureOf(reply));
              if (reply->status != 200)
                return done({errc::kHttpStatus, std::to_string(reply->status)});
              done(control::DecodeAnswer(reply->body));
            });
}

http_server::handler MakePeerHandler(control::control_node& node,
                                     std::function<std::string()> metrics_page) {
  return [&node, metrics_page = std::move(metrics_page)](const http_request& request,
                                                         http_server::reply_function reply) {
    if (request.path == "/metrics") {
      return reply({200, {{"Content-Type", std::string(kExpositionContentType)}}, metrics_page()});
    }
    result<control::peer_call> call = control::DecodeCall(request.body);
    if (!call) return reply(ErrorResponse(call.code()));
    node.OnPeerCall(std::move(*call),
                    [reply = std::move(reply)](const control::peer_answer& answer) {
                      reply({200, {}, control::EncodeAnswer(answer)});
                    });
  };
}

}  // namespace sycamorehinge
