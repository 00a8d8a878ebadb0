// The store's key of each record.

#ifndef PARSLEYHITCH_RECORDS_RECORD_KEY_H_
#define PARSLEYHITCH_RECORDS_RECORD_KEY_H_

#include <string>

#include "work/record.h"

namespace parsleyhitch::records {

// Records with equal keys replace one another.
std::string KeyOf(const work::record& record);

}  // namespace parsleyhitch::records

#endif  // PARSLEYHITCH_RECORDS_RECORD_KEY_H_
