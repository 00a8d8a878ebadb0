// Orders to workers, through proxies if need be, and what becomes of the tasks.

#ifndef PARSLEYHITCH_DISPATCH_ORDERS_ORDERS_H_
#define PARSLEYHITCH_DISPATCH_ORDERS_ORDERS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// orders.cc: orders to start and stop tasks.
work::order_target TargetOf(const context& ctx,
                            const work::worker_id& worker,
                            const worker_state& row);
// The lowest attempt number of this leader's epoch.
std::uint64_t FirstAttemptOfEpoch(const context& ctx);
void PlaceUnit(const context& ctx,
               const work::unit_id& id,
               const std::vector<work::worker_id>& workers);
void StopUnit(const context& ctx,
              const work::unit_id& id,
              std::string_view why);
// Stops a member whose start may still be carried out by the worker's new
// process; returns false when no start of it is pending.
bool StopIfStartPending(const context& ctx,
                        const work::unit_id& id,
                        std::uint32_t index);
void OnStartAnswered(const context& ctx, const work::start_answered& event);
void OnStopAnswered(const context& ctx, const work::stop_answered& event);
void AdvanceOrders(const context& ctx);

// proxies.cc: orders that other entries send for this leader, and those that
// this entry sends for another one.
// Sends the order, or forwards it to the worker's proxy.
void SendOrder(const context& ctx, work::order order);
// How far the clock on which an order to the worker states its validity is
// ahead of this entry's, at least.
duration ClockAheadFor(const context& ctx, const work::worker_id& worker);
// Notes from the reply to a heartbeat whether its sender may be a proxy.
void NoteProxyReport(const context& ctx,
                     const work::entry_id& from,
                     const work::heartbeat_reply& message);
// Replaces proxies that are silent and assigns workers to them.
void AdvanceProxies(const context& ctx);
// Sends the orders and answers that were collected.
void FlushForwarded(const context& ctx);
// The time at which something collected is to be sent, if there is any.
std::optional<timestamp> NextForwardAt(const context& ctx);
void OnOrdersForwarded(const context& ctx,
                       const work::orders_forwarded& message);
void OnAnswersReturned(const context& ctx,
                       const work::answers_returned& message);
// Returns the answer to the leader that forwarded the order. False when the
// order is this entry's own.
bool ReturnAnswer(const context& ctx, const work::order_answer& answer);

// ends.cc: running and ended tasks in workers' listings.
void OnTaskRunning(const context& ctx,
                   const work::worker_id& worker,
                   const work::running_task& task);
void OnTaskEnded(const context& ctx,
                 const work::worker_id& worker,
                 const work::ended_task& end);
// What the end of a member means for the other members of its gang.
enum class gang_effect : std::uint8_t {
  kEndsOthers,   // the workers end the others as well
  kKeepsOthers,  // the others run until they are stopped
};
// Records that the member no longer runs. The unit waits again once all of its
// members have ended.
void EndMember(const context& ctx,
               const work::unit_id& id,
               std::uint32_t member,
               gang_effect effect);
// Ends members on the worker that the listing should show but does not. The
// listing was requested at `listed_after`; the worker's clock was at `clock`
// when it was made.
void EndMissingTasks(const context& ctx,
                     const work::worker_id& worker,
                     const work::worker_listing& listing,
                     std::optional<duration> clock,
                     timestamp listed_after);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_ORDERS_ORDERS_H_
