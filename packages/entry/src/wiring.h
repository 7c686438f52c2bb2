// Turns settings into the options of the node and its adapters.
#ifndef SYCAMOREHINGE_ENTRY_SRC_WIRING_H_
#define SYCAMOREHINGE_ENTRY_SRC_WIRING_H_

#include <string>
#include <vector>

#include "access.h"
#include "sycamorehinge/net/http_server.h"
#include "sycamorehinge/net/peer_transport.h"
#include "sycamorehinge/node/entry_node.h"
#include "sycamorehinge/settings/process_settings.h"

namespace sycamorehinge {

node_options NodeOptions(const process_settings& settings, std::uint64_t incarnation);
http_server_options HttpOptions(const process_settings& settings);
peer_transport_options PeerOptions(const process_settings& settings, std::uint64_t incarnation,
                                   std::string key);
// Peers of the settings; kMalformed with the peer's name if an address is not "HOST:PORT".
result<std::vector<peer_address>> PeerAddresses(const process_settings& settings);
// Reads all tokens; kMalformed with the name of the source that cannot be read.
result<access_tokens> ReadTokens(const access_section& access);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_ENTRY_SRC_WIRING_H_
