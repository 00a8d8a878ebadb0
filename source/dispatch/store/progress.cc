// Stores the progress of jobs and units. A change is queued when it is made and
// written in the state that it has when its append is built. The effects of a
// processed end are durable once every change up to then is stored.

#include <algorithm>
#include <limits>
#include <utility>

#include "dispatch/fleet/fleet.h"
#include "dispatch/fleet/losses.h"
#include "dispatch/jobs/jobs.h"
#include "dispatch/jobs/steps.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

bool HasStarted(const unit& each) {
  return each.attempt > 0 || each.phase == unit_phase::kDone;
}

std::vector<work::worker_id> WorkersOf(const unit& each) {
  std::vector<work::worker_id> workers;
  if (each.phase != unit_phase::kPlaced)
    return workers;
  for (const member& one : each.members)
    workers.push_back(one.worker);
  return workers;
}

std::vector<work::lost_attempt> LostAttemptsOf(const unit& each) {
  std::vector<work::lost_attempt> lost;
  lost.reserve(each.lost_attempts.size());
  for (const auto& [attempt, loss] : each.lost_attempts) {
    lost.push_back({.attempt = attempt,
                    .worker = loss.worker,
                    .life = loss.life,
                    .at_start = loss.kind == loss_kind::kAtStart});
  }
  return lost;
}

work::unit_progress ProgressOf(const work::unit_id& id, const unit& each) {
  return {.occurrence = id.occurrence,
          .step = id.step,
          .index = id.index,
          .done = each.phase == unit_phase::kDone,
          .failures = CountOf(each.failed),
          .attempt = each.attempt,
          .attempt_failed = each.failed.numbers.contains(each.attempt),
          .checkpoint = each.checkpoint,
          .workers = WorkersOf(each),
          .losses = LossesOf(each, loss_kind::kAtStart),
          .later_losses = LossesOf(each, loss_kind::kLater),
          .failed_attempts = {each.failed.numbers.begin(),
                              each.failed.numbers.end()},
          .lost_attempts = LostAttemptsOf(each)};
}

// The record of the unit as it is now. None for a unit of a closed job: the
// job's phase, which was queued with a change no later than the unit's, covers
// it.
std::optional<work::record> TakeRecord(const context& ctx,
                                       const work::unit_id& id) {
  leader_state& leader = ctx.state.leader;
  const active_job* job = leader.jobs.Find(id.job);
  if (job == nullptr) {
    return leader.recorded_units.erase(id) > 0
               ? std::optional<work::record>(work::unit_deleted{.unit = id})
               : std::nullopt;
  }
  const unit* each = leader.units.Find(id);
  if (work::IsClosed(job->phase) || each == nullptr || !HasStarted(*each))
    return {};
  leader.recorded_units.insert(id);
  return work::unit_progressed{.job = id.job,
                               .progress = ProgressOf(id, *each)};
}

bool MayFill(const context& ctx, const outbox& box) {
  return !box.in_flight && box.batch.empty() && box.waiting.empty() &&
         ctx.now() >= box.next_at;
}

void CollectUnits(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  // Leaves room for the last record, which is smaller than the other half.
  const std::uint64_t enough = ctx.env.max_append_bytes / 2;
  std::uint64_t bytes = 0;
  while (!leader.changed_units.empty() && bytes < enough) {
    const auto [change, id] = leader.changed_units.TakeOldest();
    std::optional<work::record> record = TakeRecord(ctx, id);
    if (!record)
      continue;
    bytes += ctx.env.behaviour.record_bytes(*record);
    leader.unit_progress.batch.push_back(
        {.content = std::move(*record), .change = change});
  }
}

// The changes of these records precede no end, so that they delay none.
constexpr std::uint64_t kNoChange = std::numeric_limits<std::uint64_t>::max();

