// How each record is stored: its key, and whether it deletes that key.

#ifndef PARSLEYHITCH_RECORDS_RECORD_KEY_H_
#define PARSLEYHITCH_RECORDS_RECORD_KEY_H_

#include <string>

#include "work/record.h"

namespace parsleyhitch::records {

// A newer record replaces an older one with the same key.
std::string KeyOf(const work::record& record);

// True for a record that is stored as its key alone, which deletes the key.
bool IsDeletion(const work::record& record);

}  // namespace parsleyhitch::records

#endif  // PARSLEYHITCH_RECORDS_RECORD_KEY_H_
