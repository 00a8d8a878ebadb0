// JSON encoding of every type described with PARSLEYHITCH_DESCRIBE. A time is
// an integer in milliseconds whose key ends in "_ms"; a variant is an object
// with one member, named after the alternative's type.

#ifndef PARSLEYHITCH_WIRE_JSON_CODEC_H_
#define PARSLEYHITCH_WIRE_JSON_CODEC_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "model/finding.h"
#include "wire/base.h"
#include "wire/describe.h"
#include "wire/traits.h"

namespace parsleyhitch::wire {

using json = nlohmann::ordered_json;

namespace detail {

template <typename T>
json EncodeJson(const T& value);

template <typename T, std::size_t I>
std::string JsonKey() {
  std::string name = descriptor_v<T, I>.name;
  if constexpr (is_time_v<member_type<T, I>>)
    name += "_ms";
  return name;
}

template <typename T>
json EncodeMembers(const T& value) {
  json object = json::object();
  boost::mp11::mp_for_each<boost::mp11::mp_iota_c<member_count_v<T>>>(
      [&](auto index) {
        const auto& member = value.*descriptor_v<T, index>.pointer;
        using type = member_type<T, index>;
        if constexpr (is_optional<type>::value) {
          if (!member)
            return;
        }
        object[JsonKey<T, index>()] = EncodeJson(member);
      });
  return object;
}

template <typename T>
json EncodeJson(const T& value) {
  if constexpr (std::is_same_v<T, std::string>) {
    return EncodeText(value);
  } else if constexpr (is_identifier<T>::value) {
    return EncodeText(value.value());
  } else if constexpr (is_time_v<T>) {
    return Milliseconds(value);
  } else if constexpr (std::is_enum_v<T>) {
    return SnakeCase(boost::describe::enum_to_string(value, "kUnknown"));
  } else if constexpr (std::is_arithmetic_v<T>) {
    return value;
  } else if constexpr (is_optional<T>::value) {
    return value ? EncodeJson(*value) : json();
  } else if constexpr (is_vector<T>::value) {
    json list = json::array();
    for (const auto& each : value)
      list.push_back(EncodeJson(each));
    return list;
  } else if constexpr (is_variant<T>::value) {
    return std::visit(
        [](const auto& each) {
          json object = json::object();
          object[std::string(NameOf(&each))] = EncodeJson(each);
          return object;
        },
        value);
  } else {
    return EncodeMembers(value);
  }
}

// Decodes a value and adds a finding for every error; `place` is the JSON
// pointer of `source`.
template <typename T>
T DecodeJson(const json& source,
             const std::string& place,
             model::findings& findings);

inline void AddFinding(model::findings& findings,
                       const std::string& place,
                       std::string message) {
  findings.push_back({.place = place, .message = std::move(message)});
}

// The JSON pointer of a member or element.
inline std::string ChildPlace(const std::string& place, std::string_view name) {
  std::string path = place;
  path += '/';
  path += name;
  return path;
}

template <typename T>
T DecodeInteger(const json& source,
                const std::string& place,
                model::findings& findings) {
  if (!source.is_number_integer()) {
    AddFinding(findings, place, "must be an integer");
    return {};
  }
  const bool negative =
      !source.is_number_unsigned() && source.get<std::int64_t>() < 0;
  if (negative) {
    const auto wide = source.get<std::int64_t>();
    if (std::is_unsigned_v<T> ||
        std::cmp_less(wide, std::numeric_limits<T>::min())) {
      AddFinding(findings, place, "is too small");
      return {};
    }
    return static_cast<T>(wide);
  }
  const auto wide = source.get<std::uint64_t>();
  if (std::cmp_greater(wide, std::numeric_limits<T>::max())) {
    AddFinding(findings, place, "is too large");
    return {};
  }
  return static_cast<T>(wide);
}

template <typename T>
T DecodeEnum(const json& source,
             const std::string& place,
             model::findings& findings) {
  T found{};
  bool known = false;
  std::string names;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>(
      [&](auto each) {
        const std::string name = SnakeCase(each.name);
        names += names.empty() ? "" : ", ";
        names += name;
        if (!source.is_string() || source.get_ref<const std::string&>() != name)
          return;
        found = each.value;
        known = true;
      });
  if (!known)
    AddFinding(findings, place, "must be one of " + names);
  return found;
}

template <typename T>
T DecodeList(const json& source,
             const std::string& place,
             model::findings& findings) {
  T list;
  if (!source.is_array()) {
    AddFinding(findings, place, "must be a list");
    return list;
  }
  std::size_t index = 0;
  for (const json& each : source) {
    list.push_back(DecodeJson<typename T::value_type>(
        each, ChildPlace(place, std::to_string(index)), findings));
    ++index;
  }
  return list;
}

template <typename T>
T DecodeVariant(const json& source,
                const std::string& place,
                model::findings& findings) {
  std::optional<T> found;
  if (source.is_object() && source.size() == 1) {
    const std::string& name = source.begin().key();
    boost::mp11::mp_for_each<boost::mp11::mp_transform<std::add_pointer_t, T>>(
        [&](auto pointer) {
          using alternative = std::remove_pointer_t<decltype(pointer)>;
          if (NameOf(static_cast<const alternative*>(nullptr)) != name)
            return;
          found.emplace(DecodeJson<alternative>(
              source.begin().value(), ChildPlace(place, name), findings));
        });
  }
  if (found)
    return std::move(*found);
  AddFinding(findings, place, "must be an object with one known type name");
  return T{};
}

template <typename T, std::size_t I>
member_type<T, I> DecodeMember(const json& source,
                               const std::string& place,
                               model::findings& findings) {
  static const T defaults{};
  const std::string name = JsonKey<T, I>();
  const auto found = source.find(name);
  if (found == source.end() || found->is_null())
    return defaults.*descriptor_v<T, I>.pointer;
  return DecodeJson<member_type<T, I>>(*found, ChildPlace(place, name),
                                       findings);
}

template <typename T, std::size_t... I>
T DecodeMembers(const json& source,
                const std::string& place,
                model::findings& findings,
                std::index_sequence<I...>) {
  const std::set<std::string> known{JsonKey<T, I>()...};
  for (const auto& [name, value] : source.items()) {
    if (!known.contains(name))
      AddFinding(findings, ChildPlace(place, name), "is not a known field");
  }
  static_assert(has_all_described_v<T>);
  return T{DecodeMember<T, I>(source, place, findings)...};
}

template <typename T>
T DecodeStruct(const json& source,
               const std::string& place,
               model::findings& findings) {
  if (!source.is_object()) {
    AddFinding(findings, place, "must be an object");
    return T{};
  }
  return DecodeMembers<T>(source, place, findings,
                          std::make_index_sequence<member_count_v<T>>());
}

template <typename T>
T DecodeJson(const json& source,
             const std::string& place,
             model::findings& findings) {
  if constexpr (std::is_same_v<T, std::string>) {
    return DecodeText(source, place, findings);
  } else if constexpr (is_identifier<T>::value) {
    return T(DecodeText(source, place, findings));
  } else if constexpr (std::is_same_v<T, model::duration>) {
    return model::duration(
        DecodeInteger<std::int64_t>(source, place, findings));
  } else if constexpr (std::is_same_v<T, model::timestamp>) {
    return model::timestamp(
        model::duration(DecodeInteger<std::int64_t>(source, place, findings)));
  } else if constexpr (std::is_enum_v<T>) {
    return DecodeEnum<T>(source, place, findings);
  } else if constexpr (std::is_same_v<T, bool>) {
    if (!source.is_boolean())
      AddFinding(findings, place, "must be true or false");
    return source.is_boolean() && source.get<bool>();
  } else if constexpr (std::is_integral_v<T>) {
    return DecodeInteger<T>(source, place, findings);
  } else if constexpr (std::is_floating_point_v<T>) {
    if (!source.is_number())
      AddFinding(findings, place, "must be a number");
    return source.is_number() ? source.get<T>() : T{};
  } else if constexpr (is_optional<T>::value) {
    return T(DecodeJson<typename T::value_type>(source, place, findings));
  } else if constexpr (is_vector<T>::value) {
    return DecodeList<T>(source, place, findings);
  } else if constexpr (is_variant<T>::value) {
    return DecodeVariant<T>(source, place, findings);
  } else {
    return DecodeStruct<T>(source, place, findings);
  }
}

}  // namespace detail

// The value as one line of JSON.
template <typename T>
std::string ToJson(const T& value) {
  return detail::EncodeJson(value).dump();
}

// Decodes a value; on failure, there is a finding for every error, with its
// JSON pointer. Absent members take their default.
template <typename T>
result<T> FromJson(std::string_view text) {
  const json source = json::parse(text, nullptr, false);
  if (source.is_discarded())
    return Malformed("is not valid JSON");
  model::findings findings;
  T value = detail::DecodeJson<T>(source, "", findings);
  if (!findings.empty())
    return boost::leaf::new_error(std::move(findings));
  return value;
}

}  // namespace parsleyhitch::wire

#endif  // PARSLEYHITCH_WIRE_JSON_CODEC_H_