void CollectWorkers(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  const auto changed = std::exchange(leader.changed_workers, {});
  for (const work::worker_id& worker : changed) {
    std::optional<work::record> record = TakeWorkerRecord(ctx, worker);
    if (record)
      leader.unit_progress.batch.push_back(
          {.content = std::move(*record), .change = kNoChange});
  }
}

void CollectPhases(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  while (!leader.changed_jobs.empty() &&
         leader.job_phases.batch.size() < ctx.limits().max_batch_records) {
    const auto [change, id] = leader.changed_jobs.TakeOldest();
    const active_job* job = leader.jobs.Find(id);
    if (job == nullptr)
      continue;
    leader.job_phases.batch.push_back(
        {.content = work::job_progressed{.job = id, .phase = job->phase},
         .change = change});
  }
}

// How many jobs are looked at for their deletion at once, which takes a few
// milliseconds of a small entry's share.
constexpr std::uint32_t kMaxScannedJobs = 5000;

// True for a job that callers need not be told of any more, and of which
// nothing can run that an earlier leader ordered.
bool IsDeletionDue(const context& ctx,
                   const work::job_id& id,
                   const records::stored_job& job) {
  const duration kept = ctx.env.job_state_kept + ctx.env.longest_lease;
  // The feed must not return older records of the job after its deletion.
  const bool read =
      !job.progressed || *job.progressed < ctx.state.records.position;
  return records::MayBeDeleted(job) && read && ctx.now() - job.since >= kept &&
         !ctx.state.leader.jobs.Contains(id);
}

void CollectDeletion(const context& ctx, const work::job_id& id) {
  for (const work::job_part part :
       {work::job_part::kSubmission, work::job_part::kCancellation,
        work::job_part::kPhase}) {
    ctx.state.leader.job_phases.batch.push_back(
        {.content = work::job_deleted{.job = id, .part = part},
         .change = kNoChange});
  }
}

// Behind the phases, whose oldest change is the first. The deletions of a job
// stay together, as a batch of the leader's is never divided.
void CollectDeletions(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  if (ctx.now() < leader.next_deletion_at)
    return;
  leader.next_deletion_at = ctx.now() + ctx.limits().deletion_pause;
  const auto& jobs = ctx.state.ledger.jobs;
  std::uint32_t looked_at = 0;
  std::uint32_t collected = 0;
  auto at = jobs.LowerBound(leader.deletion_scan_at);
  while (at != jobs.end() && looked_at < kMaxScannedJobs &&
         collected < ctx.limits().max_batch_records) {
    if (IsDeletionDue(ctx, at->first, at->second)) {
      CollectDeletion(ctx, at->first);
      collected += 1;
    }
    looked_at += 1;
    ++at;
  }
  leader.deletion_scan_at = at == jobs.end() ? work::job_id() : at->first;
  if (collected == 0)
    return;
  ctx.Log("jobs_deleted", ctx.env.self.value(),
          {Field("jobs", collected), Field("known", jobs.size())});
}

// The oldest change that is not known to be stored.
std::optional<std::uint64_t> OldestUnstoredChange(const leader_state& leader) {
  std::optional<std::uint64_t> oldest;
  const auto consider = [&](std::optional<std::uint64_t> change) {
    if (change)
      oldest = std::min(oldest.value_or(*change), *change);
  };
  consider(leader.changed_jobs.OldestChange());
  consider(leader.changed_units.OldestChange());
  for (const outbox* each : {&leader.job_phases, &leader.unit_progress}) {
    if (!each->batch.empty())
      consider(each->batch.front().change);
  }
  return oldest;
}

// The oldest change of the job's units that is not known to be stored; the
// largest number if there is none.
std::uint64_t OldestUnstoredChangeOf(const leader_state& leader,
                                     const work::job_id& job) {
  std::uint64_t oldest =
      leader.changed_units
          .OldestChangeOf(
              {.job = job},
              [&](const work::unit_id& unit) { return unit.job == job; })
          .value_or(std::numeric_limits<std::uint64_t>::max());
  for (const queued_record& each : leader.unit_progress.batch) {
    const auto* unit = std::get_if<work::unit_progressed>(&each.content);
    if (unit != nullptr && unit->job == job)
      oldest = std::min(oldest, each.change);
  }
  return oldest;
}

