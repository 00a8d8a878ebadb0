// Splits a protobuf message into its fields.

#include "wire/proto_codec.h"

namespace parsleyhitch::wire::detail {

namespace {

bool ReadBytes(CodedInputStream& in,
               std::string_view message,
               raw_field& field) {
  std::uint32_t size = 0;
  if (!in.ReadVarint32(&size))
    return false;
  const auto start = static_cast<std::size_t>(in.CurrentPosition());
  if (size > message.size() - start)
    return false;
  field.bytes = message.substr(start, size);
  field.is_bytes = true;
  return in.Skip(static_cast<int>(size));
}

}  // namespace

bool SplitFields(std::string_view message, raw_fields& fields) {
  CodedInputStream in(reinterpret_cast<const std::uint8_t*>(message.data()),
                      static_cast<int>(message.size()));
  while (static_cast<std::size_t>(in.CurrentPosition()) < message.size()) {
    const std::uint32_t tag = in.ReadTag();
    const int number = WireFormatLite::GetTagFieldNumber(tag);
    if (number == 0)
      return false;
    raw_field field;
    bool read = false;
    switch (WireFormatLite::GetTagWireType(tag)) {
      case WireFormatLite::WIRETYPE_VARINT:
        read = in.ReadVarint64(&field.varint);
        break;
      case WireFormatLite::WIRETYPE_LENGTH_DELIMITED:
        read = ReadBytes(in, message, field);
        break;
      default:
        break;
    }
    if (!read)
      return false;
    fields[number].push_back(field);
  }
  return true;
}

}  // namespace parsleyhitch::wire::detail
