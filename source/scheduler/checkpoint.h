// Checkpoints: the ledger written to the log as records, so that its state
// outlives the log's retention.

#ifndef PARSLEYHITCH_SCHEDULER_CHECKPOINT_H_
#define PARSLEYHITCH_SCHEDULER_CHECKPOINT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "model/ledger.h"
#include "model/limits.h"
#include "model/record.h"
#include "model/value_table.h"

namespace parsleyhitch::scheduler {

// The whole ledger as of its next offset, in chunks of at most
// `limits.checkpoint_chunk_parts` parts.
std::vector<model::checkpoint_chunk> TakeCheckpoint(
    const model::ledger& ledger,
    const model::entry_id& by,
    const model::limits& limits);

// Rebuilds the ledger from all parts of a checkpoint, in the order in which
// they were saved. It equals the ledger from which they were taken.
model::ledger RestoreLedger(const std::vector<model::checkpoint_part>& parts,
                            std::uint64_t upto);

// Identifies a checkpoint while its chunks are collected.
struct checkpoint_id {
  const std::uint64_t upto = 0;
  const model::entry_id by;
  auto operator<=>(const checkpoint_id&) const = default;
};

// Chunks read so far, by checkpoint. A repeated chunk replaces the earlier
// copy.
struct checkpoint_collector {
  model::value_table<checkpoint_id,
                     model::value_table<std::uint32_t, model::checkpoint_chunk>>
      chunks;

  bool operator==(const checkpoint_collector&) const = default;
};

struct collect_result {
  checkpoint_collector collector;
  // The restored ledger, if the chunk completed its checkpoint.
  std::optional<model::ledger> restored;
};

// Adds a chunk. When it completes its checkpoint, the ledger is restored and
// the collector returned empty.
collect_result CollectChunk(checkpoint_collector collector,
                            const model::checkpoint_chunk& chunk);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_CHECKPOINT_H_
