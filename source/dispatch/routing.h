// Which queue a call is for, and whose it is, by the configuration in force.

#ifndef PARSLEYHITCH_DISPATCH_ROUTING_H_
#define PARSLEYHITCH_DISPATCH_ROUTING_H_

#include <optional>
#include <string>
#include <string_view>

#include "work/call.h"
#include "work/catalog.h"

namespace parsleyhitch::dispatch {

struct routed_call {
  const work::queue* queue = nullptr;
  // What follows the queue's prefix: a job's ID, or nothing.
  std::string_view rest;
};

// The queue with the longest prefix that the path begins with.
std::optional<routed_call> RouteOf(const work::catalog& catalog,
                                   const work::client_call& call);

// Null when no workspace has the key.
const work::workspace* OwnerOf(const work::catalog& catalog,
                               const std::string& key);

// A job's ID: 16 hexadecimal digits.
bool IsJobId(std::string_view text);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_ROUTING_H_
