// Names the parts, and sums up their times.

#include "report/time_account.h"

#include <array>
#include <utility>
#include <variant>

namespace parsleyhitch::report {

namespace {

// In the order of `work::event`.
constexpr std::array<const char*, std::variant_size_v<work::event>> kEventParts{
    "reduce_entry_started",   "reduce_wake_due",
    "reduce_feed_read",       "reduce_newest_read",
    "reduce_feed_unread",     "reduce_append_answered",
    "reduce_start_answered",  "reduce_stop_answered",
    "reduce_hold_answered",   "reduce_peer_heard",
    "reduce_catalog_relayed", "reduce_client_called",
    "reduce_client_gone",     "reduce_shutdown_requested"};

// In the order of `work::effect`.
constexpr std::array<const char*, std::variant_size_v<work::effect>>
    kEffectParts{
        "perform_read_feed",    "perform_read_newest", "perform_append",
        "perform_start",        "perform_stop",        "perform_hold",
        "perform_send_to_peer", "perform_answer",      "perform_wake",
        "perform_log",          "perform_metric",      "perform_metric",
        "perform_metric",       "perform_stop_process"};

}  // namespace

time_account Add(time_account account,
                 const std::string& part,
                 std::chrono::nanoseconds spent) {
  part_time& changed = account.parts[part];
  changed.count += 1;
  changed.spent += spent;
  return account;
}

std::chrono::nanoseconds Total(const time_account& account) {
  std::chrono::nanoseconds total{0};
  for (const auto& [name, part] : account.parts)
    total += part.spent;
  return total;
}

std::vector<work::log_field> FieldsOf(const time_account& account,
                                      std::chrono::nanoseconds least) {
  std::vector<work::log_field> fields;
  for (const auto& [name, part] : account.parts) {
    if (part.spent < least)
      continue;
    const auto spent =
        std::chrono::duration_cast<std::chrono::milliseconds>(part.spent);
    fields.push_back({.name = name, .value = std::to_string(part.count)});
    fields.push_back(
        {.name = name + "_ms", .value = std::to_string(spent.count())});
  }
  return fields;
}

std::string PartOf(const work::event& event) {
  return kEventParts.at(event.index());
}

std::string PartOf(const work::effect& effect) {
  return kEffectParts.at(effect.index());
}

}  // namespace parsleyhitch::report
