// Election and authority of the leader, the restoring of its jobs, messages
// from other entries, reports on the load and graceful shutdown.

#ifndef PARSLEYHITCH_DISPATCH_LEADERSHIP_LEADERSHIP_H_
#define PARSLEYHITCH_DISPATCH_LEADERSHIP_LEADERSHIP_H_

#include <string>
#include <string_view>

#include "dispatch/context.h"

namespace parsleyhitch::dispatch {

// peers.cc: messages from other entries.
void OnPeerHeard(const context& ctx, const work::peer_heard& event);
void SendToPeer(const context& ctx,
                const std::string& address,
                work::peer_content content);

// leadership.cc: leader election and authority.
void AdvanceLeadership(const context& ctx);
void OnHeartbeat(const context& ctx,
                 const work::entry_id& from,
                 const work::leader_heartbeat& message);
void OnHeartbeatReply(const context& ctx,
                      const work::entry_id& from,
                      const work::heartbeat_reply& message);
void OnClaimAnswered(const context& ctx, const work::append_answered& event);
// Records that `epoch` has begun; the leader of an older epoch steps down.
void ObserveEpoch(const context& ctx,
                  std::uint64_t epoch,
                  std::string_view why);
// Until when this entry may send orders: its leadership was confirmed one
// authority period before. The clock's epoch if it has no authority.
timestamp AuthorityExpiresAt(const context& ctx);
// True when this entry leads and its authority was confirmed recently enough to
// send orders.
bool HasAuthority(const context& ctx);

// restore.cc: loading jobs from the records after an election.
void RestoreJobs(const context& ctx);

// load_report.cc: the length and age of this entry's queues.
// Called at each tick, before the next one is set.
void ReportLoadIfDue(const context& ctx);
// Called after each event.
void TrackUnsavedProgress(const context& ctx);

// shutdown.cc: graceful shutdown.
void OnShutdownRequested(const context& ctx,
                         const work::shutdown_requested& event);
void AdvanceShutdown(const context& ctx);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_LEADERSHIP_LEADERSHIP_H_
