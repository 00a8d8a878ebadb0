// Offsets order all changes, whether they are read from the store or reported
// by a peer.

#include "dispatch/store/evacuated_domains.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace parsleyhitch::dispatch {

evacuated_domains ApplyEvacuation(evacuated_domains before,
                                  std::uint64_t offset,
                                  const work::domain_evacuation& change) {
  if (change.active)
    before.listed.insert(change.failure_domain);
  if (offset < before.position)
    return before;
  if (change.active)
    before.active[change.failure_domain] = offset;
  else
    before.active.erase(change.failure_domain);
  return before;
}

evacuated_domains AdvanceTo(evacuated_domains before, std::uint64_t position) {
  before.position = std::max(before.position, position);
  return before;
}

evacuated_domains EndSnapshot(evacuated_domains before, std::uint64_t end) {
  if (end >= before.position) {
    std::erase_if(before.active, [&](const auto& each) {
      const auto& [failure_domain, offset] = each;
      return offset < end && !before.listed.contains(failure_domain);
    });
    before.position = end;
  }
  before.listed.clear();
  return before;
}

evacuated_domains Adopt(evacuated_domains before,
                        const work::evacuation_report& report) {
  if (report.position <= before.position)
    return before;
  before.active.clear();
  for (const work::failure_domain_id& each : report.failure_domains)
    before.active.emplace(each, 0);
  before.position = report.position;
  return before;
}

work::evacuation_report ReportOf(const evacuated_domains& known) {
  std::vector<work::failure_domain_id> failure_domains;
  failure_domains.reserve(known.active.size());
  for (const auto& [failure_domain, offset] : known.active)
    failure_domains.push_back(failure_domain);
  return {.position = known.position,
          .failure_domains = std::move(failure_domains)};
}

}  // namespace parsleyhitch::dispatch
