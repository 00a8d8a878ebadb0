// The searches are linear: a catalog has tens of queues and keys, rarely
// hundreds.

#include "dispatch/callers/routing.h"

#include <algorithm>
#include <cctype>

namespace parsleyhitch::dispatch {

namespace {

constexpr std::size_t kJobIdLength = 16;

}  // namespace

const work::queue* RouteOf(const work::catalog& catalog,
                           const work::client_call& call) {
  const work::queue* best = nullptr;
  for (const work::queue& each : catalog.queues) {
    const bool matches =
        each.host == call.host && call.path.starts_with(each.path_prefix);
    const bool longer =
        best == nullptr || each.path_prefix.size() > best->path_prefix.size();
    if (matches && longer)
      best = &each;
  }
  return best;
}

std::string_view RestOfPath(const work::queue& queue,
                            const work::client_call& call) {
  const std::string_view path = call.path;
  return path.starts_with(queue.path_prefix)
             ? path.substr(queue.path_prefix.size())
             : std::string_view();
}

const work::workspace* OwnerOf(const work::catalog& catalog,
                               const std::string& key) {
  if (key.empty())
    return nullptr;
  for (const work::workspace& each : catalog.workspaces) {
    if (std::ranges::find(each.keys, key) != each.keys.end())
      return &each;
  }
  return nullptr;
}

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength &&
         std::ranges::all_of(text, [](unsigned char letter) {
           return std::isxdigit(letter) != 0;
         });
}

}  // namespace parsleyhitch::dispatch
