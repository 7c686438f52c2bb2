// Journal records as keys and values of the store.
#ifndef SYCAMOREHINGE_CONTROL_JOURNAL_CODEC_H_
#define SYCAMOREHINGE_CONTROL_JOURNAL_CODEC_H_

#include <string_view>

#include "sycamorehinge/cell/records.h"
#include "sycamorehinge/control/ports.h"
#include "sycamorehinge/core/error.h"

namespace sycamorehinge::control {

// The records that stand for a journal record: forget_job removes two keys.
void AppendEncoded(const cell::journal_record& record, std::vector<stream_record>& out);

// kMalformed, kTruncated or kWrongVersion for bytes that are not a record.
result<cell::journal_record> DecodeJournal(std::string_view key, std::string_view value);

}  // namespace sycamorehinge::control

#endif  // SYCAMOREHINGE_CONTROL_JOURNAL_CODEC_H_
