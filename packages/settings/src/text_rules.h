// Rules for texts in settings and documents.
#ifndef SYCAMOREHINGE_SETTINGS_TEXT_RULES_H_
#define SYCAMOREHINGE_SETTINGS_TEXT_RULES_H_

#include <string_view>

#include "sycamorehinge/settings/parameters.h"

namespace sycamorehinge {

bool IsName(std::string_view text);
bool IsHostAddress(std::string_view text);
bool IsPeerAddress(std::string_view text);
bool IsHttpAddress(std::string_view text);
bool IsOptionalHttpAddress(std::string_view text);
bool IsLogLevel(std::string_view text);
bool IsSecretSource(std::string_view text);
bool IsAnyText(std::string_view text);
bool IsOptionalVariableName(std::string_view text);

// Names appear in HTTP paths, headers and log lines, so they hold no separators.
inline constexpr text_rule kName = {"1 to 64 letters, digits, '.', '_' or '-'", IsName};
inline constexpr text_rule kHostAddress = {"IPv4 address, for example 127.0.0.1", IsHostAddress};
inline constexpr text_rule kPeerAddress = {"address and port, for example 127.0.0.1:7001",
                                           IsPeerAddress};
inline constexpr text_rule kHttpAddress = {"URL, for example http://127.0.0.1:9000", IsHttpAddress};
inline constexpr text_rule kOptionalHttpAddress = {"URL, or empty", IsOptionalHttpAddress};
inline constexpr text_rule kLogLevel = {"info, warning or error", IsLogLevel};
inline constexpr text_rule kSecretSource = {"ENV:NAME or FILE:PATH", IsSecretSource};
inline constexpr text_rule kOptionalVariableName = {"name of an environment variable, or empty",
                                                    IsOptionalVariableName};
inline constexpr text_rule kAnyText = {"text of at most 4096 bytes", IsAnyText};

}  // namespace sycamorehinge

#endif  // SYCAMOREHINGE_SETTINGS_TEXT_RULES_H_
