// Validation of manifests and jobs. All faults are reported together.

#ifndef PARSLEYHITCH_SCHEDULER_MANIFEST_RULES_H_
#define PARSLEYHITCH_SCHEDULER_MANIFEST_RULES_H_

#include "model/finding.h"
#include "model/ledger.h"
#include "model/manifest.h"

namespace parsleyhitch::scheduler {

// Faults that can be found from the manifest alone: duplicate names, references
// to unknown names, cycles of parents, sizes out of range.
model::findings CheckManifest(const model::manifest& manifest);

// Faults for the guarantees that could not all be reserved at the same time
// even on a fleet without jobs. Finds none while no workers are registered.
model::findings CheckAgainstFleet(const model::manifest& manifest,
                                  const model::ledger& ledger);

// All reasons why the job can never run; empty if there are none.
model::findings CheckJob(const model::job_spec& spec,
                         const model::ledger& ledger);

// The workspace or service with this id; null if the manifest has none.
const model::workspace* FindWorkspace(const model::manifest& manifest,
                                      const model::workspace_id& id);
const model::service* FindService(const model::manifest& manifest,
                                  const model::service_id& id);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_MANIFEST_RULES_H_
