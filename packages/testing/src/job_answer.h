// SerializeFields of the JSON that entry processes answer about jobs and documents.
#ifndef SYCAMOREHINGE_TESTING_JOB_ANSWER_H_
#define SYCAMOREHINGE_TESTING_JOB_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorehinge::testing {

// Empty or 0 if the body is not JSON or the field is missing.
std::string JobIn(std::string_view body);
std::string StateIn(std::string_view body);
std::string OutcomeIn(std::string_view body);
std::string ErrorIn(std::string_view body);
std::uint64_t VersionIn(std::string_view body);

}  // namespace sycamorehinge::testing

#endif  // SYCAMOREHINGE_TESTING_JOB_ANSWER_H_
