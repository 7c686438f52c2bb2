// Calls between control processes: cereal bodies over kept HTTP connections.
#ifndef SYCAMOREHINGE_ENTRY_SRC_PEER_CALLS_H_
#define SYCAMOREHINGE_ENTRY_SRC_PEER_CALLS_H_

#include <functional>
#include <string>
#include <string_view>

#include "sycamorehinge/control/control_node.h"
#include "sycamorehinge/net/http_client.h"
#include "sycamorehinge/net/http_server.h"

namespace sycamorehinge {

// Implements control::ports::call_peer.
void CallPeer(http_client& http, std::string_view address, const control::peer_call& call,
              duration timeout, control::completion<control::peer_answer> done);

// Answers the calls of peers and GET /metrics; `node` must outlive it.
http_server::handler MakePeerHandler(control::control_node& node,
                                     std::function<std::string()> metrics_page);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_ENTRY_SRC_PEER_CALLS_H_
