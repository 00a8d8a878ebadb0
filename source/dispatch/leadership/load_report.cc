// Reports the queues of this entry once a second: as gauges, and of the leader
// as a log line too.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/leadership/leadership.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

constexpr duration kReportInterval{1000};

struct load_figure {
  const std::string name;
  const std::uint64_t value = 0;
};

load_figure Figure(std::string name, duration value) {
  return {.name = std::move(name) + "_ms",
          .value = static_cast<std::uint64_t>(
              std::max(value, duration::zero()).count())};
}

// How long ago the records that have been read were complete.
duration AgeOfRecords(const context& ctx) {
  const timestamp confirmed_at = ctx.state.records.confirmed_at;
  return confirmed_at == timestamp() ? duration(0) : ctx.now() - confirmed_at;
}

// How long ago the leader had read the whole registry of workers; while it has
// not, how long it leads.
duration AgeOfRegistry(const context& ctx) {
  if (ctx.state.leadership.current_role != role::kLeader)
    return duration(0);
  return ctx.now() -
         std::max(ctx.state.workers.confirmed_at, ctx.state.leader.elected_at);
}

std::uint64_t RecordsLag(const context& ctx) {
  const feed_state& records = ctx.state.records;
  const bool behind =
      records.snapshot_complete && records.known_end > records.position;
  return behind ? records.known_end - records.position : 0;
}

std::vector<load_figure> MeasureLoad(const context& ctx) {
  const state& s = ctx.state;
  const leader_state& leader = s.leader;
  std::uint64_t workers_listed = 0;
  std::uint64_t workers_silent = 0;
  for (const auto& [worker, row] : leader.workers) {
    workers_listed += row.is_listed ? 1 : 0;
    workers_silent += row.unanswered_holds > 0 ? 1 : 0;
  }
  std::uint64_t units_waiting = 0;
  std::uint64_t units_placed = 0;
  for (const auto& [id, each] : leader.units) {
    units_waiting += each.phase == unit_phase::kWaiting ? 1 : 0;
    units_placed += each.phase == unit_phase::kPlaced ? 1 : 0;
  }
  work::resources reserved;
  for (const auto& [service, each] : leader.observed.reserves)
    reserved = reserved + each;
  const duration unsaved_for =
      leader.unsaved_since ? ctx.now() - *leader.unsaved_since : duration(0);
  return {
      {.name = "jobs", .value = leader.jobs.size()},
      {.name = "units_waiting", .value = units_waiting},
      {.name = "units_placed", .value = units_placed},
      {.name = "units_waiting_for_room",
       .value = leader.observed.room_waits.size()},
      {.name = "reserved_cpu_millis",
       .value = static_cast<std::uint64_t>(reserved.cpu_millis)},
      {.name = "reserved_accelerators",
       .value = static_cast<std::uint64_t>(reserved.accelerators)},
      {.name = "workers_listed", .value = workers_listed},
      {.name = "workers_silent", .value = workers_silent},
      {.name = "orders_in_flight", .value = leader.orders.size()},
      {.name = "orders_forwarded", .value = leader.forwarded_orders.size()},
      {.name = "proxies", .value = leader.proxies.size()},
      {.name = "unsaved_changes",
       .value = leader.changed_jobs.size() + leader.changed_units.size()},
      Figure("unsaved_for", unsaved_for),
      {.name = "ends_unsaved", .value = leader.processed_ends.size()},
      Figure("phase_append", AgeOfAppend(ctx, leader.job_phases)),
      Figure("unit_append", AgeOfAppend(ctx, leader.unit_progress)),
      Figure("submission_append", AgeOfAppend(ctx, s.submissions)),
      {.name = "submissions_waiting", .value = s.submissions.waiting.size()},
      {.name = "records_lag", .value = RecordsLag(ctx)},
      Figure("records_age", AgeOfRecords(ctx)),
      Figure("registry_age", AgeOfRegistry(ctx)),
      {.name = "client_calls", .value = s.calls.size()},
      {.name = "interfering_pairs",
       .value = leader.observed.interference.known.size()},
      Figure("tick_delay", s.longest_tick_delay)};
}

}  // namespace

void ReportLoadIfDue(const context& ctx) {
  state& s = ctx.state;
  const bool first = s.next_tick_at == timestamp();
  if (!first) {
    s.longest_tick_delay =
        std::max(s.longest_tick_delay, s.now - s.next_tick_at);
  }
  if (s.now < s.next_load_report_at)
    return;
  s.next_load_report_at = s.now + kReportInterval;
  std::vector<work::log_field> fields;
  for (const load_figure& each : MeasureLoad(ctx)) {
    ctx.Emit(work::set_gauge{.name = "load_" + each.name, .value = each.value});
    fields.push_back(Field(each.name, each.value));
  }
  s.longest_tick_delay = duration(0);
  if (s.leadership.current_role == role::kLeader)
    ctx.Log("leader_load", ctx.env.self.value(), std::move(fields));
}

void TrackUnsavedProgress(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  if (leader.changed_jobs.empty() && leader.changed_units.empty())
    leader.unsaved_since.reset();
  else if (!leader.unsaved_since)
    leader.unsaved_since = ctx.now();
}

}  // namespace parsleyhitch::dispatch
