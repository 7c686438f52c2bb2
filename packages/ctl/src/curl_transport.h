// HTTP transport over libcurl.
#ifndef SYCAMOREHINGE_CTL_CURL_TRANSPORT_H_
#define SYCAMOREHINGE_CTL_CURL_TRANSPORT_H_

#include "api.h"

namespace sycamorehinge {

// One connection for each call: commands make few calls, and a kept connection that a load
// balancer has closed would make the outcome of a call unknown.
api_transport CurlTransport();

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_CURL_TRANSPORT_H_
