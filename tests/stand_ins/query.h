// Access to the parameters of a URL's query.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_QUERY_H_
#define PARSLEYHITCH_TESTS_STAND_INS_QUERY_H_

#include <cstdint>
#include <string>

namespace parsleyhitch::stand_ins {

// Returns the parameter's text without decoding it; empty if it is absent.
inline std::string QueryText(const std::string& query,
                             const std::string& name) {
  const std::string marked = "&" + query;
  const std::size_t at = marked.find("&" + name + "=");
  if (at == std::string::npos)
    return {};
  const std::size_t start = at + name.size() + 2;
  return marked.substr(start, marked.find('&', start) - start);
}

// Returns 0 if the parameter is absent. Throws std::invalid_argument or
// std::out_of_range if its text does not start with a number in range.
inline std::uint64_t QueryNumber(const std::string& query,
                                 const std::string& name) {
  const std::string text = QueryText(query, name);
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_QUERY_H_
