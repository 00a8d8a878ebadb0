// Answers status calls with a summary of this entry for operators.

#include <utility>

#include "scheduler/reduce_parts.h"

namespace parsleyhitch::scheduler::detail {

namespace {

struct worker_counts {
  std::uint64_t live = 0;
  std::uint64_t leaving = 0;
  std::uint64_t lost = 0;
};

worker_counts CountWorkers(const model::ledger& ledger) {
  worker_counts counts;
  for (const auto& [worker, status] : ledger.workers) {
    counts.live += status.phase == model::worker_phase::kLive ? 1 : 0;
    counts.leaving += status.phase == model::worker_phase::kLeaving ? 1 : 0;
    counts.lost += status.phase == model::worker_phase::kLost ? 1 : 0;
  }
  return counts;
}

std::uint64_t ReservedAccelerators(const model::ledger& ledger) {
  std::uint64_t reserved = 0;
  for (const auto& [worker, use] : ledger.worker_usage)
    reserved += use.reserved;
  return reserved;
}

std::vector<model::guarantee_view> GuaranteeViews(const model::ledger& ledger) {
  std::vector<model::guarantee_view> views;
  for (const auto& [id, status] : ledger.guarantees) {
    views.push_back({.id = id,
                     .claimed = status.claimed_by.has_value(),
                     .shortfall = status.shortfall});
  }
  return views;
}

std::vector<model::peer_view> PeerViews(const environment& environment,
                                        const entry_state& state) {
  std::vector<model::peer_view> views;
  for (const auto& [entry, peer] : state.peers.peers) {
    const bool alive =
        state.now - peer.last_heard <= environment.limits.peer_timeout;
    views.push_back({.entry = entry,
                     .alive = alive,
                     .draining = peer.draining,
                     .next_offset = peer.next_offset});
  }
  return views;
}

}  // namespace

step On(const environment& environment,
        step step,
        const model::status_requested& event) {
  const model::ledger& ledger = step.state.ledger;
  const worker_counts workers = CountWorkers(ledger);
  const model::manifest* in_force = ledger.in_force.Get();
  const model::status_view view{
      .entry = environment.me,
      .next_offset = ledger.next_offset,
      .log_readable = step.state.log.readable,
      .draining = step.state.drain.draining,
      .manifest_version = in_force == nullptr ? 0 : in_force->version,
      .jobs_waiting = ledger.waiting.size(),
      .jobs_placed = ledger.placements.size(),
      .workers_live = workers.live,
      .workers_leaving = workers.leaving,
      .workers_lost = workers.lost,
      .accelerators_firm = ledger.accelerators_firm,
      .accelerators_soft = ledger.accelerators_soft,
      .accelerators_reserved = ReservedAccelerators(ledger),
      .accelerators_total = ledger.accelerators_total,
      .requests_open = step.state.requests.open.size(),
      .guarantees = GuaranteeViews(ledger),
      .peers = PeerViews(environment, step.state)};
  return Answer(std::move(step), event.call,
                {.kind = model::answer_kind::kFound, .status = view});
}

}  // namespace parsleyhitch::scheduler::detail
