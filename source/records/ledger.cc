// Folding, with one overload for each kind of record.

#include "records/ledger.h"

#include <algorithm>
#include <utility>

namespace parsleyhitch::records {

namespace {

// Where and when a record was read.
struct reading {
  std::uint64_t offset = 0;
  work::timestamp at;
};

stored_job JobOrNew(const ledger& folded,
                    const work::job_id& job,
                    const reading& read) {
  const stored_job* known = folded.jobs.Find(job);
  stored_job stored = known == nullptr ? stored_job{.since = read.at} : *known;
  stored.snapshot = folded.snapshot;
  return stored;
}

// The queue among whose waiting jobs the job is; empty for a job that is not.
std::optional<work::queue_id> WaitsIn(const stored_job& job) {
  const work::submission* content = job.content.Get();
  if (content == nullptr || PhaseOf(job) != work::job_phase::kQueued)
    return {};
  return content->queue;
}

void AddWaiting(ledger& folded, const work::queue_id& queue) {
  folded.waiting.Put(queue, CountWaiting(folded, queue) + 1);
}

void RemoveWaiting(ledger& folded, const work::queue_id& queue) {
  const std::uint64_t left = CountWaiting(folded, queue) - 1;
  if (left == 0)
    folded.waiting.Erase(queue);
  else
    folded.waiting.Put(queue, left);
}

void EraseJob(ledger& folded, const work::job_id& id) {
  const stored_job* known = folded.jobs.Find(id);
  if (known == nullptr)
    return;
  const auto waited_in = WaitsIn(*known);
  if (waited_in)
    RemoveWaiting(folded, *waited_in);
  folded.jobs.Erase(id);
}

void PutJob(ledger& folded, const work::job_id& id, stored_job next) {
  const stored_job* known = folded.jobs.Find(id);
  const auto waited_in =
      known == nullptr ? std::optional<work::queue_id>() : WaitsIn(*known);
  const auto waits_in = WaitsIn(next);
  folded.jobs.Put(id, std::move(next));
  if (waits_in == waited_in)
    return;
  if (waited_in)
    RemoveWaiting(folded, *waited_in);
  if (waits_in)
    AddWaiting(folded, *waits_in);
}

job_outline OutlineOf(const work::submission& content) {
  job_outline outline{.owner = content.owner};
  outline.needs.reserve(content.request.steps.size());
  for (const work::step_spec& step : content.request.steps)
    outline.needs.push_back(work::NeedOf(step));
  return outline;
}

// A closed job is kept without its content, which takes most of its memory.
void DropContentIfClosed(stored_job& job) {
  if (!work::IsClosed(job.phase) || job.content.Get() == nullptr)
    return;
  job.outline.Put(OutlineOf(*job.content.Get()));
  job.content.Clear();
}

void FoldInto(ledger& folded,
              const reading& read,
              const work::job_submitted& record) {
  const work::job_id& job = record.content.job;
  stored_job stored = JobOrNew(folded, job, read);
  // A repeated submission changes nothing.
  if (!IsAccepted(stored)) {
    stored.content.Put(record.content);
    stored.accepted = read.offset;
    DropContentIfClosed(stored);
  }
  PutJob(folded, job, std::move(stored));
}

std::uint64_t Earlier(const std::optional<std::uint64_t>& known,
                      std::uint64_t offset) {
  return known ? std::min(*known, offset) : offset;
}

void FoldInto(ledger& folded,
              const reading& read,
              const work::job_cancelled& record) {
  stored_job stored = JobOrNew(folded, record.job, read);
  stored.cancelled_at = Earlier(stored.cancelled_at, read.offset);
  PutJob(folded, record.job, std::move(stored));
}

void FoldInto(ledger& folded,
              const reading& read,
              const work::job_progressed& record) {
  stored_job stored = JobOrNew(folded, record.job, read);
  if (work::IsClosed(record.phase)) {
    stored.since = stored.closed_at ? stored.since : read.at;
    stored.closed_at = Earlier(stored.closed_at, read.offset);
  }
  if (!stored.progressed || *stored.progressed < read.offset) {
    stored.phase = record.phase;
    stored.progressed = read.offset;
  }
  DropContentIfClosed(stored);
  PutJob(folded, record.job, std::move(stored));
}

void FoldInto(ledger& folded,
              const reading& read,
              const work::member_joined& record) {
  const stored_member* known = folded.members.Find(record.entry);
  if (known != nullptr && known->joined >= read.offset)
    return;
  folded.members.Put(record.entry, {.content = record, .joined = read.offset});
}

void FoldInto(ledger& folded,
              const reading& read,
              const work::leader_elected& record) {
  if (record.epoch <= folded.epoch)
    return;
  folded.epoch = record.epoch;
  folded.leader = record.entry;
  folded.elected = read.offset;
}

// Units and workers are in a stream of their own.
void FoldInto(ledger&, const reading&, const work::unit_progressed&) {}
void FoldInto(ledger&, const reading&, const work::unit_deleted&) {}
void FoldInto(ledger&, const reading&, const work::worker_admitted&) {}
void FoldInto(ledger&, const reading&, const work::worker_released&) {}
// Read as the deletion of a key.
void FoldInto(ledger&, const reading&, const work::job_deleted&) {}

}  // namespace

ledger Fold(ledger folded,
            std::uint64_t offset,
            const work::record& record,
            work::timestamp at) {
  const reading read{.offset = offset, .at = at};
  std::visit([&](const auto& each) { FoldInto(folded, read, each); }, record);
  return folded;
}

ledger FoldDeletion(ledger folded,
                    std::uint64_t offset,
                    const work::job_id& job) {
  const stored_job* known = folded.jobs.Find(job);
  // The job was submitted again since.
  const bool newer =
      known != nullptr && IsAccepted(*known) && known->accepted > offset;
  if (!newer)
    EraseJob(folded, job);
  return folded;
}

ledger BeginSnapshot(ledger folded) {
  folded.snapshot += 1;
  return folded;
}

ledger EndSnapshot(ledger folded) {
  std::vector<work::job_id> deleted;
  for (const auto& [id, job] : folded.jobs) {
    if (job.snapshot != folded.snapshot)
      deleted.push_back(id);
  }
  for (const work::job_id& id : deleted)
    EraseJob(folded, id);
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
  return found != nullptr && IsAccepted(*found) ? found : nullptr;
}

bool IsAccepted(const stored_job& job) {
  return job.content.Get() != nullptr || job.outline.Get() != nullptr;
}

const work::workspace_id& OwnerOf(const stored_job& job) {
  const work::submission* content = job.content.Get();
  return content != nullptr ? content->owner : job.outline.Get()->owner;
}

work::resources NeedOf(const stored_job& job, std::uint32_t step) {
  const work::submission* content = job.content.Get();
  if (content != nullptr) {
    const auto& steps = content->request.steps;
    return step < steps.size() ? work::NeedOf(steps[step]) : work::resources();
  }
  const job_outline* outline = job.outline.Get();
  const bool known = outline != nullptr && step < outline->needs.size();
  return known ? outline->needs[step] : work::resources();
}

work::job_phase PhaseOf(const stored_job& job) {
  const bool cancelled_first =
      job.cancelled_at &&
      (!job.closed_at || *job.cancelled_at < *job.closed_at);
  if (cancelled_first)
    return work::job_phase::kCancelled;
  return job.phase;
}

bool MayBeDeleted(const stored_job& job) {
  return work::IsClosed(job.phase) || !IsAccepted(job);
}

bool HasLeaderRestarted(const ledger& folded) {
  const stored_member* leader = folded.members.Find(folded.leader);
  return leader != nullptr && leader->joined > folded.elected;
}

std::uint64_t CountWaiting(const ledger& folded, const work::queue_id& queue) {
  const std::uint64_t* waiting = folded.waiting.Find(queue);
  return waiting == nullptr ? 0 : *waiting;
}

}  // namespace parsleyhitch::records
