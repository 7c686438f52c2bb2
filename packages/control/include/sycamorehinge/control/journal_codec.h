// Encoding of journal records as keys and values of the store.
#ifndef SYCAMOREHINGE_CONTROL_JOURNAL_CODEC_H_
#define SYCAMOREHINGE_CONTROL_JOURNAL_CODEC_H_

#include <optional>
#include <string_view>

#include "sycamorehinge/cell/records.h"
#include "sycamorehinge/control/ports.h"
#include "sycamorehinge/core/error.h"

namespace sycamorehinge::control {

// Appends the stream records that store `record`; those that remove a key have no value.
void EncodeJournalRecord(const cell::journal_record& record, std::vector<stream_record>& out);

// Errors: kMalformed, kTruncated, kWrongVersion.
result<cell::journal_record> DecodeJournalRecord(std::string_view key, std::string_view value);

// Returns the job that a record with this key belongs to; nullopt if it belongs to none.
std::optional<cell::job_number> JobOfJournalKey(std::string_view key);

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_JOURNAL_CODEC_H_
