// Calls of callers. A submission or a cancellation is answered once its record
// is stored; a call that the store's silence holds up is relayed to the leader.

#include <algorithm>
#include <string>
#include <utility>

#include "dispatch/names.h"
#include "dispatch/parts.h"
#include "dispatch/routing.h"

namespace parsleyhitch::dispatch {

namespace {

// Numbers of relayed calls, apart from those that the runtime gives to calls
// of its own clients.
constexpr call_number kRelayedCalls = call_number{1} << 62;

// A call as it arrived: directly, or through a peer.
struct arrival {
  call_number call = 0;
  const work::client_call& content;
  std::string relayed_by;
  call_number their_call = 0;
};

work::client_answer Refusal(const context& ctx, work::answer_kind kind) {
  return {.kind = kind, .retry_after = ctx.limits().retry_after};
}

work::client_answer StateAnswer(const records::stored_job& job) {
  return {.kind = work::answer_kind::kState, .phase = records::PhaseOf(job)};
}

std::uint64_t InForce(const context& ctx) {
  const work::published_catalog* held = ctx.state.in_force.Get();
  return held == nullptr ? 0 : held->content.version;
}

void Reply(const context& ctx,
           const arrival& from,
           const work::client_answer& answer) {
  // Reads that found a state are too many to log.
  if (answer.kind != work::answer_kind::kState &&
      answer.kind != work::answer_kind::kWaiting) {
    ctx.Log(
        "answered", from.content.path,
        {Field("call", NameOf(from.content.verb)),
         Field("answer", NameOf(answer.kind)), Field("catalog", InForce(ctx)),
         Field("relayed_by", from.relayed_by)});
  }
  ctx.Count("answers_" + NameOf(answer.kind));
  if (from.relayed_by.empty()) {
    ctx.Emit(work::answer_client{.call = from.call, .content = answer});
    return;
  }
  SendToPeer(ctx, from.relayed_by,
             work::call_settled{.call = from.their_call, .answer = answer});
}

// Answers an open call and forgets it.
void Settle(const context& ctx,
            call_number number,
            const work::client_answer& answer) {
  const open_call* found = ctx.state.calls.Find(number);
  if (found == nullptr)
    return;
  const open_call call = *found;
  ctx.state.calls.Erase(number);
  ctx.Emit(work::observe_latency{.name = "call_" + NameOf(call.content.verb),
                                 .value = ctx.now() - call.arrived});
  Reply(ctx,
        {.call = number,
         .content = call.content,
         .relayed_by = call.relayed_by,
         .their_call = call.their_call},
        answer);
}

void Open(const context& ctx,
          const arrival& from,
          const work::job_id& job,
          call_stage stage) {
  const duration patience = from.content.patience > duration(0)
                                ? from.content.patience
                                : ctx.limits().default_patience;
  const duration usable =
      std::max(patience - ctx.limits().answer_margin, patience / 2);
  ctx.state.calls.Put(from.call, open_call{.content = from.content,
                                           .arrived = ctx.now(),
                                           .deadline = ctx.now() + usable,
                                           .stage = stage,
                                           .job = job,
                                           .relayed_by = from.relayed_by,
                                           .their_call = from.their_call});
}

void Store(const context& ctx,
           const arrival& from,
           const work::job_id& job,
           work::record record) {
  Open(ctx, from, job, call_stage::kStoring);
  ctx.state.submissions.waiting.push_back(
      {.content = std::move(record), .caller = from.call});
}

void Submit(const context& ctx,
            const arrival& from,
            const work::queue& queue,
            const work::workspace_id& owner,
            const work::job_id& job) {
  const records::stored_job* known = records::FindJob(ctx.state.ledger, job);
  if (known != nullptr) {
    const bool same = known->content.Get()->owner == owner;
    Reply(ctx, from,
          same ? work::client_answer{.kind = work::answer_kind::kAccepted}
               : work::client_answer{
                     .kind = work::answer_kind::kInvalid,
                     .faults = model::OneFinding("", "the ID is in use")});
    return;
  }
  if (!from.content.request) {
    Reply(ctx, from,
          {.kind = work::answer_kind::kInvalid, .faults = from.content.faults});
    return;
  }
  Store(ctx, from, job,
        work::job_submitted{
            .content = {.job = job,
                        .queue = queue.id,
                        .service = queue.service,
                        .owner = owner,
                        .priority = queue.priority,
                        .max_attempts = queue.max_attempts,
                        .stretch_permille = queue.stretch_permille,
                        .target_latency = queue.target_latency,
                        .submitted_at = ctx.now(),
                        .request = *from.content.request}});
}

bool Owns(const records::stored_job& job, const work::workspace_id& owner) {
  return job.content.Get()->owner == owner;
}

// Answers a read or a cancellation of a job that may be unknown.
void ReadOrCancel(const context& ctx,
                  const arrival& from,
                  const work::workspace_id& owner,
                  const work::job_id& job) {
  const records::stored_job* known = records::FindJob(ctx.state.ledger, job);
  if (known == nullptr) {
    Open(ctx, from, job, call_stage::kConfirming);
    ConfirmRecords(ctx);
    return;
  }
  if (!Owns(*known, owner)) {
    Reply(ctx, from, {.kind = work::answer_kind::kNoJob});
    return;
  }
  if (from.content.verb == work::call_verb::kRead) {
    Reply(ctx, from, StateAnswer(*known));
    return;
  }
  if (work::IsClosed(records::PhaseOf(*known))) {
    Reply(ctx, from, {.kind = work::answer_kind::kAccepted});
    return;
  }
  Store(ctx, from, job, work::job_cancelled{.job = job});
}

// The workspace of the call's key; empty for queues that need none.
std::optional<work::workspace_id> OwnerFor(const work::catalog& catalog,
                                           const work::queue& queue,
                                           const std::string& key) {
  const work::workspace* owner = OwnerOf(catalog, key);
  if (owner != nullptr)
    return owner->id;
  if (queue.allows_anonymous)
    return work::workspace_id();
  return {};
}

void Handle(const context& ctx, const arrival& from) {
  const work::published_catalog* held = ctx.state.in_force.Get();
  if (held == nullptr) {
    Reply(ctx, from, Refusal(ctx, work::answer_kind::kNotRun));
    return;
  }
  const auto routed = RouteOf(held->content, from.content);
  if (!routed) {
    Reply(ctx, from, {.kind = work::answer_kind::kNoQueue});
    return;
  }
  const auto owner = OwnerFor(held->content, *routed->queue, from.content.key);
  if (!owner) {
    Reply(ctx, from, {.kind = work::answer_kind::kNoKey});
    return;
  }
  const bool reads = from.content.verb == work::call_verb::kRead;
  if (reads && routed->rest.empty()) {
    Reply(ctx, from,
          {.kind = work::answer_kind::kWaiting,
           .waiting =
               records::CountWaiting(ctx.state.ledger, routed->queue->id)});
    return;
  }
  if (!IsJobId(routed->rest)) {
    Reply(ctx, from,
          {.kind = work::answer_kind::kInvalid,
           .faults = model::OneFinding(
               "", "the path must end in an ID of 16 hexadecimal digits")});
    return;
  }
  const work::job_id job{std::string(routed->rest)};
  if (from.content.verb == work::call_verb::kSubmit)
    Submit(ctx, from, *routed->queue, *owner, job);
  else
    ReadOrCancel(ctx, from, *owner, job);
}

// Takes a record that was never sent out of the queue; true when it was there.
bool Withdraw(const context& ctx, call_number call) {
  std::deque<queued_record>& waiting = ctx.state.submissions.waiting;
  std::deque<queued_record> kept;
  bool found = false;
  for (queued_record& each : waiting) {
    if (each.caller == call)
      found = true;
    else
      kept.push_back(std::move(each));
  }
  waiting = std::move(kept);
  return found;
}

bool IsInBatch(const context& ctx, call_number call) {
  return std::ranges::any_of(
      ctx.state.submissions.batch,
      [&](const queued_record& each) { return each.caller == call; });
}

bool IsWaiting(const context& ctx, call_number call) {
  return std::ranges::any_of(
      ctx.state.submissions.waiting,
      [&](const queued_record& each) { return each.caller == call; });
}

bool LeaderIsHeard(const context& ctx) {
  const leadership& lead = ctx.state.lead;
  return lead.mine != role::kLeader && !lead.leader_address.empty() &&
         lead.leader_reaches_store &&
         ctx.now() - lead.heard_at < ctx.limits().leader_silent;
}

void Relay(const context& ctx, call_number number, open_call call) {
  if (Withdraw(ctx, number))
    call.maybe_stored = false;
  SendToPeer(ctx, ctx.state.lead.leader_address,
             work::call_relayed{.call = number,
                                .address = ctx.env.peer_address,
                                .content = call.content});
  ctx.Log("relayed", call.content.path,
          {Field("to", ctx.state.lead.leader_address)});
  call.stage = call_stage::kRelayed;
  ctx.state.calls.Put(number, std::move(call));
}

// The answer to a call whose time is over.
work::client_answer ExpiredAnswer(const context& ctx, const open_call& call) {
  const records::stored_job* known =
      records::FindJob(ctx.state.ledger, call.job);
  if (known != nullptr && call.content.verb == work::call_verb::kSubmit)
    return {.kind = work::answer_kind::kAccepted};
  if (known != nullptr && call.content.verb == work::call_verb::kRead)
    return StateAnswer(*known);
  const bool relayed_change = call.stage == call_stage::kRelayed &&
                              call.content.verb != work::call_verb::kRead;
  if (call.maybe_stored || relayed_change)
    return Refusal(ctx, work::answer_kind::kNotSettled);
  return Refusal(ctx, work::answer_kind::kNotRun);
}

void Expire(const context& ctx, call_number number) {
  const open_call* found = ctx.state.calls.Find(number);
  open_call call = *found;
  const bool in_batch = IsInBatch(ctx, number);
  call.maybe_stored = call.maybe_stored || in_batch;
  const work::client_answer answer = ExpiredAnswer(ctx, call);
  Withdraw(ctx, number);
  Settle(ctx, number, answer);
}

}  // namespace

void OnClientCalled(const context& ctx, const work::client_called& event) {
  Handle(ctx, {.call = event.call, .content = event.content});
}

void OnClientGone(const context& ctx, const work::client_gone& event) {
  // Its record goes on its way: the caller may ask again for the same job.
  ctx.state.calls.Erase(event.call);
}

void OnCallRelayed(const context& ctx, const work::call_relayed& message) {
  const call_number number = kRelayedCalls + ctx.NewCall();
  Handle(ctx, {.call = number,
               .content = message.content,
               .relayed_by = message.address,
               .their_call = message.call});
}

void OnCallSettled(const context& ctx, const work::call_settled& message) {
  const open_call* call = ctx.state.calls.Find(message.call);
  if (call == nullptr || call->stage != call_stage::kRelayed)
    return;
  const bool refused = message.answer.kind != work::answer_kind::kAccepted &&
                       message.answer.kind != work::answer_kind::kState &&
                       message.answer.kind != work::answer_kind::kWaiting;
  // The record that is still here may be stored in spite of the refusal.
  const bool doubtful =
      refused && (call->maybe_stored || IsInBatch(ctx, message.call) ||
                  IsWaiting(ctx, message.call));
  Settle(
      ctx, message.call,
      doubtful ? Refusal(ctx, work::answer_kind::kNotSettled) : message.answer);
}

void SettleStored(const context& ctx, call_number call) {
  Settle(ctx, call, {.kind = work::answer_kind::kAccepted});
}

void SettleConfirmed(const context& ctx, timestamp confirmed_at) {
  std::vector<call_number> due;
  for (const auto& [number, call] : ctx.state.calls) {
    if (call.stage == call_stage::kConfirming && call.arrived <= confirmed_at)
      due.push_back(number);
  }
  for (const call_number number : due) {
    const open_call call = *ctx.state.calls.Find(number);
    if (records::FindJob(ctx.state.ledger, call.job) == nullptr) {
      Settle(ctx, number, {.kind = work::answer_kind::kNoJob});
      continue;
    }
    ctx.state.calls.Erase(number);
    Handle(ctx, {.call = number,
                 .content = call.content,
                 .relayed_by = call.relayed_by,
                 .their_call = call.their_call});
  }
}

void AdvanceCalls(const context& ctx) {
  const bool troubled = IsStoreTroubled(ctx, ctx.limits().relay_after);
  const bool may_relay = troubled && LeaderIsHeard(ctx);
  const bool hopeless =
      !may_relay && IsStoreTroubled(ctx, ctx.limits().refuse_after);
  std::vector<call_number> expired;
  std::vector<call_number> relayed;
  for (const auto& [number, call] : ctx.state.calls) {
    const bool given_up = hopeless && call.stage == call_stage::kStoring;
    if (given_up || ctx.now() >= call.deadline)
      expired.push_back(number);
    else if (may_relay && call.stage != call_stage::kRelayed &&
             call.relayed_by.empty())
      relayed.push_back(number);
  }
  for (const call_number number : expired)
    Expire(ctx, number);
  for (const call_number number : relayed)
    Relay(ctx, number, *ctx.state.calls.Find(number));
}

}  // namespace parsleyhitch::dispatch
