// Checkpoints: the ledger as records, so that state outlives the log's
// retention.

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

// The whole ledger, as it stands before its next offset, in chunks.
std::vector<model::checkpoint_chunk> TakeCheckpoint(
    const model::ledger& ledger,
    const model::entry_id& by,
    const model::limits& limits);

// The ledger that the parts describe; equal to the one they were taken from.
model::ledger RestoreLedger(const std::vector<model::checkpoint_part>& parts,
                            std::uint64_t upto);

// Names one checkpoint while its chunks are collected.
struct checkpoint_name {
  const std::uint64_t upto = 0;
  const model::entry_id by;
  auto operator<=>(const checkpoint_name&) const = default;
};

// Chunks read so far, by checkpoint. Repeated chunks replace one another.
struct checkpoint_collector {
  model::value_table<checkpoint_name,
                     model::value_table<std::uint32_t, model::checkpoint_chunk>>
      chunks;

  bool operator==(const checkpoint_collector&) const = default;
};

struct collected {
  checkpoint_collector collector;
  // The ledger of the checkpoint that this chunk made complete.
  std::optional<model::ledger> restored;
};

collected Collect(checkpoint_collector collector,
                  const model::checkpoint_chunk& chunk);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_CHECKPOINT_H_
