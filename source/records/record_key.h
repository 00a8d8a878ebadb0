// How each record is stored: its key, and whether it deletes that key.

#ifndef PARSLEYHITCH_RECORDS_RECORD_KEY_H_
#define PARSLEYHITCH_RECORDS_RECORD_KEY_H_

#include <optional>
#include <string>
#include <string_view>

#include "work/record.h"

namespace parsleyhitch::records {

// A newer record replaces an older one with the same key.
std::string KeyOf(const work::record& record);

// True for a record that is stored as its key alone, which deletes the key.
bool IsDeletion(const work::record& record);

// The job whose last part was deleted with this key, if any. The other parts
// were deleted by the same append, before it.
std::optional<work::job_id> JobDeletedBy(std::string_view deleted_key);

}  // namespace parsleyhitch::records

#endif  // PARSLEYHITCH_RECORDS_RECORD_KEY_H_
