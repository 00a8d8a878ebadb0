// The protobuf schema of the messages between our processes, as text.

#ifndef PARSLEYHITCH_WIRE_PROTO_SCHEMA_H_
#define PARSLEYHITCH_WIRE_PROTO_SCHEMA_H_

#include <string>

namespace parsleyhitch::wire {

// The content of `proto/parsleyhitch.proto`; a test keeps the file in step.
std::string ProtoSchema();

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_PROTO_SCHEMA_H_
