// What makes a manifest well formed. All faults are found and reported
// together.

#ifndef PARSLEYHITCH_SCHEDULER_MANIFEST_RULES_H_
#define PARSLEYHITCH_SCHEDULER_MANIFEST_RULES_H_

#include "model/finding.h"
#include "model/ledger.h"
#include "model/manifest.h"

namespace parsleyhitch::scheduler {

// Faults that show in the manifest alone: names used twice, references to
// nothing or in a cycle, sizes that are zero or absurd.
model::findings CheckManifest(const model::manifest& manifest);

// Guarantees that the fleet could not hold all at once, were it empty. A fleet
// of which nothing is known yet refuses nothing.
model::findings CheckAgainstFleet(const model::manifest& manifest,
                                  const model::ledger& ledger);

// Why a job can never run: every reason at once; empty when it can.
model::findings CheckJob(const model::job_spec& spec,
                         const model::ledger& ledger);

// The workspace or service by name; null when the manifest has none.
const model::workspace* FindWorkspace(const model::manifest& manifest,
                                      const model::workspace_id& id);
const model::service* FindService(const model::manifest& manifest,
                                  const model::service_id& id);

}  // namespace parsleyhitch::scheduler

#endif  // PARSLEYHITCH_SCHEDULER_MANIFEST_RULES_H_
