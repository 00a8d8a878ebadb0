// The key under which each record is stored.

#ifndef PARSLEYHITCH_RECORDS_RECORD_KEY_H_
#define PARSLEYHITCH_RECORDS_RECORD_KEY_H_

#include <string>

#include "work/record.h"

namespace parsleyhitch::records {

// A newer record replaces an older one with the same key.
std::string KeyOf(const work::record& record);

}  // namespace parsleyhitch::records

#endif  // PARSLEYHITCH_RECORDS_RECORD_KEY_H_
