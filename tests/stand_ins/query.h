// Members of a URL's query.

#ifndef PARSLEYHITCH_TESTS_STAND_INS_QUERY_H_
#define PARSLEYHITCH_TESTS_STAND_INS_QUERY_H_

#include <cstdint>
#include <string>

namespace parsleyhitch::stand_ins {

// As it stands in the query; empty when it is absent.
inline std::string QueryText(const std::string& query,
                             const std::string& name) {
  const std::string marked = "&" + query;
  const std::size_t at = marked.find("&" + name + "=");
  if (at == std::string::npos)
    return {};
  const std::size_t start = at + name.size() + 2;
  return marked.substr(start, marked.find('&', start) - start);
}

// 0 when it is absent.
inline std::uint64_t QueryNumber(const std::string& query,
                                 const std::string& name) {
  const std::string text = QueryText(query, name);
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace parsleyhitch::stand_ins

#endif  // PARSLEYHITCH_TESTS_STAND_INS_QUERY_H_
