// Type traits that the generic codecs dispatch on.

#ifndef PARSLEYHITCH_WIRE_TRAITS_H_
#define PARSLEYHITCH_WIRE_TRAITS_H_

#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <cctype>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "model/identifier.h"
#include "model/time.h"

namespace parsleyhitch::wire::detail {

template <typename T>
struct is_identifier : std::false_type {};
template <typename Tag>
struct is_identifier<model::identifier<Tag>> : std::true_type {};

template <typename T>
struct is_vector : std::false_type {};
template <typename T>
struct is_vector<std::vector<T>> : std::true_type {};

template <typename T>
struct is_optional : std::false_type {};
template <typename T>
struct is_optional<std::optional<T>> : std::true_type {};

template <typename T>
struct is_variant : std::false_type {};
template <typename... Ts>
struct is_variant<std::variant<Ts...>> : std::true_type {};

template <typename T>
inline constexpr bool is_time_v =
    std::is_same_v<T, model::duration> || std::is_same_v<T, model::timestamp>;

template <typename T>
using members_of =
    boost::describe::describe_members<T, boost::describe::mod_public>;

template <typename T>
inline constexpr std::size_t member_count_v =
    boost::mp11::mp_size<members_of<T>>::value;

// Converts to a value of any type.
struct any_value {
  template <typename T>
  operator T() const;  // NOLINT(google-explicit-constructor)
};

template <typename T, std::size_t... I>
constexpr bool IsConstructibleFrom(std::index_sequence<I...>) {
  return requires {
    T{(static_cast<void>(I), any_value())...};
  };
}

// False when a member of T is not described. The decoders construct a T from
// its members in order, so that it would take the value of the next one.
template <typename T>
inline constexpr bool has_all_described_v =
    !IsConstructibleFrom<T>(std::make_index_sequence<member_count_v<T> + 1>());

template <typename T, std::size_t I>
inline constexpr auto descriptor_v = boost::mp11::mp_at_c<members_of<T>, I>();

template <typename T, std::size_t I>
using member_type = std::remove_cvref_t<decltype(std::declval<const T&>().*
                                                 descriptor_v<T, I>.pointer)>;

// A duration, or the time of a timestamp since the epoch, in milliseconds.
inline std::int64_t Milliseconds(model::duration value) {
  return value.count();
}
inline std::int64_t Milliseconds(model::timestamp value) {
  return value.time_since_epoch().count();
}

// Converts the name of an enumerator: "kFailureDomain" to "failure_domain".
inline std::string SnakeCase(std::string_view enumerator) {
  std::string text;
  for (const char character : enumerator.substr(1)) {
    const bool upper = std::isupper(static_cast<unsigned char>(character)) != 0;
    if (upper && !text.empty())
      text += '_';
    text +=
        static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return text;
}

}  // namespace parsleyhitch::wire::detail

#endif  // PARSLEYHITCH_WIRE_TRAITS_H_