void MakeDurable(const context& ctx, const processed_end& end) {
  const worker_state* known = ctx.state.leader.workers.Find(end.worker);
  if (known == nullptr)
    return;
  worker_state row = *known;
  row.last_durable_end = std::max(row.last_durable_end, end.number);
  row.next_hold_at = ctx.now();
  ctx.state.leader.workers.Put(end.worker, std::move(row));
  HoldIfNeeded(ctx, end.worker);
}

}  // namespace

void NoteUnitChanged(const context& ctx, const work::unit_id& unit) {
  leader_state& leader = ctx.state.leader;
  leader.changed_units.Add(unit, ++leader.last_change);
}

void NoteJobChanged(const context& ctx, const work::job_id& job) {
  leader_state& leader = ctx.state.leader;
  const std::uint64_t change = ++leader.last_change;
  // Units of a job that closes are not written any more, so their changes are
  // stored only with the job's.
  leader.changed_jobs.Add(
      job, std::min(change, OldestUnstoredChangeOf(leader, job)));
}

void DeleteUnitRecords(const context& ctx, const work::job_id& job) {
  const auto& recorded = ctx.state.leader.recorded_units;
  for (auto at = recorded.lower_bound({.job = job});
       at != recorded.end() && at->job == job; ++at)
    NoteUnitChanged(ctx, *at);
}

void NoteEndsProcessed(const context& ctx,
                       const work::worker_id& worker,
                       std::uint64_t number) {
  leader_state& leader = ctx.state.leader;
  leader.processed_ends.push_back(
      {.worker = worker, .number = number, .change = leader.last_change});
}

void DropProcessedEnds(const context& ctx, const work::worker_id& worker) {
  std::erase_if(
      ctx.state.leader.processed_ends,
      [&](const processed_end& each) { return each.worker == worker; });
}

void SettleProcessedEnds(const context& ctx) {
  leader_state& leader = ctx.state.leader;
  const std::optional<std::uint64_t> unstored = OldestUnstoredChange(leader);
  while (!leader.processed_ends.empty() &&
         (!unstored || leader.processed_ends.front().change < *unstored)) {
    const processed_end end = leader.processed_ends.front();
    leader.processed_ends.pop_front();
    MakeDurable(ctx, end);
  }
}

void CollectProgress(const context& ctx) {
  if (MayFill(ctx, ctx.state.leader.job_phases)) {
    CollectPhases(ctx);
    CollectDeletions(ctx);
  }
  if (MayFill(ctx, ctx.state.leader.unit_progress)) {
    CollectUnits(ctx);
    // Behind the units, whose oldest change is the first.
    CollectWorkers(ctx);
  }
}

void ReturnChanges(const context& ctx, outbox& box) {
  leader_state& leader = ctx.state.leader;
  std::deque<queued_record> kept;
  for (queued_record& each : box.waiting) {
    if (const auto* job = std::get_if<work::job_progressed>(&each.content)) {
      leader.changed_jobs.Add(job->job, each.change);
    } else if (const auto* unit =
                   std::get_if<work::unit_progressed>(&each.content)) {
      leader.changed_units.Add(work::UnitOf(unit->job, unit->progress),
                               each.change);
    } else if (const auto* deleted =
                   std::get_if<work::unit_deleted>(&each.content)) {
      leader.recorded_units.insert(deleted->unit);
      leader.changed_units.Add(deleted->unit, each.change);
    } else if (std::holds_alternative<work::job_deleted>(each.content)) {
      // Found again when the jobs are looked through.
      continue;
    } else if (!ReturnWorkerRecord(ctx, each.content)) {
      kept.push_back(std::move(each));
    }
  }
  box.waiting = std::move(kept);
}

}  // namespace parsleyhitch::dispatch
