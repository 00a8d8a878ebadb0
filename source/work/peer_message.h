// Messages between entries, the dispatcher's processes. They are best effort:
// any may be lost, and only the records in the store are authoritative.

#ifndef PARSLEYHITCH_WORK_PEER_MESSAGE_H_
#define PARSLEYHITCH_WORK_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "work/call.h"
#include "work/catalog.h"
#include "work/order.h"
#include "work/record.h"

namespace parsleyhitch::work {

// The evacuated failure domains as of a position in the operators' stream, so
// that an entry that the store turns away learns of them from its peers.
struct evacuation_report {
  // 0 if the sender has not read the stream.
  const std::uint64_t position = 0;
  const std::vector<failure_domain_id> failure_domains{};
  bool operator==(const evacuation_report&) const = default;
};

// How long a further job of a workspace would wait at least.
struct expected_wait {
  service_id service;
  workspace_id owner;
  std::uint32_t priority = 0;
  duration wait{0};
  // Free capacity of the service: on all workers together, and the most of each
  // resource on any one of them.
  resources free;
  resources largest_free;
  bool operator==(const expected_wait&) const = default;
};

// From the leader to every member.
struct leader_heartbeat {
  const std::uint64_t epoch = 0;
  const std::string address;
  const std::uint64_t number = 0;
  const std::uint64_t catalog_version = 0;
  // The leader can reach the records in the store.
  const bool store_reached = false;
  // The leader asks the members to elect another leader.
  const bool resigning = false;
  // Appends take long. The store carries them out one at a time, so members
  // relay their calls to the leader, which stores many with one append.
  const bool store_slow = false;
  // The leader can reach the other streams too. Unless it does, tasks may have
  // been started without a record.
  const bool all_streams_reached = false;
  const evacuation_report evacuations{};
  // Of workspaces whose jobs wait; empty from leaders that know of none, and
  // from those of older versions.
  const std::vector<expected_wait> waits{};
  bool operator==(const leader_heartbeat&) const = default;
};

struct heartbeat_reply {
  const std::uint64_t epoch = 0;
  const std::string address;
  // The number of the heartbeat that this replies to.
  const std::uint64_t number = 0;
  const std::uint64_t catalog_version = 0;
  // The sender's clock when it sent this, and its process: the leader states
  // the validity of forwarded orders on that clock.
  const timestamp clock{};
  const std::uint64_t incarnation = 0;
  // The sender takes forwarded orders.
  const bool takes_orders = false;
  const evacuation_report evacuations{};
  bool operator==(const heartbeat_reply&) const = default;
};

// Asks for the configuration, as the sender holds an older version.
struct catalog_wanted {
  const std::string address;
  const std::uint64_t held_version = 0;
  bool operator==(const catalog_wanted&) const = default;
};

// The configuration in its published encoding.
struct catalog_offered {
  const std::uint64_t version = 0;
  const std::string content;
  bool operator==(const catalog_offered&) const = default;
};

// A client call, passed to the leader by an entry that can't reach the store.
struct call_relayed {
  const std::uint64_t call = 0;
  const std::string address;
  const client_call content{};
  // By the catalog of the sender, which has decided that the call is allowed;
  // absent from senders of older versions.
  const std::optional<call_route> route{};
  bool operator==(const call_relayed&) const = default;
};

// Answers `call_relayed`.
struct call_settled {
  const std::uint64_t call = 0;
  const client_answer answer{};
  bool operator==(const call_settled&) const = default;
};

// Orders for the receiver to send to workers in the name of the leader.
struct orders_forwarded {
  const std::uint64_t epoch = 0;
  // Of the leader, to which the answers are returned.
  const std::string address;
  // The process that the orders are meant for; another one drops them, as their
  // validity is stated on its clock.
  const std::uint64_t incarnation = 0;
  const std::vector<order> orders{};
  bool operator==(const orders_forwarded&) const = default;
};

// Answers to `orders_forwarded`, with the leader's numbers of the calls.
struct answers_returned {
  const std::uint64_t epoch = 0;
  const std::vector<order_answer> answers{};
  bool operator==(const answers_returned&) const = default;
};

using peer_content = std::variant<leader_heartbeat,
                                  heartbeat_reply,
                                  catalog_wanted,
                                  catalog_offered,
                                  call_relayed,
                                  call_settled,
                                  orders_forwarded,
                                  answers_returned>;

struct peer_message {
  const entry_id from;
  const peer_content content{};
  bool operator==(const peer_message&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_PEER_MESSAGE_H_
