// Calls on the documents of an environment.
#ifndef SYCAMOREHINGE_CTL_DOCUMENT_CALL_H_
#define SYCAMOREHINGE_CTL_DOCUMENT_CALL_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "answer.h"
#include "client.h"
#include "sycamorehinge/core/config_order.h"
#include "sycamorehinge/core/document.h"

namespace sycamorehinge {

// The document in force; version 0 and no text if there is none.
std::variant<config_version, call_error> FetchDocument(client& api, std::string_view environment,
                                                       stage_name stage);

// Path of a stage, for example "/v1/environments/sutepuu/trial".
std::string StagePath(std::string_view environment, stage_name stage);

// Proposes a document and returns its version. If the reply is lost, the history tells whether
// the proposal was accepted (its version), can never be (kConflict), or may still be
// (kUnknownOutcome).
std::variant<std::uint64_t, call_error> ProposeDocument(client& api, const config_record& proposal);

// Canonical form of a document; the text itself if it cannot be parsed.
std::string CanonicalText(const std::string& text);

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_CTL_DOCUMENT_CALL_H_
