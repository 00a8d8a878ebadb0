// The protobuf schema of peer messages and log records, as text.

#ifndef PARSLEYHITCH_WIRE_PROTO_SCHEMA_H_
#define PARSLEYHITCH_WIRE_PROTO_SCHEMA_H_

#include <string>

namespace parsleyhitch::wire {

// The content of `proto/parsleyhitch.proto`; a test checks that they are equal.
std::string ProtoSchema();

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_PROTO_SCHEMA_H_
