// Every input of the dispatcher's reducer. The reducer runs in each entry, that
// is, in each process of the dispatcher. Each event carries the time at which
// it happened; the reducer reads no clock.

#ifndef PARSLEYHITCH_WORK_EVENT_H_
#define PARSLEYHITCH_WORK_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "work/call.h"
#include "work/catalog.h"
#include "work/order.h"
#include "work/peer_message.h"
#include "work/record.h"
#include "work/worker.h"

namespace parsleyhitch::work {

// The streams of keyed items kept by the store. `kCatalog` holds what operators
// publish: the configuration and evacuations. `kUnits` holds the progress of
// units, which its writer, the leader, reads once after its election.
enum class feed { kRecords, kCatalog, kWorkers, kUnits };

struct entry_started {
  const timestamp at;
  const std::uint64_t incarnation = 0;
  const std::uint64_t seed = 0;
  bool operator==(const entry_started&) const = default;
};

struct wake_due {
  const timestamp at;
  bool operator==(const wake_due&) const = default;
};

// The decoded configuration together with its published encoding, which is
// passed on to peers unchanged.
struct published_catalog {
  const catalog content{};
  const std::string encoded;
  bool operator==(const published_catalog&) const = default;
};

// The operator's request that no task is started in a failure domain, or the
// end of that request.
struct domain_evacuation {
  const failure_domain_id failure_domain;
  const bool active = true;
  bool operator==(const domain_evacuation&) const = default;
};

using feed_value = std::
    variant<record, published_catalog, registered_worker, domain_evacuation>;

struct feed_item {
  const std::uint64_t offset = 0;
  const std::string key;
  // Absent when the key was deleted, or its value belongs to another program or
  // could not be decoded. A deleted evacuation has the value of its end.
  const std::optional<feed_value> value{};
  // The key was deleted.
  const bool deleted = false;
  bool operator==(const feed_item&) const = default;
};

// The HTTP exchange of one call to the store.
struct store_exchange {
  // 0 when no complete response was received.
  const std::uint32_t status = 0;
  // False only when no byte of the request was sent.
  const bool sent = true;
  // Sizes of the bodies, as far as they were sent and received.
  const std::uint64_t bytes_written = 0;
  const std::uint64_t bytes_read = 0;
  bool operator==(const store_exchange&) const = default;
};

// Answers `read_feed`.
struct feed_read {
  const timestamp at;
  const call_number call = 0;
  const feed source = feed::kRecords;
  // The position from which to read on.
  const std::uint64_t next = 0;
  const std::vector<feed_item> items{};
  // The position after the feed's last item.
  const std::uint64_t end = 0;
  const store_exchange exchange{};
  bool operator==(const feed_read&) const = default;
};

// Answers `read_newest`: one page of the newest item of each key.
struct newest_read {
  const timestamp at;
  const call_number call = 0;
  const feed source = feed::kRecords;
  // The position after the feed's last item.
  const std::uint64_t end = 0;
  const std::vector<feed_item> items{};
  // The key after which the next page starts; empty on the last page.
  const std::string next_page_after;
  const store_exchange exchange{};
  bool operator==(const newest_read&) const = default;
};

// `kTrimmed`: the items at the requested position were deleted from the store.
enum class read_failure { kTrimmed, kUnavailable };

// `read_feed` or `read_newest` failed.
struct feed_unread {
  const timestamp at;
  const call_number call = 0;
  const feed source = feed::kRecords;
  const read_failure why = read_failure::kUnavailable;
  const store_exchange exchange{};
  bool operator==(const feed_unread&) const = default;
};

enum class append_outcome {
  kStored,
  kFenced,         // the store saw a higher epoch of this writer
  kOutOfSequence,  // another append of this writer used the sequence number
  kRefused,        // nothing was stored
  kUnknown,
  kRejected,  // nothing was stored, and nothing will be if it is repeated
};

struct append_answered {
  const timestamp at;
  const call_number call = 0;
  const append_outcome outcome = append_outcome::kUnknown;
  // Set for a stored append only: the position after its last record.
  const std::uint64_t end = 0;
  const store_exchange exchange{};
  bool operator==(const append_answered&) const = default;
};

struct peer_heard {
  const timestamp at;
  const peer_message message{};
  bool operator==(const peer_heard&) const = default;
};

// A peer sent the configuration; `content` is already decoded.
struct catalog_relayed {
  const timestamp at;
  const published_catalog content{};
  bool operator==(const catalog_relayed&) const = default;
};

struct client_called {
  const timestamp at;
  const call_number call = 0;
  const client_call content{};
  bool operator==(const client_called&) const = default;
};

// The client closed the connection before its call was answered.
struct client_gone {
  const timestamp at;
  const call_number call = 0;
  bool operator==(const client_gone&) const = default;
};

// A graceful shutdown was requested; the process must exit within `grace`.
struct shutdown_requested {
  const timestamp at;
  const duration grace{0};
  bool operator==(const shutdown_requested&) const = default;
};

using event = std::variant<entry_started,
                           wake_due,
                           feed_read,
                           newest_read,
                           feed_unread,
                           append_answered,
                           start_answered,
                           stop_answered,
                           hold_answered,
                           peer_heard,
                           catalog_relayed,
                           client_called,
                           client_gone,
                           shutdown_requested>;

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_EVENT_H_
