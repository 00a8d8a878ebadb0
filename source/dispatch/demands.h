// Units that wait, ranked, and units that may be stopped for them.

#ifndef PARSLEYHITCH_DISPATCH_DEMANDS_H_
#define PARSLEYHITCH_DISPATCH_DEMANDS_H_

#include <vector>

#include "dispatch/context.h"
#include "dispatch/hooks.h"
#include "placement/board.h"
#include "placement/preempt.h"

namespace parsleyhitch::dispatch {

// Every unit that may be placed now, in the order of the hooks.
std::vector<waiting_unit> WaitingUnits(const context& ctx);

placement::demand DemandOf(const context& ctx, const waiting_unit& waiting);

// The units that may be stopped for one of the rank.
std::vector<placement::victim> VictimsFor(const context& ctx, rank importance);

// The free capacity of every worker that takes work.
placement::board FreeBoard(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_DEMANDS_H_
