// Protobuf encoding of every type described with PARSLEYHITCH_DESCRIBE. Fields
// are numbered in their order, from 1; integers are varints (signed integers
// and times, which are in milliseconds, in zigzag form), lists are repeated
// fields, and a variant is a message with a oneof. The schema is in
// `proto/parsleyhitch.proto`.

#ifndef PARSLEYHITCH_WIRE_PROTO_CODEC_H_
#define PARSLEYHITCH_WIRE_PROTO_CODEC_H_

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/base.h"
#include "wire/describe.h"
#include "wire/traits.h"

namespace parsleyhitch::wire {

namespace detail {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

template <typename T>
inline constexpr bool is_varint_v =
    std::is_integral_v<T> || std::is_enum_v<T> || is_time_v<T>;

template <typename T>
std::uint64_t ToVarint(const T& value) {
  if constexpr (is_time_v<T>) {
    return WireFormatLite::ZigZagEncode64(Milliseconds(value));
  } else if constexpr (std::is_enum_v<T>) {
    return static_cast<std::uint64_t>(value);
  } else if constexpr (std::is_signed_v<T>) {
    return WireFormatLite::ZigZagEncode64(value);
  } else {
    return value;
  }
}

template <typename T>
std::string EncodeBody(const T& value);

inline void WriteBytes(CodedOutputStream& out,
                       int number,
                       std::string_view bytes) {
  out.WriteTag(WireFormatLite::MakeTag(
      number, WireFormatLite::WIRETYPE_LENGTH_DELIMITED));
  out.WriteVarint32(static_cast<std::uint32_t>(bytes.size()));
  out.WriteRaw(bytes.data(), static_cast<int>(bytes.size()));
}

template <typename T>
void WriteField(CodedOutputStream& out, int number, const T& value) {
  if constexpr (is_varint_v<T>) {
    out.WriteTag(
        WireFormatLite::MakeTag(number, WireFormatLite::WIRETYPE_VARINT));
    out.WriteVarint64(ToVarint(value));
  } else if constexpr (std::is_same_v<T, std::string>) {
    WriteBytes(out, number, value);
  } else if constexpr (is_identifier<T>::value) {
    WriteBytes(out, number, value.value());
  } else if constexpr (is_optional<T>::value) {
    if (value)
      WriteField(out, number, *value);
  } else if constexpr (is_vector<T>::value) {
    for (const auto& each : value)
      WriteField(out, number, each);
  } else {
    WriteBytes(out, number, EncodeBody(value));
  }
}

template <typename T>
std::string EncodeBody(const T& value) {
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    CodedOutputStream out(&stream);
    if constexpr (is_variant<T>::value) {
      const int number = static_cast<int>(value.index()) + 1;
      std::visit([&](const auto& each) { WriteField(out, number, each); },
                 value);
    } else {
      boost::mp11::mp_for_each<boost::mp11::mp_iota_c<member_count_v<T>>>(
          [&](auto index) {
            WriteField(out, static_cast<int>(index) + 1,
                       value.*descriptor_v<T, index>.pointer);
          });
    }
  }
  return bytes;
}

// The undecoded value of a field: a varint or bytes.
struct raw_field {
  std::uint64_t varint = 0;
  std::string_view bytes;
  bool is_bytes = false;
};

using raw_fields = std::map<int, std::vector<raw_field>>;

// Splits a message into its fields by number. Returns false if the message is
// malformed.
bool SplitFields(std::string_view message, raw_fields& fields);

template <typename T>
T DecodeBody(std::string_view message, bool& malformed);

template <typename T>
T FromVarint(std::uint64_t raw, bool& malformed) {
  if constexpr (std::is_same_v<T, model::duration>) {
    return model::duration(WireFormatLite::ZigZagDecode64(raw));
  } else if constexpr (std::is_same_v<T, model::timestamp>) {
    return model::timestamp(
        model::duration(WireFormatLite::ZigZagDecode64(raw)));
  } else if constexpr (std::is_enum_v<T>) {
    T value = static_cast<T>(raw);
    bool known = false;
    boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>(
        [&](auto each) {
          known = known || static_cast<std::uint64_t>(each.value) == raw;
        });
    malformed = malformed || !known;
    return known ? value : T{};
  } else if constexpr (std::is_signed_v<T>) {
    const std::int64_t wide = WireFormatLite::ZigZagDecode64(raw);
    malformed = malformed || !std::in_range<T>(wide);
    return static_cast<T>(wide);
  } else {
    malformed = malformed || raw > std::numeric_limits<T>::max();
    return static_cast<T>(raw);
  }
}

template <typename T>
T ReadField(const raw_field& field, bool& malformed) {
  if (field.is_bytes == is_varint_v<T>) {
    malformed = true;
    return T{};
  }
  if constexpr (is_varint_v<T>) {
    return FromVarint<T>(field.varint, malformed);
  } else if constexpr (std::is_same_v<T, std::string>) {
    return std::string(field.bytes);
  } else if constexpr (is_identifier<T>::value) {
    return T(std::string(field.bytes));
  } else {
    return DecodeBody<T>(field.bytes, malformed);
  }
}

template <typename T, std::size_t I>
member_type<T, I> ReadMember(const raw_fields& fields, bool& malformed) {
  using type = member_type<T, I>;
  const auto found = fields.find(static_cast<int>(I) + 1);
  if constexpr (is_vector<type>::value) {
    type list;
    if (found == fields.end())
      return list;
    for (const raw_field& each : found->second)
      list.push_back(ReadField<typename type::value_type>(each, malformed));
    return list;
  } else if constexpr (is_optional<type>::value) {
    if (found == fields.end())
      return {};
    return type(
        ReadField<typename type::value_type>(found->second.back(), malformed));
  } else {
    static const T defaults{};
    if (found == fields.end())
      return defaults.*descriptor_v<T, I>.pointer;
    return ReadField<type>(found->second.back(), malformed);
  }
}

template <typename T, std::size_t... I>
T ReadMembers(const raw_fields& fields,
              bool& malformed,
              std::index_sequence<I...>) {
  (void)fields;
  (void)malformed;
  static_assert(has_all_described_v<T>);
  return T{ReadMember<T, I>(fields, malformed)...};
}

template <typename T, std::size_t I = 0>
T ReadAlternative(int number, const raw_field& field, bool& malformed) {
  if constexpr (I == std::variant_size_v<T>) {
    malformed = true;
    return T{};
  } else {
    if (number != static_cast<int>(I) + 1)
      return ReadAlternative<T, I + 1>(number, field, malformed);
    return T(std::in_place_index<I>,
             ReadField<std::variant_alternative_t<I, T>>(field, malformed));
  }
}

template <typename T>
T DecodeBody(std::string_view message, bool& malformed) {
  raw_fields fields;
  if (!SplitFields(message, fields)) {
    malformed = true;
    return T{};
  }
  if constexpr (is_variant<T>::value) {
    if (fields.size() != 1) {
      malformed = true;
      return T{};
    }
    const auto& [number, values] = *fields.begin();
    return ReadAlternative<T>(number, values.back(), malformed);
  } else {
    return ReadMembers<T>(fields, malformed,
                          std::make_index_sequence<member_count_v<T>>());
  }
}

}  // namespace detail

template <typename T>
std::string ToProto(const T& value) {
  return detail::EncodeBody(value);
}

// Decodes a value. Malformed bytes are an error, never a partial value; unknown
// fields are skipped.
template <typename T>
result<T> FromProto(std::string_view bytes) {
  bool malformed = false;
  T value = detail::DecodeBody<T>(bytes, malformed);
  if (malformed)
    return Malformed("is not a valid message");
  return value;
}

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_PROTO_CODEC_H_
