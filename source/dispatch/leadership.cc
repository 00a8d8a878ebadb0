// One entry at a time orders workers. It is elected by an append under a higher
// epoch of the writer "leader", which fences the appends of the one before, and
// its epoch is the fencing token at the workers.

#include <algorithm>
#include <string>
#include <utility>

#include "dispatch/parts.h"

namespace parsleyhitch::dispatch {

namespace {

constexpr char kLeaderWriter[] = "leader";
// Epochs of one entry's claims start at a random sequence number below this,
// so that no claim is taken for a repeat of another one.
constexpr std::uint64_t kSequenceRange = std::uint64_t{1} << 48;

std::uint64_t CatalogInForce(const context& ctx) {
  const work::published_catalog* held = ctx.state.in_force.Get();
  return held == nullptr ? 0 : held->content.version;
}

// Candidates claim one after the other, larger entries first.
std::uint32_t RankOf(const context& ctx) {
  std::uint32_t rank = 0;
  for (const auto& [entry, member] : ctx.state.ledger.members) {
    const std::uint32_t theirs = member.content.cpu_millis;
    const bool before = theirs > ctx.env.cpu_millis ||
                        (theirs == ctx.env.cpu_millis && entry < ctx.env.me);
    rank += before ? 1 : 0;
  }
  return rank;
}

void SendHeartbeats(const context& ctx) {
  leadership& lead = ctx.state.lead;
  lead.heartbeat += 1;
  lead.next_heartbeat_at = ctx.now() + ctx.limits().heartbeat_interval;
  for (const auto& [entry, member] : ctx.state.ledger.members) {
    if (entry == ctx.env.me)
      continue;
    SendToPeer(ctx, member.content.address,
               work::leader_heartbeat{
                   .epoch = ctx.state.mine.epoch,
                   .address = ctx.env.peer_address,
                   .number = lead.heartbeat,
                   .catalog_version = CatalogInForce(ctx),
                   .store_reached = !IsStoreTroubled(ctx, duration(0)),
                   .resigning = ctx.state.shutdown.asked});
  }
}

void Claim(const context& ctx) {
  leadership& lead = ctx.state.lead;
  if (lead.claim_sequence == 0) {
    lead.claim_epoch = std::max(lead.epoch, ctx.state.ledger.epoch) + 1;
    lead.claim_sequence = 1 + ctx.Random() % kSequenceRange;
    lead.claim_maybe_stored = false;
  }
  lead.mine = role::kCandidate;
  lead.claim = ctx.NewCall();
  ctx.Log("leadership_claimed", ctx.env.me.value(),
          {Field("epoch", lead.claim_epoch),
           Field("leader_silent_for", ctx.now() - lead.heard_at)});
  ctx.Emit(
      work::append_records{.call = *lead.claim,
                           .writer = kLeaderWriter,
                           .epoch = lead.claim_epoch,
                           .sequence = lead.claim_sequence,
                           .records = {work::leader_elected{
                               .entry = ctx.env.me, .epoch = lead.claim_epoch}},
                           .timeout = ctx.limits().append_timeout});
}

void AbandonClaim(const context& ctx) {
  leadership& lead = ctx.state.lead;
  lead.mine = role::kFollower;
  lead.claim.reset();
  lead.claim_sequence = 0;
  lead.heard_at = ctx.now();
  lead.leader_reached_store_at = ctx.now();
}

// Why the leader should be replaced, or nothing.
std::string ReasonToClaim(const context& ctx) {
  const state& s = ctx.state;
  const duration patience = RankOf(ctx) * ctx.limits().election_stagger;
  if (s.ledger.epoch == 0 && s.lead.epoch == 0)
    return ctx.now() - s.lead.heard_at >= patience ? "no leader yet" : "";
  if (ctx.now() - s.lead.heard_at >= ctx.limits().leader_silent + patience)
    return "leader is silent";
  const bool restarted = records::HasLeaderRestarted(s.ledger);
  if (restarted && ctx.now() - s.lead.heard_at >= patience)
    return "leader has started anew";
  const std::optional<timestamp>& resigning = s.lead.resigning_since;
  if (resigning && ctx.now() - *resigning >= patience)
    return "leader resigns";
  // After an outage for all, the leader has its time to reach the store again.
  const timestamp both_could =
      std::max(s.lead.leader_reached_store_at, s.store_regained_at);
  const bool cut =
      ctx.now() - both_could >= ctx.limits().store_silent + patience;
  return cut ? "leader has lost the store" : "";
}

void AdvanceFollower(const context& ctx) {
  const state& s = ctx.state;
  const bool able = s.records.whole && !IsStoreTroubled(ctx, duration(0)) &&
                    !s.shutdown.asked && s.in_force.Get() != nullptr;
  if (!able || ctx.now() < s.lead.next_claim_at)
    return;
  const std::string reason = ReasonToClaim(ctx);
  if (!reason.empty())
    Claim(ctx);
}

void AdvanceCandidate(const context& ctx) {
  leadership& lead = ctx.state.lead;
  if (!lead.claim && ctx.now() >= lead.next_claim_at)
    Claim(ctx);
}

void AdvanceLeader(const context& ctx) {
  if (ctx.now() >= ctx.state.lead.next_heartbeat_at)
    SendHeartbeats(ctx);
}

void BecomeLeader(const context& ctx, std::uint64_t end) {
  state& s = ctx.state;
  s.lead.mine = role::kLeader;
  s.lead.replies.clear();
  s.lead.leader_address = ctx.env.peer_address;
  s.lead.resigning_since.reset();
  s.lead.epoch = std::max(s.lead.epoch, s.lead.claim_epoch);
  leader_state mine;
  mine.epoch = s.lead.claim_epoch;
  mine.elected_at = ctx.now();
  mine.caught_up_at = end;
  mine.cautious = mine.epoch > 1 && !s.lead.leader_reaches_store;
  mine.progress.writer = kLeaderWriter;
  mine.progress.epoch = mine.epoch;
  mine.progress.sequence = s.lead.claim_sequence + 1;
  s.mine = std::move(mine);
  s.lead.claim_sequence = 0;
  s.workers = feed_state();
  s.records.next_at = ctx.now();
  ctx.Log("leadership_won", ctx.env.me.value(),
          {Field("epoch", s.mine.epoch), Field("records_end", end)});
  ctx.Count("elections_won");
  SendHeartbeats(ctx);
  RestoreIfCaughtUp(ctx);
}

void StepDown(const context& ctx, std::uint64_t epoch, std::string_view why) {
  state& s = ctx.state;
  ctx.Warn("leadership_lost", ctx.env.me.value(),
           {Field("epoch", s.mine.epoch), Field("newer", epoch),
            Field("why", std::string(why))});
  s.mine = leader_state();
  s.workers = feed_state();
  s.lead.mine = role::kFollower;
  s.lead.leader_address.clear();
  s.lead.heard_at = ctx.now();
  s.lead.leader_reached_store_at = ctx.now();
}

// Most members have followed this leader since then.
bool MajorityReplied(const context& ctx, timestamp since) {
  std::size_t replied = 1;
  for (const auto& [entry, reply] : ctx.state.lead.replies)
    replied += reply >= since ? 1 : 0;
  return 2 * replied > ctx.state.ledger.members.size();
}

}  // namespace

void AdvanceLeadership(const context& ctx) {
  switch (ctx.state.lead.mine) {
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
  leadership& lead = ctx.state.lead;
  lead.claim.reset();
  switch (event.outcome) {
    case work::append_outcome::kStored:
      BecomeLeader(ctx, event.end);
      return;
    case work::append_outcome::kUnknown:
      lead.claim_maybe_stored = true;
      lead.next_claim_at = ctx.now() + ctx.limits().append_retry;
      return;
    case work::append_outcome::kRefused:
      lead.next_claim_at = ctx.now() + ctx.limits().append_retry;
      return;
    case work::append_outcome::kFenced:
    case work::append_outcome::kOutOfSequence:
      ctx.Log("leadership_not_won", ctx.env.me.value(),
              {Field("epoch", lead.claim_epoch)});
      AbandonClaim(ctx);
      return;
  }
}

void OnHeartbeat(const context& ctx,
                 const work::entry_id& from,
                 const work::leader_heartbeat& message) {
  leadership& lead = ctx.state.lead;
  NoteEpoch(ctx, message.epoch, "heartbeat");
  const bool newest = message.epoch >= lead.epoch;
  const bool idle_claim =
      lead.mine == role::kCandidate && !lead.claim && !lead.claim_maybe_stored;
  if (newest && idle_claim)
    AbandonClaim(ctx);
  if (newest && lead.mine == role::kFollower) {
    if (lead.leader_address != message.address) {
      ctx.Log("leader_followed", from.value(), {Field("epoch", message.epoch)});
      lead.leader_reached_store_at = ctx.now();
    }
    lead.leader_address = message.address;
    lead.heard_at = ctx.now();
    if (!message.resigning)
      lead.resigning_since.reset();
    else if (!lead.resigning_since)
      lead.resigning_since = ctx.now();
    lead.leader_reaches_store = message.store_reached;
    if (message.store_reached)
      lead.leader_reached_store_at = ctx.now();
  }
  if (message.catalog_version > CatalogInForce(ctx)) {
    SendToPeer(ctx, message.address,
               work::catalog_wanted{.address = ctx.env.peer_address,
                                    .held_version = CatalogInForce(ctx)});
  }
  SendToPeer(ctx, message.address,
             work::heartbeat_reply{.epoch = lead.epoch,
                                   .address = ctx.env.peer_address,
                                   .number = message.number,
                                   .catalog_version = CatalogInForce(ctx)});
}

void OnHeartbeatReply(const context& ctx,
                      const work::entry_id& from,
                      const work::heartbeat_reply& message) {
  NoteEpoch(ctx, message.epoch, "reply");
  leadership& lead = ctx.state.lead;
  if (lead.mine != role::kLeader)
    return;
  // A reply proves what its sender knew when the heartbeat had reached it; the
  // newest heartbeat was sent at most one interval ago.
  if (message.number == lead.heartbeat) {
    lead.replies[from] = ctx.now() - ctx.limits().heartbeat_interval;
  }
  if (message.catalog_version > CatalogInForce(ctx)) {
    SendToPeer(ctx, message.address,
               work::catalog_wanted{.address = ctx.env.peer_address,
                                    .held_version = CatalogInForce(ctx)});
  }
}

void NoteEpoch(const context& ctx, std::uint64_t epoch, std::string_view why) {
  leadership& lead = ctx.state.lead;
  if (lead.mine == role::kLeader) {
    if (epoch <= ctx.state.mine.epoch)
      return;
    StepDown(ctx, epoch, why);
  } else if (lead.mine == role::kCandidate && epoch > lead.claim_epoch) {
    AbandonClaim(ctx);
  } else if (lead.mine == role::kFollower && epoch > lead.epoch) {
    // A new leader has its time to be heard.
    lead.heard_at = ctx.now();
    lead.leader_reached_store_at = ctx.now();
    lead.resigning_since.reset();
  }
  lead.epoch = std::max(lead.epoch, epoch);
}

bool HasAuthority(const context& ctx) {
  const state& s = ctx.state;
  if (s.lead.mine != role::kLeader)
    return false;
  const timestamp since =
      std::max(ctx.now() - ctx.limits().authority, s.lead.doubted_at);
  const timestamp proven = std::max(s.records.confirmed_at, s.mine.elected_at);
  return proven >= since || MajorityReplied(ctx, since);
}

}  // namespace parsleyhitch::dispatch
