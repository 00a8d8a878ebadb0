// Leader election. At most one entry at a time may give orders to workers. It
// is elected by an append under a higher epoch of the writer "leader", which
// fences the appends of the previous leader; its first append to the units does
// the same there. Workers use the epoch as fencing token.

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/backoff.h"
#include "dispatch/leadership/leadership.h"
#include "dispatch/orders/orders.h"
#include "dispatch/store/store.h"

namespace parsleyhitch::dispatch {

namespace {

constexpr char kLeaderWriter[] = "leader";
// A claim starts at a random sequence number below this, so that the store
// never takes it for a repeat of another claim.
constexpr std::uint64_t kMaxFirstSequence = std::uint64_t{1} << 48;

constexpr duration kCatalogRequestInterval{1000};

// The first candidates claim one after the other, `election_stagger` apart. Any
// number of them may be lost, so that those behind draw a time at random from a
// window. With `leader_silent` before and `settle_timeout` after it, a takeover
// takes less than the 3 s that callers wait.
constexpr std::uint32_t kRankedCandidates = 3;
constexpr duration kUnrankedWindow{450};

// The last part of the authority, as a fraction of it, within which its other
// proof is looked at too.
constexpr std::int64_t kAuthorityReserve = 4;

std::uint64_t CatalogVersion(const context& ctx) {
  const work::published_catalog* current = ctx.state.in_force.Get();
  return current == nullptr ? 0 : current->content.version;
}

// Position in which this entry claims leadership, so that candidates claim one
// after the other: entries with more CPU first, then by ID.
std::uint32_t ElectionRank(const context& ctx) {
  std::uint32_t rank = 0;
  for (const auto& [entry, member] : ctx.state.ledger.members) {
    const std::uint32_t theirs = member.content.cpu_millis;
    const bool before = theirs > ctx.env.cpu_millis ||
                        (theirs == ctx.env.cpu_millis && entry < ctx.env.self);
    rank += before ? 1 : 0;
  }
  return rank;
}

// How long after the first candidate this entry claims leadership.
duration ElectionDelay(const context& ctx) {
  const std::uint32_t rank = ElectionRank(ctx);
  const duration stagger = ctx.limits().election_stagger;
  if (rank < kRankedCandidates)
    return rank * stagger;
  std::optional<duration>& drawn = ctx.state.leadership.unranked_delay;
  if (!drawn)
    drawn = RandomUpTo(kUnrankedWindow, ctx.Random());
  return kRankedCandidates * stagger + *drawn;
}

void SendHeartbeats(const context& ctx) {
  leadership_state& leadership = ctx.state.leadership;
  leadership.heartbeat += 1;
  leadership.next_heartbeat_at = ctx.now() + ctx.limits().heartbeat_interval;
  for (const auto& [entry, member] : ctx.state.ledger.members) {
    if (entry == ctx.env.self)
      continue;
    SendToPeer(ctx, member.content.address,
               work::leader_heartbeat{
                   .epoch = ctx.state.leader.epoch,
                   .address = ctx.env.peer_address,
                   .number = leadership.heartbeat,
                   .catalog_version = CatalogVersion(ctx),
                   .store_reached = !IsStoreFailing(ctx, duration(0)),
                   .resigning = ctx.state.shutdown.requested,
                   .store_slow = AreAppendsSlow(ctx),
                   .all_streams_reached = !IsAnyStreamFailing(ctx),
                   .evacuations = ReportOf(ctx.state.evacuations),
                   .waits = ctx.state.leader.waits});
  }
}

// Asks a peer for a newer catalog when the store's can't be read. A catalog is
// large, so that a peer is not asked again before it had time to send it.
void RequestCatalogIfNeeded(const context& ctx,
                            const std::string& address,
                            std::uint64_t version) {
  leadership_state& leadership = ctx.state.leadership;
  const bool needed = version > CatalogVersion(ctx) &&
                      IsStreamFailing(ctx, work::feed::kCatalog, duration(0)) &&
                      ctx.now() >= leadership.next_catalog_request_at;
  if (!needed)
    return;
  leadership.next_catalog_request_at = ctx.now() + kCatalogRequestInterval;
  SendToPeer(ctx, address,
             work::catalog_wanted{.address = ctx.env.peer_address,
                                  .held_version = CatalogVersion(ctx)});
}

void SendClaim(const context& ctx) {
  leadership_state& leadership = ctx.state.leadership;
  if (leadership.claim_sequence == 0) {
    leadership.claim_epoch =
        std::max(leadership.epoch, ctx.state.ledger.epoch) + 1;
    leadership.claim_sequence = 1 + ctx.Random() % kMaxFirstSequence;
    leadership.claim_maybe_stored = false;
  }
  leadership.current_role = role::kCandidate;
  leadership.claim = ctx.NewCall();
  ctx.Log("leadership_claimed", ctx.env.self.value(),
          {Field("epoch", leadership.claim_epoch),
           Field("leader_silent_for", ctx.now() - leadership.leader_heard_at)});
  ctx.Emit(work::append_records{
      .call = *leadership.claim,
      .writer = kLeaderWriter,
      .epoch = leadership.claim_epoch,
      .sequence = leadership.claim_sequence,
      .records = {work::leader_elected{.entry = ctx.env.self,
                                       .epoch = leadership.claim_epoch}},
      .timeout = ctx.limits().append_timeout});
}

void AbandonClaim(const context& ctx) {
  leadership_state& leadership = ctx.state.leadership;
  leadership.current_role = role::kFollower;
  leadership.claim.reset();
  leadership.claim_sequence = 0;
  leadership.failed_claims = 0;
  leadership.leader_heard_at = ctx.now();
  leadership.leader_reached_store_at = ctx.now();
}

void RetryClaimLater(const context& ctx) {
  leadership_state& leadership = ctx.state.leadership;
  leadership.next_claim_at =
      ctx.now() +
      StoreRetryPause(ctx, ctx.limits().append_retry, leadership.failed_claims);
  leadership.failed_claims += 1;
}

// The reason to replace the leader, or empty. The entry must be able to claim.
std::string ReasonToClaim(const context& ctx) {
  const state& s = ctx.state;
  const duration delay = ElectionDelay(ctx);
  if (s.ledger.epoch == 0 && s.leadership.epoch == 0)
    return ctx.now() - *s.leadership.able_to_claim_since >= delay
               ? "no leader yet"
               : "";
  if (ctx.now() - s.leadership.leader_heard_at >=
      ctx.limits().leader_silent + delay)
    return "leader is silent";
  const std::optional<timestamp>& restarted =
      s.leadership.leader_restarted_since;
  if (restarted &&
      ctx.now() - std::max(*restarted, s.leadership.leader_heard_at) >= delay)
    return "leader has restarted";
  const std::optional<timestamp>& resigning = s.leadership.resigning_since;
  if (resigning && ctx.now() - *resigning >= delay)
    return "leader is resigning";
  // After an outage of the store that affected all entries, the leader gets
  // time to reach the store again.
  const timestamp last_store_access =
      std::max(s.leadership.leader_reached_store_at,
               HealthOf(ctx, work::feed::kRecords).recovered_at);
  const bool store_cut_off =
      ctx.now() - last_store_access >= ctx.limits().store_silent + delay;
  return store_cut_off ? "leader cannot reach the store" : "";
}

// The leader was silent while it restarted, for longer than the turns of the
// candidates are apart. So the turns count from when its restart is known, and
// from the last heartbeat of a successor whose election is not read yet.
void NoteLeaderRestart(const context& ctx) {
  std::optional<timestamp>& since = ctx.state.leadership.leader_restarted_since;
  if (!records::HasLeaderRestarted(ctx.state.ledger))
    since.reset();
  else if (!since)
    since = ctx.now();
}

void AdvanceFollower(const context& ctx) {
  state& s = ctx.state;
  NoteLeaderRestart(ctx);
  const bool can_claim = s.records.snapshot_complete &&
                         !IsStoreFailing(ctx, duration(0)) &&
                         !s.shutdown.requested && s.in_force.Get() != nullptr;
  std::optional<timestamp>& able_since = s.leadership.able_to_claim_since;
  able_since =
      can_claim ? able_since.value_or(ctx.now()) : std::optional<timestamp>();
  if (!can_claim || ctx.now() < s.leadership.next_claim_at)
    return;
  const std::string reason = ReasonToClaim(ctx);
  if (!reason.empty())
    SendClaim(ctx);
}

void AdvanceCandidate(const context& ctx) {
  leadership_state& leadership = ctx.state.leadership;
  if (!leadership.claim && ctx.now() >= leadership.next_claim_at)
    SendClaim(ctx);
}

void AdvanceLeader(const context& ctx) {
  if (ctx.now() >= ctx.state.leadership.next_heartbeat_at)
    SendHeartbeats(ctx);
}

void BecomeLeader(const context& ctx, std::uint64_t end) {
  state& s = ctx.state;
  s.leadership.current_role = role::kLeader;
  s.leadership.replies.clear();
  s.leadership.leader_address = ctx.env.peer_address;
  s.leadership.resigning_since.reset();
  s.leadership.epoch = std::max(s.leadership.epoch, s.leadership.claim_epoch);
  leader_state leader;
  leader.epoch = s.leadership.claim_epoch;
  leader.elected_at = ctx.now();
  leader.election_offset = end;
  leader.earlier_tasks_unknown =
      leader.epoch > 1 && !(s.leadership.leader_reaches_store &&
                            s.leadership.leader_reaches_all_streams);
  leader.job_phases = {.writer = kLeaderWriter,
                       .epoch = leader.epoch,
                       .sequence = s.leadership.claim_sequence + 1};
  // The claim fenced the earlier leaders' phases only: the store fences each
  // stream by itself.
  leader.unit_progress = {
      .target = work::feed::kUnits,
      .writer = kLeaderWriter,
      .epoch = leader.epoch,
      .sequence = 1,
      .batch = {{.content = work::leader_elected{.entry = ctx.env.self,
                                                 .epoch = leader.epoch}}}};
  s.leader = std::move(leader);
  s.leadership.claim_sequence = 0;
  s.leadership.failed_claims = 0;
  s.workers = feed_state();
  ForgetLeaderStreams(ctx);
  // Only the leader before saw the outage of a stream that only leaders call.
  if (s.leadership.leader_reaches_store &&
      !s.leadership.leader_reaches_all_streams)
    s.store_health[work::feed::kUnits].outage_ended_at = ctx.now();
  s.records.next_at = ctx.now();
  ctx.Log("leadership_won", ctx.env.self.value(),
          {Field("epoch", s.leader.epoch), Field("records_end", end)});
  ctx.Count("elections_won");
  SendHeartbeats(ctx);
  RestoreIfCaughtUp(ctx);
}

void StepDown(const context& ctx, std::uint64_t epoch, std::string_view why) {
  state& s = ctx.state;
  ctx.Warn("leadership_lost", ctx.env.self.value(),
           {Field("epoch", s.leader.epoch), Field("newer", epoch),
            Field("why", std::string(why))});
  s.leader = leader_state();
  s.workers = feed_state();
  s.leadership.current_role = role::kFollower;
  s.leadership.leader_address.clear();
  s.leadership.leader_heard_at = ctx.now();
  s.leadership.leader_reached_store_at = ctx.now();
}

// The latest time at which a majority of the members, this entry included, is
// known to have followed this leader; the clock's epoch if there is none.
timestamp MajorityConfirmedAt(const context& ctx) {
  const std::size_t others_needed = ctx.state.ledger.members.size() / 2;
  if (others_needed == 0)
    return ctx.now();
  std::vector<timestamp> replies;
  for (const auto& [entry, reply] : ctx.state.leadership.replies)
    replies.push_back(reply);
  if (replies.size() < others_needed)
    return {};
  const auto last_needed =
      replies.begin() + static_cast<std::ptrdiff_t>(others_needed - 1);
  std::ranges::nth_element(replies, last_needed, std::greater<>());
  return *last_needed;
}

}  // namespace

void AdvanceLeadership(const context& ctx) {
  switch (ctx.state.leadership.current_role) {
    case role::kFollower:
      AdvanceFollower(ctx);
      break;
    case role::kCandidate:
      AdvanceCandidate(ctx);
      break;
    case role::kLeader:
      AdvanceLeader(ctx);
      break;
  }
}

void OnClaimAnswered(const context& ctx, const work::append_answered& event) {
  leadership_state& leadership = ctx.state.leadership;
  leadership.claim.reset();
  switch (event.outcome) {
    case work::append_outcome::kStored:
      BecomeLeader(ctx, event.end);
      return;
    case work::append_outcome::kUnknown:
      leadership.claim_maybe_stored = true;
      RetryClaimLater(ctx);
      return;
    case work::append_outcome::kRefused:
    case work::append_outcome::kRejected:
      RetryClaimLater(ctx);
      return;
    case work::append_outcome::kFenced:
    case work::append_outcome::kOutOfSequence:
      ctx.Log("leadership_claim_rejected", ctx.env.self.value(),
              {Field("epoch", leadership.claim_epoch)});
      AbandonClaim(ctx);
      return;
  }
}

void OnHeartbeat(const context& ctx,
                 const work::entry_id& from,
                 const work::leader_heartbeat& message) {
  leadership_state& leadership = ctx.state.leadership;
  ObserveEpoch(ctx, message.epoch, "heartbeat");
  const bool newest = message.epoch >= leadership.epoch;
  const bool idle_claim = leadership.current_role == role::kCandidate &&
                          !leadership.claim && !leadership.claim_maybe_stored;
  if (newest && idle_claim)
    AbandonClaim(ctx);
  if (newest && leadership.current_role == role::kFollower) {
    if (leadership.leader_address != message.address) {
      ctx.Log("leader_followed", from.value(), {Field("epoch", message.epoch)});
      leadership.leader_reached_store_at = ctx.now();
    }
    leadership.leader_address = message.address;
    leadership.leader_heard_at = ctx.now();
    if (!message.resigning)
      leadership.resigning_since.reset();
    else if (!leadership.resigning_since)
      leadership.resigning_since = ctx.now();
    leadership.leader_reaches_store = message.store_reached;
    leadership.leader_reaches_all_streams = message.all_streams_reached;
    leadership.leader_store_slow = message.store_slow;
    leadership.leader_waits = message.waits;
    if (message.store_reached)
      leadership.leader_reached_store_at = ctx.now();
  }
  RequestCatalogIfNeeded(ctx, message.address, message.catalog_version);
  AdoptEvacuations(ctx, message.evacuations);
  SendToPeer(
      ctx, message.address,
      work::heartbeat_reply{.epoch = leadership.epoch,
                            .address = ctx.env.peer_address,
                            .number = message.number,
                            .catalog_version = CatalogVersion(ctx),
                            .clock = ctx.now(),
                            .incarnation = ctx.state.incarnation,
                            .takes_orders = !ctx.state.shutdown.requested,
                            .evacuations = ReportOf(ctx.state.evacuations)});
}

void OnHeartbeatReply(const context& ctx,
                      const work::entry_id& from,
                      const work::heartbeat_reply& message) {
  ObserveEpoch(ctx, message.epoch, "reply");
  AdoptEvacuations(ctx, message.evacuations);
  leadership_state& leadership = ctx.state.leadership;
  if (leadership.current_role != role::kLeader)
    return;
  NoteProxyReport(ctx, from, message);
  // A reply confirms that its sender followed this leader when the heartbeat
  // arrived. The newest heartbeat was sent at most one interval ago.
  if (message.number == leadership.heartbeat) {
    leadership.replies[from] = ctx.now() - ctx.limits().heartbeat_interval;
  }
  RequestCatalogIfNeeded(ctx, message.address, message.catalog_version);
}

void ObserveEpoch(const context& ctx,
                  std::uint64_t epoch,
                  std::string_view why) {
  leadership_state& leadership = ctx.state.leadership;
  if (leadership.current_role == role::kLeader) {
    if (epoch <= ctx.state.leader.epoch)
      return;
    StepDown(ctx, epoch, why);
  } else if (leadership.current_role == role::kCandidate &&
             epoch > leadership.claim_epoch) {
    AbandonClaim(ctx);
  } else if (leadership.current_role == role::kFollower &&
             epoch > leadership.epoch) {
    // The new leader gets the full time-out before it counts as silent.
    leadership.leader_heard_at = ctx.now();
    leadership.leader_reached_store_at = ctx.now();
    leadership.resigning_since.reset();
  }
  if (epoch > leadership.epoch)
    leadership.unranked_delay.reset();
  leadership.epoch = std::max(leadership.epoch, epoch);
}

timestamp AuthorityExpiresAt(const context& ctx) {
  const state& s = ctx.state;
  if (s.leadership.current_role != role::kLeader)
    return {};
  const duration authority = ctx.limits().authority;
  timestamp confirmed = std::max(s.records.confirmed_at, s.leader.elected_at);
  // The members' replies are counted only when they are needed: this is asked
  // for each order.
  const bool recent =
      ctx.now() - confirmed < authority - authority / kAuthorityReserve;
  if (!recent || confirmed < s.leadership.last_stall_at)
    confirmed = std::max(confirmed, MajorityConfirmedAt(ctx));
  return confirmed < s.leadership.last_stall_at ? timestamp()
                                                : confirmed + authority;
}

bool HasAuthority(const context& ctx) {
  return ctx.state.leadership.current_role == role::kLeader &&
         ctx.now() <= AuthorityExpiresAt(ctx);
}

}  // namespace parsleyhitch::dispatch
