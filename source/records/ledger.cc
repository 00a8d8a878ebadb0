// Folding, with one overload for each kind of record.

#include "records/ledger.h"

#include <algorithm>
#include <utility>

namespace parsleyhitch::records {

namespace {

stored_job JobOrDefault(const ledger& folded, const work::job_id& job) {
  const stored_job* known = folded.jobs.Find(job);
  return known == nullptr ? stored_job() : *known;
}

void FoldInto(ledger& folded,
              std::uint64_t offset,
              const work::job_submitted& record) {
  const work::job_id& job = record.content.job;
  stored_job stored = JobOrDefault(folded, job);
  // A repeated submission changes nothing.
  if (stored.content.Get() != nullptr)
    return;
  stored.content.Put(record.content);
  stored.accepted = offset;
  folded.jobs.Put(job, std::move(stored));
}

std::uint64_t Earlier(const std::optional<std::uint64_t>& known,
                      std::uint64_t offset) {
  return known ? std::min(*known, offset) : offset;
}

void FoldInto(ledger& folded,
              std::uint64_t offset,
              const work::job_cancelled& record) {
  stored_job stored = JobOrDefault(folded, record.job);
  stored.cancelled_at = Earlier(stored.cancelled_at, offset);
  folded.jobs.Put(record.job, std::move(stored));
}

void FoldInto(ledger& folded,
              std::uint64_t offset,
              const work::job_progressed& record) {
  stored_job stored = JobOrDefault(folded, record.job);
  if (work::IsClosed(record.phase))
    stored.closed_at = Earlier(stored.closed_at, offset);
  if (!stored.progressed || *stored.progressed < offset) {
    stored.phase = record.phase;
    stored.progressed = offset;
  }
  folded.jobs.Put(record.job, std::move(stored));
}

void FoldInto(ledger& folded,
              std::uint64_t offset,
              const work::member_joined& record) {
  const stored_member* known = folded.members.Find(record.entry);
  if (known != nullptr && known->joined >= offset)
    return;
  folded.members.Put(record.entry, {.content = record, .joined = offset});
}

void FoldInto(ledger& folded,
              std::uint64_t offset,
              const work::leader_elected& record) {
  if (record.epoch <= folded.epoch)
    return;
  folded.epoch = record.epoch;
  folded.leader = record.entry;
  folded.elected = offset;
}

// Units and workers are in a stream of their own.
void FoldInto(ledger&, std::uint64_t, const work::unit_progressed&) {}
void FoldInto(ledger&, std::uint64_t, const work::unit_deleted&) {}
void FoldInto(ledger&, std::uint64_t, const work::worker_admitted&) {}
void FoldInto(ledger&, std::uint64_t, const work::worker_released&) {}

}  // namespace

ledger Fold(ledger folded, std::uint64_t offset, const work::record& record) {
  std::visit([&](const auto& each) { FoldInto(folded, offset, each); }, record);
  return folded;
}

std::optional<work::job_id> JobOf(const work::record& record) {
  if (const auto* submitted = std::get_if<work::job_submitted>(&record))
    return submitted->content.job;
  if (const auto* cancelled = std::get_if<work::job_cancelled>(&record))
    return cancelled->job;
  if (const auto* progressed = std::get_if<work::job_progressed>(&record))
    return progressed->job;
  return {};
}

const stored_job* FindJob(const ledger& folded, const work::job_id& job) {
  const stored_job* found = folded.jobs.Find(job);
  const bool accepted = found != nullptr && found->content.Get() != nullptr;
  return accepted ? found : nullptr;
}

work::job_phase PhaseOf(const stored_job& job) {
  const bool cancelled_first =
      job.cancelled_at &&
      (!job.closed_at || *job.cancelled_at < *job.closed_at);
  if (cancelled_first)
    return work::job_phase::kCancelled;
  return job.phase;
}

bool HasLeaderRestarted(const ledger& folded) {
  const stored_member* leader = folded.members.Find(folded.leader);
  return leader != nullptr && leader->joined > folded.elected;
}

std::uint64_t CountWaiting(const ledger& folded, const work::queue_id& queue) {
  std::uint64_t waiting = 0;
  for (const auto& [id, job] : folded.jobs) {
    const work::submission* content = job.content.Get();
    const bool queued = content != nullptr && content->queue == queue &&
                        PhaseOf(job) == work::job_phase::kQueued;
    waiting += queued ? 1 : 0;
  }
  return waiting;
}

}  // namespace parsleyhitch::records
