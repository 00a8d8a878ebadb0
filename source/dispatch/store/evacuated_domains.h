// The failure domains that operators have evacuated, as known from the
// operators' stream and from peers that have read more of it.

#ifndef PARSLEYHITCH_DISPATCH_STORE_EVACUATED_DOMAINS_H_
#define PARSLEYHITCH_DISPATCH_STORE_EVACUATED_DOMAINS_H_

#include <cstdint>
#include <map>
#include <set>

#include "work/event.h"
#include "work/peer_message.h"

namespace parsleyhitch::dispatch {

// Invariant: `active` is what all items of the stream before `position` say.
struct evacuated_domains {
  // With the offset of the item that says so; 0 if a peer told.
  std::map<work::failure_domain_id, std::uint64_t> active;
  std::uint64_t position = 0;
  // The domains in the pages read so far of a snapshot.
  std::set<work::failure_domain_id> listed;

  bool operator==(const evacuated_domains&) const = default;
};

// After an item of the stream. One before `position` is accounted for already.
evacuated_domains ApplyEvacuation(evacuated_domains before,
                                  std::uint64_t offset,
                                  const work::domain_evacuation& change);

// After all items before `position` have been read.
evacuated_domains AdvanceTo(evacuated_domains before, std::uint64_t position);

// After the last page of a snapshot of the newest items, whose first page was
// read when the stream ended at `end`. Domains that it lacks are in service
// again, unless they were evacuated since.
evacuated_domains EndSnapshot(evacuated_domains before, std::uint64_t end);

// After a peer's report; one that is not newer changes nothing.
evacuated_domains Adopt(evacuated_domains before,
                        const work::evacuation_report& report);

work::evacuation_report ReportOf(const evacuated_domains& known);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_STORE_EVACUATED_DOMAINS_H_
