// Finds the queue and the workspace of a client call in the catalog.

#ifndef PARSLEYHITCH_DISPATCH_CALLERS_ROUTING_H_
#define PARSLEYHITCH_DISPATCH_CALLERS_ROUTING_H_

#include <string>
#include <string_view>

#include "work/call.h"
#include "work/catalog.h"

namespace parsleyhitch::dispatch {

// The queue of the call's host with the longest prefix that matches the path;
// null when there is none.
const work::queue* RouteOf(const work::catalog& catalog,
                           const work::client_call& call);

// The part of the call's path after the queue's prefix: a job's ID, or empty.
std::string_view RestOfPath(const work::queue& queue,
                            const work::client_call& call);

// The workspace that has the API key; null when there is none.
const work::workspace* OwnerOf(const work::catalog& catalog,
                               const std::string& key);

// True when the text has the form of a job's ID, 16 hexadecimal digits.
bool IsJobId(std::string_view text);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_CALLERS_ROUTING_H_
