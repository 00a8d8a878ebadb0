// Only primary tables are saved; indexes and sums are rebuilt from them when
// the ledger is restored.

#include "scheduler/checkpoint.h"

#include <algorithm>
#include <utility>

#include "scheduler/capacity.h"
#include "scheduler/guarantees.h"
#include "scheduler/job_rules.h"

namespace parsleyhitch::scheduler {

namespace {

using part_list = std::vector<model::checkpoint_part>;

void SaveHead(part_list& parts, const model::ledger& ledger) {
  const model::manifest* in_force = ledger.in_force.Get();
  std::optional<model::manifest> kept;
  if (in_force != nullptr)
    kept.emplace(*in_force);
  parts.emplace_back(
      model::saved_head{.clock = ledger.clock, .in_force = kept});
}

void SaveJobs(part_list& parts, const model::ledger& ledger) {
  for (const auto& [id, status] : ledger.jobs) {
    const model::placement* placed = ledger.placements.Find(id);
    std::optional<model::placement> kept;
    if (placed != nullptr)
      kept.emplace(*placed);
    parts.emplace_back(
        model::saved_job{.job = id, .status = status, .placed = kept});
  }
}

part_list PartsOf(const model::ledger& ledger) {
  part_list parts;
  SaveHead(parts, ledger);
  for (const auto& [name, sequence] : ledger.last_sequence)
    parts.emplace_back(
        model::saved_writer{.name = name, .last_sequence = sequence});
  for (const auto& [id, status] : ledger.workers)
    parts.emplace_back(model::saved_worker{.status = status});
  SaveJobs(parts, ledger);
  for (const auto& [name, key] : ledger.job_keys)
    parts.emplace_back(model::saved_job_key{.name = name, .key = key});
  for (const auto& [kind, estimate] : ledger.estimates)
    parts.emplace_back(
        model::saved_estimate{.kind = kind, .estimate = estimate});
  for (const auto& [id, status] : ledger.guarantees)
    parts.emplace_back(model::saved_guarantee{.id = id, .status = status});
  for (const auto& [name, claim] : ledger.claims)
    parts.emplace_back(model::saved_claim{.name = name, .claim = claim});
  return parts;
}

model::ledger Restore(model::ledger ledger, const model::saved_head& part) {
  ledger.clock = part.clock;
  if (part.in_force)
    ledger.in_force.Put(*part.in_force);
  return ledger;
}

model::ledger Restore(model::ledger ledger, const model::saved_writer& part) {
  ledger.last_sequence.Put(part.name, part.last_sequence);
  return ledger;
}

model::ledger Restore(model::ledger ledger, const model::saved_worker& part) {
  return PutWorker(std::move(ledger), part.status);
}

model::ledger Restore(model::ledger ledger, const model::saved_job& part) {
  ledger.jobs.Put(part.job, part.status);
  if (part.status.phase == model::job_phase::kWaiting)
    ledger.waiting.insert(QueuePositionOf(part.job, part.status));
  if (IsTerminalPhase(part.status.phase))
    ledger.ended.insert({part.status.since, part.job});
  if (!part.placed)
    return ledger;
  ledger.placements.Put(part.job, *part.placed);
  for (const model::member& each : part.placed->members) {
    if (IsTerminalState(each.state))
      continue;
    ledger = ChangeAllocation(std::move(ledger), part.job, *part.placed,
                              each.worker, allocation_change::kAllocate);
  }
  return ledger;
}

model::ledger Restore(model::ledger ledger, const model::saved_job_key& part) {
  ledger.job_keys.Put(part.name, part.key);
  return ledger;
}

model::ledger Restore(model::ledger ledger, const model::saved_estimate& part) {
  ledger.estimates.Put(part.kind, part.estimate);
  return ledger;
}

model::ledger Restore(model::ledger ledger,
                      const model::saved_guarantee& part) {
  return RestoreGuarantee(std::move(ledger), part.id, part.status);
}

model::ledger Restore(model::ledger ledger, const model::saved_claim& part) {
  ledger.claims.Put(part.name, part.claim);
  ledger.claims_by_time.insert({part.claim.at, part.name});
  return ledger;
}

}  // namespace

std::vector<model::checkpoint_chunk> TakeCheckpoint(
    const model::ledger& ledger,
    const model::entry_id& by,
    const model::limits& limits) {
  const part_list parts = PartsOf(ledger);
  const std::size_t size = limits.checkpoint_chunk_parts;
  const std::size_t count = (parts.size() + size - 1) / size;
  std::vector<model::checkpoint_chunk> chunks;
  for (std::size_t index = 0; index < count; ++index) {
    const auto first =
        parts.begin() + static_cast<std::ptrdiff_t>(index * size);
    const std::size_t last = std::min(parts.size(), (index + 1) * size);
    chunks.push_back(
        {.by = by,
         .upto = ledger.next_offset,
         .index = static_cast<std::uint32_t>(index),
         .count = static_cast<std::uint32_t>(count),
         .parts = part_list(
             first, parts.begin() + static_cast<std::ptrdiff_t>(last))});
  }
  return chunks;
}

model::ledger RestoreLedger(const std::vector<model::checkpoint_part>& parts,
                            std::uint64_t upto) {
  model::ledger ledger;
  for (const model::checkpoint_part& part : parts) {
    ledger = std::visit(
        [&](const auto& each) { return Restore(std::move(ledger), each); },
        part);
  }
  ledger.next_offset = upto;
  return ledger;
}

collect_result CollectChunk(checkpoint_collector collector,
                            const model::checkpoint_chunk& chunk) {
  const checkpoint_id id{.upto = chunk.upto, .by = chunk.by};
  const auto* present = collector.chunks.Find(id);
  model::value_table<std::uint32_t, model::checkpoint_chunk> chunks;
  if (present != nullptr)
    chunks = *present;
  chunks.Put(chunk.index, chunk);
  const bool complete = chunks.size() == chunk.count;
  collector.chunks.Put(id, chunks);
  if (!complete)
    return {.collector = std::move(collector), .restored = {}};
  part_list parts;
  for (const auto& [index, each] : chunks) {
    for (const model::checkpoint_part& part : each.parts)
      parts.push_back(part);
  }
  return {.collector = {}, .restored = RestoreLedger(parts, chunk.upto)};
}

}  // namespace parsleyhitch::scheduler
