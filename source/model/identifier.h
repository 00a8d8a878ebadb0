// Strongly typed identifiers: a worker's ID doesn't convert to a job's.

#ifndef PARSLEYHITCH_MODEL_IDENTIFIER_H_
#define PARSLEYHITCH_MODEL_IDENTIFIER_H_

#include <compare>
#include <string>
#include <utility>

namespace parsleyhitch::model {

// An immutable identifier of the kind that `Tag` stands for, ordered by its
// text.
template <typename Tag>
class identifier {
 public:
  // User-provided so that a const member needs no initializer (CWG 253).
  identifier() {}
  explicit identifier(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  auto operator<=>(const identifier&) const = default;

 private:
  std::string value_;
};

using entry_id = identifier<struct entry_tag>;
using worker_id = identifier<struct worker_tag>;
using rack_id = identifier<struct rack_tag>;
using failure_domain_id = identifier<struct failure_domain_tag>;
using workspace_id = identifier<struct workspace_tag>;
using service_id = identifier<struct service_tag>;
using job_id = identifier<struct job_tag>;
using idempotency_key = identifier<struct idempotency_key_tag>;

}  // namespace parsleyhitch::model

#endif  // PARSLEYHITCH_MODEL_IDENTIFIER_H_
