// Generates the schema from the same type descriptions that the codec uses.

#include "wire/proto_schema.h"

#include <map>

#include "wire/proto_codec.h"

namespace parsleyhitch::wire {

namespace {

// Message definitions by name.
using schema = std::map<std::string, std::string>;

template <typename T>
std::string TypeName(schema& messages);

template <typename T>
std::string FieldLine(schema& messages, const std::string& name, int number) {
  const std::string suffix =
      " " + name + " = " + std::to_string(number) + ";\n";
  if constexpr (detail::is_vector<T>::value) {
    return "  repeated " + TypeName<typename T::value_type>(messages) + suffix;
  } else if constexpr (detail::is_optional<T>::value) {
    return "  optional " + TypeName<typename T::value_type>(messages) + suffix;
  } else {
    return "  " + TypeName<T>(messages) + suffix;
  }
}

template <typename T>
std::string OneofName() {
  if constexpr (std::is_same_v<T, model::record>) {
    return "record";
  } else if constexpr (std::is_same_v<T, model::checkpoint_part>) {
    return "checkpoint_part";
  } else {
    return "peer_message";
  }
}

template <typename T>
std::string DescribeOneof(schema& messages) {
  std::string name = OneofName<T>();
  if (messages.contains(name))
    return name;
  messages[name] = "";
  std::string body = "message " + name + " {\n  oneof value {\n";
  int number = 0;
  boost::mp11::mp_for_each<boost::mp11::mp_transform<std::add_pointer_t, T>>(
      [&](auto pointer) {
        using alternative = std::remove_pointer_t<decltype(pointer)>;
        const std::string type = TypeName<alternative>(messages);
        body += "    " + type + " " + type +
                "_value = " + std::to_string(++number) + ";\n";
      });
  messages[name] = body + "  }\n}\n";
  return name;
}

template <typename T>
std::string DescribeMessage(schema& messages) {
  std::string name(NameOf(static_cast<const T*>(nullptr)));
  if (messages.contains(name))
    return name;
  messages[name] = "";
  std::string body = "message " + name + " {\n";
  boost::mp11::mp_for_each<boost::mp11::mp_iota_c<detail::member_count_v<T>>>(
      [&](auto index) {
        using type = detail::member_type<T, index>;
        std::string field = detail::descriptor_v<T, index>.name;
        if constexpr (detail::is_time_v<type>)
          field += "_ms";
        body += FieldLine<type>(messages, field, static_cast<int>(index) + 1);
      });
  messages[name] = body + "}\n";
  return name;
}

template <typename T>
std::string TypeName(schema& messages) {
  if constexpr (std::is_same_v<T, bool>) {
    return "bool";
  } else if constexpr (detail::is_time_v<T>) {
    return "sint64";
  } else if constexpr (std::is_enum_v<T>) {
    return "uint32";
  } else if constexpr (std::is_integral_v<T>) {
    const std::string width = sizeof(T) == sizeof(std::uint64_t) ? "64" : "32";
    return (std::is_signed_v<T> ? "sint" : "uint") + width;
  } else if constexpr (std::is_same_v<T, std::string> ||
                       detail::is_identifier<T>::value) {
    return "bytes";
  } else if constexpr (detail::is_variant<T>::value) {
    return DescribeOneof<T>(messages);
  } else {
    return DescribeMessage<T>(messages);
  }
}

}  // namespace

std::string ProtoSchema() {
  schema messages;
  TypeName<model::batch>(messages);
  TypeName<model::peer_message>(messages);
  std::string text =
      "// Messages between entries and records of the platform's log. Written "
      "by\n"
      "// `parsleyhitch schema`; times are in milliseconds.\n\n"
      "syntax = \"proto3\";\n\npackage parsleyhitch;\n";
  for (const auto& [name, body] : messages)
    text += "\n" + body;
  return text;
}

}  // namespace parsleyhitch::wire
